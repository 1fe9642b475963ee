package saltstage.configuration;

import com.dynatrace.hash4j.hashing.Hashing;

/**
 * The digest of a set of entries. It is the sum of the entries' hashes, so that it can be updated
 * incrementally, one entry at a time.
 */
final class EntryDigest {
    private EntryDigest() {}

    /** The digest of an empty set. */
    static final long EMPTY = 0;

    /** The hash of an entry's key, value and revision. */
    static long of(Entry entry) {
        return Hashing.komihash5_0()
                .hashStream()
                .putString(entry.key().text())
                .putString(entry.value().canonicalText())
                .putLong(entry.revision())
                .getAsLong();
    }
}

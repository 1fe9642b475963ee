package saltstage.configuration;

import com.dynatrace.hash4j.hashing.Hashing;

/**
 * The digest of a set of entries: the sum of their hashes, so that it is kept up to date one entry
 * at a time.
 */
final class EntryDigest {
    private EntryDigest() {}

    /** The digest of no entries. */
    static final long EMPTY = 0;

    /** The hash of one entry: of its key, its value and its revision. */
    static long of(Entry entry) {
        return Hashing.komihash5_0()
                .hashStream()
                .putString(entry.key().text())
                .putString(entry.value().canonicalText())
                .putLong(entry.revision())
                .getAsLong();
    }
}

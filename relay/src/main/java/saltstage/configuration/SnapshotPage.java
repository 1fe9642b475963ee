package saltstage.configuration;

import java.util.List;

/**
 * One page of a snapshot of all entries at one revision.
 *
 * @param revision the revision of the whole snapshot
 * @param digest the digest of the whole snapshot
 * @param entries the entries of this page, ordered by key
 * @param next the first key of the next page; null on the last page
 */
public record SnapshotPage(long revision, long digest, List<Entry> entries, EntryKey next) {
    /** Copies the list of entries. */
    public SnapshotPage {
        entries = List.copyOf(entries);
    }
}

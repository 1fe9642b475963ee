package saltstage.configuration.follower;

import java.util.ArrayList;
import java.util.List;
import saltstage.configuration.ConfigurationView;
import saltstage.configuration.Entry;
import saltstage.configuration.EntryKey;
import saltstage.configuration.SnapshotPage;

/**
 * The pages of one snapshot as they come in. Nothing of it is used before all of it is there and
 * its digest agrees. Not thread safe.
 */
final class SnapshotAssembler {
    /** A page that does not belong to the snapshot, or a snapshot that is not sound. */
    static final class InvalidSnapshotException extends Exception {
        private static final long serialVersionUID = 1L;

        InvalidSnapshotException(String message) {
            super(message);
        }
    }

    /** Where a snapshot names no revision yet: the newest. */
    static final long NEWEST = 0;

    private final long minRevision;
    private final int maxEntries;
    private final List<Entry> entries = new ArrayList<>();
    private long revision = NEWEST;
    private long digest;
    private EntryKey nextKey;

    /** Takes a snapshot of at least this revision and at most so many entries. */
    SnapshotAssembler(long leastRevision, int mostEntries) {
        this.minRevision = leastRevision;
        this.maxEntries = mostEntries;
    }

    /** The revision to ask for. */
    long revision() {
        return revision;
    }

    /** The first key of the page to ask for; null: the first of all. */
    EntryKey nextKey() {
        return nextKey;
    }

    /** Takes a page; returns the whole snapshot with the last one, null before that. */
    ConfigurationView add(SnapshotPage page) throws InvalidSnapshotException {
        if (revision == NEWEST) {
            start(page);
        }
        if (page.revision() != revision || page.digest() != digest) {
            throw new InvalidSnapshotException("a page of another snapshot");
        }
        for (Entry entry : page.entries()) {
            add(entry);
        }
        if (page.next() != null) {
            advanceTo(page.next());
            return null;
        }
        ConfigurationView whole = new ConfigurationView(revision, entries);
        if (whole.digest() != digest) {
            throw new InvalidSnapshotException("the snapshot's digest differs from its entries");
        }
        return whole;
    }

    private void start(SnapshotPage page) throws InvalidSnapshotException {
        if (page.revision() < minRevision || page.revision() == NEWEST) {
            throw new InvalidSnapshotException(
                    "a snapshot of revision " + page.revision() + ", older than " + minRevision);
        }
        revision = page.revision();
        digest = page.digest();
    }

    private void add(Entry entry) throws InvalidSnapshotException {
        if (entries.size() == maxEntries) {
            throw new InvalidSnapshotException("a snapshot of over " + maxEntries + " entries");
        }
        if (nextKey != null && entry.key().compareTo(nextKey) < 0 || !isAfterLast(entry.key())) {
            throw new InvalidSnapshotException("keys out of order: " + entry.key().text());
        }
        if (entry.revision() > revision) {
            throw new InvalidSnapshotException("an entry newer than its snapshot");
        }
        entries.add(entry);
    }

    private void advanceTo(EntryKey key) throws InvalidSnapshotException {
        boolean advances = nextKey == null || key.compareTo(nextKey) > 0;
        if (!advances || !isAfterLast(key)) {
            throw new InvalidSnapshotException("the next page does not come after this one");
        }
        nextKey = key;
    }

    private boolean isAfterLast(EntryKey key) {
        return entries.isEmpty() || key.compareTo(entries.get(entries.size() - 1).key()) > 0;
    }
}

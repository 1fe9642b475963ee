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
final class SnapshotAssembly {
    /** A page that does not belong to the snapshot, or a snapshot that is not sound. */
    static final class UnsoundSnapshotException extends Exception {
        private static final long serialVersionUID = 1L;

        UnsoundSnapshotException(String message) {
            super(message);
        }
    }

    /** Where a snapshot names no revision yet: the newest. */
    static final long NEWEST = 0;

    private final long leastRevision;
    private final int mostEntries;
    private final List<Entry> entries = new ArrayList<>();
    private long revision = NEWEST;
    private long digest;
    private EntryKey next;

    /** Takes a snapshot of at least this revision and at most so many entries. */
    SnapshotAssembly(long leastRevision, int mostEntries) {
        this.leastRevision = leastRevision;
        this.mostEntries = mostEntries;
    }

    /** The revision to ask for. */
    long revision() {
        return revision;
    }

    /** The first key of the page to ask for; null: the first of all. */
    EntryKey next() {
        return next;
    }

    /** Takes a page; returns the whole snapshot with the last one, null before that. */
    ConfigurationView add(SnapshotPage page) throws UnsoundSnapshotException {
        if (revision == NEWEST) {
            begin(page);
        }
        if (page.revision() != revision || page.digest() != digest) {
            throw new UnsoundSnapshotException("a page of another snapshot");
        }
        for (Entry entry : page.entries()) {
            add(entry);
        }
        if (page.next() != null) {
            continueAt(page.next());
            return null;
        }
        ConfigurationView whole = new ConfigurationView(revision, entries);
        if (whole.digest() != digest) {
            throw new UnsoundSnapshotException("the snapshot's digest differs from its entries");
        }
        return whole;
    }

    private void begin(SnapshotPage page) throws UnsoundSnapshotException {
        if (page.revision() < leastRevision || page.revision() == NEWEST) {
            throw new UnsoundSnapshotException(
                    "a snapshot of revision " + page.revision() + ", older than " + leastRevision);
        }
        revision = page.revision();
        digest = page.digest();
    }

    private void add(Entry entry) throws UnsoundSnapshotException {
        if (entries.size() == mostEntries) {
            throw new UnsoundSnapshotException("a snapshot of over " + mostEntries + " entries");
        }
        if (next != null && entry.key().compareTo(next) < 0 || !isAfterLast(entry.key())) {
            throw new UnsoundSnapshotException("keys out of order: " + entry.key().text());
        }
        if (entry.revision() > revision) {
            throw new UnsoundSnapshotException("an entry newer than its snapshot");
        }
        entries.add(entry);
    }

    private void continueAt(EntryKey key) throws UnsoundSnapshotException {
        boolean advances = next == null || key.compareTo(next) > 0;
        if (!advances || !isAfterLast(key)) {
            throw new UnsoundSnapshotException("the next page does not come after this one");
        }
        next = key;
    }

    private boolean isAfterLast(EntryKey key) {
        return entries.isEmpty() || key.compareTo(entries.get(entries.size() - 1).key()) > 0;
    }
}

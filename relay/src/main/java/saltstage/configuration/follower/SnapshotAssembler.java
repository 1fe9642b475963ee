package saltstage.configuration.follower;

import java.util.ArrayList;
import java.util.List;
import saltstage.configuration.ConfigurationView;
import saltstage.configuration.Entry;
import saltstage.configuration.EntryKey;
import saltstage.configuration.SnapshotPage;

/**
 * Assembles the pages of one snapshot. No part of the snapshot is used before it is complete and
 * its digest matches. Not thread safe.
 */
final class SnapshotAssembler {
    /** A page does not belong to the snapshot, or the snapshot is invalid. */
    static final class InvalidSnapshotException extends Exception {
        private static final long serialVersionUID = 1L;

        InvalidSnapshotException(String message) {
            super(message);
        }
    }

    /** The revision to request before the first page is received: the newest one. */
    static final long NEWEST = 0;

    private final long minRevision;
    private final int maxEntries;
    private final List<Entry> entries = new ArrayList<>();
    private long revision = NEWEST;
    private long digest;
    private EntryKey nextKey;

    /** Creates an assembler for a snapshot with a minimum revision and a maximum size. */
    SnapshotAssembler(long minRevision, int maxEntries) {
        this.minRevision = minRevision;
        this.maxEntries = maxEntries;
    }

    /** The revision to request. */
    long revision() {
        return revision;
    }

    /** The lowest key of the page to request; null for the first page. */
    EntryKey nextKey() {
        return nextKey;
    }

    /** Adds a page; returns the complete snapshot after the last page and null before. */
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
        ConfigurationView snapshot = new ConfigurationView(revision, entries);
        if (snapshot.digest() != digest) {
            throw new InvalidSnapshotException("the snapshot's digest differs from its entries");
        }
        return snapshot;
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

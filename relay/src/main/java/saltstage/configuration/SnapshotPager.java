package saltstage.configuration;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.List;

/**
 * Serves all entries in pages. One snapshot is created per revision that is requested as the newest
 * one; all followers that read its pages share it. The newest two snapshots are retained. Not
 * thread safe.
 */
public final class SnapshotPager {
    /** The revision number that denotes the newest revision. */
    public static final long NEWEST = 0;

    private static final int MAX_SNAPSHOTS = 2;

    private record Snapshot(long revision, long digest, Entry[] entries) {}

    private final Deque<Snapshot> snapshots = new ArrayDeque<>(MAX_SNAPSHOTS);

    /**
     * Returns a page of a snapshot.
     *
     * @param view the current entries
     * @param revision the revision of the snapshot; {@link #NEWEST} for the current view
     * @param from the lowest key of the page; null for the first page
     * @param limit the maximum number of entries, capped at {@link
     *     ConfigurationLimits#MAX_ENTRIES_PER_PAGE}
     * @return the page, or null if that snapshot is no longer retained
     */
    public SnapshotPage page(ConfigurationView view, long revision, EntryKey from, int limit) {
        Snapshot snapshot = revision == NEWEST ? newestSnapshot(view) : findSnapshot(revision);
        return snapshot == null ? null : page(snapshot, from, limit);
    }

    private Snapshot findSnapshot(long revision) {
        for (Snapshot snapshot : snapshots) {
            if (snapshot.revision() == revision) {
                return snapshot;
            }
        }
        return null;
    }

    private Snapshot newestSnapshot(ConfigurationView view) {
        Snapshot newest = snapshots.peekFirst();
        if (newest != null
                && newest.revision() == view.revision()
                && newest.digest() == view.digest()) {
            return newest;
        }
        snapshots.removeIf(old -> old.revision() == view.revision());
        if (snapshots.size() == MAX_SNAPSHOTS) {
            snapshots.removeLast();
        }
        Entry[] entries = view.entries().values().toArray(Entry[]::new);
        snapshots.addFirst(new Snapshot(view.revision(), view.digest(), entries));
        return snapshots.peekFirst();
    }

    private static SnapshotPage page(Snapshot snapshot, EntryKey from, int limit) {
        Entry[] entries = snapshot.entries();
        int begin = from == null ? 0 : lowerBound(entries, from);
        int pageSize = Math.max(1, Math.min(limit, ConfigurationLimits.MAX_ENTRIES_PER_PAGE));
        int end = Math.min(entries.length, begin + pageSize);
        List<Entry> pageEntries = Arrays.asList(entries).subList(begin, end);
        EntryKey next = end < entries.length ? entries[end].key() : null;
        return new SnapshotPage(snapshot.revision(), snapshot.digest(), pageEntries, next);
    }

    /** Returns the index of the first entry whose key is not less than the given key. */
    private static int lowerBound(Entry[] entries, EntryKey key) {
        int low = 0;
        int high = entries.length;
        while (low < high) {
            int middle = (low + high) >>> 1;
            if (entries[middle].key().compareTo(key) < 0) {
                low = middle + 1;
            } else {
                high = middle;
            }
        }
        return low;
    }
}

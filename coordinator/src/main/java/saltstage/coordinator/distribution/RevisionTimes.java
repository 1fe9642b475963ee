package saltstage.coordinator.distribution;

import java.util.Map;
import java.util.TreeMap;

/**
 * The times at which the newest revisions became known to this distributor. Their number is
 * bounded; an older revision became known no later than the oldest one that is kept.
 */
final class RevisionTimes {
    private final int capacity;
    private final TreeMap<Long, Long> knownSinceMs = new TreeMap<>();

    RevisionTimes(int capacity) {
        this.capacity = capacity;
    }

    /** Records that a revision is known from now on; only its first time is kept. */
    void add(long revision, long nowMs) {
        if (knownSinceMs.isEmpty() || knownSinceMs.lastKey() < revision) {
            knownSinceMs.put(revision, nowMs);
        }
        if (knownSinceMs.size() > capacity) {
            knownSinceMs.pollFirstEntry();
        }
    }

    /** Returns when a newer revision first became known, or {@code nowMs} if there is none. */
    long newerKnownSinceMs(long revision, long nowMs) {
        Map.Entry<Long, Long> next = knownSinceMs.higherEntry(revision);
        return next == null ? nowMs : next.getValue();
    }
}

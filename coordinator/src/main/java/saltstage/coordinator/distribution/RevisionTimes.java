package saltstage.coordinator.distribution;

import java.util.Map;
import java.util.TreeMap;

/**
 * When each of the newest revisions became known here. Only so many are kept; of an older one it is
 * known that it came no later than the oldest that is kept.
 */
final class RevisionTimes {
    private final int capacity;
    private final TreeMap<Long, Long> knownSinceMs = new TreeMap<>();

    RevisionTimes(int capacity) {
        this.capacity = capacity;
    }

    /** Notes that a revision is known from now on; only the first time counts. */
    void add(long revision, long nowMs) {
        if (knownSinceMs.isEmpty() || knownSinceMs.lastKey() < revision) {
            knownSinceMs.put(revision, nowMs);
        }
        if (knownSinceMs.size() > capacity) {
            knownSinceMs.pollFirstEntry();
        }
    }

    /** When something newer than this revision was first known; {@code nowMs} where nothing is. */
    long newerKnownSinceMs(long revision, long nowMs) {
        Map.Entry<Long, Long> next = knownSinceMs.higherEntry(revision);
        return next == null ? nowMs : next.getValue();
    }
}

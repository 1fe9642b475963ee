package saltstage.lab.scale;

import java.util.Arrays;
import java.util.Collection;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** When which revision came into force at which relay, by the machine's monotonic clock. */
final class AppliedRevisionLog {
    private final Map<Integer, TreeMap<Long, Long>> appliedNanosByRelay = new ConcurrentHashMap<>();

    /** A relay decides by this revision from this moment on. */
    void revisionApplied(int relay, long revision, long nanos) {
        TreeMap<Long, Long> own =
                appliedNanosByRelay.computeIfAbsent(relay, any -> new TreeMap<>());
        synchronized (own) {
            own.putIfAbsent(revision, nanos);
        }
    }

    /** How many of these relays have the revision, or a newer one. */
    long countWithRevision(Collection<Integer> relays, long revision) {
        return relays.stream().filter(relay -> appliedNanos(relay, revision) != null).count();
    }

    /** Since when a relay has the revision or a newer one; null: not yet. */
    Long appliedNanos(int relay, long revision) {
        TreeMap<Long, Long> own = appliedNanosByRelay.get(relay);
        if (own == null) {
            return null;
        }
        synchronized (own) {
            return own.tailMap(revision, true).values().stream().min(Long::compare).orElse(null);
        }
    }

    /**
     * Seconds from a moment until the revision was in force at each of these relays that has it;
     * sorted.
     */
    double[] secondsUntilApplied(Collection<Integer> relays, long revision, long fromNanos) {
        double[] times =
                relays.stream()
                        .map(relay -> appliedNanos(relay, revision))
                        .filter(nanos -> nanos != null)
                        .mapToDouble(nanos -> (nanos - fromNanos) / 1e9)
                        .toArray();
        Arrays.sort(times);
        return times;
    }
}

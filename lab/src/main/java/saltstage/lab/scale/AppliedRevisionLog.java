package saltstage.lab.scale;

import java.util.Arrays;
import java.util.Collection;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** Records when each relay applied each revision, by the machine's monotonic clock. */
final class AppliedRevisionLog {
    private final Map<Integer, TreeMap<Long, Long>> appliedNanosByRelay = new ConcurrentHashMap<>();

    /** Records that a relay uses this revision from this moment on. */
    void revisionApplied(int relay, long revision, long nanos) {
        TreeMap<Long, Long> nanosByRevision =
                appliedNanosByRelay.computeIfAbsent(relay, key -> new TreeMap<>());
        synchronized (nanosByRevision) {
            nanosByRevision.putIfAbsent(revision, nanos);
        }
    }

    /** Counts those of the given relays that have applied the revision or a newer one. */
    long countWithRevision(Collection<Integer> relays, long revision) {
        return relays.stream().filter(relay -> appliedNanos(relay, revision) != null).count();
    }

    /** Returns when a relay applied the revision or a newer one, or null if it has not yet. */
    Long appliedNanos(int relay, long revision) {
        TreeMap<Long, Long> nanosByRevision = appliedNanosByRelay.get(relay);
        if (nanosByRevision == null) {
            return null;
        }
        synchronized (nanosByRevision) {
            return nanosByRevision.tailMap(revision, true).values().stream()
                    .min(Long::compare)
                    .orElse(null);
        }
    }

    /**
     * Returns the seconds from a moment until each of the given relays applied the revision,
     * sorted. Relays that have not applied it are left out.
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

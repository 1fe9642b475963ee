package saltstage.lab.amqp;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/**
 * Records each delivery sent and the outcome that its sender received, to compare them with the
 * deliveries that the backends accepted.
 */
public final class DeliveryTracker {
    /**
     * The outcome that a sender received; {@code WAITING} until then, {@code NOTHING} if its link
     * ended without an outcome.
     */
    public enum DeliveryOutcome {
        WAITING,
        ACCEPTED,
        REJECTED,
        RELEASED,
        MODIFIED,
        OTHER,
        NOTHING
    }

    /** Sized in advance: a resize would block all threads of a measurement for milliseconds. */
    private final Map<String, DeliveryOutcome> outcomes = new HashMap<>(1 << 20);

    private long pendingCount;
    private final List<String> faults = new ArrayList<>();
    private final Histogram latencies = new Histogram(TimeUnit.MINUTES.toNanos(2), 3);

    /** Records that a delivery was sent or is about to be. */
    public synchronized void deliverySent(String id) {
        pendingCount++;
        if (outcomes.put(id, DeliveryOutcome.WAITING) != null) {
            faults.add("sent twice: " + id);
        }
    }

    /**
     * Records the outcome of a delivery.
     *
     * @param latencyNanos time since the delivery was due; negative if unknown
     */
    public synchronized void outcomeReceived(
            String id, DeliveryOutcome outcome, long latencyNanos) {
        DeliveryOutcome previous = outcomes.put(id, outcome);
        pendingCount -= previous == DeliveryOutcome.WAITING ? 1 : 0;
        if (previous != DeliveryOutcome.WAITING) {
            faults.add("a second outcome: " + id + " " + previous + " then " + outcome);
        }
        if (latencyNanos >= 0 && outcome == DeliveryOutcome.ACCEPTED) {
            latencies.recordValue(Math.min(latencyNanos, latencies.getHighestTrackableValue()));
        }
    }

    /** Returns the number of deliveries with each outcome. */
    public synchronized Map<DeliveryOutcome, Long> outcomeCounts() {
        Map<DeliveryOutcome, Long> counts = new TreeMap<>();
        outcomes.values().forEach(outcome -> counts.merge(outcome, 1L, Long::sum));
        return counts;
    }

    /** Returns whether this delivery was recorded as sent. */
    public synchronized boolean contains(String id) {
        return outcomes.containsKey(id);
    }

    /** Returns the number of deliveries sent. */
    public synchronized int sentCount() {
        return outcomes.size();
    }

    /** Returns the number of deliveries that wait for their outcome. */
    public synchronized long pendingCount() {
        return pendingCount;
    }

    /** Returns the times in nanoseconds from when accepted deliveries were due to their outcome. */
    public synchronized Histogram latencies() {
        return latencies.copy();
    }

    /**
     * Returns the contradictions within the recorded outcomes and between them and the ids that the
     * backends accepted; empty if there are none.
     */
    public synchronized List<String> findFaults(Collection<String> backendAcceptedIds) {
        List<String> allFaults = new ArrayList<>(faults);
        Set<String> accepted = new HashSet<>(backendAcceptedIds);
        outcomes.forEach(
                (id, outcome) -> {
                    if (outcome == DeliveryOutcome.ACCEPTED && !accepted.contains(id)) {
                        allFaults.add("accepted by no gateway: " + id);
                    }
                    if ((outcome == DeliveryOutcome.RELEASED || outcome == DeliveryOutcome.REJECTED)
                            && accepted.contains(id)) {
                        allFaults.add(outcome + " though a gateway accepted it: " + id);
                    }
                    if (outcome == DeliveryOutcome.WAITING || outcome == DeliveryOutcome.NOTHING) {
                        allFaults.add("no outcome: " + id);
                    }
                });
        accepted.removeAll(outcomes.keySet());
        accepted.forEach(id -> allFaults.add("accepted and never sent: " + id));
        return allFaults;
    }
}

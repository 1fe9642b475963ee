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
 * Every delivery sent and what its sender was told of it, to be compared with what the gateways
 * say.
 */
public final class DeliveryTracker {
    /** What a sender was told, or that its link ended without a word. */
    public enum DeliveryOutcome {
        WAITING,
        ACCEPTED,
        REJECTED,
        RELEASED,
        MODIFIED,
        OTHER,
        NOTHING
    }

    /**
     * Room beforehand: a map that grows keeps all threads of a measurement waiting for
     * milliseconds.
     */
    private final Map<String, DeliveryOutcome> outcomes = new HashMap<>(1 << 20);

    private long pendingCount;
    private final List<String> faults = new ArrayList<>();
    private final Histogram latencies = new Histogram(TimeUnit.MINUTES.toNanos(2), 3);

    /** It was sent. */
    public synchronized void deliverySent(String id) {
        pendingCount++;
        if (outcomes.put(id, DeliveryOutcome.WAITING) != null) {
            faults.add("sent twice: " + id);
        }
    }

    /** Its sender was told this, so long after it should have been sent. */
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

    /** How many there are of each. */
    public synchronized Map<DeliveryOutcome, Long> outcomeCounts() {
        Map<DeliveryOutcome, Long> counts = new TreeMap<>();
        outcomes.values().forEach(outcome -> counts.merge(outcome, 1L, Long::sum));
        return counts;
    }

    /** Whether it was sent here. */
    public synchronized boolean contains(String id) {
        return outcomes.containsKey(id);
    }

    /** How many were sent. */
    public synchronized int sentCount() {
        return outcomes.size();
    }

    /** How many wait for their outcome. */
    public synchronized long pendingCount() {
        return pendingCount;
    }

    /** Times from when an accepted one was due to its outcome, in nanoseconds. */
    public synchronized Histogram latencies() {
        return latencies.copy();
    }

    /**
     * What cannot be, compared with the ids that the gateways have accepted; empty where all is
     * well.
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

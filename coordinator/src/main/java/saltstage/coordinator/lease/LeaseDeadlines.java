package saltstage.coordinator.lease;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeSet;

/** Tracks for each lease the next time at which it changes without a command, earliest first. */
final class LeaseDeadlines {
    private record Deadline(long dueMs, String name) {}

    private final TreeSet<Deadline> byDueTime =
            new TreeSet<>(Comparator.comparingLong(Deadline::dueMs).thenComparing(Deadline::name));
    private final Map<String, Deadline> byName = new HashMap<>();

    /** Sets a lease's deadline and replaces its previous one. */
    void set(String name, long dueMs) {
        remove(name);
        Deadline deadline = new Deadline(dueMs, name);
        byName.put(name, deadline);
        byDueTime.add(deadline);
    }

    /** Removes a lease's deadline, if it has one. */
    void remove(String name) {
        Deadline previous = byName.remove(name);
        if (previous != null) {
            byDueTime.remove(previous);
        }
    }

    /** Returns the earliest deadline, or {@link Long#MAX_VALUE} if there is none. */
    long next() {
        return byDueTime.isEmpty() ? Long.MAX_VALUE : byDueTime.first().dueMs();
    }

    /**
     * Removes the earliest deadline if it is not after {@code now} and returns the name of its
     * lease, or null if no deadline is due.
     */
    String pollDue(long now) {
        if (byDueTime.isEmpty() || byDueTime.first().dueMs() > now) {
            return null;
        }
        String name = byDueTime.pollFirst().name();
        byName.remove(name);
        return name;
    }
}

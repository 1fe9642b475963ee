package saltstage.coordinator.lease;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeSet;

/** The next moment at which time changes each lease by itself, soonest first. */
final class LeaseDeadlines {
    private record Deadline(long at, String name) {}

    private final TreeSet<Deadline> soonest =
            new TreeSet<>(Comparator.comparingLong(Deadline::at).thenComparing(Deadline::name));
    private final Map<String, Deadline> byName = new HashMap<>();

    /** Sets a lease's deadline in place of the one before. */
    void set(String name, long at) {
        remove(name);
        Deadline deadline = new Deadline(at, name);
        byName.put(name, deadline);
        soonest.add(deadline);
    }

    void remove(String name) {
        Deadline before = byName.remove(name);
        if (before != null) {
            soonest.remove(before);
        }
    }

    /** The soonest of all; {@link Long#MAX_VALUE}: there is none. */
    long next() {
        return soonest.isEmpty() ? Long.MAX_VALUE : soonest.first().at();
    }

    /** Removes the soonest that is not after {@code now}, and names its lease; null: none is. */
    String pollDue(long now) {
        if (soonest.isEmpty() || soonest.first().at() > now) {
            return null;
        }
        String name = soonest.pollFirst().name();
        byName.remove(name);
        return name;
    }
}

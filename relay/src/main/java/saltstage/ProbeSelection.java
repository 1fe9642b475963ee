package saltstage;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.function.Predicate;
import saltstage.State.Host;

/**
 * Which servers a node probes: all of them, or in a wide fleet those that matter to it, in this
 * order: that hold its connections, that a request was lately considered for, that are cold or have
 * failed.
 */
final class ProbeSelection {
    private static final long CHOOSE_EVERY_US = 1_000_000;

    /** After a request might have gone there. */
    private static final long CONSIDERED_US = 10_000_000;

    private static final int NO_CONCERN = 3;

    private final Predicate<Host> cold;
    private List<Host> chosen = List.of();
    private long chosenAt = Long.MIN_VALUE / 2;

    ProbeSelection(Predicate<Host> cold) {
        this.cold = cold;
    }

    /** Of these servers, the ones to probe at this time. */
    Collection<Host> of(Collection<Host> hosts, long now) {
        if (hosts.size() <= Api.MOST_PROBED) {
            return hosts;
        }
        if (now - chosenAt >= CHOOSE_EVERY_US) {
            chosenAt = now;
            chosen =
                    hosts.stream()
                            .filter(h -> concern(h, now) < NO_CONCERN)
                            .sorted(
                                    Comparator.comparingInt((Host h) -> concern(h, now))
                                            .thenComparing(
                                                    Comparator.comparingLong(
                                                                    (Host h) -> h.consideredAt)
                                                            .reversed())
                                            .thenComparingLong(h -> h.hash))
                            .limit(Api.MOST_PROBED)
                            .toList();
        }
        return chosen;
    }

    private int concern(Host h, long now) {
        if (!h.open.isEmpty()) {
            return 0;
        }
        if (now - h.consideredAt < CONSIDERED_US) {
            return 1;
        }
        return cold.test(h) || h.strikes > 0 ? 2 : NO_CONCERN;
    }
}

package saltstage;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.function.Predicate;
import saltstage.BalancerState.BackendState;

/**
 * Which servers a node probes: all of them, or in a wide fleet those that matter to it, in this
 * order: that hold its connections, that a request was lately considered for, that are cold or have
 * failed.
 */
final class ProbeSelection {
    private static final long SELECTION_INTERVAL_MICROS = 1_000_000;

    /** After a request might have gone there. */
    private static final long MAX_CONSIDERED_AGE_MICROS = 10_000_000;

    private static final int NOT_SELECTED = 3;

    private final Predicate<BackendState> isCold;
    private List<BackendState> selected = List.of();
    private long selectedAt = Long.MIN_VALUE / 2;

    ProbeSelection(Predicate<BackendState> cold) {
        this.isCold = cold;
    }

    /** Of these servers, the ones to probe at this time. */
    Collection<BackendState> select(Collection<BackendState> hosts, long now) {
        if (hosts.size() <= Api.MAX_PROBED_BACKENDS) {
            return hosts;
        }
        if (now - selectedAt >= SELECTION_INTERVAL_MICROS) {
            selectedAt = now;
            selected =
                    hosts.stream()
                            .filter(h -> priority(h, now) < NOT_SELECTED)
                            .sorted(
                                    Comparator.comparingInt((BackendState h) -> priority(h, now))
                                            .thenComparing(
                                                    Comparator.comparingLong(
                                                                    (BackendState h) ->
                                                                            h.lastConsideredAt)
                                                            .reversed())
                                            .thenComparingLong(h -> h.hash))
                            .limit(Api.MAX_PROBED_BACKENDS)
                            .toList();
        }
        return selected;
    }

    private int priority(BackendState h, long now) {
        if (!h.establishedRequests.isEmpty()) {
            return 0;
        }
        if (now - h.lastConsideredAt < MAX_CONSIDERED_AGE_MICROS) {
            return 1;
        }
        return isCold.test(h) || h.consecutiveFailures > 0 ? 2 : NOT_SELECTED;
    }
}

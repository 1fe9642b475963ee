package saltstage;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.function.Predicate;
import saltstage.BalancerState.BackendState;

/**
 * Selects the backends that a relay probes: all of them, or in a wide fleet those that matter to
 * it. These are, in order, backends with connections of this relay, backends that were lately
 * considered for a request, and backends that are cold or have failed.
 */
final class ProbeSelection {
    private static final long SELECTION_INTERVAL_MICROS = 1_000_000;

    /** How long a backend counts as lately considered after a request could have gone there. */
    private static final long MAX_CONSIDERED_AGE_MICROS = 10_000_000;

    private static final int NOT_SELECTED = 3;

    private final Predicate<BackendState> isCold;
    private List<BackendState> selected = List.of();
    private long selectedAt = Long.MIN_VALUE / 2;

    ProbeSelection(Predicate<BackendState> isCold) {
        this.isCold = isCold;
    }

    /** Returns the backends to probe at this time. */
    Collection<BackendState> select(Collection<BackendState> backends, long now) {
        if (backends.size() <= Api.MAX_PROBED_BACKENDS) {
            return backends;
        }
        if (now - selectedAt >= SELECTION_INTERVAL_MICROS) {
            selectedAt = now;
            selected =
                    backends.stream()
                            .filter(backend -> priority(backend, now) < NOT_SELECTED)
                            .sorted(
                                    Comparator.comparingInt(
                                                    (BackendState backend) ->
                                                            priority(backend, now))
                                            .thenComparing(
                                                    Comparator.comparingLong(
                                                                    (BackendState backend) ->
                                                                            backend.lastConsideredAt)
                                                            .reversed())
                                            .thenComparingLong(backend -> backend.hash))
                            .limit(Api.MAX_PROBED_BACKENDS)
                            .toList();
        }
        return selected;
    }

    private int priority(BackendState backend, long now) {
        if (!backend.establishedRequests.isEmpty()) {
            return 0;
        }
        if (now - backend.lastConsideredAt < MAX_CONSIDERED_AGE_MICROS) {
            return 1;
        }
        return isCold.test(backend) || backend.consecutiveFailures > 0 ? 2 : NOT_SELECTED;
    }
}

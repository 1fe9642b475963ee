package saltstage.coordinator.window;

import java.util.HashSet;
import java.util.Set;
import java.util.TreeSet;

/** Checks requests for windows against the plan and against the limits on their size. */
final class WindowRequestValidator {
    /** How many nodes, predecessors or exclusion words a request may name. */
    private static final int MAX_LIST_SIZE = 1_000;

    /** A moment in the year 2100; keeps sums of times far below the overflow of a long. */
    private static final long MAX_END_MS = 4_102_444_800_000L;

    private static final long MAX_DURATION_MS = 7L * 86_400_000;

    private WindowRequestValidator() {}

    /** Returns the first error in a request, or null if it is valid. */
    static String validationError(WindowRequest request, FleetPlan plan) {
        FleetPlan.Region region = plan.region(request.region());
        if (region == null) {
            return "no region " + request.region();
        }
        if (isTooLarge(request)) {
            return "a window names up to " + MAX_LIST_SIZE + " of each, and ends by " + MAX_END_MS;
        }
        Set<String> regionNodes =
                new TreeSet<>(region.nodes().stream().map(FleetPlan.Node::id).toList());
        if (request.nodes().isEmpty()
                || !regionNodes.containsAll(request.nodes())
                || new HashSet<>(request.nodes()).size() < request.nodes().size()) {
            return "a window takes nodes of its region, each once; "
                    + request.region()
                    + " has "
                    + regionNodes;
        }
        if (hasInvalidDuration(request)) {
            return "a window lasts up to seven days, and no part of it is negative";
        }
        if (isBlank(request.by()) || isBlank(request.purpose())) {
            return "who asks, and what for, must be said";
        }
        return request.latest() - request.earliest() < request.durationMs()
                ? "it is longer than the time given"
                : null;
    }

    private static boolean isTooLarge(WindowRequest request) {
        return request.nodes().size() > MAX_LIST_SIZE
                || request.after().size() > MAX_LIST_SIZE
                || request.apart().size() > MAX_LIST_SIZE
                || request.earliest() < 0
                || request.latest() > MAX_END_MS;
    }

    private static boolean hasInvalidDuration(WindowRequest request) {
        return isOutOfRange(request.drainMs(), 0)
                || isOutOfRange(request.workMs(), 0)
                || isOutOfRange(request.warmMs(), 0)
                || isOutOfRange(request.durationMs(), 1);
    }

    private static boolean isOutOfRange(long durationMs, long minMs) {
        return durationMs < minMs || durationMs > MAX_DURATION_MS;
    }

    private static boolean isBlank(String text) {
        return text == null || text.isBlank();
    }
}

package saltstage.coordinator.window;

import java.util.HashSet;
import java.util.Set;
import java.util.TreeSet;

/** Checks requests for windows against the plan and against the limits on their size. */
final class WindowRequestValidator {
    /** The most nodes, predecessors or exclusion words that a request names. */
    private static final int MAX_PARTS = 1_000;

    /** In the year 2100: sums of times stay far from where they would overflow. */
    private static final long LAST_DAY_MS = 4_102_444_800_000L;

    private static final long MAX_DURATION_MS = 7L * 86_400_000;

    private WindowRequestValidator() {}

    /** What is wrong with a request, or null. */
    static String fault(WindowRequest request, FleetPlan plan) {
        FleetPlan.Region region = plan.region(request.region());
        if (region == null) {
            return "no region " + request.region();
        }
        if (tooLarge(request)) {
            return "a window names up to " + MAX_PARTS + " of each, and ends by " + LAST_DAY_MS;
        }
        Set<String> known = new TreeSet<>(region.nodes().stream().map(FleetPlan.Node::id).toList());
        if (request.nodes().isEmpty()
                || !known.containsAll(request.nodes())
                || new HashSet<>(request.nodes()).size() < request.nodes().size()) {
            return "a window takes nodes of its region, each once; "
                    + request.region()
                    + " has "
                    + known;
        }
        if (badDuration(request)) {
            return "a window lasts up to seven days, and no part of it is negative";
        }
        if (blank(request.by()) || blank(request.purpose())) {
            return "who asks, and what for, must be said";
        }
        return request.latest() - request.earliest() < request.durationMs()
                ? "it is longer than the time given"
                : null;
    }

    private static boolean tooLarge(WindowRequest request) {
        return request.nodes().size() > MAX_PARTS
                || request.after().size() > MAX_PARTS
                || request.apart().size() > MAX_PARTS
                || request.earliest() < 0
                || request.latest() > LAST_DAY_MS;
    }

    private static boolean badDuration(WindowRequest request) {
        return outOfRange(request.drainMs(), 0)
                || outOfRange(request.workMs(), 0)
                || outOfRange(request.warmMs(), 0)
                || outOfRange(request.durationMs(), 1);
    }

    private static boolean outOfRange(long durationMs, long leastMs) {
        return durationMs < leastMs || durationMs > MAX_DURATION_MS;
    }

    private static boolean blank(String text) {
        return text == null || text.isBlank();
    }
}

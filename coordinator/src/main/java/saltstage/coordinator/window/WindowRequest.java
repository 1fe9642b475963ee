package saltstage.coordinator.window;

import java.util.List;
import java.util.TreeSet;

/**
 * A request for a maintenance window.
 *
 * @param nodes the nodes of the region that are to be taken out of service
 * @param drainMs how long moving their connections out may take
 * @param workMs how long the nodes are out
 * @param warmMs how long the nodes take to warm up
 * @param earliest the earliest start, in milliseconds since 1970
 * @param latest the latest end, with all nodes warm again, in milliseconds since 1970
 * @param priority windows of higher priority are planned first
 * @param emergency whether the window may displace planned windows of any priority, although it
 *     never breaches a floor
 * @param split whether the nodes may go in several windows
 * @param after numbers of the windows that must be over before this one begins
 * @param apart exclusion words; windows that share one never overlap
 * @param by who requests the window
 * @param purpose the reason for the window; the same nodes and purpose mean the same window
 */
public record WindowRequest(
        String region,
        List<String> nodes,
        long drainMs,
        long workMs,
        long warmMs,
        long earliest,
        long latest,
        int priority,
        boolean emergency,
        boolean split,
        List<Long> after,
        List<String> apart,
        String by,
        String purpose) {
    /** The total duration in milliseconds. */
    public long durationMs() {
        return drainMs + workMs + warmMs;
    }

    /** Returns the same request for some of the nodes only. */
    WindowRequest withNodes(List<String> subset) {
        return new WindowRequest(
                region, subset, drainMs, workMs, warmMs, earliest, latest, priority, emergency,
                split, after, apart, by, purpose);
    }

    /** Returns the same request, not split, with a later latest end. */
    WindowRequest withMoreTime(long extraMs) {
        return new WindowRequest(
                region,
                nodes,
                drainMs,
                workMs,
                warmMs,
                earliest,
                latest + extraMs,
                priority,
                emergency,
                false,
                after,
                apart,
                by,
                purpose);
    }

    /** Whether the other request names the same nodes and the same purpose. */
    boolean isEquivalentTo(WindowRequest other) {
        return region.equals(other.region)
                && purpose.equals(other.purpose)
                && new TreeSet<>(nodes).equals(new TreeSet<>(other.nodes));
    }
}

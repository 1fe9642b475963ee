package saltstage.coordinator.window;

import java.util.List;
import java.util.TreeSet;

/**
 * A request for a maintenance window.
 *
 * @param nodes those of the region that shall be out
 * @param drainMs how long moving their connections out may take
 * @param workMs how long they are out
 * @param warmMs how long they take to be warm again
 * @param earliest not before, milliseconds since 1970
 * @param latest over by then, warm again
 * @param priority the higher goes first
 * @param emergency may put planned ones off, whatever their priority; never goes under a floor
 * @param split whether the nodes may go in several windows
 * @param after windows that must be over before it begins
 * @param apart never at the same time as another window that has one of these words
 * @param by who asks
 * @param purpose what for; the same nodes for the same purpose are the same window
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
    /** How long it takes in all, in milliseconds. */
    public long durationMs() {
        return drainMs + workMs + warmMs;
    }

    /** The same for some of the nodes only. */
    WindowRequest withNodes(List<String> some) {
        return new WindowRequest(
                region, some, drainMs, workMs, warmMs, earliest, latest, priority, emergency, split,
                after, apart, by, purpose);
    }

    /** The same as a whole, with so much more time until it must be over. */
    WindowRequest withMoreTime(long moreMs) {
        return new WindowRequest(
                region,
                nodes,
                drainMs,
                workMs,
                warmMs,
                earliest,
                latest + moreMs,
                priority,
                emergency,
                false,
                after,
                apart,
                by,
                purpose);
    }

    /** Whether it asks for the same nodes for the same purpose. */
    boolean isEquivalentTo(WindowRequest other) {
        return region.equals(other.region)
                && purpose.equals(other.purpose)
                && new TreeSet<>(nodes).equals(new TreeSet<>(other.nodes));
    }
}

package saltstage.coordinator.window;

import java.util.List;

/**
 * What an operator wants done.
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
 * @param purpose what for; the same wish for the same purpose is the same window
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

    WindowRequest of(List<String> some) {
        return new WindowRequest(
                region, some, drainMs, workMs, warmMs, earliest, latest, priority, emergency, split,
                after, apart, by, purpose);
    }

    boolean sameAs(WindowRequest other) {
        return region.equals(other.region)
                && purpose.equals(other.purpose)
                && List.copyOf(new java.util.TreeSet<>(nodes))
                        .equals(List.copyOf(new java.util.TreeSet<>(other.nodes)));
    }
}

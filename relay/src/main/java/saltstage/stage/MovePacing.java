package saltstage.stage;

import java.time.Duration;

/** How fast clients that have to leave are moved: evenly over the time there is, not as a flood. */
public final class MovePacing {
    private MovePacing() {}

    /**
     * How many of those that stand to move in this step, so that none is left when the time is up.
     */
    public static long movesPerStep(int standing, Duration left, Duration step) {
        long steps = Math.max(1, left.toMillis() / step.toMillis());
        return (standing + steps - 1) / steps;
    }
}

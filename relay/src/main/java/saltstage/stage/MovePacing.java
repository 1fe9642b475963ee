package saltstage.stage;

import java.time.Duration;

/** Computes how fast clients are moved away: evenly over the available time, not all at once. */
public final class MovePacing {
    private MovePacing() {}

    /**
     * Returns how many established connections to move in this step, so that none is left when the
     * time is up.
     */
    public static long movesPerStep(int establishedCount, Duration remaining, Duration step) {
        long steps = Math.max(1, remaining.toMillis() / step.toMillis());
        return (establishedCount + steps - 1) / steps;
    }
}

package saltstage.session;

import java.time.Instant;

/**
 * The only clock of the relay: the wall time at the start plus the time passed on the monotonic
 * clock, so that durations are exact even when the wall clock is stepped.
 */
public final class MonotonicClock {
    private final Instant wallStart = Instant.now();
    private final long nanoStart = System.nanoTime();

    /** Returns the current time. */
    public Instant now() {
        return wallStart.plusNanos(System.nanoTime() - nanoStart);
    }
}

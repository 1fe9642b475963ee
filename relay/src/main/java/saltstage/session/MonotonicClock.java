package saltstage.session;

import java.time.Instant;

/**
 * The relay's one clock: wall time at the start, carried on by the monotonic clock, so spans are
 * true.
 */
public final class MonotonicClock {
    private final Instant wallStart = Instant.now();
    private final long nanoStart = System.nanoTime();

    /** The time now. */
    public Instant now() {
        return wallStart.plusNanos(System.nanoTime() - nanoStart);
    }
}

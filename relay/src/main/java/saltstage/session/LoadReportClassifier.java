package saltstage.session;

import java.time.Duration;
import java.time.Instant;

/**
 * Distinguishes the two kinds of values that a backend reports in LOAD lines. A load is in
 * microseconds of work per second and is reported whenever it changes. A message delay is in
 * milliseconds and is reported on one connection every second while it is long, and once more
 * afterwards: always at the same offset within the second, whole seconds apart.
 */
final class LoadReportClassifier {
    /** Values from here on are loads: no queue in which clients still wait is five seconds long. */
    private static final double MAX_DELAY_MILLIS = 5_000;

    /** A core provides 1,000,000; the smallest loads observed are 714, 789 and 944. */
    private static final double MIN_LOAD_MICROS_PER_SECOND = 500;

    /**
     * A small value may be a load as well, but not on a connection whose last load was more than
     * this many times larger.
     */
    private static final double MAX_LOAD_DROP_FACTOR = 20;

    private static final long REPORT_INTERVAL_MILLIS = 1_000;

    /** Reports were observed within 10 ms of their offset within the second. */
    private static final long INTERVAL_TOLERANCE_MILLIS = 20;

    private static final Duration MAX_REPORT_AGE = Duration.ofMinutes(1);

    private Instant lastDelayAt;
    private Instant lastAmbiguousAt;
    private Attempt lastAmbiguousAttempt;

    /** Returns whether this value, reported on this connection, is a message delay. */
    boolean isDelay(Attempt attempt, double value, Instant now) {
        boolean delay =
                value < MAX_DELAY_MILLIS
                        && (isPeriodic(lastDelayAt, now, MAX_REPORT_AGE)
                                || lastAmbiguousAttempt == attempt
                                        && isPeriodic(
                                                lastAmbiguousAt,
                                                now,
                                                Duration.ofMillis(
                                                        REPORT_INTERVAL_MILLIS
                                                                + INTERVAL_TOLERANCE_MILLIS))
                                || value < MIN_LOAD_MICROS_PER_SECOND
                                        && value * MAX_LOAD_DROP_FACTOR < attempt.load());
        if (delay) {
            lastDelayAt = now;
        } else if (value < MAX_DELAY_MILLIS) {
            lastAmbiguousAt = now;
            lastAmbiguousAttempt = attempt;
        }
        return delay;
    }

    private static boolean isPeriodic(Instant last, Instant now, Duration maxAge) {
        if (last == null) {
            return false;
        }
        Duration elapsed = Duration.between(last, now);
        long offset = (elapsed.toMillis() + INTERVAL_TOLERANCE_MILLIS) % REPORT_INTERVAL_MILLIS;
        return offset <= 2 * INTERVAL_TOLERANCE_MILLIS
                && elapsed.toMillis() > INTERVAL_TOLERANCE_MILLIS
                && elapsed.compareTo(maxAge) <= 0;
    }
}

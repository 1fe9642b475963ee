package saltstage.session;

import java.time.Duration;
import java.time.Instant;

/**
 * Tells a backend's two kinds of figures apart; both come as LOAD. A load is in microseconds of
 * work a second and comes whenever it changes. A message delay is in milliseconds and comes on one
 * connection, each second while it is long and once more after: always at the same part of the
 * second, with whole seconds between.
 */
final class LoadReportClassifier {
    /**
     * From here on a figure is a load: no queue that clients still wait in is five seconds long.
     */
    private static final double MAX_DELAY_MILLIS = 5_000;

    private static final double MIN_LOAD_MICROS_PER_SECOND =
            500; // of 1,000,000 a core; the least loads seen: 714, 789, 944

    /**
     * A small load may come too: but not on a connection that asked for so many times more before.
     */
    private static final double MAX_LOAD_DROP_FACTOR = 20;

    private static final long REPORT_INTERVAL_MILLIS = 1_000;
    private static final long INTERVAL_TOLERANCE_MILLIS =
            20; // tellings were seen within 10 ms of their part of the second
    private static final Duration MAX_REPORT_AGE = Duration.ofMinutes(1);

    private Instant lastDelayAt;
    private Instant lastAmbiguousAt;
    private Attempt lastAmbiguousAttempt;

    /** Whether this figure, told on this connection, is a delay. */
    boolean isDelay(Attempt on, double figure, Instant now) {
        boolean delay =
                figure < MAX_DELAY_MILLIS
                        && (isPeriodic(lastDelayAt, now, MAX_REPORT_AGE)
                                || lastAmbiguousAttempt == on
                                        && isPeriodic(
                                                lastAmbiguousAt,
                                                now,
                                                Duration.ofMillis(
                                                        REPORT_INTERVAL_MILLIS
                                                                + INTERVAL_TOLERANCE_MILLIS))
                                || figure < MIN_LOAD_MICROS_PER_SECOND
                                        && figure * MAX_LOAD_DROP_FACTOR < on.load());
        if (delay) {
            lastDelayAt = now;
        } else if (figure < MAX_DELAY_MILLIS) {
            lastAmbiguousAt = now;
            lastAmbiguousAttempt = on;
        }
        return delay;
    }

    private static boolean isPeriodic(Instant last, Instant now, Duration memory) {
        if (last == null) {
            return false;
        }
        Duration since = Duration.between(last, now);
        long off = (since.toMillis() + INTERVAL_TOLERANCE_MILLIS) % REPORT_INTERVAL_MILLIS;
        return off <= 2 * INTERVAL_TOLERANCE_MILLIS
                && since.toMillis() > INTERVAL_TOLERANCE_MILLIS
                && since.compareTo(memory) <= 0;
    }
}

package saltstage.memory;

import java.time.Duration;
import java.time.Instant;

/**
 * Tells a backend's two kinds of figures apart; both come as LOAD. A load is in microseconds of
 * work a second and comes whenever it changes. A message delay is in milliseconds and comes on one
 * connection, each second while it is long and once more after: always at the same part of the
 * second, with whole seconds between.
 */
final class Teller {
    /**
     * From here on a figure is a load: no queue that clients still wait in is five seconds long.
     */
    private static final double MOST_DELAY = 5_000;

    private static final double LEAST_LOAD =
            500; // of 1,000,000 a core; the least loads seen: 714, 789, 944

    /**
     * A small load may come too: but not on a connection that asked for so many times more before.
     */
    private static final double MOST_DROP = 20;

    private static final long RHYTHM_MS = 1_000;
    private static final long SLACK_MS =
            20; // tellings were seen within 10 ms of their part of the second
    private static final Duration MEMORY = Duration.ofMinutes(1);

    private Instant delayAt;
    private Instant doubtfulAt;
    private Try doubtful;

    /** Whether this figure, told on this connection, is a delay. */
    boolean isDelay(Try on, double figure, Instant now) {
        boolean delay =
                figure < MOST_DELAY
                        && (inRhythm(delayAt, now, MEMORY)
                                || doubtful == on
                                        && inRhythm(
                                                doubtfulAt,
                                                now,
                                                Duration.ofMillis(RHYTHM_MS + SLACK_MS))
                                || figure < LEAST_LOAD && figure * MOST_DROP < on.load());
        if (delay) {
            delayAt = now;
        } else if (figure < MOST_DELAY) {
            doubtfulAt = now;
            doubtful = on;
        }
        return delay;
    }

    private static boolean inRhythm(Instant last, Instant now, Duration memory) {
        if (last == null) {
            return false;
        }
        Duration since = Duration.between(last, now);
        long off = (since.toMillis() + SLACK_MS) % RHYTHM_MS;
        return off <= 2 * SLACK_MS && since.toMillis() > SLACK_MS && since.compareTo(memory) <= 0;
    }
}

package saltstage.lifecycle;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import saltstage.log.Log;
import saltstage.session.Attempt;
import saltstage.session.MonotonicClock;
import saltstage.stage.Frontend;
import saltstage.stage.MovePacing;
import saltstage.stage.RelayPipeline;

/**
 * The end after SIGTERM. SIGKILL comes 0.7 s after the longest deadline at the earliest, which
 * counts as 3 s where it is longer. New clients are taken as before; those that stand are moved a
 * few at a time, not at once: one that is moved sooner has nowhere to go where the other relay is
 * only just starting. What still waits is rejected after that, and all is over 0.5 s before
 * SIGKILL. A relay whose core is busy with a crowd hears of SIGTERM up to 0.4 s late and moves 170
 * clients no faster than in a second: the rest is for that.
 */
final class Drain {
    private static final Duration MAX_DEADLINE = Duration.ofSeconds(3);
    private static final Duration DEADLINE_MARGIN = Duration.ofMillis(600);
    private static final Duration MOVE_PERIOD = Duration.ofMillis(1_600);
    private static final Duration REJECT_PERIOD = Duration.ofMillis(800);

    /** New clients come for up to 0.4 s more; the front then sends them elsewhere. */
    private static final Duration MIN_DRAIN_TIME = Duration.ofMillis(900);

    /** So long who has been told that the relay ends may take to hang up. */
    private static final Duration DISCONNECT_TIMEOUT = Duration.ofMillis(400);

    private static final Duration POLL_INTERVAL = Duration.ofMillis(50);

    private final MonotonicClock clock;
    private final RelayPipeline pipeline;
    private final Instant start;
    private final Duration movesFrom;
    private final Duration movesUntil;
    private final Duration drainLimit;
    private final boolean hasSuccessor;

    /**
     * A drain that began so late after SIGTERM, as far as known; succeeded: another process serves.
     */
    Drain(
            MonotonicClock clock,
            RelayPipeline chain,
            Duration longestDeadline,
            Duration late,
            boolean succeeded) {
        this.hasSuccessor = succeeded;
        this.clock = clock;
        this.pipeline = chain;
        start = clock.now().minus(late);
        Duration most =
                longestDeadline.compareTo(MAX_DEADLINE) < 0 ? longestDeadline : MAX_DEADLINE;
        Duration last = notNegative(most.minus(DEADLINE_MARGIN));
        movesFrom = succeeded ? Duration.ZERO : notNegative(last.minus(MOVE_PERIOD));
        movesUntil = succeeded && MOVE_PERIOD.compareTo(last) < 0 ? MOVE_PERIOD : last;
        drainLimit = last.plus(REJECT_PERIOD);
    }

    void run() {
        Log.info(
                "drain.start",
                "late_ms",
                elapsed().toMillis(),
                "standing",
                pipeline.outcomeRecorder().establishedAttempts().size(),
                "clients",
                clientCount(),
                "succeeded",
                hasSuccessor);
        if (!hasSuccessor) { // else nobody comes any more, and who has come is served
            pipeline.frontends().forEach(Frontend::startDraining);
        }
        try {
            while (elapsed().compareTo(drainLimit) < 0 && !isDone()) {
                moveDueClients();
                if (elapsed().compareTo(drainLimit.minus(REJECT_PERIOD)) >= 0) {
                    rejectRemaining();
                }
                Thread.sleep(POLL_INTERVAL.toMillis());
            }
            Duration until = elapsed().plus(DISCONNECT_TIMEOUT);
            while (clientCount() > 0 && elapsed().compareTo(until) < 0) {
                rejectRemaining();
                Thread.sleep(POLL_INTERVAL.toMillis());
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        Log.info(
                "drain.over",
                "standing",
                pipeline.outcomeRecorder().establishedAttempts().size(),
                "clients",
                clientCount(),
                "after_ms",
                elapsed().toMillis());
    }

    /** Each time: who comes or asks after the first one has to be answered too. */
    private void rejectRemaining() {
        pipeline.rejectWaiting();
        pipeline.frontends().forEach(Frontend::rejectPendingClients);
    }

    private static Duration notNegative(Duration span) {
        return span.isNegative() ? Duration.ZERO : span;
    }

    private Duration elapsed() {
        return Duration.between(start, clock.now());
    }

    private int clientCount() {
        return pipeline.frontends().stream().mapToInt(Frontend::clientCount).sum();
    }

    private boolean isDone() {
        if (hasSuccessor) {
            return clientCount() == 0; // also those whose first line is still on its way
        }
        return elapsed().compareTo(MIN_DRAIN_TIME) > 0
                && pipeline.frontends().stream().allMatch(front -> front.requestCount() == 0);
    }

    /**
     * As many of those that stand as the steps that are left ask for, so that the others are not
     * flooded.
     */
    private void moveDueClients() {
        if (elapsed().compareTo(movesFrom) < 0) {
            return;
        }
        List<Attempt> standing = List.copyOf(pipeline.outcomeRecorder().establishedAttempts());
        long due =
                MovePacing.movesPerStep(
                        standing.size(), movesUntil.minus(elapsed()), POLL_INTERVAL);
        for (Attempt up : standing) {
            if (due <= 0) {
                break;
            }
            due -= pipeline.move(up, "relay leaves") ? 1 : 0;
        }
    }
}

package saltstage.lifecycle;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import saltstage.log.Log;
import saltstage.memory.MonotonicClock;
import saltstage.memory.Attempt;
import saltstage.stage.RelayPipeline;
import saltstage.stage.Frontend;
import saltstage.stage.MovePacing;

/**
 * The end after SIGTERM. SIGKILL comes 0.7 s after the longest deadline at the earliest, which
 * counts as 3 s where it is longer. New clients are taken as before; those that stand are moved a
 * few at a time, not at once: one that is moved sooner has nowhere to go where the other relay is
 * only just starting. What still waits is rejected after that, and all is over 0.5 s before
 * SIGKILL. A relay whose core is busy with a crowd hears of SIGTERM up to 0.4 s late and moves 170
 * clients no faster than in a second: the rest is for that.
 */
final class Drain {
    private static final Duration MOST_DEADLINE = Duration.ofSeconds(3);
    private static final Duration LATE = Duration.ofMillis(600);
    private static final Duration MOVES = Duration.ofMillis(1_600);
    private static final Duration AFTER_MOVES = Duration.ofMillis(800);

    /** New clients come for up to 0.4 s more; the front then sends them elsewhere. */
    private static final Duration AT_LEAST = Duration.ofMillis(900);

    /** So long who has been told that the relay ends may take to hang up. */
    private static final Duration HANG_UP = Duration.ofMillis(400);

    private static final Duration STEP = Duration.ofMillis(50);

    private final MonotonicClock clock;
    private final RelayPipeline chain;
    private final Instant start;
    private final Duration movesFrom;
    private final Duration movesUntil;
    private final Duration over;
    private final boolean succeeded;

    /**
     * A drain that began so late after SIGTERM, as far as known; succeeded: another process serves.
     */
    Drain(
            MonotonicClock clock,
            RelayPipeline chain,
            Duration longestDeadline,
            Duration late,
            boolean succeeded) {
        this.succeeded = succeeded;
        this.clock = clock;
        this.chain = chain;
        start = clock.now().minus(late);
        Duration most =
                longestDeadline.compareTo(MOST_DEADLINE) < 0 ? longestDeadline : MOST_DEADLINE;
        Duration last = notNegative(most.minus(LATE));
        movesFrom = succeeded ? Duration.ZERO : notNegative(last.minus(MOVES));
        movesUntil = succeeded && MOVES.compareTo(last) < 0 ? MOVES : last;
        over = last.plus(AFTER_MOVES);
    }

    void run() {
        Log.info(
                "drain.start",
                "late_ms",
                since().toMillis(),
                "standing",
                chain.outcomeRecorder().establishedAttempts().size(),
                "clients",
                clients(),
                "succeeded",
                succeeded);
        if (!succeeded) { // else nobody comes any more, and who has come is served
            chain.frontends().forEach(Frontend::startDraining);
        }
        try {
            while (since().compareTo(over) < 0 && !done()) {
                moveSome();
                if (since().compareTo(over.minus(AFTER_MOVES)) >= 0) {
                    refuse();
                }
                Thread.sleep(STEP.toMillis());
            }
            Duration until = since().plus(HANG_UP);
            while (clients() > 0 && since().compareTo(until) < 0) {
                refuse();
                Thread.sleep(STEP.toMillis());
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        Log.info(
                "drain.over",
                "standing",
                chain.outcomeRecorder().establishedAttempts().size(),
                "clients",
                clients(),
                "after_ms",
                since().toMillis());
    }

    /** Each time: who comes or asks after the first one has to be answered too. */
    private void refuse() {
        chain.rejectWaiting();
        chain.frontends().forEach(Frontend::rejectPendingClients);
    }

    private static Duration notNegative(Duration span) {
        return span.isNegative() ? Duration.ZERO : span;
    }

    private Duration since() {
        return Duration.between(start, clock.now());
    }

    private int clients() {
        return chain.frontends().stream().mapToInt(Frontend::clientCount).sum();
    }

    private boolean done() {
        if (succeeded) {
            return clients() == 0; // also those whose first line is still on its way
        }
        return since().compareTo(AT_LEAST) > 0
                && chain.frontends().stream().allMatch(front -> front.requestCount() == 0);
    }

    /**
     * As many of those that stand as the steps that are left ask for, so that the others are not
     * flooded.
     */
    private void moveSome() {
        if (since().compareTo(movesFrom) < 0) {
            return;
        }
        List<Attempt> standing = List.copyOf(chain.outcomeRecorder().establishedAttempts());
        long due = MovePacing.movesPerStep(standing.size(), movesUntil.minus(since()), STEP);
        for (Attempt up : standing) {
            if (due <= 0) {
                break;
            }
            due -= chain.move(up, "relay leaves") ? 1 : 0;
        }
    }
}

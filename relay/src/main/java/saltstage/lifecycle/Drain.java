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
 * The drain after SIGTERM. SIGKILL comes 0.7 s after the longest client deadline at the earliest,
 * and a deadline over 3 s counts as 3 s. New clients are accepted as before. Established clients
 * are moved a few at a time and late: a client that is moved sooner has nowhere to go while the
 * other relay is only just starting. Requests that still wait are rejected after that, and the
 * drain is over 0.5 s before SIGKILL. A relay whose core is busy with many clients handles SIGTERM
 * up to 0.4 s late and needs at least a second to move 170 clients; the remaining time allows for
 * that.
 */
final class Drain {
    private static final Duration MAX_DEADLINE = Duration.ofSeconds(3);
    private static final Duration DEADLINE_MARGIN = Duration.ofMillis(600);
    private static final Duration MOVE_PERIOD = Duration.ofMillis(1_600);
    private static final Duration REJECT_PERIOD = Duration.ofMillis(800);

    /** New clients arrive for up to 0.4 s more; after that they are directed to another relay. */
    private static final Duration MIN_DRAIN_TIME = Duration.ofMillis(900);

    /** How long clients may take to disconnect after they were informed of the shutdown. */
    private static final Duration DISCONNECT_TIMEOUT = Duration.ofMillis(400);

    private static final Duration POLL_INTERVAL = Duration.ofMillis(50);

    private final MonotonicClock clock;
    private final RelayPipeline pipeline;
    private final Instant start;
    private final Duration movesStart;
    private final Duration movesEnd;
    private final Duration drainLimit;
    private final boolean hasSuccessor;

    /**
     * Creates a drain.
     *
     * @param lateness the estimated time between SIGTERM and now
     * @param hasSuccessor whether another process of this relay already serves
     */
    Drain(
            MonotonicClock clock,
            RelayPipeline pipeline,
            Duration longestDeadline,
            Duration lateness,
            boolean hasSuccessor) {
        this.hasSuccessor = hasSuccessor;
        this.clock = clock;
        this.pipeline = pipeline;
        start = clock.now().minus(lateness);
        Duration maxDeadline =
                longestDeadline.compareTo(MAX_DEADLINE) < 0 ? longestDeadline : MAX_DEADLINE;
        Duration lastMove = notNegative(maxDeadline.minus(DEADLINE_MARGIN));
        movesStart = hasSuccessor ? Duration.ZERO : notNegative(lastMove.minus(MOVE_PERIOD));
        movesEnd = hasSuccessor && MOVE_PERIOD.compareTo(lastMove) < 0 ? MOVE_PERIOD : lastMove;
        drainLimit = lastMove.plus(REJECT_PERIOD);
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
        // A successor accepts all new clients, and pending clients of this process are still
        // served.
        pipeline.frontends()
                .forEach(hasSuccessor ? Frontend::startHandover : Frontend::startDraining);
        try {
            while (elapsed().compareTo(drainLimit) < 0 && !isDone()) {
                moveDueClients();
                if (elapsed().compareTo(drainLimit.minus(REJECT_PERIOD)) >= 0) {
                    rejectRemaining();
                }
                Thread.sleep(POLL_INTERVAL.toMillis());
            }
            Duration disconnectDeadline = elapsed().plus(DISCONNECT_TIMEOUT);
            while (clientCount() > 0 && elapsed().compareTo(disconnectDeadline) < 0) {
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

    /**
     * Rejects all waiting requests and pending clients. Repeated, as clients that arrive later need
     * an answer too.
     */
    private void rejectRemaining() {
        pipeline.rejectWaiting();
        pipeline.frontends().forEach(Frontend::rejectPendingClients);
    }

    private static Duration notNegative(Duration duration) {
        return duration.isNegative() ? Duration.ZERO : duration;
    }

    private Duration elapsed() {
        return Duration.between(start, clock.now());
    }

    private int clientCount() {
        return pipeline.frontends().stream().mapToInt(Frontend::clientCount).sum();
    }

    private boolean isDone() {
        if (hasSuccessor) {
            return clientCount() == 0; // counts pending clients too
        }
        return elapsed().compareTo(MIN_DRAIN_TIME) > 0
                && pipeline.frontends().stream().allMatch(frontend -> frontend.requestCount() == 0);
    }

    /**
     * Moves the share of the established clients that is due in this step. Spreading the moves
     * keeps the other relays from being flooded.
     */
    private void moveDueClients() {
        if (elapsed().compareTo(movesStart) < 0) {
            return;
        }
        List<Attempt> established = List.copyOf(pipeline.outcomeRecorder().establishedAttempts());
        long movesDue =
                MovePacing.movesPerStep(
                        established.size(), movesEnd.minus(elapsed()), POLL_INTERVAL);
        for (Attempt attempt : established) {
            if (movesDue <= 0) {
                break;
            }
            movesDue -= pipeline.move(attempt, "relay leaves") ? 1 : 0;
        }
    }
}

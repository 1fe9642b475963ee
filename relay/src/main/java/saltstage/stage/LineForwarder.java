package saltstage.stage;

import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import saltstage.Api.Outcome;
import saltstage.log.Log;
import saltstage.session.Attempt;
import saltstage.session.MonotonicClock;
import saltstage.session.RequestContext.Phase;
import saltstage.session.Timers;
import saltstage.wire.BackendMessage;
import saltstage.wire.LineConnection;

/**
 * Forwards the lines of established connections in both directions, whole and unchanged, and ends
 * or moves the connections. After UP, only the attempt's thread writes to the client, so MOVE is
 * always sent between two lines.
 */
final class LineForwarder {
    /**
     * How long a connection stays open after its output has ended. Closing it with unread input
     * would reset it, and data that was sent before could be lost.
     */
    private static final Duration LINGER = Duration.ofMillis(800);

    /** A moved connection is closed after this time, even if the client reads nothing any more. */
    private static final Duration MOVE_TIMEOUT = Duration.ofMillis(1_200);

    private static final Duration PARTIAL_LINE_TIMEOUT = Duration.ofMillis(300);

    /**
     * Clients send a message every 2 s, and a backend answers at once (within 0.15 ms, even when it
     * is overloaded). A client may go at most 7 s without a response: the 2 s, this timeout, one
     * check interval and the rest of a line stay well within that.
     */
    private static final Duration BACKEND_RESPONSE_TIMEOUT = Duration.ofSeconds(3);

    private static final Duration BACKEND_CLOSE_DELAY = Duration.ofSeconds(3);

    private final MonotonicClock clock;
    private final Timers timers;
    private final OutcomeRecorder outcomeRecorder;

    LineForwarder(MonotonicClock clock, Timers timers, OutcomeRecorder outcomeRecorder) {
        this.clock = clock;
        this.timers = timers;
        this.outcomeRecorder = outcomeRecorder;
    }

    /** Forwards UP to the client. */
    Outcome forwardUp(Attempt attempt, byte[] piece) {
        try {
            client(attempt).send(piece);
        } catch (IOException e) {
            attempt.markClientEnded();
        }
        return null;
    }

    /** Forwards the backend's lines until one side ends or the client is moved. */
    void forwardFromBackend(Attempt attempt) {
        Outcome outcome = Outcome.RESET;
        try {
            outcome = forwardLines(attempt);
        } finally {
            outcomeRecorder.connectionEnded(attempt, outcome);
        }
    }

    private Outcome forwardLines(Attempt attempt) {
        LineConnection backend = backendConnection(attempt);
        BackendMessage.Kind lastKind = BackendMessage.Kind.OTHER;
        boolean midLine = false;
        boolean reset = false;
        try {
            while (attempt.moveReason() == null || midLine) {
                byte[] piece = backend.reader().readLine();
                if (piece == null) {
                    break;
                }
                boolean completeLine = piece[piece.length - 1] == '\n';
                if (!completeLine && !midLine && attempt.moveReason() != null) {
                    // The line was cut off when the backend's input was shut down. The client has
                    // received no part of it and can still get its MOVE.
                    break;
                }
                BackendMessage message = BackendMessage.parse(piece);
                lastKind = message.kind();
                midLine = !completeLine;
                outcomeRecorder.lineReceived(attempt, message);
                if (!sendToClient(attempt, piece)) {
                    return endAfterClientLoss(attempt);
                }
            }
        } catch (IOException e) {
            reset = true;
        }
        if (attempt.moveReason() != null && !attempt.hasClientEnded() && !midLine) {
            return finishMove(attempt);
        }
        return endAfterBackend(attempt, lastKind, reset);
    }

    private boolean sendToClient(Attempt attempt, byte[] piece) {
        attempt.setWritingToClient(true);
        try {
            client(attempt).send(piece);
            return true;
        } catch (IOException e) {
            return false;
        } finally {
            attempt.setWritingToClient(false);
        }
    }

    private Outcome endAfterClientLoss(Attempt attempt) {
        attempt.context().end(Phase.ESTABLISHED);
        backendConnection(attempt).reset();
        client(attempt).close();
        return Outcome.CANCELLED;
    }

    private Outcome finishMove(Attempt attempt) {
        LineClient client = client(attempt);
        // MOVE is sent before the request's end is recorded. After that, the client would be
        // disconnected if it sent something.
        try {
            client.sendLine("MOVE");
        } catch (IOException e) {
            attempt.markClientEnded();
        }
        attempt.context().end(Phase.ESTABLISHED);
        backendConnection(attempt).close();
        client.shutdownOutput();
        timers.schedule(LINGER, client::close);
        return attempt.moveReason().startsWith("peer") ? Outcome.RESET : Outcome.CANCELLED;
    }

    private Outcome endAfterBackend(Attempt attempt, BackendMessage.Kind lastKind, boolean reset) {
        LineClient client = client(attempt);
        boolean endAnnounced =
                lastKind == BackendMessage.Kind.BYE || lastKind == BackendMessage.Kind.MOVE;
        boolean clientEndedFirst = attempt.hasClientEnded();
        if (reset && !endAnnounced && !clientEndedFirst) {
            attempt.context().end(Phase.ESTABLISHED);
            client.reset();
            backendConnection(attempt).close();
            return Outcome.RESET;
        }
        // Half-close: what the client still sends is forwarded to the backend for a moment.
        client.shutdownOutput();
        if (clientEndedFirst) {
            attempt.context().end(Phase.ESTABLISHED);
            client.close();
            backendConnection(attempt).close();
        } else {
            timers.schedule(
                    LINGER,
                    () -> {
                        attempt.context().end(Phase.ESTABLISHED);
                        client.close();
                        backendConnection(attempt).close();
                    });
        }
        if (lastKind == BackendMessage.Kind.BYE) {
            return Outcome.SERVED;
        }
        return clientEndedFirst || lastKind == BackendMessage.Kind.MOVE
                ? Outcome.CANCELLED
                : Outcome.RESET;
    }

    /**
     * Forwards input from the client to the backend. If the write fails, the thread that reads from
     * the backend notices the end.
     */
    void sendToBackend(Attempt attempt, byte[] piece) {
        try {
            attempt.lineSent(clock.now());
            backendConnection(attempt).send(piece);
        } catch (IOException e) {
            return;
        }
    }

    /** Passes the client's end of input, or its reset, on to the backend. */
    void handleClientEnd(Attempt attempt, boolean reset) {
        attempt.markClientEnded();
        LineConnection backend = backendConnection(attempt);
        if (backend == null || attempt.context().phase() != Phase.ESTABLISHED) {
            return;
        }
        if (reset) {
            backend.reset();
        } else {
            backend.shutdownOutput();
            timers.schedule(BACKEND_CLOSE_DELAY, backend::close);
        }
    }

    /**
     * Moves the client of an established connection; never blocks. A reason that starts with "peer"
     * blames the backend.
     */
    boolean move(Attempt attempt, String reason) {
        if (attempt.context().phase() != Phase.ESTABLISHED || !attempt.requestMove(reason)) {
            return false;
        }
        Log.info(
                "relay.move",
                "why",
                reason,
                "peer",
                attempt.backend().entry().uid(),
                "id",
                attempt.context().attributes().clientRequestId());
        LineConnection backend = backendConnection(attempt);
        if (backend.reader().hasPartialLine()) {
            // The backend may still complete the partial line within this time.
            timers.schedule(PARTIAL_LINE_TIMEOUT, backend::shutdownInput);
        } else {
            backend.shutdownInput();
        }
        timers.schedule(
                MOVE_TIMEOUT,
                () -> {
                    if (attempt.context().phase() == Phase.ESTABLISHED) {
                        client(attempt).close();
                        backend.close();
                    }
                });
        return true;
    }

    /** Moves the clients of backends that no longer respond. */
    void checkUnresponsiveBackends() {
        Instant limit = clock.now().minus(BACKEND_RESPONSE_TIMEOUT);
        for (Attempt attempt : outcomeRecorder.establishedAttempts()) {
            Instant since = attempt.unansweredSince();
            if (since != null
                    && since.isBefore(limit)
                    && !attempt.hasClientEnded()
                    && move(attempt, "peer silent")) {
                Log.info(
                        "relay.silent",
                        "peer",
                        attempt.backend().entry().uid(),
                        "id",
                        attempt.context().attributes().clientRequestId());
            }
        }
    }

    private static LineClient client(Attempt attempt) {
        return (LineClient) attempt.context().client();
    }

    private static LineConnection backendConnection(Attempt attempt) {
        return (LineConnection) attempt.connection();
    }
}

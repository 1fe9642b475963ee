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

    LineForwarder(MonotonicClock clock, Timers timers, OutcomeRecorder book) {
        this.clock = clock;
        this.timers = timers;
        this.outcomeRecorder = book;
    }

    /** Forwards UP to the client. */
    Outcome forwardUp(Attempt up, byte[] piece) {
        try {
            client(up).send(piece);
        } catch (IOException clientGone) {
            up.markClientEnded();
        }
        return null;
    }

    /** Forwards the backend's lines until one side ends or the client is moved. */
    void forwardFromBackend(Attempt up) {
        Outcome outcome = Outcome.RESET;
        try {
            outcome = forwardLines(up);
        } finally {
            outcomeRecorder.connectionEnded(up, outcome);
        }
    }

    private Outcome forwardLines(Attempt up) {
        LineConnection backend = backendConnection(up);
        BackendMessage.Kind last = BackendMessage.Kind.OTHER;
        boolean midLine = false;
        boolean reset = false;
        try {
            while (up.moveReason() == null || midLine) {
                byte[] piece = backend.reader().readLine();
                if (piece == null) {
                    break;
                }
                boolean whole = piece[piece.length - 1] == '\n';
                if (!whole && !midLine && up.moveReason() != null) {
                    // The line was cut off when the backend's input was shut down. The client has
                    // received no part of it and can still get its MOVE.
                    break;
                }
                BackendMessage answer = BackendMessage.parse(piece);
                last = answer.kind();
                midLine = !whole;
                outcomeRecorder.lineReceived(up, answer);
                if (!sendToClient(up, piece)) {
                    return endAfterClientLoss(up);
                }
            }
        } catch (IOException broken) {
            reset = true;
        }
        if (up.moveReason() != null && !up.hasClientEnded() && !midLine) {
            return finishMove(up);
        }
        return endAfterBackend(up, last, reset);
    }

    private boolean sendToClient(Attempt up, byte[] piece) {
        up.setWritingToClient(true);
        try {
            client(up).send(piece);
            return true;
        } catch (IOException gone) {
            return false;
        } finally {
            up.setWritingToClient(false);
        }
    }

    private Outcome endAfterClientLoss(Attempt up) {
        up.context().end(Phase.ESTABLISHED);
        backendConnection(up).reset();
        client(up).close();
        return Outcome.CANCELLED;
    }

    private Outcome finishMove(Attempt up) {
        LineClient client = client(up);
        // MOVE is sent before the request's end is recorded. After that, the client would be
        // disconnected if it sent something.
        try {
            client.sendLine("MOVE");
        } catch (IOException gone) {
            up.markClientEnded();
        }
        up.context().end(Phase.ESTABLISHED);
        backendConnection(up).close();
        client.shutdownOutput();
        timers.schedule(LINGER, client::close);
        return up.moveReason().startsWith("peer") ? Outcome.RESET : Outcome.CANCELLED;
    }

    private Outcome endAfterBackend(Attempt up, BackendMessage.Kind last, boolean reset) {
        LineClient client = client(up);
        boolean polite = last == BackendMessage.Kind.BYE || last == BackendMessage.Kind.MOVE;
        boolean clientFirst = up.hasClientEnded();
        if (reset && !polite && !clientFirst) {
            up.context().end(Phase.ESTABLISHED);
            client.reset();
            backendConnection(up).close();
            return Outcome.RESET;
        }
        // Half-close: what the client still sends is forwarded to the backend for a moment.
        client.shutdownOutput();
        if (clientFirst) {
            up.context().end(Phase.ESTABLISHED);
            client.close();
            backendConnection(up).close();
        } else {
            timers.schedule(
                    LINGER,
                    () -> {
                        up.context().end(Phase.ESTABLISHED);
                        client.close();
                        backendConnection(up).close();
                    });
        }
        if (last == BackendMessage.Kind.BYE) {
            return Outcome.SERVED;
        }
        return clientFirst || last == BackendMessage.Kind.MOVE ? Outcome.CANCELLED : Outcome.RESET;
    }

    /**
     * Forwards input from the client to the backend. If the write fails, the thread that reads from
     * the backend notices the end.
     */
    void sendToBackend(Attempt up, byte[] piece) {
        try {
            up.lineSent(clock.now());
            backendConnection(up).send(piece);
        } catch (IOException ended) {
            return;
        }
    }

    /** Passes the client's end of input, or its reset, on to the backend. */
    void handleClientEnd(Attempt up, boolean reset) {
        up.markClientEnded();
        LineConnection backend = backendConnection(up);
        if (backend == null || up.context().phase() != Phase.ESTABLISHED) {
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
    boolean move(Attempt up, String reason) {
        if (up.context().phase() != Phase.ESTABLISHED || !up.requestMove(reason)) {
            return false;
        }
        Log.info(
                "relay.move",
                "why",
                reason,
                "peer",
                up.backend().entry().uid(),
                "id",
                up.context().attributes().clientRequestId());
        LineConnection backend = backendConnection(up);
        if (backend.reader().hasPartialLine()) {
            // The backend may still complete the partial line within this time.
            timers.schedule(PARTIAL_LINE_TIMEOUT, backend::shutdownInput);
        } else {
            backend.shutdownInput();
        }
        timers.schedule(
                MOVE_TIMEOUT,
                () -> {
                    if (up.context().phase() == Phase.ESTABLISHED) {
                        client(up).close();
                        backend.close();
                    }
                });
        return true;
    }

    /** Moves the clients of backends that no longer respond. */
    void checkUnresponsiveBackends() {
        Instant limit = clock.now().minus(BACKEND_RESPONSE_TIMEOUT);
        for (Attempt up : outcomeRecorder.establishedAttempts()) {
            Instant since = up.unansweredSince();
            if (since != null
                    && since.isBefore(limit)
                    && !up.hasClientEnded()
                    && move(up, "peer silent")) {
                Log.info(
                        "relay.silent",
                        "peer",
                        up.backend().entry().uid(),
                        "id",
                        up.context().attributes().clientRequestId());
            }
        }
    }

    private static LineClient client(Attempt up) {
        return (LineClient) up.context().client();
    }

    private static LineConnection backendConnection(Attempt up) {
        return (LineConnection) up.connection();
    }
}

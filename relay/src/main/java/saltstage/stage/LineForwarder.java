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
 * Passes the lines of standing connections on, both ways, whole and unchanged, and ends or moves
 * them. The try's thread is the only one that writes to a client that has its UP: MOVE always falls
 * between two lines.
 */
final class LineForwarder {
    /**
     * How long an ended side may linger: a close with unread input would reset what was sent before
     * it.
     */
    private static final Duration LINGER = Duration.ofMillis(800);

    /** A client that takes no more must not hold a moved connection. */
    private static final Duration MOVE_TIMEOUT = Duration.ofMillis(1_200);

    private static final Duration PARTIAL_LINE_TIMEOUT = Duration.ofMillis(300);

    /**
     * Clients speak every 2 s and are answered at once (0.15 ms was measured at a jammed backend
     * too). 7 s with nothing back is the limit: 2 s, this, a beat and the rest of a line stay well
     * within.
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

    /** Passes UP on to the client. */
    Outcome forwardUp(Attempt up, byte[] piece) {
        try {
            client(up).send(piece);
        } catch (IOException clientGone) {
            up.markClientEnded();
        }
        return null;
    }

    /** Carries what the backend sends until one side ends or the client is moved. */
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
                    break; // it crossed the end of reading: the client has nothing of it and needs
                    // its MOVE
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
        try {
            client.sendLine(
                    "MOVE"); // before its end is told: a client that speaks in that moment is hung
            // up on
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
        client.shutdownOutput(); // half-close: what the client still sends goes on to the backend
        // for
        // a moment
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
     * Passes on what the client sent; the thread that reads the backend notices where it takes no
     * more.
     */
    void sendToBackend(Attempt up, byte[] piece) {
        try {
            up.lineSent(clock.now());
            backendConnection(up).send(piece);
        } catch (IOException ended) {
            return;
        }
    }

    /** The client has ended its side: the backend sees the same. */
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
     * Has a standing connection's client moved; never blocks. A reason "peer..." is the backend's
     * fault.
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
            timers.schedule(
                    PARTIAL_LINE_TIMEOUT,
                    backend::shutdownInput); // the line may still be ended within that
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

    /** Moves the clients of backends that bring nothing back. */
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

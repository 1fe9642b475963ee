package saltstage.stage;

import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import saltstage.Api.Outcome;
import saltstage.log.Log;
import saltstage.memory.MonotonicClock;
import saltstage.memory.RequestContext.Phase;
import saltstage.memory.Timers;
import saltstage.memory.Try;
import saltstage.wire.Answer;
import saltstage.wire.LineConnection;

/**
 * Passes the lines of standing connections on, both ways, whole and unchanged, and ends or moves
 * them. The try's thread is the only one that writes to a client that has its UP: MOVE always falls
 * between two lines.
 */
final class LineRelay {
    /**
     * How long an ended side may linger: a close with unread input would reset what was sent before
     * it.
     */
    private static final Duration LINGER = Duration.ofMillis(800);

    /** A client that takes no more must not hold a moved connection. */
    private static final Duration MOVE_LIMIT = Duration.ofMillis(1_200);

    private static final Duration PARTIAL_LINE = Duration.ofMillis(300);

    /**
     * Clients speak every 2 s and are answered at once (0.15 ms was measured at a jammed backend
     * too). 7 s with nothing back is the limit: 2 s, this, a beat and the rest of a line stay well
     * within.
     */
    private static final Duration SILENCE = Duration.ofSeconds(3);

    private static final Duration AFTER_CLIENT = Duration.ofSeconds(3);

    private final MonotonicClock clock;
    private final Timers timers;
    private final Book book;

    LineRelay(MonotonicClock clock, Timers timers, Book book) {
        this.clock = clock;
        this.timers = timers;
        this.book = book;
    }

    /** Passes UP on to the client. */
    Outcome accepted(Try up, byte[] piece) {
        try {
            client(up).send(piece);
        } catch (IOException clientGone) {
            up.clientEnded();
        }
        return null;
    }

    /** Carries what the backend sends until one side ends or the client is moved. */
    void carry(Try up) {
        Outcome outcome = Outcome.RESET;
        try {
            outcome = pump(up);
        } finally {
            book.over(up, outcome);
        }
    }

    private Outcome pump(Try up) {
        LineConnection backend = backend(up);
        Answer.Kind last = Answer.Kind.OTHER;
        boolean midLine = false;
        boolean reset = false;
        try {
            while (up.moveReason() == null || midLine) {
                byte[] piece = backend.lines().next();
                if (piece == null) {
                    break;
                }
                boolean whole = piece[piece.length - 1] == '\n';
                if (!whole && !midLine && up.moveReason() != null) {
                    break; // it crossed the end of reading: the client has nothing of it and needs
                    // its MOVE
                }
                Answer answer = Answer.of(piece);
                last = answer.kind();
                midLine = !whole;
                book.heard(up, answer);
                if (!toClient(up, piece)) {
                    return clientGone(up);
                }
            }
        } catch (IOException broken) {
            reset = true;
        }
        if (up.moveReason() != null && !up.hasClientEnded() && !midLine) {
            return moved(up);
        }
        return backendEnded(up, last, reset);
    }

    private boolean toClient(Try up, byte[] piece) {
        up.writing(true);
        try {
            client(up).send(piece);
            return true;
        } catch (IOException gone) {
            return false;
        } finally {
            up.writing(false);
        }
    }

    private Outcome clientGone(Try up) {
        up.context().end(Phase.STANDING);
        backend(up).reset();
        client(up).close();
        return Outcome.CANCELLED;
    }

    private Outcome moved(Try up) {
        LineClient client = client(up);
        try {
            client.send(
                    "MOVE"); // before its end is told: a client that speaks in that moment is hung
            // up on
        } catch (IOException gone) {
            up.clientEnded();
        }
        up.context().end(Phase.STANDING);
        backend(up).close();
        client.endSending();
        timers.after(LINGER, client::close);
        return up.moveReason().startsWith("peer") ? Outcome.RESET : Outcome.CANCELLED;
    }

    private Outcome backendEnded(Try up, Answer.Kind last, boolean reset) {
        LineClient client = client(up);
        boolean polite = last == Answer.Kind.BYE || last == Answer.Kind.MOVE;
        boolean clientFirst = up.hasClientEnded();
        if (reset && !polite && !clientFirst) {
            up.context().end(Phase.STANDING);
            client.reset();
            backend(up).close();
            return Outcome.RESET;
        }
        client.endSending(); // half-close: what the client still sends goes on to the backend for
        // a moment
        if (clientFirst) {
            up.context().end(Phase.STANDING);
            client.close();
            backend(up).close();
        } else {
            timers.after(
                    LINGER,
                    () -> {
                        up.context().end(Phase.STANDING);
                        client.close();
                        backend(up).close();
                    });
        }
        if (last == Answer.Kind.BYE) {
            return Outcome.SERVED;
        }
        return clientFirst || last == Answer.Kind.MOVE ? Outcome.CANCELLED : Outcome.RESET;
    }

    /**
     * Passes on what the client sent; the thread that reads the backend notices where it takes no
     * more.
     */
    void toBackend(Try up, byte[] piece) {
        try {
            up.asked(clock.now());
            backend(up).send(piece);
        } catch (IOException ended) {
            return;
        }
    }

    /** The client has ended its side: the backend sees the same. */
    void clientEnded(Try up, boolean reset) {
        up.clientEnded();
        LineConnection backend = backend(up);
        if (backend == null || up.context().phase() != Phase.STANDING) {
            return;
        }
        if (reset) {
            backend.reset();
        } else {
            backend.endSending();
            timers.after(AFTER_CLIENT, backend::close);
        }
    }

    /**
     * Has a standing connection's client moved; never blocks. A reason "peer..." is the backend's
     * fault.
     */
    boolean move(Try up, String reason) {
        if (up.context().phase() != Phase.STANDING || !up.askMove(reason)) {
            return false;
        }
        Log.info(
                "relay.move",
                "why",
                reason,
                "peer",
                up.peer().entry().uid(),
                "id",
                up.context().terms().name());
        LineConnection backend = backend(up);
        if (backend.lines().midLine()) {
            timers.after(
                    PARTIAL_LINE, backend::endReading); // the line may still be ended within that
        } else {
            backend.endReading();
        }
        timers.after(
                MOVE_LIMIT,
                () -> {
                    if (up.context().phase() == Phase.STANDING) {
                        client(up).close();
                        backend.close();
                    }
                });
        return true;
    }

    /** Moves the clients of backends that bring nothing back. */
    void checkSilence() {
        Instant limit = clock.now().minus(SILENCE);
        for (Try up : book.standing()) {
            Instant since = up.unansweredSince();
            if (since != null
                    && since.isBefore(limit)
                    && !up.hasClientEnded()
                    && move(up, "peer silent")) {
                Log.info(
                        "relay.silent",
                        "peer",
                        up.peer().entry().uid(),
                        "id",
                        up.context().terms().name());
            }
        }
    }

    private static LineClient client(Try up) {
        return (LineClient) up.context().client();
    }

    private static LineConnection backend(Try up) {
        return (LineConnection) up.backend();
    }
}

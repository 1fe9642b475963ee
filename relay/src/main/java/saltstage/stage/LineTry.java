package saltstage.stage;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.time.Duration;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import saltstage.Api.Effect;
import saltstage.Api.Outcome;
import saltstage.Api.ServiceClass;
import saltstage.config.Configuration;
import saltstage.log.Log;
import saltstage.memory.MonotonicClock;
import saltstage.memory.Peer;
import saltstage.memory.Peers;
import saltstage.memory.RequestContext;
import saltstage.memory.RequestContext.Phase;
import saltstage.memory.Try;
import saltstage.wire.Answer;
import saltstage.wire.LineConnection;

/** Makes a try in lines: connects, sends the first line on, waits for the answer. A thread each. */
final class LineTry {
    private static final Duration RESTORE_PAUSE = Duration.ofMillis(200);

    private final Configuration config;
    private final MonotonicClock clock;
    private final Peers peers;
    private final Book book;
    private final LineRelay relay;
    private final ThreadBudget threads;

    LineTry(
            Configuration config,
            MonotonicClock clock,
            Peers peers,
            Book book,
            LineRelay relay,
            ThreadBudget threads) {
        this.threads = threads;
        this.config = config;
        this.clock = clock;
        this.peers = peers;
        this.book = book;
        this.relay = relay;
    }

    /** Makes the try on a thread of its own. */
    void attempt(Try begun, Instant until) {
        if (!threads.start("try", () -> run(begun, until))) {
            book.ended(begun, Outcome.UNREACHABLE);
        }
    }

    private void run(Try begun, Instant until) {
        Outcome outcome = Outcome.ERROR;
        try {
            outcome = attempt(begun, until, false);
        } finally {
            if (outcome != null) {
                begun.giveUp(); // the old try is closed before the module may send the next
                book.ended(begun, outcome);
            }
        }
        if (outcome == null) {
            relay.carry(begun);
        }
    }

    /** Makes the try; null where it stands. */
    private Outcome attempt(Try begun, Instant until, boolean restore) {
        Peer peer = begun.peer();
        LineConnection backend;
        try {
            Duration connect = least(config.connectTimeout(), Duration.between(clock.now(), until));
            if (connect.isNegative()) {
                return Outcome.UNREACHABLE;
            }
            Socket socket = new Socket();
            begun.connecting(() -> LineConnection.close(socket));
            backend = LineConnection.open(socket, peer.entry().endpoint(), connect);
            begun.connected(backend);
            Duration left = Duration.between(clock.now(), until);
            // Connecting takes time: the backend may have been told to drain, or the request's time
            // be up.
            if (peer.suspended() || repeatsTooLate(begun.context())) {
                return Outcome
                        .MOOT; // it came about while this connected: nothing against the backend
            }
            if (!restore && !peer.takesNew() || left.isNegative() || left.isZero()) {
                return Outcome.UNREACHABLE;
            }
            backend.send(client(begun.context()).open().withPatience(left));
            book.written();
        } catch (IOException neverSent) {
            return Outcome.UNREACHABLE;
        }
        try {
            byte[] piece = backend.lines().next(positive(Duration.between(clock.now(), until)));
            return piece == null ? Outcome.RESET : judge(begun, piece, restore);
        } catch (SocketTimeoutException slow) {
            return Outcome.TIMEOUT;
        } catch (IOException broken) {
            return Outcome.RESET;
        }
    }

    /**
     * Repeats are discarded for so long only; the module asked that before the connection came up.
     */
    private boolean repeatsTooLate(RequestContext context) {
        ServiceClass service = config.settings().classes().get(context.terms().serviceClass());
        Instant since = context.mayHaveRunSince();
        return since != null
                && service.effect() == Effect.KEYED
                && !clock.now().isBefore(since.plus(service.memory(), ChronoUnit.MICROS));
    }

    private Outcome judge(Try begun, byte[] piece, boolean restore) {
        Answer answer = Answer.of(piece);
        switch (answer.kind()) {
            case UP:
                return book.standing(begun, restore)
                        ? relay.accepted(begun, piece)
                        : Outcome.CANCELLED;
            case BUSY:
                return Outcome.FULL;
            case MOVE:
                return Outcome.CANCELLED;
            case ERR:
                return Outcome.ERROR;
            default:
                // A backend that answers what no backend may say has failed; its words go no
                // further.
                Log.warn(
                        "try.malformed",
                        "peer",
                        begun.peer().entry().uid(),
                        "kind",
                        answer.kind(),
                        "line",
                        answer.argument());
                return Outcome.ERROR;
        }
    }

    /**
     * Sends a connection that was open before the relay started back to its backend, until it
     * stands.
     */
    void restore(RequestContext context, String uid) {
        if (!threads.start("restore", () -> restoreOrFail(context, uid))) {
            book.fail(context);
        }
    }

    private void restoreOrFail(RequestContext context, String uid) throws InterruptedException {
        try {
            keepRestoring(context, uid);
        } finally {
            book.fail(context); // where it neither stood nor ended, also by a fault
        }
    }

    private void keepRestoring(RequestContext context, String uid) throws InterruptedException {
        String waitsFor = null;
        while (context.phase() == Phase.WAITING && clock.now().isBefore(context.deadline())) {
            Peer peer = peers.find(uid);
            Try begun = peer == null ? null : context.begin(peer, clock.now());
            Outcome outcome =
                    begun == null ? Outcome.MOOT : attempt(begun, context.deadline(), true);
            if (outcome == null) {
                relay.carry(begun);
                return;
            }
            if (begun != null) {
                begun.giveUp();
            }
            String why = peer == null ? "not listed" : outcome.name();
            if (!why.equals(waitsFor)) {
                Log.info("restore.waiting", "id", context.terms().name(), "peer", uid, "why", why);
            }
            waitsFor = why;
            Thread.sleep(RESTORE_PAUSE.toMillis());
        }
        Log.warn("restore.failed", "id", context.terms().name(), "peer", uid);
    }

    private static LineClient client(RequestContext context) {
        return (LineClient) context.client();
    }

    private static Duration least(Duration a, Duration b) {
        return a.compareTo(b) < 0 ? a : b;
    }

    private static Duration positive(Duration span) {
        return span.isNegative() || span.isZero() ? Duration.ofMillis(1) : span;
    }
}

package saltstage.stage;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.time.Duration;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import saltstage.Api.Idempotency;
import saltstage.Api.Outcome;
import saltstage.Api.ServiceClass;
import saltstage.config.Configuration;
import saltstage.log.Log;
import saltstage.session.Attempt;
import saltstage.session.Backend;
import saltstage.session.BackendRegistry;
import saltstage.session.MonotonicClock;
import saltstage.session.RequestContext;
import saltstage.session.RequestContext.Phase;
import saltstage.wire.BackendMessage;
import saltstage.wire.LineConnection;

/**
 * Runs attempts over the line protocol: connects to the backend, sends the first line and waits for
 * the answer. Each attempt has its own thread.
 */
final class LineAttemptRunner {
    private static final Duration RESTORE_RETRY_PAUSE = Duration.ofMillis(200);

    private final Configuration config;
    private final MonotonicClock clock;
    private final BackendRegistry backends;
    private final OutcomeRecorder outcomeRecorder;
    private final LineForwarder forwarder;
    private final ThreadBudget threadBudget;

    LineAttemptRunner(
            Configuration config,
            MonotonicClock clock,
            BackendRegistry peers,
            OutcomeRecorder book,
            LineForwarder relay,
            ThreadBudget threads) {
        this.threadBudget = threads;
        this.config = config;
        this.clock = clock;
        this.backends = peers;
        this.outcomeRecorder = book;
        this.forwarder = relay;
    }

    /** Runs the attempt on its own thread. */
    void start(Attempt begun, Instant until) {
        if (!threadBudget.start("try", () -> runAndForward(begun, until))) {
            outcomeRecorder.attemptEnded(begun, Outcome.UNREACHABLE);
        }
    }

    private void runAndForward(Attempt begun, Instant until) {
        Outcome outcome = Outcome.ERROR;
        try {
            outcome = runAttempt(begun, until, false);
        } finally {
            if (outcome != null) {
                // The attempt is closed before the load balancer may start the next one.
                begun.cancel();
                outcomeRecorder.attemptEnded(begun, outcome);
            }
        }
        if (outcome == null) {
            forwarder.forwardFromBackend(begun);
        }
    }

    /** Runs the attempt; returns null if it was established. */
    private Outcome runAttempt(Attempt begun, Instant until, boolean restore) {
        Backend peer = begun.backend();
        LineConnection backend;
        try {
            Duration connect =
                    shorter(config.connectTimeout(), Duration.between(clock.now(), until));
            if (connect.isNegative()) {
                return Outcome.UNREACHABLE;
            }
            Socket socket = new Socket();
            begun.connectionStarted(() -> LineConnection.close(socket));
            backend = LineConnection.connect(socket, peer.entry().endpoint(), connect);
            begun.connectionOpened(backend);
            Duration left = Duration.between(clock.now(), until);
            // Connecting takes time: meanwhile the backend may have started draining, or the
            // request's time may have run out.
            if (peer.isSuspended() || isDeduplicationExpired(begun.context())) {
                // The suspension or the expiry happened while this attempt was connecting, so it
                // does not count against the backend.
                return Outcome.MOOT;
            }
            if (!restore && !peer.canAcceptRequests() || left.isNegative() || left.isZero()) {
                return Outcome.UNREACHABLE;
            }
            backend.sendLine(client(begun.context()).openRequest().withClientTimeout(left));
            outcomeRecorder.attemptSent();
        } catch (IOException neverSent) {
            return Outcome.UNREACHABLE;
        }
        try {
            byte[] piece =
                    backend.reader()
                            .readLine(atLeastOneMilli(Duration.between(clock.now(), until)));
            return piece == null ? Outcome.RESET : handleAnswer(begun, piece, restore);
        } catch (SocketTimeoutException slow) {
            return Outcome.TIMEOUT;
        } catch (IOException broken) {
            return Outcome.RESET;
        }
    }

    /**
     * Returns whether the deduplication window has passed, within which the backend discards
     * repeats. The load balancer checked this before the connection was established.
     */
    private boolean isDeduplicationExpired(RequestContext context) {
        ServiceClass service =
                config.settings().serviceClasses().get(context.attributes().serviceClass());
        Instant since = context.possibleExecutionSince();
        return since != null
                && service.idempotency() == Idempotency.DEDUPLICATED
                && !clock.now()
                        .isBefore(since.plus(service.deduplicationWindow(), ChronoUnit.MICROS));
    }

    private Outcome handleAnswer(Attempt begun, byte[] piece, boolean restore) {
        BackendMessage answer = BackendMessage.parse(piece);
        switch (answer.kind()) {
            case UP:
                return outcomeRecorder.establish(begun, restore)
                        ? forwarder.forwardUp(begun, piece)
                        : Outcome.CANCELLED;
            case BUSY:
                return Outcome.FULL;
            case MOVE:
                return Outcome.CANCELLED;
            case ERR:
                return Outcome.ERROR;
            default:
                // A backend that sends an answer outside the protocol has failed. Its text is not
                // passed on.
                Log.warn(
                        "try.malformed",
                        "peer",
                        begun.backend().entry().uid(),
                        "kind",
                        answer.kind(),
                        "line",
                        answer.argument());
                return Outcome.ERROR;
        }
    }

    /**
     * Restores a connection that was open before the relay started: retries at its backend until it
     * is established.
     */
    void restore(RequestContext context, String uid) {
        if (!threadBudget.start("restore", () -> restoreOrFail(context, uid))) {
            outcomeRecorder.fail(context);
        }
    }

    private void restoreOrFail(RequestContext context, String uid) throws InterruptedException {
        try {
            retryRestore(context, uid);
        } finally {
            // This has no effect if the request was established or has ended. It also covers faults.
            outcomeRecorder.fail(context);
        }
    }

    private void retryRestore(RequestContext context, String uid) throws InterruptedException {
        String waitsFor = null;
        while (context.phase() == Phase.WAITING && clock.now().isBefore(context.deadline())) {
            Backend peer = backends.find(uid);
            Attempt begun = peer == null ? null : context.beginAttempt(peer, clock.now());
            Outcome outcome =
                    begun == null ? Outcome.MOOT : runAttempt(begun, context.deadline(), true);
            if (outcome == null) {
                forwarder.forwardFromBackend(begun);
                return;
            }
            if (begun != null) {
                begun.cancel();
            }
            String why = peer == null ? "not listed" : outcome.name();
            if (!why.equals(waitsFor)) {
                Log.info(
                        "restore.waiting",
                        "id",
                        context.attributes().clientRequestId(),
                        "peer",
                        uid,
                        "why",
                        why);
            }
            waitsFor = why;
            Thread.sleep(RESTORE_RETRY_PAUSE.toMillis());
        }
        Log.warn("restore.failed", "id", context.attributes().clientRequestId(), "peer", uid);
    }

    private static LineClient client(RequestContext context) {
        return (LineClient) context.client();
    }

    private static Duration shorter(Duration a, Duration b) {
        return a.compareTo(b) < 0 ? a : b;
    }

    private static Duration atLeastOneMilli(Duration span) {
        return span.isNegative() || span.isZero() ? Duration.ofMillis(1) : span;
    }
}

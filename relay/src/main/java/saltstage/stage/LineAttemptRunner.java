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
            BackendRegistry backends,
            OutcomeRecorder outcomeRecorder,
            LineForwarder forwarder,
            ThreadBudget threadBudget) {
        this.threadBudget = threadBudget;
        this.config = config;
        this.clock = clock;
        this.backends = backends;
        this.outcomeRecorder = outcomeRecorder;
        this.forwarder = forwarder;
    }

    /** Runs the attempt on its own thread. */
    void start(Attempt attempt, Instant deadline) {
        if (!threadBudget.start("try", () -> runAndForward(attempt, deadline))) {
            outcomeRecorder.attemptEnded(attempt, Outcome.UNREACHABLE);
        }
    }

    private void runAndForward(Attempt attempt, Instant deadline) {
        Outcome outcome = Outcome.ERROR;
        try {
            outcome = runAttempt(attempt, deadline, false);
        } finally {
            if (outcome != null) {
                // The attempt is closed before the load balancer may start the next one.
                attempt.cancel();
                outcomeRecorder.attemptEnded(attempt, outcome);
            }
        }
        if (outcome == null) {
            forwarder.forwardFromBackend(attempt);
        }
    }

    /** Runs the attempt; returns null if it was established. */
    private Outcome runAttempt(Attempt attempt, Instant deadline, boolean restore) {
        Backend backend = attempt.backend();
        LineConnection connection;
        try {
            Duration connectTimeout =
                    shorter(config.connectTimeout(), Duration.between(clock.now(), deadline));
            if (connectTimeout.isNegative()) {
                return Outcome.UNREACHABLE;
            }
            Socket socket = new Socket();
            attempt.connectionStarted(() -> LineConnection.close(socket));
            connection = LineConnection.connect(socket, backend.entry().endpoint(), connectTimeout);
            attempt.connectionOpened(connection);
            Duration remaining = Duration.between(clock.now(), deadline);
            // Connecting takes time: meanwhile the backend may have started draining, or the
            // request's time may have run out.
            if (backend.isSuspended() || isDeduplicationExpired(attempt.context())) {
                // The suspension or the expiry happened while this attempt was connecting, so it
                // does not count against the backend.
                return Outcome.MOOT;
            }
            if (!restore && !backend.canAcceptRequests()
                    || remaining.isNegative()
                    || remaining.isZero()) {
                return Outcome.UNREACHABLE;
            }
            connection.sendLine(
                    client(attempt.context()).openRequest().withClientTimeout(remaining));
            outcomeRecorder.attemptSent();
        } catch (IOException neverSent) {
            return Outcome.UNREACHABLE;
        }
        try {
            byte[] piece =
                    connection
                            .reader()
                            .readLine(atLeastOneMilli(Duration.between(clock.now(), deadline)));
            return piece == null ? Outcome.RESET : handleAnswer(attempt, piece, restore);
        } catch (SocketTimeoutException e) {
            return Outcome.TIMEOUT;
        } catch (IOException e) {
            return Outcome.RESET;
        }
    }

    /**
     * Returns whether the deduplication window has passed, within which the backend discards
     * repeats. The load balancer checked this before the connection was established.
     */
    private boolean isDeduplicationExpired(RequestContext context) {
        ServiceClass serviceClass =
                config.settings().serviceClasses().get(context.attributes().serviceClass());
        Instant possibleExecutionSince = context.possibleExecutionSince();
        return possibleExecutionSince != null
                && serviceClass.idempotency() == Idempotency.DEDUPLICATED
                && !clock.now()
                        .isBefore(
                                possibleExecutionSince.plus(
                                        serviceClass.deduplicationWindow(), ChronoUnit.MICROS));
    }

    private Outcome handleAnswer(Attempt attempt, byte[] piece, boolean restore) {
        BackendMessage answer = BackendMessage.parse(piece);
        switch (answer.kind()) {
            case UP:
                return outcomeRecorder.establish(attempt, restore)
                        ? forwarder.forwardUp(attempt, piece)
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
                        attempt.backend().entry().uid(),
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
    void restore(RequestContext context, String backendId) {
        if (!threadBudget.start("restore", () -> restoreOrFail(context, backendId))) {
            outcomeRecorder.fail(context);
        }
    }

    private void restoreOrFail(RequestContext context, String backendId)
            throws InterruptedException {
        try {
            retryRestore(context, backendId);
        } finally {
            // This has no effect if the request was established or has ended; it also covers
            // faults.
            outcomeRecorder.fail(context);
        }
    }

    private void retryRestore(RequestContext context, String backendId)
            throws InterruptedException {
        String lastReason = null;
        while (context.phase() == Phase.WAITING && clock.now().isBefore(context.deadline())) {
            Backend backend = backends.find(backendId);
            Attempt attempt = backend == null ? null : context.beginAttempt(backend, clock.now());
            Outcome outcome =
                    attempt == null ? Outcome.MOOT : runAttempt(attempt, context.deadline(), true);
            if (outcome == null) {
                forwarder.forwardFromBackend(attempt);
                return;
            }
            if (attempt != null) {
                attempt.cancel();
            }
            String reason = backend == null ? "not listed" : outcome.name();
            if (!reason.equals(lastReason)) {
                Log.info(
                        "restore.waiting",
                        "id",
                        context.attributes().clientRequestId(),
                        "peer",
                        backendId,
                        "why",
                        reason);
            }
            lastReason = reason;
            Thread.sleep(RESTORE_RETRY_PAUSE.toMillis());
        }
        Log.warn("restore.failed", "id", context.attributes().clientRequestId(), "peer", backendId);
    }

    private static LineClient client(RequestContext context) {
        return (LineClient) context.client();
    }

    private static Duration shorter(Duration a, Duration b) {
        return a.compareTo(b) < 0 ? a : b;
    }

    private static Duration atLeastOneMilli(Duration duration) {
        return duration.isNegative() || duration.isZero() ? Duration.ofMillis(1) : duration;
    }
}

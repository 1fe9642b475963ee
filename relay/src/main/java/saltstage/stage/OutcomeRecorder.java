package saltstage.stage;

import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.util.Arrays;
import java.util.Collection;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import saltstage.Api.DeduplicationScope;
import saltstage.Api.Idempotency;
import saltstage.Api.Outcome;
import saltstage.Api.ServiceClass;
import saltstage.config.Configuration;
import saltstage.log.Log;
import saltstage.metrics.ProcessUsage;
import saltstage.metrics.RequestCounters;
import saltstage.session.Attempt;
import saltstage.session.Backend;
import saltstage.session.BackendRegistry;
import saltstage.session.MonotonicClock;
import saltstage.session.RequestContext;
import saltstage.session.RequestContext.Phase;
import saltstage.wire.BackendMessage;

/**
 * Records the results of requests: sends the one final answer, counts results, and reports
 * outcomes, loads and delays to the load balancer.
 */
public final class OutcomeRecorder {
    /**
     * How long a connection stays open after the answer. Closing it with unread input resets it,
     * and the answer may be lost.
     */
    static final Duration LINGER = Duration.ofMillis(800);

    /** Error text for a client that sends more than its first line before it has its answer. */
    static final String ONE_LINE_ONLY_ERROR = "only one line before the answer";

    private final Configuration config;
    private final MonotonicClock clock;
    private final BackendRegistry backends;
    private final RequestCounters counters;
    private Router router;
    private final Set<Attempt> establishedAttempts = ConcurrentHashMap.newKeySet();
    private final AtomicLong received = new AtomicLong();
    private final AtomicLong established = new AtomicLong();
    private final AtomicLong rejected = new AtomicLong();
    private final AtomicLong failed = new AtomicLong();
    private final AtomicLong clientsLeft = new AtomicLong();
    private final AtomicLong resets = new AtomicLong();
    private final AtomicLong rejectedForThreads = new AtomicLong();

    OutcomeRecorder(
            Configuration config,
            MonotonicClock clock,
            BackendRegistry backends,
            RequestCounters counters) {
        this.counters = counters;
        this.config = config;
        this.clock = clock;
        this.backends = backends;
    }

    void setRouter(Router newRouter) {
        router = newRouter;
    }

    void requestReceived() {
        received.incrementAndGet();
    }

    /** Counts a request that was rejected before admission for lack of room. */
    void rejectedBeforeAdmission(int serviceClass) {
        received.incrementAndGet();
        rejected.incrementAndGet();
        counters.countResult(serviceClass, RequestCounters.Result.DROPPED);
    }

    /** Counts a request that was rejected before admission for lack of a thread. */
    void rejectedForThreads() {
        rejectedForThreads.incrementAndGet();
    }

    /** Counts an attempt whose first line was sent completely. */
    public void attemptSent() {
        counters.countAttempt();
    }

    /** Sends the final answer that rejects the request, with the delay before a retry. */
    void reject(RequestContext context, Duration retryAfter) {
        if (context.end(Phase.WAITING)) {
            sendRejection(context, retryAfter);
        }
    }

    private void sendRejection(RequestContext context, Duration retryAfter) {
        rejected.incrementAndGet();
        counters.countResult(context.attributes().serviceClass(), RequestCounters.Result.DROPPED);
        context.client().reject(retryAfter);
    }

    private void sendFailure(RequestContext context, String reason) {
        failed.incrementAndGet();
        counters.countResult(
                context.attributes().serviceClass(), RequestCounters.Result.BAD_GATEWAY);
        context.client().fail(reason);
    }

    private static void cancelAttempt(Attempt attempt) {
        if (attempt != null) {
            attempt.cancel();
        }
    }

    /**
     * Ends a waiting request because the relay is shutting down, and cancels its current attempt. A
     * request with an attempt may have run: it is rejected only if it can simply be repeated, and
     * fails otherwise. The load balancer gets no event that it could act on.
     */
    void endForShutdown(RequestContext context) {
        if (!context.end(Phase.WAITING)) {
            return;
        }
        // This is the last attempt: an ended request starts no more.
        Attempt attempt = context.currentAttempt();
        ServiceClass serviceClass =
                config.settings().serviceClasses().get(context.attributes().serviceClass());
        boolean repeatable =
                serviceClass.idempotency() == Idempotency.IDEMPOTENT
                        || serviceClass.idempotency() == Idempotency.DEDUPLICATED
                                && serviceClass.deduplicationScope() == DeduplicationScope.ALL;
        if (attempt == null || repeatable) {
            sendRejection(context, Duration.ZERO);
        } else {
            sendFailure(context, "failed");
        }
        cancelAttempt(attempt);
    }

    /** Sends the final answer that says nothing about the request's effect. */
    public void fail(RequestContext context) {
        fail(context, "failed");
    }

    /**
     * Fails a request whose client sent more input before its answer. No backend may get a request
     * in that form.
     */
    void failForEarlyInput(RequestContext context) {
        if (fail(context, ONE_LINE_ONLY_ERROR)) {
            Log.warn(
                    "client.malformed",
                    "from",
                    context.client().remoteAddress(),
                    "answer",
                    "ERR " + ONE_LINE_ONLY_ERROR);
            router.clientLeft(context);
        }
    }

    private boolean fail(RequestContext context, String reason) {
        if (!context.end(Phase.WAITING)) {
            return false;
        }
        sendFailure(context, reason);
        cancelAttempt(context.currentAttempt());
        return true;
    }

    /** Sends a line to the client; a failure is only logged. */
    void sendLine(LineClient client, String line) {
        try {
            client.sendLine(line);
        } catch (IOException e) {
            Log.info("client.broken", "why", e.getMessage());
        }
    }

    /**
     * Records that the client left before its answer. The attempt is cancelled, and the thread that
     * runs it records its end.
     */
    public void clientLeft(RequestContext context) {
        clientsLeft.incrementAndGet();
        Attempt attempt = context.currentAttempt();
        router.clientLeft(context);
        cancelAttempt(attempt);
    }

    /**
     * Reports an attempt that could not be started: the backend has left the list, or the request
     * has ended.
     */
    void attemptNotSent(RequestContext context) {
        router.attemptEnded(context, Outcome.MOOT, context.phase() == Phase.ENDED);
    }

    /** Records the end of an attempt that was not established. */
    public void attemptEnded(Attempt attempt, Outcome outcome) {
        if (!outcome.hasNoEffect()) {
            attempt.context().recordPossibleExecution(attempt.sentAt());
        }
        boolean requestEnded = attempt.context().phase() == Phase.ENDED;
        Outcome reported = requestEnded && outcome != Outcome.MOOT ? Outcome.CANCELLED : outcome;
        router.attemptEnded(attempt.context(), reported, requestEnded);
    }

    /**
     * Records that the backend has accepted the request; returns false if the request has already
     * ended.
     */
    public boolean establish(Attempt attempt, boolean restored) {
        if (!attempt.context().establish()) {
            return false;
        }
        established.incrementAndGet();
        counters.countResult(
                attempt.context().attributes().serviceClass(), RequestCounters.Result.PASSED);
        establishedAttempts.add(attempt);
        attempt.backend().establishedAttempts().add(attempt);
        if (restored) {
            router.connectionRestored(attempt);
        } else {
            router.connectionEstablished(attempt);
        }
        return true;
    }

    /** Returns all established attempts as a live view. */
    public Collection<Attempt> establishedAttempts() {
        return establishedAttempts;
    }

    /** Records the end of an established connection. */
    public void connectionEnded(Attempt attempt, Outcome outcome) {
        establishedAttempts.remove(attempt);
        attempt.backend().establishedAttempts().remove(attempt);
        if (outcome == Outcome.RESET) {
            resets.incrementAndGet();
        }
        router.attemptEnded(attempt.context(), outcome, true);
    }

    /** Records a line that was received on an established connection. */
    void lineReceived(Attempt attempt, BackendMessage message) {
        if (message.kind() == BackendMessage.Kind.LOAD) {
            loadReported(attempt, message.load());
            return;
        }
        Instant since = attempt.takeUnansweredSince();
        if (since != null) {
            attempt.backend().recordResponseDelay(Duration.between(since, clock.now()));
        }
    }

    /**
     * Handles a reported value. Backends use the one word LOAD for both load and message delay. If
     * a message delay of 300 ms were taken as a load, its connection would appear to be the
     * lightest of all, and the load balancer would never learn of the overload.
     */
    private void loadReported(Attempt attempt, double value) {
        if (value < 0) {
            Log.warn("load.malformed", "peer", attempt.backend().entry().uid());
        } else if (attempt.backend().isDelayReport(attempt, value, clock.now())) {
            router.delayReported(attempt, Duration.ofNanos((long) (value * 1e6)));
        } else {
            attempt.setLoad(value);
            router.loadReported(attempt, value);
        }
    }

    /**
     * Reports to the load balancer, once a second, which backends are slow to answer messages and
     * which no longer are. Each report is made on one of the backend's connections.
     */
    void reportDelays() {
        Instant now = clock.now();
        for (Backend backend : backends.all()) {
            Duration delay = backend.takeMedianDelay(now);
            if (delay == null) {
                continue;
            }
            boolean slow = delay.compareTo(config.minMessageLatencyTarget().dividedBy(3)) > 0;
            if (slow | backend.markSlow(slow)) {
                backend.establishedAttempts().stream()
                        .findFirst()
                        .ifPresent(attempt -> router.delayReported(attempt, delay));
            }
        }
    }

    /**
     * Writes the totals to the log. The accepted count is the number of connections since the
     * start.
     */
    void logTotals(int clientCount, long acceptedCount, Object... extraPairs) {
        Runtime jvm = Runtime.getRuntime();
        Object[] pairs = {
            "clients",
            clientCount,
            "accepted",
            acceptedCount,
            "standing",
            establishedAttempts.size(),
            "taken",
            received,
            "stood",
            established,
            "rejected",
            rejected,
            "failed",
            failed,
            "left",
            clientsLeft,
            "resets",
            resets,
            "threadless",
            rejectedForThreads,
            "threads",
            ProcessUsage.threads(),
            "descriptors",
            ProcessUsage.descriptors(),
            "host_overflows",
            ProcessUsage.listenOverflows(),
            "heap_kb",
            (jvm.totalMemory() - jvm.freeMemory()) >> 10
        };
        Object[] all = Arrays.copyOf(pairs, pairs.length + extraPairs.length);
        System.arraycopy(extraPairs, 0, all, pairs.length, extraPairs.length);
        Log.info("totals", all);
    }
}

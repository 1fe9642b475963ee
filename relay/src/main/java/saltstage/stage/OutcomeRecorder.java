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
 * Books what became of requests: the one final answer, the outcome for the module, loads and
 * delays.
 */
public final class OutcomeRecorder {
    /** A close with unread input resets the connection and may take the answer with it. */
    static final Duration LINGER = Duration.ofMillis(800);

    /** What a client is told that says more than its first line before it has its answer. */
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
            BackendRegistry peers,
            RequestCounters counts) {
        this.counters = counts;
        this.config = config;
        this.clock = clock;
        this.backends = peers;
    }

    void setRouter(Router to) {
        router = to;
    }

    void requestReceived() {
        received.incrementAndGet();
    }

    /** A request was refused before it was admitted, as there was no room for it. */
    void rejectedBeforeAdmission(int serviceClass) {
        received.incrementAndGet();
        rejected.incrementAndGet();
        counters.countResult(serviceClass, RequestCounters.Result.DROPPED);
    }

    /** A request was refused before it was admitted, as there was no thread for it. */
    void rejectedForThreads() {
        rejectedForThreads.incrementAndGet();
    }

    /** A try was written whole. */
    public void attemptSent() {
        counters.countAttempt();
    }

    /** The final answer 'refused', with the advice when to come again. */
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

    private void sendFailure(RequestContext context, String why) {
        failed.incrementAndGet();
        counters.countResult(
                context.attributes().serviceClass(), RequestCounters.Result.BAD_GATEWAY);
        context.client().fail(why);
    }

    private static void cancelAttempt(Attempt out) {
        if (out != null) {
            out.cancel();
        }
    }

    /**
     * The relay leaves: what waits gets its final answer, and the try that is out is given up. What
     * may have run is refused only where it may simply be repeated; the module hears of no end that
     * it could act on.
     */
    void endForShutdown(RequestContext context) {
        if (!context.end(Phase.WAITING)) {
            return;
        }
        Attempt out = context.currentAttempt(); // the last one: who has ended begins none
        ServiceClass service =
                config.settings().serviceClasses().get(context.attributes().serviceClass());
        boolean harmless =
                service.idempotency() == Idempotency.IDEMPOTENT
                        || service.idempotency() == Idempotency.DEDUPLICATED
                                && service.deduplicationScope() == DeduplicationScope.ALL;
        if (out == null || harmless) {
            sendRejection(context, Duration.ZERO);
        } else {
            sendFailure(context, "failed");
        }
        cancelAttempt(out);
    }

    /** The final answer that promises nothing. */
    public void fail(RequestContext context) {
        fail(context, "failed");
    }

    /**
     * The client has not waited for its answer: what it asked in that form is nothing a backend may
     * get.
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

    private boolean fail(RequestContext context, String why) {
        if (!context.end(Phase.WAITING)) {
            return false;
        }
        sendFailure(context, why);
        cancelAttempt(context.currentAttempt());
        return true;
    }

    /** A line that is not waited for. */
    void sendLine(LineClient client, String line) {
        try {
            client.sendLine(line);
        } catch (IOException gone) {
            Log.info("client.broken", "why", gone.getMessage());
        }
    }

    /** The client left before its answer: the try is given up, and who makes it books its end. */
    public void clientLeft(RequestContext context) {
        clientsLeft.incrementAndGet();
        Attempt out = context.currentAttempt();
        router.clientLeft(context);
        cancelAttempt(out);
    }

    /**
     * The module sent what could not be sent: the peer has left the list, or nothing is owed any
     * more.
     */
    void attemptNotSent(RequestContext context) {
        router.attemptEnded(context, Outcome.MOOT, context.phase() == Phase.ENDED);
    }

    /** A try ended before it stood. */
    public void attemptEnded(Attempt ended, Outcome outcome) {
        if (!outcome.hasNoEffect()) {
            ended.context().recordPossibleExecution(ended.sentAt());
        }
        boolean over = ended.context().phase() == Phase.ENDED;
        router.attemptEnded(ended.context(), over ? Outcome.CANCELLED : outcome, over);
    }

    /** The backend has taken it; false where the client is past it. */
    public boolean establish(Attempt up, boolean restored) {
        if (!up.context().establish()) {
            return false;
        }
        established.incrementAndGet();
        counters.countResult(
                up.context().attributes().serviceClass(), RequestCounters.Result.PASSED);
        establishedAttempts.add(up);
        up.backend().establishedAttempts().add(up);
        if (restored) {
            router.connectionRestored(up);
        } else {
            router.connectionEstablished(up);
        }
        return true;
    }

    /** All tries that stand; a live view. */
    public Collection<Attempt> establishedAttempts() {
        return establishedAttempts;
    }

    /** A standing connection is over. */
    public void connectionEnded(Attempt up, Outcome outcome) {
        establishedAttempts.remove(up);
        up.backend().establishedAttempts().remove(up);
        if (outcome == Outcome.RESET) {
            resets.incrementAndGet();
        }
        router.attemptEnded(up.context(), outcome, true);
    }

    /** A line came back on a standing connection. */
    void lineReceived(Attempt up, BackendMessage answer) {
        if (answer.kind() == BackendMessage.Kind.LOAD) {
            loadReported(up, answer.load());
            return;
        }
        Instant since = up.takeUnansweredSince();
        if (since != null) {
            up.backend().recordResponseDelay(Duration.between(since, clock.now()));
        }
    }

    /**
     * A told figure. Backends use the one word LOAD for both notes: taken as a load, a message
     * delay of 300 ms would make its connection the lightest of all, and the module would never
     * hear of the jam.
     */
    private void loadReported(Attempt up, double figure) {
        if (figure < 0) {
            Log.warn("load.malformed", "peer", up.backend().entry().uid());
        } else if (up.backend().isDelayReport(up, figure, clock.now())) {
            router.delayReported(up, Duration.ofNanos((long) (figure * 1e6)));
        } else {
            up.setLoad(figure);
            router.loadReported(up, figure);
        }
    }

    /**
     * Once a second: tells the module where messages take long, on one connection each, or no more.
     */
    void reportDelays() {
        Instant now = clock.now();
        for (Backend peer : backends.all()) {
            Duration delay = peer.takeMedianDelay(now);
            if (delay == null) {
                continue;
            }
            boolean slow = delay.compareTo(config.minMessageLatencyTarget().dividedBy(3)) > 0;
            if (slow | peer.markSlow(slow)) {
                peer.establishedAttempts().stream()
                        .findFirst()
                        .ifPresent(up -> router.delayReported(up, delay));
            }
        }
    }

    /** Writes the totals to the log; accepted: how many connections have come since the start. */
    void logTotals(int clients, long accepted, Object... more) {
        Runtime jvm = Runtime.getRuntime();
        Object[] pairs = {
            "clients",
            clients,
            "accepted",
            accepted,
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
        Object[] all = Arrays.copyOf(pairs, pairs.length + more.length);
        System.arraycopy(more, 0, all, pairs.length, more.length);
        Log.info("totals", all);
    }
}

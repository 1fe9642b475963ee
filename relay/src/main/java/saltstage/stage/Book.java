package saltstage.stage;

import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.util.Arrays;
import java.util.Collection;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import saltstage.Api.Effect;
import saltstage.Api.Outcome;
import saltstage.Api.Scope;
import saltstage.Api.ServiceClass;
import saltstage.config.Configuration;
import saltstage.log.Log;
import saltstage.memory.MonotonicClock;
import saltstage.memory.Peer;
import saltstage.memory.Peers;
import saltstage.memory.RequestContext;
import saltstage.memory.RequestContext.Phase;
import saltstage.memory.Try;
import saltstage.metrics.Counts;
import saltstage.metrics.ProcessUsage;
import saltstage.wire.Answer;

/**
 * Books what became of requests: the one final answer, the outcome for the module, loads and
 * delays.
 */
public final class Book {
    /** A close with unread input resets the connection and may take the answer with it. */
    static final Duration LINGER = Duration.ofMillis(800);

    /** What a client is told that says more than its first line before it has its answer. */
    static final String ONE_LINE = "only one line before the answer";

    private final Configuration config;
    private final MonotonicClock clock;
    private final Peers peers;
    private final Counts counts;
    private Route route;
    private final Set<Try> standing = ConcurrentHashMap.newKeySet();
    private final AtomicLong taken = new AtomicLong();
    private final AtomicLong stood = new AtomicLong();
    private final AtomicLong rejected = new AtomicLong();
    private final AtomicLong failed = new AtomicLong();
    private final AtomicLong left = new AtomicLong();
    private final AtomicLong resets = new AtomicLong();
    private final AtomicLong threadless = new AtomicLong();

    Book(Configuration config, MonotonicClock clock, Peers peers, Counts counts) {
        this.counts = counts;
        this.config = config;
        this.clock = clock;
        this.peers = peers;
    }

    void route(Route to) {
        route = to;
    }

    void taken() {
        taken.incrementAndGet();
    }

    /** A request was refused before it was admitted, as there was no room for it. */
    void refusedAtOnce(int serviceClass) {
        taken.incrementAndGet();
        rejected.incrementAndGet();
        counts.ended(serviceClass, Counts.End.DROPPED);
    }

    /** A request was refused before it was admitted, as there was no thread for it. */
    void refusedForThreads() {
        threadless.incrementAndGet();
    }

    /** A try was written whole. */
    public void written() {
        counts.tried();
    }

    /** The final answer 'refused', with the advice when to come again. */
    void reject(RequestContext context, Duration retryAfter) {
        if (context.end(Phase.WAITING)) {
            tellRejected(context, retryAfter);
        }
    }

    private void tellRejected(RequestContext context, Duration retryAfter) {
        rejected.incrementAndGet();
        counts.ended(context.terms().serviceClass(), Counts.End.DROPPED);
        context.client().refused(retryAfter);
    }

    private void tellFailed(RequestContext context, String why) {
        failed.incrementAndGet();
        counts.ended(context.terms().serviceClass(), Counts.End.BAD_GATEWAY);
        context.client().failed(why);
    }

    private static void giveUp(Try out) {
        if (out != null) {
            out.giveUp();
        }
    }

    /**
     * The relay leaves: what waits gets its final answer, and the try that is out is given up. What
     * may have run is refused only where it may simply be repeated; the module hears of no end that
     * it could act on.
     */
    void leave(RequestContext context) {
        if (!context.end(Phase.WAITING)) {
            return;
        }
        Try out = context.current(); // the last one: who has ended begins none
        ServiceClass service = config.settings().classes().get(context.terms().serviceClass());
        boolean harmless =
                service.effect() == Effect.SAFE
                        || service.effect() == Effect.KEYED && service.scope() == Scope.ALL;
        if (out == null || harmless) {
            tellRejected(context, Duration.ZERO);
        } else {
            tellFailed(context, "failed");
        }
        giveUp(out);
    }

    /** The final answer that promises nothing. */
    public void fail(RequestContext context) {
        fail(context, "failed");
    }

    /**
     * The client has not waited for its answer: what it asked in that form is nothing a backend may
     * get.
     */
    void failEarly(RequestContext context) {
        if (fail(context, ONE_LINE)) {
            Log.warn(
                    "client.malformed",
                    "from",
                    context.client().remote(),
                    "answer",
                    "ERR " + ONE_LINE);
            route.left(context);
        }
    }

    private boolean fail(RequestContext context, String why) {
        if (!context.end(Phase.WAITING)) {
            return false;
        }
        tellFailed(context, why);
        giveUp(context.current());
        return true;
    }

    /** A line that is not waited for. */
    void tell(LineClient client, String line) {
        try {
            client.send(line);
        } catch (IOException gone) {
            Log.info("client.broken", "why", gone.getMessage());
        }
    }

    /** The client left before its answer: the try is given up, and who makes it books its end. */
    public void left(RequestContext context) {
        left.incrementAndGet();
        Try out = context.current();
        route.left(context);
        giveUp(out);
    }

    /**
     * The module sent what could not be sent: the peer has left the list, or nothing is owed any
     * more.
     */
    void unsent(RequestContext context) {
        route.outcome(context, Outcome.MOOT, context.phase() == Phase.ENDED);
    }

    /** A try ended before it stood. */
    public void ended(Try ended, Outcome outcome) {
        if (!outcome.neverRan()) {
            ended.context().mayHaveRun(ended.sentAt());
        }
        boolean over = ended.context().phase() == Phase.ENDED;
        route.outcome(ended.context(), over ? Outcome.CANCELLED : outcome, over);
    }

    /** The backend has taken it; false where the client is past it. */
    public boolean standing(Try up, boolean restored) {
        if (!up.context().stand()) {
            return false;
        }
        stood.incrementAndGet();
        counts.ended(up.context().terms().serviceClass(), Counts.End.PASSED);
        standing.add(up);
        up.peer().standing().add(up);
        if (restored) {
            route.restored(up);
        } else {
            route.standing(up);
        }
        return true;
    }

    /** All tries that stand; a live view. */
    public Collection<Try> standing() {
        return standing;
    }

    /** A standing connection is over. */
    public void over(Try up, Outcome outcome) {
        standing.remove(up);
        up.peer().standing().remove(up);
        if (outcome == Outcome.RESET) {
            resets.incrementAndGet();
        }
        route.outcome(up.context(), outcome, true);
    }

    /** A line came back on a standing connection. */
    void heard(Try up, Answer answer) {
        if (answer.kind() == Answer.Kind.LOAD) {
            told(up, answer.load());
            return;
        }
        Instant since = up.takeUnanswered();
        if (since != null) {
            up.peer().answered(Duration.between(since, clock.now()));
        }
    }

    /**
     * A told figure. Backends use the one word LOAD for both notes: taken as a load, a message
     * delay of 300 ms would make its connection the lightest of all, and the module would never
     * hear of the jam.
     */
    private void told(Try up, double figure) {
        if (figure < 0) {
            Log.warn("load.malformed", "peer", up.peer().entry().uid());
        } else if (up.peer().tellsDelay(up, figure, clock.now())) {
            route.delay(up, Duration.ofNanos((long) (figure * 1e6)));
        } else {
            up.load(figure);
            route.load(up, figure);
        }
    }

    /**
     * Once a second: tells the module where messages take long, on one connection each, or no more.
     */
    void tellDelays() {
        Instant now = clock.now();
        for (Peer peer : peers.all()) {
            Duration delay = peer.takeDelay(now);
            if (delay == null) {
                continue;
            }
            boolean slow = delay.compareTo(config.shortestMessageAim().dividedBy(3)) > 0;
            if (slow | peer.markSlow(slow)) {
                peer.standing().stream().findFirst().ifPresent(up -> route.delay(up, delay));
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
            standing.size(),
            "taken",
            taken,
            "stood",
            stood,
            "rejected",
            rejected,
            "failed",
            failed,
            "left",
            left,
            "resets",
            resets,
            "threadless",
            threadless,
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

package saltstage.stage;

import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.util.Arrays;
import java.util.concurrent.atomic.AtomicLong;
import saltstage.Api.Outcome;
import saltstage.config.Configuration;
import saltstage.log.Log;
import saltstage.memory.ClientConnection;
import saltstage.memory.MonotonicClock;
import saltstage.memory.Peer;
import saltstage.memory.Peers;
import saltstage.memory.RequestContext;
import saltstage.memory.RequestContext.Phase;
import saltstage.memory.Timers;
import saltstage.memory.Try;
import saltstage.wire.Answer;
import saltstage.wire.MalformedException;

/** Books what became of requests: the one final answer, the outcome for the module, loads and delays. */
public final class Book {
    /** A close with unread input resets the connection and may take the answer with it. */
    static final Duration LINGER = Duration.ofMillis(800);
    static final int MOST_IGNORED = 64 << 10;
    /** What a client is told that says more than its first line before it has its answer. */
    static final String ONE_LINE = "only one line before the answer";

    private final Configuration config;
    private final MonotonicClock clock;
    private final Timers timers;
    private final Peers peers;
    private Route route;
    private final AtomicLong taken = new AtomicLong();
    private final AtomicLong stood = new AtomicLong();
    private final AtomicLong rejected = new AtomicLong();
    private final AtomicLong failed = new AtomicLong();
    private final AtomicLong left = new AtomicLong();
    private final AtomicLong resets = new AtomicLong();

    Book(Configuration config, MonotonicClock clock, Timers timers, Peers peers) {
        this.config = config;
        this.clock = clock;
        this.timers = timers;
        this.peers = peers;
    }

    void route(Route to) {
        route = to;
    }

    void taken() {
        taken.incrementAndGet();
    }

    /** The final answer BUSY, with the advice when to come again. */
    void reject(RequestContext context, Duration retryAfter) {
        if (context.end(Phase.WAITING)) {
            rejected.incrementAndGet();
            answer(context.client(), retryAfter.isZero() ? "BUSY" : "BUSY " + retryAfter.toMillis());
        }
    }

    /** The final answer that promises nothing. */
    void fail(RequestContext context) {
        fail(context, "failed");
    }

    /** The client has not waited for its answer: what it asked in that form is nothing a backend may get. */
    void failEarly(RequestContext context) {
        if (fail(context, ONE_LINE)) {
            Log.warn("client.malformed", "from", context.client().remote(), "answer", "ERR " + ONE_LINE);
            route.left(context);
        }
    }

    private boolean fail(RequestContext context, String why) {
        if (!context.end(Phase.WAITING)) {
            return false;
        }
        failed.incrementAndGet();
        answer(context.client(), "ERR " + why);
        Try out = context.current();
        if (out != null) {
            out.giveUp();
        }
        return true;
    }

    /** One error line and the end, for a client whose first line is no request. */
    void turnAway(ClientConnection client, String event, String line) throws IOException {
        Log.warn(event, "from", client.remote(), "answer", line);
        client.send(line);
        client.endAnswered(LINGER, MOST_IGNORED);
    }

    /** A few bytes on a connection that carried none before: this does not block. */
    private void answer(ClientConnection client, String line) {
        try {
            client.send(line);
        } catch (IOException gone) {
            Log.info("client.broken", "why", gone.getMessage());
        }
        client.endSending();
        timers.after(LINGER, client::close);
    }

    /** The client left before its answer: the try is given up, and its thread books its end. */
    void left(RequestContext context) {
        left.incrementAndGet();
        Try out = context.current();
        route.left(context);
        if (out != null) {
            out.giveUp();
        }
    }

    /** The module sent what could not be sent: the peer has left the list, or nothing is owed any more. */
    void unsent(RequestContext context) {
        route.outcome(context, Outcome.MOOT, context.phase() == Phase.ENDED);
    }

    /** A try ended before it stood. */
    void ended(Try ended, Outcome outcome) {
        boolean over = ended.context().phase() == Phase.ENDED;
        route.outcome(ended.context(), over ? Outcome.CANCELLED : outcome, over);
    }

    /** The backend said UP; false where the client is past it. */
    boolean standing(Try up, boolean restored) {
        if (!up.context().stand()) {
            return false;
        }
        stood.incrementAndGet();
        if (restored) {
            try {
                route.restored(up);
            } catch (MalformedException checkedBefore) {
                throw new IllegalStateException(checkedBefore);
            }
        } else {
            route.standing(up);
        }
        return true;
    }

    /** A standing connection is over. */
    void over(Try up, Outcome outcome) {
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
     * A told figure. Backends use the one word LOAD for both notes: taken as a load, a message delay of 300
     * ms would make its connection the lightest of all, and the module would never hear of the jam.
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

    /** Once a second: tells the module where messages take long, on one connection each, or no more. */
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

    /** Writes the totals to the log. */
    void logTotals(int clients, int standing, Object... more) {
        Runtime jvm = Runtime.getRuntime();
        Object[] pairs = {"clients", clients, "standing", standing, "taken", taken, "stood", stood,
            "rejected", rejected, "failed", failed, "left", left, "resets", resets,
            "heap_kb", (jvm.totalMemory() - jvm.freeMemory()) >> 10};
        Object[] all = Arrays.copyOf(pairs, pairs.length + more.length);
        System.arraycopy(more, 0, all, pairs.length, more.length);
        Log.info("totals", all);
    }
}

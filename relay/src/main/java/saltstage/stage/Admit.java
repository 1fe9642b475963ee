package saltstage.stage;

import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import saltstage.Api;
import saltstage.config.Configuration;
import saltstage.log.Log;
import saltstage.memory.ClientConnection;
import saltstage.memory.MonotonicClock;
import saltstage.memory.RequestContext;
import saltstage.memory.Terms;
import saltstage.memory.Timers;
import saltstage.wire.MalformedException;
import saltstage.wire.OpenLine;

/**
 * Decides whether the relay itself can take a request: room for sockets, names that the settings
 * know.
 */
public final class Admit {
    /**
     * Descriptors of the relay itself: the jar, the listener, discovery, the log, a reload, probes.
     */
    private static final int RESERVED_SOCKETS = 40;

    private static final int MOST_IN_DOORWAY = 512;
    private static final int LEAST_IN_DOORWAY = 8;

    /** The answer takes its way back too: the relay's clock must run out before the client's. */
    private static final Duration MARGIN = Duration.ofMillis(15);

    /** A module that has not answered so long after the deadline has lost the request. */
    private static final Duration OVERDUE = Duration.ofMillis(25);

    private static final Duration RESTORE = Duration.ofSeconds(35);

    private final Configuration config;
    private final MonotonicClock clock;
    private final Timers timers;
    private final Route route;
    private final LineTry tries;
    private final Book book;
    private volatile int sockets;
    private volatile int reserved;
    private final AtomicLong ids = new AtomicLong();
    private final Set<String> open = ConcurrentHashMap.newKeySet();

    Admit(
            Configuration config,
            MonotonicClock clock,
            Timers timers,
            Route route,
            LineTry tries,
            Book book) {
        this.config = config;
        sockets = config.sockets();
        this.clock = clock;
        this.timers = timers;
        this.route = route;
        this.tries = tries;
        this.book = book;
    }

    /**
     * Room for connections without a request: what a third for clients and as much for backends
     * leaves.
     */
    static int doorway(int sockets) {
        int left = sockets - 2 * (sockets / 3) - RESERVED_SOCKETS;
        return Math.max(LEAST_IN_DOORWAY, Math.min(MOST_IN_DOORWAY, left));
    }

    /** Requests that may be held: each takes a client's descriptor and a backend's. */
    static int requests(int sockets) {
        return (sockets - RESERVED_SOCKETS - doorway(sockets)) / 2;
    }

    /**
     * Whether a request is refused as there is no room for it beside those that are admitted and so
     * many that are about to be: the last descriptors are for the backends of those that are
     * already here.
     */
    boolean refuses(OpenLine line, int arriving) throws MalformedException {
        if (open.size() + arriving < requests(sockets - reserved)) {
            return false;
        }
        int serviceClass = config.serviceClass(line.field("c"));
        logFull();
        book.refusedAtOnce(serviceClass);
        return true;
    }

    private void logFull() {
        Log.warn("admit.full", "requests", open.size(), "sockets", sockets);
    }

    /** Admits a request and has it routed. */
    RequestContext admit(LineClient client, OpenLine line) throws MalformedException, IOException {
        Instant now = clock.now();
        int serviceClass = config.serviceClass(line.field("c"));
        Terms terms =
                new Terms(
                        line.id(),
                        serviceClass,
                        config.tenant(line.field("t")),
                        line.key(),
                        line.field("g"),
                        line.number("h", Api.NONE),
                        line.marked("again"));
        String at = line.field("at");
        Duration patience = line.patience(config.giveUp(serviceClass));
        Instant deadline = now.plus(at != null ? RESTORE : patience).minus(MARGIN);
        if (client.lines().moreHasCome()) {
            // Several commands at once: the first would stand, and the others would come to its
            // backend.
            throw new MalformedException(Book.ONE_LINE);
        }
        if (!open.add(line.id())) {
            // Passed on, another's id would be a second copy of that request at a backend.
            throw new MalformedException("id is in use");
        }
        client.asks(line);
        RequestContext context = new RequestContext(ids.incrementAndGet(), terms, deadline, client);
        book.taken();
        if (client.lines().isOver()) {
            // Its line was read late, and it did not wait: nothing may be sent anywhere for who has
            // left.
            context.end(RequestContext.Phase.WAITING);
            book.left(context);
        } else if (open.size() > requests(sockets - reserved)) {
            logFull();
            book.reject(context, config.longestRetryAfter());
        } else if (at != null) {
            tries.restore(context, at);
        } else {
            begin(context, now);
        }
        return context;
    }

    /**
     * Takes a request of a front that knows its own limits and has it routed. The context is handed
     * over before that, as the answer may come at once and on another thread.
     */
    public void take(
            ClientConnection client,
            Terms terms,
            Duration patience,
            Consumer<RequestContext> taken) {
        Instant now = clock.now();
        RequestContext context =
                new RequestContext(
                        ids.incrementAndGet(), terms, now.plus(patience).minus(MARGIN), client);
        book.taken();
        taken.accept(context);
        begin(context, now);
    }

    private void begin(RequestContext context, Instant now) {
        route.request(context);
        timers.after(
                Duration.between(now, context.deadline()).plus(OVERDUE), () -> overdue(context));
    }

    /** So many descriptors are another front's; said before clients come. */
    public void reserve(int descriptors) {
        reserved += descriptors;
    }

    /** So many descriptors are the relay's now; what is over that already stays. */
    void descriptors(int most) {
        sockets = most;
    }

    /** What the relay itself needs, and two for each request. */
    int descriptorsInUse() {
        return RESERVED_SOCKETS + reserved + 2 * open.size();
    }

    /** The request's connection is over: its id may be used anew. */
    void release(RequestContext context) {
        open.remove(context.terms().name());
    }

    /** How many requests wait or stand. */
    int requests() {
        return open.size();
    }

    private void overdue(RequestContext context) {
        if (context.phase() == RequestContext.Phase.WAITING) {
            Log.warn("request.overdue", "id", context.terms().name());
            book.fail(context);
        }
    }

    /** The answer to a client that there is no room for. */
    String busy() {
        return LineClient.busy(config.longestRetryAfter());
    }
}

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
import saltstage.session.ClientConnection;
import saltstage.session.MonotonicClock;
import saltstage.session.RequestAttributes;
import saltstage.session.RequestContext;
import saltstage.session.Timers;
import saltstage.wire.MalformedException;
import saltstage.wire.OpenRequest;

/**
 * Decides whether the relay itself can take a request: room for sockets, names that the settings
 * know.
 */
public final class AdmissionControl {
    /**
     * Descriptors of the relay itself: the jar, the listener, discovery, the log, a reload, probes.
     */
    private static final int RESERVED_DESCRIPTORS = 40;

    private static final int MAX_PENDING_CLIENT_LIMIT = 512;
    private static final int MIN_PENDING_CLIENT_LIMIT = 8;

    /** The answer takes its way back too: the relay's clock must run out before the client's. */
    private static final Duration DEADLINE_MARGIN = Duration.ofMillis(15);

    /** A module that has not answered so long after the deadline has lost the request. */
    private static final Duration OVERDUE_GRACE = Duration.ofMillis(25);

    private static final Duration RESTORE_TIMEOUT = Duration.ofSeconds(35);

    private final Configuration config;
    private final MonotonicClock clock;
    private final Timers timers;
    private final Router router;
    private final LineAttemptRunner attemptRunner;
    private final OutcomeRecorder outcomeRecorder;
    private volatile int descriptorLimit;
    private volatile int reservedDescriptors;
    private final AtomicLong lastRequestId = new AtomicLong();
    private final Set<String> openRequestIds = ConcurrentHashMap.newKeySet();

    AdmissionControl(
            Configuration config,
            MonotonicClock clock,
            Timers timers,
            Router route,
            LineAttemptRunner tries,
            OutcomeRecorder book) {
        this.config = config;
        descriptorLimit = config.maxSockets();
        this.clock = clock;
        this.timers = timers;
        this.router = route;
        this.attemptRunner = tries;
        this.outcomeRecorder = book;
    }

    /**
     * Room for connections without a request: what a third for clients and as much for backends
     * leaves.
     */
    static int maxPendingClients(int sockets) {
        int left = sockets - 2 * (sockets / 3) - RESERVED_DESCRIPTORS;
        return Math.max(MIN_PENDING_CLIENT_LIMIT, Math.min(MAX_PENDING_CLIENT_LIMIT, left));
    }

    /** Requests that may be held: each takes a client's descriptor and a backend's. */
    static int maxRequests(int sockets) {
        return (sockets - RESERVED_DESCRIPTORS - maxPendingClients(sockets)) / 2;
    }

    /**
     * Whether a request is refused as there is no room for it beside those that are admitted and so
     * many that are about to be: the last descriptors are for the backends of those that are
     * already here.
     */
    boolean rejectIfFull(OpenRequest line, int arriving) throws MalformedException {
        if (openRequestIds.size() + arriving < maxRequests(descriptorLimit - reservedDescriptors)) {
            return false;
        }
        int serviceClass = config.serviceClassIndex(line.field("c"));
        logFull();
        outcomeRecorder.rejectedBeforeAdmission(serviceClass);
        return true;
    }

    private void logFull() {
        Log.warn("admit.full", "requests", openRequestIds.size(), "sockets", descriptorLimit);
    }

    /** Admits a request and has it routed. */
    RequestContext admit(LineClient client, OpenRequest line)
            throws MalformedException, IOException {
        Instant now = clock.now();
        int serviceClass = config.serviceClassIndex(line.field("c"));
        RequestAttributes terms =
                new RequestAttributes(
                        line.id(),
                        serviceClass,
                        config.tenantIndex(line.field("t")),
                        line.key(),
                        line.field("g"),
                        line.numericField("h", Api.NONE),
                        line.hasFlag("again"));
        String at = line.field("at");
        Duration patience = line.clientTimeout(config.clientTimeout(serviceClass));
        Instant deadline = now.plus(at != null ? RESTORE_TIMEOUT : patience).minus(DEADLINE_MARGIN);
        if (client.reader().hasMoreInput()) {
            // Several commands at once: the first would stand, and the others would come to its
            // backend.
            throw new MalformedException(OutcomeRecorder.ONE_LINE_ONLY_ERROR);
        }
        if (!openRequestIds.add(line.id())) {
            // Passed on, another's id would be a second copy of that request at a backend.
            throw new MalformedException("id is in use");
        }
        client.setOpenRequest(line);
        RequestContext context =
                new RequestContext(lastRequestId.incrementAndGet(), terms, deadline, client);
        outcomeRecorder.requestReceived();
        if (client.reader().isEndOfInput()) {
            // Its line was read late, and it did not wait: nothing may be sent anywhere for who has
            // left.
            context.end(RequestContext.Phase.WAITING);
            outcomeRecorder.clientLeft(context);
        } else if (openRequestIds.size() > maxRequests(descriptorLimit - reservedDescriptors)) {
            logFull();
            outcomeRecorder.reject(context, config.maxRetryAfter());
        } else if (at != null) {
            attemptRunner.restore(context, at);
        } else {
            startRouting(context, now);
        }
        return context;
    }

    /**
     * Takes a request of a front that knows its own limits and has it routed. The context is handed
     * over before that, as the answer may come at once and on another thread.
     */
    public void admitFromFrontend(
            ClientConnection client,
            RequestAttributes terms,
            Duration patience,
            Consumer<RequestContext> taken) {
        Instant now = clock.now();
        RequestContext context =
                new RequestContext(
                        lastRequestId.incrementAndGet(),
                        terms,
                        now.plus(patience).minus(DEADLINE_MARGIN),
                        client);
        outcomeRecorder.requestReceived();
        taken.accept(context);
        startRouting(context, now);
    }

    private void startRouting(RequestContext context, Instant now) {
        router.requestAdmitted(context);
        timers.schedule(
                Duration.between(now, context.deadline()).plus(OVERDUE_GRACE),
                () -> failIfOverdue(context));
    }

    /** So many descriptors are another front's; said before clients come. */
    public void reserveDescriptors(int descriptors) {
        reservedDescriptors += descriptors;
    }

    /** So many descriptors are the relay's now; what is over that already stays. */
    void setDescriptorLimit(int most) {
        descriptorLimit = most;
    }

    /** What the relay itself needs, and two for each request. */
    int descriptorsInUse() {
        return RESERVED_DESCRIPTORS + reservedDescriptors + 2 * openRequestIds.size();
    }

    /** The request's connection is over: its id may be used anew. */
    void release(RequestContext context) {
        openRequestIds.remove(context.attributes().clientRequestId());
    }

    /** How many requests wait or stand. */
    int requestCount() {
        return openRequestIds.size();
    }

    private void failIfOverdue(RequestContext context) {
        if (context.phase() == RequestContext.Phase.WAITING) {
            Log.warn("request.overdue", "id", context.attributes().clientRequestId());
            outcomeRecorder.fail(context);
        }
    }

    /** The answer to a client that there is no room for. */
    String busyLine() {
        return LineClient.busyLine(config.maxRetryAfter());
    }
}

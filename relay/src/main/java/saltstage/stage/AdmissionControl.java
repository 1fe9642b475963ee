package saltstage.stage;

import java.io.IOException;
import java.lang.ref.WeakReference;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.time.Instant;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import saltstage.Api;
import saltstage.Api.Idempotency;
import saltstage.config.Configuration;
import saltstage.log.Log;
import saltstage.session.ClientConnection;
import saltstage.session.MonotonicClock;
import saltstage.session.RequestAttributes;
import saltstage.session.RequestContext;
import saltstage.session.RequestIdTable;
import saltstage.session.Timers;
import saltstage.wire.MalformedException;
import saltstage.wire.OpenRequest;

/**
 * Decides whether the relay can accept a request: whether descriptors are left, and whether the
 * configuration knows the names that the request uses.
 */
public final class AdmissionControl {
    /**
     * Descriptors that the relay needs for itself: the jar, the listener, discovery, the log, a
     * configuration reload and probes.
     */
    private static final int RESERVED_DESCRIPTORS = 40;

    private static final int MAX_PENDING_CLIENT_LIMIT = 512;
    private static final int MIN_PENDING_CLIENT_LIMIT = 8;

    /** The relay must give up before the client does, as the answer still has to travel back. */
    private static final Duration DEADLINE_MARGIN = Duration.ofMillis(15);

    /**
     * When the load balancer has decided nothing this long after the deadline, it has lost the
     * request.
     */
    private static final Duration OVERDUE_GRACE = Duration.ofMillis(25);

    /** How long at least an id is known after its request has ended. */
    private static final Duration MIN_USED_ID_RETENTION = Duration.ofMinutes(1);

    private static final int CLIENT_TRIES = 3;

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

    /** The ids of requests that may not run twice; null if there is no class of such requests. */
    private volatile RequestIdTable unrepeatableIds;

    AdmissionControl(
            Configuration config,
            MonotonicClock clock,
            Timers timers,
            Router router,
            LineAttemptRunner attemptRunner,
            OutcomeRecorder outcomeRecorder) {
        this.config = config;
        descriptorLimit = config.maxSockets();
        this.clock = clock;
        this.timers = timers;
        this.router = router;
        this.attemptRunner = attemptRunner;
        this.outcomeRecorder = outcomeRecorder;
        if (hasUnrepeatableClass(config)) {
            unrepeatableIds =
                    new RequestIdTable(
                            ByteBuffer.allocateDirect(RequestIdTable.BYTES), config.seed());
        }
    }

    /** Returns whether requests of some class may not run twice. */
    public static boolean hasUnrepeatableClass(Configuration config) {
        return config.settings().serviceClasses().stream()
                .anyMatch(serviceClass -> serviceClass.idempotency() != Idempotency.IDEMPOTENT);
    }

    /**
     * Uses a table that another process of this relay may use too; called before clients connect.
     */
    public void useRequestIds(RequestIdTable shared) {
        unrepeatableIds = shared;
    }

    /**
     * Returns the maximum number of connections without a request. A third of the descriptors is
     * set aside for clients and a third for backends; these connections use the remainder.
     */
    static int maxPendingClients(int sockets) {
        int remaining = sockets - 2 * (sockets / 3) - RESERVED_DESCRIPTORS;
        return Math.max(MIN_PENDING_CLIENT_LIMIT, Math.min(MAX_PENDING_CLIENT_LIMIT, remaining));
    }

    /**
     * Returns the maximum number of open requests; each needs one descriptor for the client and one
     * for the backend.
     */
    static int maxRequests(int sockets) {
        return (sockets - RESERVED_DESCRIPTORS - maxPendingClients(sockets)) / 2;
    }

    /**
     * Rejects a request if there is no room for it beside the admitted requests and the given
     * number of requests that are about to be admitted. The last descriptors are reserved for the
     * backend connections of requests that are already here.
     */
    boolean rejectIfFull(OpenRequest openRequest, int arriving) throws MalformedException {
        if (openRequestIds.size() + arriving < maxRequests(descriptorLimit - reservedDescriptors)) {
            return false;
        }
        int serviceClass = config.serviceClassIndex(openRequest.field("c"));
        logFull();
        outcomeRecorder.rejectedBeforeAdmission(serviceClass);
        return true;
    }

    private void logFull() {
        Log.warn("admit.full", "requests", openRequestIds.size(), "sockets", descriptorLimit);
    }

    /** Admits a request and hands it to the router. */
    RequestContext admit(LineClient client, OpenRequest openRequest)
            throws MalformedException, IOException {
        Instant now = clock.now();
        int serviceClass = config.serviceClassIndex(openRequest.field("c"));
        RequestAttributes attributes = attributesOf(openRequest, serviceClass);
        String backendId = openRequest.field("at");
        Duration timeout = openRequest.clientTimeout(config.clientTimeout(serviceClass));
        Instant deadline =
                now.plus(backendId != null ? RESTORE_TIMEOUT : timeout).minus(DEADLINE_MARGIN);
        if (client.reader().hasMoreInput()) {
            // The client sent several commands at once. The first would be established, and the
            // others would be passed to its backend.
            throw new MalformedException(OutcomeRecorder.ONE_LINE_ONLY_ERROR);
        }
        if (!openRequestIds.add(openRequest.id())) {
            // A second request with the same id would look like a duplicate of the first one to a
            // backend.
            throw new MalformedException("id is in use");
        }
        RequestIdTable.Claim claim = claimId(openRequest.id(), serviceClass, now);
        if (claim == RequestIdTable.Claim.USED && backendId == null) {
            openRequestIds.remove(openRequest.id());
            throw new MalformedException("id was used before");
        }
        client.setOpenRequest(openRequest);
        RequestContext context =
                new RequestContext(lastRequestId.incrementAndGet(), attributes, deadline, client);
        outcomeRecorder.requestReceived();
        if (client.reader().isEndOfInput()) {
            // The client left before its line was read. Nothing may be sent to a backend for a
            // client that has left.
            context.end(RequestContext.Phase.WAITING);
            outcomeRecorder.clientLeft(context);
        } else if (openRequestIds.size() > maxRequests(descriptorLimit - reservedDescriptors)
                || claim == RequestIdTable.Claim.NO_ROOM) {
            logFull();
            outcomeRecorder.reject(context, config.maxRetryAfter());
        } else if (backendId != null) {
            attemptRunner.restore(context, backendId);
        } else {
            startRouting(context, now);
        }
        return context;
    }

    private RequestAttributes attributesOf(OpenRequest openRequest, int serviceClass)
            throws MalformedException {
        return new RequestAttributes(
                openRequest.id(),
                serviceClass,
                config.tenantIndex(openRequest.field("t")),
                openRequest.key(),
                openRequest.field("g"),
                openRequest.numericField("h", Api.NONE),
                openRequest.hasFlag("again"));
    }

    /**
     * Admits a request from a frontend that enforces its own limits, and hands it to the router.
     * The context is passed to the consumer before that, because the answer may come at once and on
     * another thread.
     */
    public void admitFromFrontend(
            ClientConnection client,
            RequestAttributes attributes,
            Duration clientTimeout,
            Consumer<RequestContext> onAdmitted) {
        Instant now = clock.now();
        RequestContext context =
                new RequestContext(
                        lastRequestId.incrementAndGet(),
                        attributes,
                        now.plus(clientTimeout).minus(DEADLINE_MARGIN),
                        client);
        outcomeRecorder.requestReceived();
        onAdmitted.accept(context);
        startRouting(context, now);
    }

    private void startRouting(RequestContext context, Instant now) {
        router.requestAdmitted(context);
        // The router holds a request that waits. The timer must not hold one that has ended, with
        // its client and all that the client has sent, until the deadline.
        WeakReference<RequestContext> waiting = new WeakReference<>(context);
        timers.schedule(
                Duration.between(now, context.deadline()).plus(OVERDUE_GRACE),
                () -> failIfOverdue(waiting.get()));
    }

    /** Reserves descriptors for another frontend; called before clients connect. */
    public void reserveDescriptors(int descriptors) {
        reservedDescriptors += descriptors;
    }

    /**
     * Sets the number of descriptors that the relay may use. Requests beyond a lower limit stay
     * open.
     */
    void setDescriptorLimit(int limit) {
        descriptorLimit = limit;
    }

    /**
     * Returns the number of descriptors in use: those reserved for the relay, and two for each
     * request.
     */
    int descriptorsInUse() {
        return RESERVED_DESCRIPTORS + reservedDescriptors + 2 * openRequestIds.size();
    }

    /** Releases the id of a request whose connection has ended, so that it may be used again. */
    void release(RequestContext context) {
        String id = context.attributes().clientRequestId();
        if (isUnrepeatable(context.attributes().serviceClass())) {
            // Without an attempt it has not run, and the client may come again with it.
            Instant now = clock.now();
            boolean mayHaveRun = context.currentAttempt() != null;
            unrepeatableIds.release(id, mayHaveRun ? now.plus(usedIdRetention()) : now);
        }
        openRequestIds.remove(id);
    }

    /** Claims the id of a request that may not run twice; any other id counts as new. */
    private RequestIdTable.Claim claimId(String id, int serviceClass, Instant now) {
        return isUnrepeatable(serviceClass)
                ? unrepeatableIds.claim(id, now)
                : RequestIdTable.Claim.NEW;
    }

    private boolean isUnrepeatable(int serviceClass) {
        return config.settings().serviceClasses().get(serviceClass).idempotency()
                != Idempotency.IDEMPOTENT;
    }

    /** A client tries up to three times, each for as long as the class allows. */
    private Duration usedIdRetention() {
        Duration tries = config.maxClientTimeout().multipliedBy(CLIENT_TRIES);
        return tries.compareTo(MIN_USED_ID_RETENTION) > 0 ? tries : MIN_USED_ID_RETENTION;
    }

    /** Returns the number of requests that are waiting or established. */
    int requestCount() {
        return openRequestIds.size();
    }

    private void failIfOverdue(RequestContext context) {
        if (context != null && context.phase() == RequestContext.Phase.WAITING) {
            Log.warn("request.overdue", "id", context.attributes().clientRequestId());
            outcomeRecorder.fail(context);
        }
    }

    /** Returns the answer to a client that is rejected for lack of room. */
    String busyLine() {
        return LineClient.busyLine(config.maxRetryAfter());
    }
}

package saltstage.stage;

import java.time.Duration;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Consumer;
import java.util.function.Predicate;
import saltstage.Api;
import saltstage.Api.BackendListKind;
import saltstage.Api.ConnectionReport;
import saltstage.Api.Health;
import saltstage.Api.ListedBackend;
import saltstage.Api.Outcome;
import saltstage.Api.Request;
import saltstage.LoadBalancer;
import saltstage.config.Configuration;
import saltstage.log.Log;
import saltstage.session.Attempt;
import saltstage.session.Backend;
import saltstage.session.MonotonicClock;
import saltstage.session.RequestAttributes;
import saltstage.session.RequestContext;
import saltstage.session.Timers;
import saltstage.wire.BackendList;

/**
 * Feeds {@link LoadBalancer} one event at a time, in order, on one clock. Its decisions are
 * collected under the lock and carried out after it is released, by the thread that brought the
 * event; none of them blocks. This class alone converts the relay's names and times to the load
 * balancer's ids and microseconds and back.
 */
public final class Router {
    private static final long MAX_KEY = (1L << 53) - 1;

    private final Configuration config;
    private final MonotonicClock clock;
    private final Timers timers;
    private final RoutingActions actions;
    private final Predicate<String> suspensionCheck;
    private final LoadBalancer loadBalancer;
    private final ReentrantLock lock = new ReentrantLock(true);
    private final Map<Long, RequestContext> contexts = new ConcurrentHashMap<>();
    private List<Runnable> collectedActions = new ArrayList<>();

    /** The actions of the other stages that carry out decisions. */
    public interface RoutingActions {
        /** Starts the next attempt; a timeout of zero means the client's deadline. */
        void sendAttempt(RequestContext context, String backendId, Duration timeout);

        /** Rejects the request immediately. */
        void reject(RequestContext context, Duration retryAfter);

        /** Fails the request immediately. */
        void fail(RequestContext context);

        /** Moves the client of an established connection. */
        void moveClient(RequestContext context);

        /** Probes a backend for its load; never blocks. */
        void probe(String backendId);

        /** Subscribes to discovery. */
        void watchBackendList();
    }

    private interface BalancerEvent {
        void deliver(LoadBalancer balancer, long now);
    }

    /** Creates a router with a load balancer for this configuration. */
    public Router(
            Configuration config,
            MonotonicClock clock,
            Timers timers,
            RoutingActions actions,
            Predicate<String> suspensionCheck) {
        this.suspensionCheck = suspensionCheck;
        this.config = config;
        this.clock = clock;
        this.timers = timers;
        this.actions = actions;
        loadBalancer = new LoadBalancer(config.settings(), config.seed(), new ActionCollector());
    }

    /** Starts with the backend list that the relay last had. */
    public void start(BackendList known) {
        deliver(LoadBalancer::start);
        deliverBackendList(known, BackendListKind.CACHED);
    }

    /** Handles a backend list from discovery. */
    public void backendListReceived(BackendList list) {
        deliverBackendList(list, list.full() ? BackendListKind.FULL : BackendListKind.DELTA);
    }

    private void deliverBackendList(BackendList list, BackendListKind kind) {
        List<ListedBackend> backends = list.entries().stream().map(this::toListedBackend).toList();
        deliver((balancer, now) -> balancer.backendListReceived(now, kind, backends));
    }

    /**
     * Handles the suspension of a backend by an operator, or its end. To the load balancer, a
     * suspended backend is draining.
     */
    public void suspensionChanged(Backend backend) {
        deliver(
                (balancer, now) -> {
                    // The end of a backend is reported to the load balancer separately.
                    if (!backend.hasEnded()) {
                        balancer.backendListReceived(
                                now,
                                BackendListKind.DELTA,
                                List.of(toListedBackend(backend.entry())));
                    }
                });
    }

    /** Returns the backends that the load balancer currently ejects. */
    public Set<String> ejectedBackends() {
        lock.lock();
        try {
            return loadBalancer.ejectedBackends(toEpochMicros(clock.now()));
        } finally {
            lock.unlock();
        }
    }

    /** Handles a failed call to discovery or a broken watch. */
    public void discoveryCallFailed() {
        deliver(
                (balancer, now) ->
                        balancer.backendListReceived(now, BackendListKind.CALL_FAILED, List.of()));
    }

    /** Handles an admitted request, which must get one final answer. */
    public void requestAdmitted(RequestContext context) {
        Request request = toBalancerRequest(context);
        contexts.put(context.id(), context);
        deliver((balancer, now) -> balancer.requestReceived(now, request));
    }

    /** Handles the restoration of a connection that was open before the relay started. */
    public void connectionRestored(Attempt attempt) {
        RequestContext context = attempt.context();
        Request request = toBalancerRequest(context);
        contexts.put(context.id(), context);
        deliver(
                (balancer, now) ->
                        balancer.connectionRestored(now, request, attempt.backend().entry().uid()));
    }

    /** Handles an attempt that was established. */
    public void connectionEstablished(Attempt attempt) {
        long latency = toMicros(Duration.between(attempt.sentAt(), clock.now()));
        deliver(
                (balancer, now) ->
                        balancer.connectionEstablished(now, attempt.context().id(), latency));
    }

    /** Handles the end of an attempt; {@code requestEnded} means that the request ended with it. */
    public void attemptEnded(RequestContext context, Outcome outcome, boolean requestEnded) {
        if (requestEnded) {
            contexts.remove(context.id());
        }
        deliver((balancer, now) -> balancer.attemptEnded(now, context.id(), outcome, requestEnded));
    }

    /** Handles a client that left before its answer. */
    public void clientLeft(RequestContext context) {
        contexts.remove(context.id());
        deliver((balancer, now) -> balancer.clientLeft(now, context.id()));
    }

    /** Handles a backend's report of a connection's load, in microseconds of work per second. */
    public void loadReported(Attempt attempt, double load) {
        deliver(
                (balancer, now) ->
                        balancer.connectionReported(
                                now, attempt.context().id(), ConnectionReport.LOAD, load));
    }

    /** Handles the message delay at the backend of this attempt. */
    public void delayReported(Attempt attempt, Duration delay) {
        deliver(
                (balancer, now) ->
                        balancer.connectionReported(
                                now,
                                attempt.context().id(),
                                ConnectionReport.DELAY,
                                toMicros(delay) / 1000.0));
    }

    /** Handles the result of a probe. */
    public void probeCompleted(String backendId, Outcome outcome, double utilization) {
        deliver((balancer, now) -> balancer.probeCompleted(now, backendId, outcome, utilization));
    }

    /** Returns what the load balancer has learned, as plain data. */
    public Api.LearnedState learnedState() {
        lock.lock();
        try {
            return loadBalancer.learnedState(toEpochMicros(clock.now()));
        } finally {
            lock.unlock();
        }
    }

    /** Gives the load balancer what an earlier one had learned. */
    public void restoreLearnedState(Api.LearnedState known) {
        deliver((balancer, now) -> balancer.restoreLearnedState(now, known));
    }

    /** Returns all open requests; used when the relay shuts down. */
    public List<RequestContext> openRequests() {
        return List.copyOf(contexts.values());
    }

    private void deliver(BalancerEvent event) {
        List<Runnable> pendingActions;
        lock.lock();
        try {
            event.deliver(loadBalancer, toEpochMicros(clock.now()));
        } catch (RuntimeException fault) {
            // A fault of the load balancer costs only this event; the overdue check of
            // AdmissionControl answers its request.
            Log.error("module.fault", fault);
        } finally {
            pendingActions = collectedActions;
            collectedActions = new ArrayList<>();
            lock.unlock();
        }
        pendingActions.forEach(Runnable::run);
    }

    private static long toEpochMicros(Instant instant) {
        return ChronoUnit.MICROS.between(Instant.EPOCH, instant);
    }

    private static long toMicros(Duration duration) {
        return duration.toNanos() / 1000;
    }

    private static Duration toDuration(long micros) {
        return Duration.of(micros, ChronoUnit.MICROS);
    }

    private ListedBackend toListedBackend(BackendList.Entry entry) {
        Health health =
                switch (entry.state()) {
                    case READY ->
                            suspensionCheck.test(entry.uid()) ? Health.DRAINING : Health.READY;
                    case DRAINING -> Health.DRAINING;
                    case GONE -> Health.GONE;
                };
        return new ListedBackend(
                entry.uid(),
                config.zoneIndex(entry.zone()),
                entry.cell(),
                health,
                entry.weight(),
                toEpochMicros(entry.startedAt()));
    }

    private Request toBalancerRequest(RequestContext context) {
        RequestAttributes attributes = context.attributes();
        return new Request(
                context.id(),
                attributes.serviceClass(),
                attributes.tenant(),
                hashKey(attributes.key()),
                hashKey(attributes.group()),
                attributes.loadHint(),
                toEpochMicros(context.deadline()),
                attributes.reconnecting(),
                false);
    }

    /**
     * Hashes a key with FNV-1a. Keys are texts on the wire and numbers in the load balancer, and
     * all relays must compute the same numbers.
     */
    private static long hashKey(String text) {
        if (text == null) {
            return Api.NONE;
        }
        long hash = 0xcbf29ce484222325L;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * 0x100000001b3L;
        }
        return (hash ^ hash >>> 32) & MAX_KEY;
    }

    /** Collects the load balancer's decisions during an event. */
    private final class ActionCollector implements Api.Actions {
        private void collect(long id, Consumer<RequestContext> action) {
            RequestContext context = contexts.get(id);
            if (context != null) {
                collectedActions.add(() -> action.accept(context));
            }
        }

        @Override
        public void sendAttempt(long id, String backendId, long timeout) {
            collect(id, context -> actions.sendAttempt(context, backendId, toDuration(timeout)));
        }

        @Override
        public void reject(long id, long retryAfter) {
            collect(id, context -> actions.reject(context, toDuration(retryAfter)));
            contexts.remove(id);
        }

        @Override
        public void fail(long id) {
            collect(id, actions::fail);
            contexts.remove(id);
        }

        @Override
        public void moveClient(long id) {
            collect(id, actions::moveClient);
        }

        @Override
        public void setTimer(String token, long delay) {
            timers.schedule(
                    toDuration(delay),
                    () -> deliver((balancer, now) -> balancer.timerFired(now, token)));
        }

        @Override
        public void probe(String backendId) {
            collectedActions.add(() -> actions.probe(backendId));
        }

        @Override
        public void watchBackendList() {
            collectedActions.add(actions::watchBackendList);
        }
    }
}

package saltstage.stage;

import java.net.Socket;
import java.nio.channels.SocketChannel;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Function;
import java.util.function.IntSupplier;
import saltstage.config.Configuration;
import saltstage.log.Log;
import saltstage.metrics.RequestCounters;
import saltstage.session.Attempt;
import saltstage.session.Backend;
import saltstage.session.BackendRegistry;
import saltstage.session.MonotonicClock;
import saltstage.session.RequestContext;
import saltstage.session.Timers;
import saltstage.wire.BackendList;

/**
 * Connects the stages that a request passes: frontend, admission, routing, attempts, forwarding and
 * recording of the outcome.
 */
public final class RelayPipeline {
    /**
     * Delay before the clients of a backend that is gone are moved. A process that ended resets its
     * connections itself, but a machine that vanished does not.
     */
    private static final Duration BACKEND_GONE_MOVE_DELAY = Duration.ofMillis(300);

    private final Timers timers;
    private final Router router;
    private final LineForwarder forwarder;
    private final OutcomeRecorder outcomeRecorder;
    private final AdmissionControl admissionControl;
    private final IntSupplier probedBackendCount;
    private volatile int descriptorLimit;
    private final LineFrontend lineFrontend;
    private final List<Frontend> frontends = new CopyOnWriteArrayList<>();

    /** Creates the stages; the {@code watchStarter} argument subscribes to discovery. */
    public RelayPipeline(
            Configuration config,
            MonotonicClock clock,
            Timers timers,
            BackendRegistry backends,
            RequestCounters counters,
            Runnable watchStarter) {
        this(config, clock, timers, backends, counters, watchStarter, SocketChannel::socket);
    }

    /**
     * Creates the stages. The function returns the socket through which the relay talks to a client
     * whose request has arrived.
     */
    public RelayPipeline(
            Configuration config,
            MonotonicClock clock,
            Timers timers,
            BackendRegistry backends,
            RequestCounters counters,
            Runnable watchStarter,
            Function<SocketChannel, Socket> socketFactory) {
        this.timers = timers;
        outcomeRecorder = new OutcomeRecorder(config, clock, backends, counters);
        forwarder = new LineForwarder(clock, timers, outcomeRecorder);
        ThreadBudget threadBudget = new ThreadBudget(Threads::tryStart);
        LineAttemptRunner attemptRunner =
                new LineAttemptRunner(
                        config, clock, backends, outcomeRecorder, forwarder, threadBudget);
        AttemptStarter attemptStarter = new AttemptStarter(clock, backends, outcomeRecorder);
        BackendProber prober = new BackendProber(backends);
        router =
                new Router(
                        config,
                        clock,
                        timers,
                        createRoutingActions(attemptStarter, prober, watchStarter),
                        backends::isSuspended);
        outcomeRecorder.setRouter(router);
        prober.setRouter(router);
        probedBackendCount =
                () ->
                        config.settings().probingEnabled()
                                ? Math.min(backends.all().size(), BackendProber.MAX_CONNECTIONS)
                                : 0;
        descriptorLimit = config.maxSockets();
        admissionControl =
                new AdmissionControl(config, clock, timers, router, attemptRunner, outcomeRecorder);
        lineFrontend =
                new LineFrontend(
                        AdmissionControl.maxPendingClients(config.maxSockets()),
                        admissionControl,
                        pendingClient ->
                                new LineClient(
                                        socketFactory.apply(pendingClient.channel()),
                                        pendingClient.takeRemaining(),
                                        timers,
                                        attemptRunner,
                                        forwarder),
                        forwarder,
                        outcomeRecorder,
                        threadBudget);
        frontends.add(lineFrontend);
    }

    private Router.RoutingActions createRoutingActions(
            AttemptStarter attemptStarter, BackendProber prober, Runnable watchStarter) {
        return new Router.RoutingActions() {
            @Override
            public void sendAttempt(RequestContext context, String backendId, Duration timeout) {
                attemptStarter.start(context, backendId, timeout);
            }

            @Override
            public void reject(RequestContext context, Duration retryAfter) {
                outcomeRecorder.reject(context, retryAfter);
            }

            @Override
            public void fail(RequestContext context) {
                outcomeRecorder.fail(context);
            }

            @Override
            public void moveClient(RequestContext context) {
                RelayPipeline.this.move(context.currentAttempt(), "balance");
            }

            @Override
            public void probe(String backendId) {
                prober.requestProbe(backendId);
            }

            @Override
            public void watchBackendList() {
                watchStarter.run();
            }
        };
    }

    /** Returns the frontend of the line protocol. */
    public LineFrontend lineFrontend() {
        return lineFrontend;
    }

    /** Returns the router. */
    public Router router() {
        return router;
    }

    /** Returns the stage that admits requests. */
    public AdmissionControl admissionControl() {
        return admissionControl;
    }

    /** Returns the stage that records the outcomes of requests. */
    public OutcomeRecorder outcomeRecorder() {
        return outcomeRecorder;
    }

    /** Returns the line frontend and the frontends that were added. */
    public List<Frontend> frontends() {
        return frontends;
    }

    /** Adds a frontend. */
    public void addFrontend(Frontend frontend) {
        frontends.add(frontend);
    }

    /**
     * Moves the client of an established attempt, whatever its protocol. A reason that starts with
     * "peer" blames the backend.
     */
    public boolean move(Attempt attempt, String reason) {
        return attempt.context().client().move(attempt, reason);
    }

    /** Handles a backend list from discovery, and the backends that it has ended. */
    public void backendListReceived(List<Backend> endedBackends, BackendList list) {
        Log.info(
                "discovery.list",
                "rev",
                list.revision(),
                "all",
                list.full(),
                "targets",
                list.entries().size());
        setDescriptorLimit(descriptorLimit);
        router.backendListReceived(list);
        for (Backend backend : endedBackends) {
            // The clients are moved because the backend's machine may never send a reset.
            timers.schedule(
                    BACKEND_GONE_MOVE_DELAY,
                    () ->
                            backend.establishedAttempts()
                                    .forEach(attempt -> move(attempt, "peer gone")));
        }
    }

    /**
     * Sets the number of descriptors that this process may use. It is called again while another
     * process uses a part of them.
     */
    public void setDescriptorLimit(int limit) {
        descriptorLimit = limit;
        int remaining = limit - probedBackendCount.getAsInt(); // without the connections for probes
        admissionControl.setDescriptorLimit(remaining);
        lineFrontend.acceptor().setCapacity(AdmissionControl.maxPendingClients(remaining));
    }

    /** Returns the approximate number of descriptors in use. */
    public int descriptorsInUse() {
        return admissionControl.descriptorsInUse()
                + lineFrontend.acceptor().pendingClientCount()
                + probedBackendCount.getAsInt();
    }

    /** Moves the clients of backends that no longer respond. */
    public void checkUnresponsiveBackends() {
        forwarder.checkUnresponsiveBackends();
    }

    /** Tells the load balancer which backends are slow; called once a second. */
    public void reportDelays() {
        outcomeRecorder.reportDelays();
    }

    /** Writes the totals to the log, followed by the given names and values. */
    public void logTotals(Object... extraPairs) {
        int clientCount = frontends.stream().mapToInt(Frontend::clientCount).sum();
        outcomeRecorder.logTotals(clientCount, lineFrontend.acceptor().acceptedCount(), extraPairs);
    }

    /**
     * Answers all waiting requests because the relay is shutting down. Most of them may be sent
     * again elsewhere at once.
     */
    public void rejectWaiting() {
        router.openRequests().forEach(outcomeRecorder::endForShutdown);
    }
}

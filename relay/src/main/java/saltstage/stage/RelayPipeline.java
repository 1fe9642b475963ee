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
    private final IntSupplier probedBackends;
    private volatile int descriptorLimit;
    private final LineFrontend lineFrontend;
    private final List<Frontend> frontends = new CopyOnWriteArrayList<>();

    /** Creates the stages; the {@code watch} argument subscribes to discovery. */
    public RelayPipeline(
            Configuration config,
            MonotonicClock clock,
            Timers timers,
            BackendRegistry peers,
            RequestCounters counts,
            Runnable watch) {
        this(config, clock, timers, peers, counts, watch, SocketChannel::socket);
    }

    /**
     * Creates the stages. The function returns the socket through which the relay talks to a client
     * whose request has arrived.
     */
    public RelayPipeline(
            Configuration config,
            MonotonicClock clock,
            Timers timers,
            BackendRegistry peers,
            RequestCounters counts,
            Runnable watch,
            Function<SocketChannel, Socket> sockets) {
        this.timers = timers;
        outcomeRecorder = new OutcomeRecorder(config, clock, peers, counts);
        forwarder = new LineForwarder(clock, timers, outcomeRecorder);
        ThreadBudget threads = new ThreadBudget(Threads::tryStart);
        LineAttemptRunner tries =
                new LineAttemptRunner(config, clock, peers, outcomeRecorder, forwarder, threads);
        AttemptStarter send = new AttemptStarter(clock, peers, outcomeRecorder);
        BackendProber probe = new BackendProber(peers);
        router =
                new Router(
                        config,
                        clock,
                        timers,
                        createRoutingActions(send, probe, watch),
                        peers::isSuspended);
        outcomeRecorder.setRouter(router);
        probe.setRouter(router);
        probedBackends =
                () ->
                        config.settings().probingEnabled()
                                ? Math.min(peers.all().size(), BackendProber.MAX_CONNECTIONS)
                                : 0;
        descriptorLimit = config.maxSockets();
        admissionControl =
                new AdmissionControl(config, clock, timers, router, tries, outcomeRecorder);
        lineFrontend =
                new LineFrontend(
                        AdmissionControl.maxPendingClients(config.maxSockets()),
                        admissionControl,
                        asking ->
                                new LineClient(
                                        sockets.apply(asking.channel()),
                                        asking.takeRemaining(),
                                        timers,
                                        tries,
                                        forwarder),
                        forwarder,
                        outcomeRecorder,
                        threads);
        frontends.add(lineFrontend);
    }

    private Router.RoutingActions createRoutingActions(
            AttemptStarter send, BackendProber probe, Runnable watch) {
        return new Router.RoutingActions() {
            @Override
            public void sendAttempt(RequestContext context, String uid, Duration limit) {
                send.start(context, uid, limit);
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
            public void probe(String uid) {
                probe.requestProbe(uid);
            }

            @Override
            public void watchBackendList() {
                watch.run();
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
    public void addFrontend(Frontend front) {
        frontends.add(front);
    }

    /**
     * Moves the client of an established attempt, whatever its protocol. A reason that starts with
     * "peer" blames the backend.
     */
    public boolean move(Attempt up, String reason) {
        return up.context().client().move(up, reason);
    }

    /** Handles a backend list from discovery, and the backends that it has ended. */
    public void backendListReceived(List<Backend> ended, BackendList list) {
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
        for (Backend peer : ended) {
            // The clients are moved because the backend's machine may never send a reset.
            timers.schedule(
                    BACKEND_GONE_MOVE_DELAY,
                    () -> peer.establishedAttempts().forEach(up -> move(up, "peer gone")));
        }
    }

    /**
     * Sets the number of descriptors that this process may use. It is called again while another
     * process uses a part of them.
     */
    public void setDescriptorLimit(int most) {
        descriptorLimit = most;
        int left = most - probedBackends.getAsInt(); // without the connections for probes
        admissionControl.setDescriptorLimit(left);
        lineFrontend.acceptor().setCapacity(AdmissionControl.maxPendingClients(left));
    }

    /** Returns the approximate number of descriptors in use. */
    public int descriptorsInUse() {
        return admissionControl.descriptorsInUse()
                + lineFrontend.acceptor().pendingClientCount()
                + probedBackends.getAsInt();
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
    public void logTotals(Object... more) {
        int clients = frontends.stream().mapToInt(Frontend::clientCount).sum();
        outcomeRecorder.logTotals(clients, lineFrontend.acceptor().acceptedCount(), more);
    }

    /**
     * Answers all waiting requests because the relay is shutting down. Most of them may be sent
     * again elsewhere at once.
     */
    public void rejectWaiting() {
        router.openRequests().forEach(outcomeRecorder::endForShutdown);
    }
}

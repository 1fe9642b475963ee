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

/** The stages, joined: take in, admit, route, send, relay, book. */
public final class RelayPipeline {
    /** A process that ended resets its connections itself; a machine that vanished does not. */
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

    /** Joins the stages; watch subscribes to discovery. */
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
     * Joins the stages; clients that have asked are met through these sockets of their channels.
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

    /** The first stage. */
    public LineFrontend lineFrontend() {
        return lineFrontend;
    }

    /** The owner of the decisions. */
    public Router router() {
        return router;
    }

    /** The stage that admits requests. */
    public AdmissionControl admissionControl() {
        return admissionControl;
    }

    /** The stage that books what became of them. */
    public OutcomeRecorder outcomeRecorder() {
        return outcomeRecorder;
    }

    /** Where clients come in: the lines' front and those that were added. */
    public List<Frontend> frontends() {
        return frontends;
    }

    /** One more way for clients to come in. */
    public void addFrontend(Frontend front) {
        frontends.add(front);
    }

    /**
     * Has a standing try's client moved, whatever it speaks; a reason "peer..." is the backend's
     * fault.
     */
    public boolean move(Attempt up, String reason) {
        return up.context().client().move(up, reason);
    }

    /** Discovery has told something, and these processes have ended by it. */
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
            // Its clients are moved: the machine may never send a reset.
            timers.schedule(
                    BACKEND_GONE_MOVE_DELAY,
                    () -> peer.establishedAttempts().forEach(up -> move(up, "peer gone")));
        }
    }

    /** So many descriptors are this process's; said again while another one takes part of them. */
    public void setDescriptorLimit(int most) {
        descriptorLimit = most;
        int left = most - probedBackends.getAsInt(); // connections for probes
        admissionControl.setDescriptorLimit(left);
        lineFrontend.acceptor().setCapacity(AdmissionControl.maxPendingClients(left));
    }

    /** About how many descriptors are in use. */
    public int descriptorsInUse() {
        return admissionControl.descriptorsInUse()
                + lineFrontend.acceptor().pendingClientCount()
                + probedBackends.getAsInt();
    }

    /** Looks for backends that bring nothing back. */
    public void checkUnresponsiveBackends() {
        forwarder.checkUnresponsiveBackends();
    }

    /** Tells the module which backends are slow; once a second. */
    public void reportDelays() {
        outcomeRecorder.reportDelays();
    }

    /** Writes the totals to the log, with these names and values behind them. */
    public void logTotals(Object... more) {
        int clients = frontends.stream().mapToInt(Frontend::clientCount).sum();
        outcomeRecorder.logTotals(clients, lineFrontend.acceptor().acceptedCount(), more);
    }

    /**
     * The relay leaves: what still waits is answered, and may mostly come again elsewhere at once.
     */
    public void rejectWaiting() {
        router.openRequests().forEach(outcomeRecorder::endForShutdown);
    }
}

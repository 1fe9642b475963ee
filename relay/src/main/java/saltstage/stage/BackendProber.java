package saltstage.stage;

import java.io.IOException;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import saltstage.Api;
import saltstage.Api.Outcome;
import saltstage.log.Log;
import saltstage.session.Backend;
import saltstage.session.BackendRegistry;
import saltstage.wire.LoadReport;
import saltstage.wire.MalformedException;

/**
 * Probes backends for their load, all of them on one thread. Each backend has one connection that
 * stays open, as a new one costs the backend time and work. The number of connections is limited,
 * however many backends are listed.
 */
final class BackendProber {
    /**
     * Connections to backends that the load balancer no longer probes. They are kept because it may
     * soon probe them again, and a new connection costs time and work.
     */
    private static final int MAX_IDLE_CONNECTIONS = 64;

    /** Beyond this limit, the idle connection that was unused for the longest time is closed. */
    static final int MAX_CONNECTIONS = Api.MAX_PROBED_BACKENDS + MAX_IDLE_CONNECTIONS;

    private static final Duration PROBE_TIMEOUT = Duration.ofMillis(250);

    /** Interval between checks for connections to backends that are no longer listed. */
    private static final Duration CLEANUP_INTERVAL = Duration.ofSeconds(5);

    private final BackendRegistry backends;
    private final ThreadStarter threadStarter;
    private final Queue<Backend> requestedBackends = new ConcurrentLinkedQueue<>();
    private final Map<Backend, ProbeConnection> connections = new LinkedHashMap<>();
    private Router router;
    private Selector selector;
    private boolean running;

    /** Starts a thread, as {@link Threads#start} does. */
    interface ThreadStarter {
        /** Returns false if the machine has no thread left. */
        boolean start(String name, Threads.Work work);
    }

    BackendProber(BackendRegistry backends) {
        this(backends, Threads::start);
    }

    BackendProber(BackendRegistry backends, ThreadStarter threadStarter) {
        this.backends = backends;
        this.threadStarter = threadStarter;
    }

    void setRouter(Router newRouter) {
        router = newRouter;
    }

    /**
     * Requests a probe of a backend; a backend whose previous probe has not completed yet is not
     * probed again. If no thread could be started, or the thread ended by a fault, the next call
     * tries to start one.
     */
    void requestProbe(String backendId) {
        Backend backend = backends.find(backendId);
        if (backend == null) {
            return;
        }
        requestedBackends.add(backend);
        wakeUp();
    }

    private synchronized void wakeUp() {
        if (running) {
            selector.wakeup();
            return;
        }
        try {
            selector = Selector.open();
            running = threadStarter.start("probes", this::run);
        } catch (IOException e) {
            running = false;
        }
        if (!running) {
            requestedBackends.clear();
            Log.warn("probe.none"); // loads count as unknown, as without probes
        }
    }

    private void run() throws IOException {
        try {
            while (true) {
                runCycle();
            }
        } finally {
            synchronized (this) {
                running = false;
                connections.values().forEach(ProbeConnection::close);
                connections.clear();
                selector.close();
            }
        }
    }

    private void runCycle() throws IOException {
        selector.select(selectTimeoutMillis());
        for (SelectionKey key : List.copyOf(selector.selectedKeys())) {
            handleReady((ProbeConnection) key.attachment());
        }
        selector.selectedKeys().clear();
        for (Backend backend = requestedBackends.poll();
                backend != null;
                backend = requestedBackends.poll()) {
            beginProbe(backend);
        }
        closeOverdueConnections();
    }

    private long selectTimeoutMillis() {
        long shortestNanos = CLEANUP_INTERVAL.toNanos();
        for (ProbeConnection connection : connections.values()) {
            shortestNanos =
                    connection.isAwaitingAnswer()
                            ? Math.min(shortestNanos, connection.remainingNanos())
                            : shortestNanos;
        }
        return Math.max(1, shortestNanos / 1_000_000 + 1);
    }

    private void beginProbe(Backend backend) {
        ProbeConnection open = connections.remove(backend);
        if (open != null) {
            connections.put(backend, open); // moves it to the end of the order
        }
        if (backend.hasEnded()
                || backend.isSuspended()
                || open != null && open.isAwaitingAnswer()) {
            return;
        }
        try {
            if (open != null) {
                open.sendProbe(PROBE_TIMEOUT);
                return;
            }
        } catch (IOException closedAsIdle) {
            closeConnection(open);
        }
        connect(backend);
    }

    private void connect(Backend backend) {
        if (connections.size() >= MAX_CONNECTIONS && !closeIdleConnection()) {
            return; // all connections await an answer: this backend waits for its next probe
        }
        try {
            connections.put(backend, new ProbeConnection(backend, selector, PROBE_TIMEOUT));
        } catch (IOException failure) {
            router.probeCompleted(backend.entry().uid(), Outcome.TIMEOUT, Api.NONE);
        }
    }

    private boolean closeIdleConnection() {
        for (ProbeConnection connection : connections.values()) {
            if (!connection.isAwaitingAnswer()) {
                closeConnection(connection);
                return true;
            }
        }
        return false;
    }

    private void handleReady(ProbeConnection connection) {
        boolean wasAwaitingAnswer = connection.isAwaitingAnswer();
        try {
            byte[] line = connection.handleReady(PROBE_TIMEOUT);
            if (line != null) {
                handleReport(connection, wasAwaitingAnswer, line);
            }
        } catch (ProbeConnection.ConnectionClosedException ended) {
            closeConnection(connection);
            // The backend may have closed an idle connection while the probe was on its way.
            if (wasAwaitingAnswer && connection.hasAnsweredBefore()) {
                connect(connection.backend());
            } else if (wasAwaitingAnswer) {
                reportOutcome(connection, Outcome.RESET, Api.NONE);
            }
        } catch (IOException broken) {
            closeConnection(connection);
            if (wasAwaitingAnswer) {
                reportOutcome(connection, Outcome.TIMEOUT, Api.NONE);
            }
        }
    }

    private void handleReport(ProbeConnection connection, boolean wasAwaitingAnswer, byte[] line) {
        double utilization = Api.NONE;
        try {
            LoadReport report = LoadReport.parse(line);
            utilization = report == null ? Api.NONE : report.field("x0");
        } catch (MalformedException e) {
            Log.warn(
                    "probe.malformed",
                    "peer",
                    connection.backend().entry().uid(),
                    "why",
                    e.getMessage());
        }
        boolean reported = wasAwaitingAnswer && utilization != Api.NONE;
        if (!reported) {
            closeConnection(connection);
        }
        if (wasAwaitingAnswer) {
            reportOutcome(connection, reported ? Outcome.SERVED : Outcome.ERROR, utilization);
        }
    }

    private void closeOverdueConnections() {
        for (ProbeConnection connection : List.copyOf(connections.values())) {
            if (connection.backend().hasEnded()) {
                closeConnection(connection);
            } else if (connection.isAwaitingAnswer() && connection.remainingNanos() <= 0) {
                closeConnection(connection);
                reportOutcome(connection, Outcome.TIMEOUT, Api.NONE);
            }
        }
    }

    private void closeConnection(ProbeConnection connection) {
        connections.remove(connection.backend(), connection);
        connection.close();
    }

    private void reportOutcome(ProbeConnection connection, Outcome outcome, double utilization) {
        router.probeCompleted(connection.backend().entry().uid(), outcome, utilization);
    }
}

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
import saltstage.memory.Peer;
import saltstage.memory.Peers;
import saltstage.wire.LoadReport;
import saltstage.wire.MalformedException;

/**
 * Asks backends for their load, all of them on one thread. Each has one connection that stays open,
 * as a new one costs the backend time and work; however many backends are listed, only so many
 * connections are kept.
 */
final class Probe {
    /**
     * To backends that the module asks no more: it may soon ask them again, and a new connection
     * costs.
     */
    private static final int KEPT_BEYOND = 64;

    /** Beyond them, whoever was not asked for the longest time gives way. */
    static final int MOST_CONNECTIONS = Api.MOST_PROBED + KEPT_BEYOND;

    private static final Duration LIMIT = Duration.ofMillis(250);

    /** How often connections to backends that are not listed any more are looked for. */
    private static final Duration LOOK = Duration.ofSeconds(5);

    private final Peers peers;
    private final ThreadStarter threads;
    private final Queue<Peer> wanted = new ConcurrentLinkedQueue<>();
    private final Map<Peer, ProbeConnection> connections = new LinkedHashMap<>();
    private Route route;
    private Selector selector;
    private boolean running;

    /** Starts a thread, as {@link Threads#start} does. */
    interface ThreadStarter {
        /** False where the machine has no thread left. */
        boolean start(String name, Threads.Work work);
    }

    Probe(Peers peers) {
        this(peers, Threads::start);
    }

    Probe(Peers peers, ThreadStarter threads) {
        this.peers = peers;
        this.threads = threads;
    }

    void route(Route to) {
        route = to;
    }

    /**
     * Asks a backend soon; one that has not answered yet is not asked twice. Where no thread could
     * be had, or it has ended by a fault, the next call tries to start one.
     */
    void ask(String uid) {
        Peer peer = peers.find(uid);
        if (peer == null) {
            return;
        }
        wanted.add(peer);
        wakeUp();
    }

    private synchronized void wakeUp() {
        if (running) {
            selector.wakeup();
            return;
        }
        try {
            selector = Selector.open();
            running = threads.start("probes", this::run);
        } catch (IOException none) {
            running = false;
        }
        if (!running) {
            wanted.clear();
            Log.warn("probe.none"); // loads count as unknown, as without probes
        }
    }

    private void run() throws IOException {
        try {
            while (true) {
                round();
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

    private void round() throws IOException {
        selector.select(millisToWait());
        for (SelectionKey key : List.copyOf(selector.selectedKeys())) {
            advance((ProbeConnection) key.attachment());
        }
        selector.selectedKeys().clear();
        for (Peer peer = wanted.poll(); peer != null; peer = wanted.poll()) {
            begin(peer);
        }
        endOverdue();
    }

    private long millisToWait() {
        long least = LOOK.toNanos();
        for (ProbeConnection connection : connections.values()) {
            least = connection.isAsked() ? Math.min(least, connection.nanosLeft()) : least;
        }
        return Math.max(1, least / 1_000_000 + 1);
    }

    private void begin(Peer peer) {
        ProbeConnection open = connections.remove(peer);
        if (open != null) {
            connections.put(peer, open); // to the end of the order
        }
        if (peer.ended() || peer.suspended() || open != null && open.isAsked()) {
            return;
        }
        try {
            if (open != null) {
                open.ask(LIMIT);
                return;
            }
        } catch (IOException closedAsIdle) {
            end(open);
        }
        connect(peer);
    }

    private void connect(Peer peer) {
        if (connections.size() >= MOST_CONNECTIONS && !makeRoom()) {
            return; // all are awaited: this one is asked at its next turn
        }
        try {
            connections.put(peer, new ProbeConnection(peer, selector, LIMIT));
        } catch (IOException refused) {
            route.probed(peer.entry().uid(), Outcome.TIMEOUT, Api.NONE);
        }
    }

    private boolean makeRoom() {
        for (ProbeConnection connection : connections.values()) {
            if (!connection.isAsked()) {
                end(connection);
                return true;
            }
        }
        return false;
    }

    private void advance(ProbeConnection connection) {
        boolean wasAsked = connection.isAsked();
        try {
            byte[] line = connection.advance(LIMIT);
            if (line != null) {
                answered(connection, wasAsked, line);
            }
        } catch (ProbeConnection.EndedException ended) {
            end(connection);
            if (wasAsked
                    && connection.hasAnsweredBefore()) { // closed as idle while it was asked again
                connect(connection.peer());
            } else if (wasAsked) {
                tell(connection, Outcome.RESET, Api.NONE);
            }
        } catch (IOException broken) {
            end(connection);
            if (wasAsked) {
                tell(connection, Outcome.TIMEOUT, Api.NONE);
            }
        }
    }

    private void answered(ProbeConnection connection, boolean wasAsked, byte[] line) {
        double load = Api.NONE;
        try {
            LoadReport report = LoadReport.of(line);
            load = report == null ? Api.NONE : report.field("x0");
        } catch (MalformedException bad) {
            Log.warn(
                    "probe.malformed",
                    "peer",
                    connection.peer().entry().uid(),
                    "why",
                    bad.getMessage());
        }
        boolean reported = wasAsked && load != Api.NONE;
        if (!reported) {
            end(connection);
        }
        if (wasAsked) {
            tell(connection, reported ? Outcome.SERVED : Outcome.ERROR, load);
        }
    }

    private void endOverdue() {
        for (ProbeConnection connection : List.copyOf(connections.values())) {
            if (connection.peer().ended()) {
                end(connection);
            } else if (connection.isAsked() && connection.nanosLeft() <= 0) {
                end(connection);
                tell(connection, Outcome.TIMEOUT, Api.NONE);
            }
        }
    }

    private void end(ProbeConnection connection) {
        connections.remove(connection.peer(), connection);
        connection.close();
    }

    private void tell(ProbeConnection connection, Outcome outcome, double load) {
        route.probed(connection.peer().entry().uid(), outcome, load);
    }
}

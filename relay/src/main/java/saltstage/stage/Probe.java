package saltstage.stage;

import java.io.IOException;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import saltstage.Api;
import saltstage.Api.Outcome;
import saltstage.log.Log;
import saltstage.memory.Peer;
import saltstage.memory.Peers;
import saltstage.wire.LineConnection;
import saltstage.wire.LoadReport;
import saltstage.wire.MalformedException;

/**
 * Asks backends for their load. Each has one connection for it that stays open, as a new one costs the
 * backend time and work, and one thread that ends with the process it asks.
 */
final class Probe {
    private static final Duration LIMIT = Duration.ofMillis(250);
    private static final long LOOK_S = 5; // for whether the process is still listed

    private final Peers peers;
    private final ThreadStarter threads;
    /** Of each backend that has a thread; whoever has none is not in here. */
    private final Map<Peer, Semaphore> wanted = new ConcurrentHashMap<>();
    private Route route;

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
     * Asks a backend soon; one that has not answered yet is not asked twice. Where no thread could be had for
     * it, or its thread has ended by a fault, the next call tries to start one.
     */
    void ask(String uid) {
        Peer peer = peers.find(uid);
        if (peer == null) {
            return;
        }
        Semaphore asked = wanted.computeIfAbsent(peer, this::begin);
        if (asked != null) {
            asked.release();
        }
    }

    /** The signal of the thread that was started; null where none could be had: nothing is kept then. */
    private Semaphore begin(Peer peer) {
        Semaphore asked = new Semaphore(0);
        if (threads.start("probe", () -> run(peer, asked))) {
            return asked;
        }
        Log.warn("probe.none", "peer", peer.entry().uid()); // it counts as unknown, as without probes
        return null;
    }

    private void run(Peer peer, Semaphore asked) throws InterruptedException {
        LineConnection line = null;
        try {
            while (!peer.ended()) {
                if (asked.tryAcquire(LOOK_S, TimeUnit.SECONDS)) {
                    asked.drainPermits();
                    if (!peer.suspended()) {
                        line = probe(peer, line);
                    }
                }
            }
        } finally {
            wanted.remove(peer);
            close(line);
        }
    }

    /** One probe; returns the connection for the next one, or null. */
    private LineConnection probe(Peer peer, LineConnection open) {
        LineConnection line = open;
        Outcome outcome = Outcome.UNREACHABLE;
        double asked = Api.NONE;
        try {
            byte[] piece = line == null ? null : answer(line);
            if (piece == null) { // the first, or the backend has closed it as idle
                close(line);
                line = LineConnection.open(peer.entry().endpoint(), LIMIT);
                piece = answer(line);
            }
            LoadReport report = piece == null ? null : LoadReport.of(piece);
            outcome = report != null ? Outcome.SERVED : piece == null ? Outcome.RESET : Outcome.ERROR;
            asked = report == null ? Api.NONE : report.field("x0");
        } catch (MalformedException bad) {
            Log.warn("probe.malformed", "peer", peer.entry().uid(), "why", bad.getMessage());
            outcome = Outcome.ERROR;
        } catch (IOException broken) {
            outcome = Outcome.TIMEOUT;
        }
        if (outcome != Outcome.SERVED) {
            close(line);
            line = null;
        }
        route.probed(peer.entry().uid(), outcome, asked);
        return line;
    }

    private static byte[] answer(LineConnection line) throws IOException {
        line.send("STATS");
        return line.lines().next(LIMIT);
    }

    private static void close(LineConnection line) {
        if (line != null) {
            line.close();
        }
    }
}

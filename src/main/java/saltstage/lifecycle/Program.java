package saltstage.lifecycle;

import java.io.IOException;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.concurrent.Semaphore;
import saltstage.memory.MonotonicClock;
import saltstage.memory.Peers;
import saltstage.memory.Timers;
import saltstage.stage.Chain;
import saltstage.stage.Threads;
import saltstage.wire.DiscoveryClient;
import saltstage.wire.HostList;
import saltstage.wire.MalformedException;

/** One running relay: its stages, its loops, its start and its end. */
final class Program {
    private static final int BACKLOG = 1024;
    private static final Duration BEAT = Duration.ofMillis(500);
    private static final int BEATS_PER_DELAYS = 2;
    private static final int BEATS_PER_TOTALS = 20;

    private final Configuration config;
    private final MonotonicClock clock = new MonotonicClock();
    private final Timers timers = new Timers(clock);
    private final Peers peers = new Peers();
    private final Semaphore watchWanted = new Semaphore(0);
    private final Chain chain;
    private final DiscoveryClient discovery;
    private int beats;

    Program(Configuration config) {
        this.config = config;
        chain = new Chain(config, clock, timers, peers, watchWanted::release);
        discovery = new DiscoveryClient(config.discovery());
    }

    /** Starts to serve; clients are heard from the return on. */
    void start() throws IOException {
        peers.update(config.known());
        Threads.loop("timers", () -> timers.next().run());
        Threads.loop("discovery", this::watch);
        chain.route().start(config.known());
        beat();
        ServerSocket listener = new ServerSocket();
        listener.setReuseAddress(true);
        listener.bind(config.listen(), BACKLOG);
        Threads.loop("listener", () -> chain.takeIn().accept(listener.accept()));
        Log.info("relay.ready", "name", config.name(), "listen", listener.getLocalSocketAddress(),
            "rev", peers.rev(), "peers", peers.all().size());
    }

    /** SIGTERM: moves all clients and returns when none is left, or when time is up. */
    void drain() {
        new Drain(clock, chain).run();
    }

    private void beat() {
        timers.after(BEAT, this::beat); // first of all: what fails below must not end the beat
        beats++;
        chain.checkSilence();
        if (beats % BEATS_PER_DELAYS == 0) {
            chain.tellDelays();
        }
        if (beats % BEATS_PER_TOTALS == 0) {
            chain.logTotals();
        }
    }

    /** One watch, resumed where the last one ended; the module says when, and jitters its pauses. */
    private void watch() throws InterruptedException {
        watchWanted.acquire();
        watchWanted.drainPermits();
        String why = "fault";
        try {
            discovery.watch(peers.rev(), this::heard);
        } catch (IOException | MalformedException e) {
            why = String.valueOf(e.getMessage());
        } finally {
            Log.warn("discovery.lost", "why", why, "rev", peers.rev());
            chain.route().listRefused();
        }
    }

    private void heard(HostList list) {
        chain.listed(peers.update(list), list);
    }
}

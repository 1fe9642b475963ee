package saltstage.lifecycle;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Semaphore;
import saltstage.amqp.AmqpFront;
import saltstage.config.AmqpSettings;
import saltstage.config.Configuration;
import saltstage.config.OperatorSettings;
import saltstage.keep.Keeper;
import saltstage.log.Log;
import saltstage.log.LogSetup;
import saltstage.memory.MonotonicClock;
import saltstage.memory.Peers;
import saltstage.memory.Timers;
import saltstage.net.NettyTransport;
import saltstage.net.Transport;
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

    private static final Duration LAST_WRITE = Duration.ofMillis(200);

    private final Configuration config;
    private final OperatorSettings operator;
    private final Keeper keeper;
    private final MonotonicClock clock = new MonotonicClock();
    private final Timers timers = new Timers(clock);
    private final Peers peers = new Peers();
    private final Semaphore watchWanted = new Semaphore(0);
    private final Chain chain;
    private volatile DiscoveryClient discovery;
    private InetSocketAddress discoveryAddress;
    private volatile AmqpFront amqp;
    private int beats;
    private Instant beatDue = clock.now();
    private Duration late = Duration.ZERO;

    /** Where the configuration comes from, at the start and again at each reload. */
    interface Source {
        /** Reads it. */
        Configuration read() throws MalformedException;
    }

    /** Where the operator's settings come from, at each reload. */
    interface SettingsSource {
        /** Reads them. */
        OperatorSettings read() throws MalformedException;
    }

    Program(Configuration config, OperatorSettings operator) {
        this.config = config;
        this.operator = operator;
        keeper = operator.keeping().map(keeping -> Keeper.open(keeping, clock::now)).orElse(null);
        chain = new Chain(config, clock, timers, peers, watchWanted::release);
        discoveryAddress = config.discovery();
        discovery = new DiscoveryClient(discoveryAddress);
    }

    /** Starts to serve; clients are heard from the return on. */
    void start() throws IOException {
        HostList known = newestKnown();
        peers.update(known);
        Threads.loop("timers", () -> timers.next().run());
        Threads.loop("discovery", this::watch);
        chain.route().start(known);
        if (keeper != null) {
            keeper.keptLearnt().ifPresent(chain.route()::learn);
            keeper.accepted(config.text(), operator.text());
            keeper.start(chain.route()::learnt);
        }
        synchronized (this) {
            beatDue = clock.now(); // what the start took is no lateness
        }
        beat();
        if (operator.amqp().isPresent()) {
            startAmqp(operator.amqp().get());
        }
        ServerSocket listener = new ServerSocket();
        listener.setReuseAddress(true);
        listener.bind(config.listen(), BACKLOG);
        Threads.loop("listener", () -> chain.takeIn().accept(listener.accept()));
        Log.info("relay.ready", "name", config.name(), "listen", listener.getLocalSocketAddress(),
            "rev", peers.rev(), "peers", peers.all().size());
    }

    private void startAmqp(AmqpSettings settings) throws IOException {
        Transport transport = new NettyTransport(settings.loops(), true, (where, fault) ->
            Log.error("loop.fault." + where, fault));
        try {
            amqp = new AmqpFront(settings, config, chain, clock, transport);
            amqp.start();
        } catch (MalformedException bad) {
            throw new IOException(bad.getMessage(), bad);
        }
    }

    /** The list as the platform remembers it, or as this relay has kept it, whichever is newer. */
    private HostList newestKnown() {
        HostList kept = keeper == null ? null : keeper.keptList().orElse(null);
        boolean newer = kept != null && kept.rev() > config.known().rev();
        if (kept != null) {
            Log.info("keep.list", "rev", kept.rev(), "known", config.known().rev(), "taken", newer);
        }
        return newer ? kept : config.known();
    }

    /**
     * SIGHUP: reads the configuration anew. Discovery is watched at its new address at once, resumed after
     * what was heard: the old address may go on answering for a while, but what it does not tell any more
     * counts as told. The list, the module's state and all connections stay. A bad file changes nothing.
     */
    synchronized void reload(Source source, SettingsSource operator) {
        try {
            OperatorSettings chosen = operator.read();
            Configuration read = source.read();
            List<String> later = new ArrayList<>(read.differsFrom(config));
            AmqpFront.Change change = amqp == null || chosen.amqp().isEmpty() ? null
                : amqp.change(chosen.amqp().get()); // all is checked before anything is in force
            if (!read.discovery().equals(discoveryAddress)) {
                DiscoveryClient old = discovery;
                discoveryAddress = read.discovery();
                discovery = new DiscoveryClient(discoveryAddress);
                old.stop();
                watchWanted.release();
            }
            if (change != null) {
                later.addAll(change.apply());
            } else if (amqp != null || chosen.amqp().isPresent()) {
                later.add("amqp"); // a front is neither begun nor ended beside connections that stand
            }
            LogSetup.use(chosen.logging().format(), chosen.logging().level().name());
            if (keeper != null) {
                keeper.accepted(read.text(), chosen.text());
            }
            Log.info("reload.done", "discovery", discoveryAddress, "restart_for", later);
        } catch (MalformedException | RuntimeException bad) {
            Log.warn("reload.refused", "why", bad.getMessage());
        }
    }

    /** SIGTERM: moves all clients and returns when none is left, or when time is up. */
    void drain() {
        new Drain(clock, chain, config.longestGiveUp(), lateness()).run();
        if (keeper != null) {
            keeper.close(LAST_WRITE);
        }
    }

    /**
     * How late things happen here just now, by the beat. On a core that is busy with a crowd SIGTERM was
     * heard 2.3 s after it came; a drain that counts from then still has clients to move when SIGKILL comes.
     */
    private synchronized Duration lateness() {
        Duration now = Duration.between(beatDue, clock.now());
        return now.compareTo(late) > 0 ? now : late;
    }

    private synchronized void markBeat() {
        Duration halved = late.dividedBy(2);
        Duration now = Duration.between(beatDue, clock.now());
        late = now.compareTo(halved) > 0 ? now : halved;
        beatDue = clock.now().plus(BEAT);
    }

    private void beat() {
        timers.after(BEAT, this::beat); // first of all: what fails below must not end the beat
        markBeat();
        beats++;
        chain.checkSilence();
        if (beats % BEATS_PER_DELAYS == 0) {
            chain.tellDelays();
        }
        if (beats % BEATS_PER_TOTALS == 0) {
            if (amqp != null) {
                amqp.logTotals();
            }
            if (keeper == null) {
                chain.logTotals();
            } else {
                chain.logTotals("store", keeper.state());
            }
        }
    }

    /** One watch, resumed where the last one ended; the module says when, and jitters its pauses. */
    private void watch() throws InterruptedException {
        watchWanted.acquire();
        watchWanted.drainPermits();
        DiscoveryClient watched = discovery;
        String why = "fault";
        try {
            watched.watch(peers.rev(), this::heard);
        } catch (IOException | MalformedException e) {
            why = String.valueOf(e.getMessage());
        } finally {
            if (watched == discovery) { // else a reload ended it: the new address is asked without a pause
                Log.warn("discovery.lost", "why", why, "rev", peers.rev());
                chain.route().listRefused();
            }
        }
    }

    private void heard(HostList list) {
        chain.listed(peers.update(list), list);
        if (keeper != null) {
            keeper.listed(peers.list());
        }
    }
}

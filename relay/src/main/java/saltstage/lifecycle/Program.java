package saltstage.lifecycle;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import saltstage.admin.AdminListener;
import saltstage.amqp.AmqpFront;
import saltstage.config.AmqpSettings;
import saltstage.config.Configuration;
import saltstage.config.OperatorSettings;
import saltstage.handover.Bans;
import saltstage.handover.Slots;
import saltstage.keep.Keeper;
import saltstage.keep.Takeover;
import saltstage.log.Log;
import saltstage.log.LogSetup;
import saltstage.memory.MonotonicClock;
import saltstage.memory.BackendRegistry;
import saltstage.memory.Timers;
import saltstage.metrics.Counts;
import saltstage.net.NettyTransport;
import saltstage.net.Transport;
import saltstage.stage.RelayPipeline;
import saltstage.stage.Threads;
import saltstage.wire.HostList;
import saltstage.wire.MalformedException;

/** One running relay: its stages, its loops, its start and its end. */
final class Program {
    private static final Duration BEAT = Duration.ofMillis(500);
    private static final int BEATS_PER_DELAYS = 2;
    private static final int BEATS_PER_TOTALS = 20;

    /** It answers at once; a start must not wait longer for one that is silent. */
    private static final Duration AGENT = Duration.ofSeconds(1);

    private static final Duration LAST_WRITE = Duration.ofMillis(200);

    private final Configuration config;
    private final OperatorSettings operator;
    private final Keeper keeper;
    private final MonotonicClock clock = new MonotonicClock();
    private final Timers timers = new Timers(clock);
    private final Surroundings surroundings;
    private final Bans bans;
    private final Counts counts;
    private final BackendRegistry peers;
    private final Clerk clerk;
    private final Subscription subscription;
    private final SharedConfiguration shared;
    private final Object reloading = new Object();
    private final CountDownLatch firstList = new CountDownLatch(1);
    private final RelayPipeline chain;
    private volatile boolean accepting;
    private volatile boolean failed;
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

    Program(Configuration config, OperatorSettings operator, Surroundings surroundings)
            throws IOException {
        this.surroundings = surroundings;
        this.config = config;
        this.operator = operator;
        keeper = operator.keeping().map(keeping -> Keeper.open(keeping, clock::now)).orElse(null);
        Path folder = surroundings.folder();
        boolean handsOver = surroundings.inheritsListener() && folder != null;
        bans = new Bans(admin() == null ? null : folder, config.name());
        counts = new Counts(config.classes());
        peers = new BackendRegistry(bans::has);
        chain = new RelayPipeline(config, clock, timers, peers, counts, this::watch);
        clerk =
                new Clerk(
                        clock,
                        peers,
                        chain,
                        counts,
                        bans,
                        handsOver ? claim(folder) : null,
                        handsOver ? folder.resolve(config.name() + ".takeover") : null);
        subscription =
                new Subscription(
                        config.discovery(),
                        !config.settings().watchesBackendList(),
                        timers,
                        peers::revision,
                        this::heard,
                        chain.router()::discoveryCallFailed);
        shared =
                operator.following().isEmpty()
                        ? null
                        : SharedConfiguration.open(
                                operator.following().get(),
                                operator.logging(),
                                config.name(),
                                bans,
                                this::heard);
    }

    private Slots claim(Path folder) {
        try {
            return Slots.claim(folder.resolve(config.name() + ".slots"), config.sockets());
        } catch (IOException e) { // it serves all the same, as if it were alone
            Log.warn("handover.fault", "why", e.getMessage());
            return null;
        }
    }

    private InetSocketAddress admin() {
        return surroundings.admin() != null ? surroundings.admin() : config.admin();
    }

    /** Starts to serve; clients are heard from the return on. */
    void start() throws IOException {
        try {
            begin();
        } catch (IOException | RuntimeException bad) {
            failed = true;
            throw bad;
        }
    }

    private void begin() throws IOException {
        if (admin() != null) { // first of all: who asks meanwhile is told that it starts
            chain.admissionControl().reserveDescriptors(AdminListener.DESCRIPTORS);
            AdminListener operators = new AdminListener(admin(), clerk);
            Threads.startLoop("admin", operators::round);
        }
        Takeover left = clerk.found();
        HostList known = known(left);
        clerk.listed(known);
        peers.update(known);
        if (shared != null) {
            chain.admissionControl().reserveDescriptors(SharedConfiguration.DESCRIPTORS);
        }
        chain.setDescriptorLimit(config.sockets()); // probes of these backends take theirs
        Threads.startLoop("timers", () -> timers.awaitNext().run());
        chain.router().start(known);
        beginToHearLists();
        if (left != null) {
            chain.router().restoreLearnedState(left.learnt());
        }
        if (keeper != null) {
            keeper.keptLearnt().ifPresent(chain.router()::restoreLearnedState);
            keeper.accepted(config.text(), operator.text());
            keeper.start(chain.router()::learnedState);
        }
        synchronized (this) {
            beatDue = clock.now(); // what the start took is no lateness
        }
        beat();
        if (operator.amqp().isPresent()) {
            startAmqp(operator.amqp().get());
        }
        ServerSocketChannel clients =
                surroundings.inheritsListener()
                        ? ClientListener.inherited()
                        : ClientListener.at(config.listen());
        if (admin() != null || surroundings.inheritsListener() || shared != null) {
            clerk.look(); // bans and the part of the descriptors hold before the first client
            Threads.startLoop("clerk", clerk::round);
        }
        awaitAgent();
        accept(clients);
    }

    private void accept(ServerSocketChannel clients) throws IOException {
        chain.lineFrontend().start();
        chain.lineFrontend().acceptor().start(clients);
        accepting = true;
        clerk.ready(null);
        Log.info(
                "relay.ready",
                "name",
                config.name(),
                "listen",
                clients.getLocalAddress(),
                "rev",
                peers.revision(),
                "peers",
                peers.all().size());
    }

    /**
     * Where lists are pushed, what the agent has counts as told from a process' first moment, and
     * the list it was started with may be old: nobody is sent anywhere before the agent has been
     * heard. It is silent while discovery is down; a relay that came to nothing but its last list
     * has to serve all the same.
     */
    private void awaitAgent() throws IOException {
        try {
            if (!config.settings().watchesBackendList()
                    && shared == null
                    && !firstList.await(AGENT.toMillis(), TimeUnit.MILLISECONDS)) {
                Log.warn("discovery.none", "rev", peers.revision());
            }
        } catch (InterruptedException e) {
            throw new IOException("interrupted while starting", e);
        }
    }

    private HostList known(Takeover left) {
        return shared == null
                ? newestKnown(left)
                : shared.knownList().orElseGet(() -> newestKnown(left));
    }

    private void beginToHearLists() {
        if (shared != null) {
            shared.start();
        } else if (!config.settings().watchesBackendList()) {
            subscription
                    .ask(); // the module does not: to it, lists that are pushed come by themselves
        }
    }

    private void startAmqp(AmqpSettings settings) throws IOException {
        Transport transport =
                new NettyTransport(
                        settings.loops(),
                        true,
                        (where, fault) -> Log.error("loop.fault." + where, fault));
        try {
            amqp = new AmqpFront(settings, config, chain, clock, transport);
            amqp.start();
        } catch (MalformedException bad) {
            throw new IOException(bad.getMessage(), bad);
        }
    }

    /** The list as the platform remembers it, or as this relay has kept it, whichever is newer. */
    private HostList newestKnown(Takeover left) {
        HostList kept =
                left != null ? left.list() : keeper == null ? null : keeper.keptList().orElse(null);
        boolean newer = kept != null && kept.rev() > config.known().rev();
        if (kept != null) {
            Log.info("keep.list", "rev", kept.rev(), "known", config.known().rev(), "taken", newer);
        }
        return newer ? kept : config.known();
    }

    /**
     * SIGHUP: reads the configuration anew. Discovery is watched at its new address at once,
     * resumed after what was heard: the old address may go on answering for a while, but what it
     * does not tell any more counts as told. The list, the module's state and all connections stay.
     * A bad file changes nothing.
     */
    void reload(Source source, SettingsSource operator) {
        synchronized (
                reloading) { // not this: a file that is slow to read may hold up neither beat nor
            // end
            reloadOne(source, operator);
        }
    }

    private void reloadOne(Source source, SettingsSource operator) {
        try {
            OperatorSettings chosen = operator.read();
            Configuration read = source.read();
            List<String> later = new ArrayList<>(read.differsFrom(config));
            AmqpFront.Change change =
                    amqp == null || chosen.amqp().isEmpty()
                            ? null
                            : amqp.change(
                                    chosen.amqp()
                                            .get()); // all is checked before anything is in force
            if (shared == null) {
                subscription.moveTo(read.discovery());
            }
            if (change != null) {
                later.addAll(change.apply());
            } else if (amqp != null || chosen.amqp().isPresent()) {
                later.add(
                        "amqp"); // a front is neither begun nor ended beside connections that stand
            }
            if (!chosen.following().equals(this.operator.following())) {
                later.add("configuration");
            }
            use(chosen.logging());
            if (keeper != null) {
                keeper.accepted(read.text(), chosen.text());
            }
            Log.info("reload.done", "discovery", subscription.address(), "restart_for", later);
        } catch (MalformedException | RuntimeException bad) {
            Log.warn("reload.refused", "why", bad.getMessage());
        }
    }

    private void use(OperatorSettings.Logging logging) {
        if (shared != null) {
            shared.useLogging(logging); // a setting of the configuration goes before the file's
        } else {
            LogSetup.use(logging.format(), logging.level().name());
        }
    }

    /**
     * SIGTERM: moves all clients, returns when none is left or time is up; false where the start
     * failed.
     */
    boolean drain() {
        if (failed) {
            return false; // the process ends with what went wrong, not as if it had been told to
        }
        boolean succeeded = clerk.succeeded();
        Duration late = lateness();
        clerk.ready("leaving");
        if (succeeded && accepting) {
            try {
                chain.lineFrontend().acceptor().stop();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        new Drain(clock, chain, config.longestGiveUp(), late, succeeded).run();
        if (keeper != null) {
            keeper.close(LAST_WRITE);
        }
        if (shared != null) {
            shared.close(LAST_WRITE);
        }
        return true;
    }

    /**
     * How late things happen here just now, by the beat. On a core that is busy with a crowd
     * SIGTERM was heard 2.3 s after it came; a drain that counts from then still has clients to
     * move when SIGKILL comes.
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
        timers.schedule(BEAT, this::beat); // first of all: what fails below must not end the beat
        markBeat();
        beats++;
        chain.checkUnresponsiveBackends();
        if (beats % BEATS_PER_DELAYS == 0) {
            chain.reportDelays();
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

    private void watch() {
        if (shared == null) {
            subscription.ask();
        }
    }

    private void heard(HostList list) {
        clerk.listed(list);
        chain.backendListReceived(peers.update(list), list);
        if (keeper != null
                && shared == null) { // else its revisions are the configuration's, kept with it
            keeper.listed(peers.toBackendList());
        }
        firstList.countDown();
    }
}

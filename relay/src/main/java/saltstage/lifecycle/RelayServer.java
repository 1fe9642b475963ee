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
import saltstage.amqp.AmqpFrontend;
import saltstage.config.AmqpSettings;
import saltstage.config.Configuration;
import saltstage.config.OperatorSettings;
import saltstage.handover.ProcessSlots;
import saltstage.handover.Suspensions;
import saltstage.log.Log;
import saltstage.log.LogSetup;
import saltstage.metrics.RequestCounters;
import saltstage.net.NettyTransport;
import saltstage.net.Transport;
import saltstage.persistence.RelayStateStore;
import saltstage.persistence.Takeover;
import saltstage.session.BackendRegistry;
import saltstage.session.MonotonicClock;
import saltstage.session.Timers;
import saltstage.stage.RelayPipeline;
import saltstage.stage.Threads;
import saltstage.wire.BackendList;
import saltstage.wire.MalformedException;

/** One running relay: its stages, its loops, its start and its end. */
final class RelayServer {
    private static final Duration TICK_INTERVAL = Duration.ofMillis(500);
    private static final int TICKS_PER_DELAY_REPORT = 2;
    private static final int TICKS_PER_TOTALS = 20;

    /** It answers at once; a start must not wait longer for one that is silent. */
    private static final Duration AGENT_TIMEOUT = Duration.ofSeconds(1);

    private static final Duration FINAL_WRITE_TIMEOUT = Duration.ofMillis(200);

    private final Configuration config;
    private final OperatorSettings operatorSettings;
    private final RelayStateStore stateStore;
    private final MonotonicClock clock = new MonotonicClock();
    private final Timers timers = new Timers(clock);
    private final ProcessEnvironment environment;
    private final Suspensions suspensions;
    private final RequestCounters counters;
    private final BackendRegistry backends;
    private final RelayOperations operations;
    private final DiscoverySubscription subscription;
    private final SharedConfiguration sharedConfiguration;
    private final Object reloadLock = new Object();
    private final CountDownLatch firstListReceived = new CountDownLatch(1);
    private final RelayPipeline pipeline;
    private volatile boolean accepting;
    private volatile boolean startFailed;
    private volatile AmqpFrontend amqpFrontend;
    private int ticks;
    private Instant nextTickDue = clock.now();
    private Duration tickLateness = Duration.ZERO;

    /** Where the configuration comes from, at the start and again at each reload. */
    interface ConfigurationSource {
        /** Reads it. */
        Configuration read() throws MalformedException;
    }

    /** Where the operator's settings come from, at each reload. */
    interface SettingsSource {
        /** Reads them. */
        OperatorSettings read() throws MalformedException;
    }

    RelayServer(Configuration config, OperatorSettings operator, ProcessEnvironment surroundings)
            throws IOException {
        this.environment = surroundings;
        this.config = config;
        this.operatorSettings = operator;
        stateStore =
                operator.persistence()
                        .map(keeping -> RelayStateStore.open(keeping, clock::now))
                        .orElse(null);
        Path folder = surroundings.sharedFolder();
        boolean handsOver = surroundings.inheritsListener() && folder != null;
        suspensions = new Suspensions(adminAddress() == null ? null : folder, config.name());
        counters = new RequestCounters(config.serviceClassNames());
        backends = new BackendRegistry(suspensions::isSuspended);
        pipeline =
                new RelayPipeline(
                        config, clock, timers, backends, counters, this::watchBackendList);
        operations =
                new RelayOperations(
                        clock,
                        backends,
                        pipeline,
                        counters,
                        suspensions,
                        handsOver ? claimSlot(folder) : null,
                        handsOver ? folder.resolve(config.name() + ".takeover") : null);
        subscription =
                new DiscoverySubscription(
                        config.discoveryAddress(),
                        !config.settings().watchesBackendList(),
                        timers,
                        backends::revision,
                        this::backendListReceived,
                        pipeline.router()::discoveryCallFailed);
        sharedConfiguration =
                operator.follower().isEmpty()
                        ? null
                        : SharedConfiguration.open(
                                operator.follower().get(),
                                operator.logging(),
                                config.name(),
                                suspensions,
                                this::backendListReceived);
    }

    private ProcessSlots claimSlot(Path folder) {
        try {
            return ProcessSlots.claim(
                    folder.resolve(config.name() + ".slots"), config.maxSockets());
        } catch (IOException e) { // it serves all the same, as if it were alone
            Log.warn("handover.fault", "why", e.getMessage());
            return null;
        }
    }

    private InetSocketAddress adminAddress() {
        return environment.adminAddress() != null
                ? environment.adminAddress()
                : config.adminAddress();
    }

    /** Starts to serve; clients are heard from the return on. */
    void start() throws IOException {
        try {
            startParts();
        } catch (IOException | RuntimeException bad) {
            startFailed = true;
            throw bad;
        }
    }

    private void startParts() throws IOException {
        if (adminAddress() != null) { // first of all: who asks meanwhile is told that it starts
            pipeline.admissionControl().reserveDescriptors(AdminListener.MAX_DESCRIPTORS);
            AdminListener operators = new AdminListener(adminAddress(), operations);
            Threads.startLoop("admin", operators::runOnce);
        }
        Takeover left = operations.readTakeover();
        BackendList known = initialList(left);
        operations.backendListReceived(known);
        backends.update(known);
        if (sharedConfiguration != null) {
            pipeline.admissionControl().reserveDescriptors(SharedConfiguration.MAX_DESCRIPTORS);
        }
        pipeline.setDescriptorLimit(config.maxSockets()); // probes of these backends take theirs
        Threads.startLoop("timers", () -> timers.awaitNext().run());
        pipeline.router().start(known);
        startDiscovery();
        if (left != null) {
            pipeline.router().restoreLearnedState(left.learnedState());
        }
        if (stateStore != null) {
            stateStore.persistedLearnedState().ifPresent(pipeline.router()::restoreLearnedState);
            stateStore.saveConfiguration(config.text(), operatorSettings.text());
            stateStore.start(pipeline.router()::learnedState);
        }
        synchronized (this) {
            nextTickDue = clock.now(); // what the start took is no lateness
        }
        tick();
        if (operatorSettings.amqp().isPresent()) {
            startAmqp(operatorSettings.amqp().get());
        }
        ServerSocketChannel clients =
                environment.inheritsListener()
                        ? ClientListener.inherited()
                        : ClientListener.bind(config.listenAddress());
        if (adminAddress() != null
                || environment.inheritsListener()
                || sharedConfiguration != null) {
            operations.poll(); // bans and the part of the descriptors hold before the first client
            Threads.startLoop("clerk", operations::runOnce);
        }
        awaitFirstList();
        startAccepting(clients);
    }

    private void startAccepting(ServerSocketChannel clients) throws IOException {
        pipeline.lineFrontend().start();
        pipeline.lineFrontend().acceptor().start(clients);
        accepting = true;
        operations.setNotReadyReason(null);
        Log.info(
                "relay.ready",
                "name",
                config.name(),
                "listen",
                clients.getLocalAddress(),
                "rev",
                backends.revision(),
                "peers",
                backends.all().size());
    }

    /**
     * Where lists are pushed, what the agent has counts as told from a process' first moment, and
     * the list it was started with may be old: nobody is sent anywhere before the agent has been
     * heard. It is silent while discovery is down; a relay that came to nothing but its last list
     * has to serve all the same.
     */
    private void awaitFirstList() throws IOException {
        try {
            if (!config.settings().watchesBackendList()
                    && sharedConfiguration == null
                    && !firstListReceived.await(AGENT_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)) {
                Log.warn("discovery.none", "rev", backends.revision());
            }
        } catch (InterruptedException e) {
            throw new IOException("interrupted while starting", e);
        }
    }

    private BackendList initialList(Takeover left) {
        return sharedConfiguration == null
                ? newestKnownList(left)
                : sharedConfiguration.knownList().orElseGet(() -> newestKnownList(left));
    }

    private void startDiscovery() {
        if (sharedConfiguration != null) {
            sharedConfiguration.start();
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
            amqpFrontend = new AmqpFrontend(settings, config, pipeline, clock, transport);
            amqpFrontend.start();
        } catch (MalformedException bad) {
            throw new IOException(bad.getMessage(), bad);
        }
    }

    /** The list as the platform remembers it, or as this relay has kept it, whichever is newer. */
    private BackendList newestKnownList(Takeover left) {
        BackendList kept =
                left != null
                        ? left.list()
                        : stateStore == null ? null : stateStore.persistedList().orElse(null);
        boolean newer = kept != null && kept.revision() > config.knownBackends().revision();
        if (kept != null) {
            Log.info(
                    "keep.list",
                    "rev",
                    kept.revision(),
                    "known",
                    config.knownBackends().revision(),
                    "taken",
                    newer);
        }
        return newer ? kept : config.knownBackends();
    }

    /**
     * SIGHUP: reads the configuration anew. Discovery is watched at its new address at once,
     * resumed after what was heard: the old address may go on answering for a while, but what it
     * does not tell any more counts as told. The list, the module's state and all connections stay.
     * A bad file changes nothing.
     */
    void reload(ConfigurationSource source, SettingsSource operator) {
        synchronized (
                reloadLock) { // not this: a file that is slow to read may hold up neither beat nor
            // end
            reloadExclusively(source, operator);
        }
    }

    private void reloadExclusively(ConfigurationSource source, SettingsSource operator) {
        try {
            OperatorSettings chosen = operator.read();
            Configuration read = source.read();
            List<String> later = new ArrayList<>(read.restartRequiredChanges(config));
            AmqpFrontend.SettingsChange change =
                    amqpFrontend == null || chosen.amqp().isEmpty()
                            ? null
                            : amqpFrontend.prepareChange(
                                    chosen.amqp()
                                            .get()); // all is checked before anything is in force
            if (sharedConfiguration == null) {
                subscription.changeAddress(read.discoveryAddress());
            }
            if (change != null) {
                later.addAll(change.apply());
            } else if (amqpFrontend != null || chosen.amqp().isPresent()) {
                later.add(
                        "amqp"); // a front is neither begun nor ended beside connections that stand
            }
            if (!chosen.follower().equals(this.operatorSettings.follower())) {
                later.add("configuration");
            }
            applyLogging(chosen.logging());
            if (stateStore != null) {
                stateStore.saveConfiguration(read.text(), chosen.text());
            }
            Log.info("reload.done", "discovery", subscription.address(), "restart_for", later);
        } catch (MalformedException | RuntimeException bad) {
            Log.warn("reload.refused", "why", bad.getMessage());
        }
    }

    private void applyLogging(OperatorSettings.Logging logging) {
        if (sharedConfiguration != null) {
            sharedConfiguration.useLogging(
                    logging); // a setting of the configuration goes before the file's
        } else {
            LogSetup.reconfigure(logging.format(), logging.level().name());
        }
    }

    /**
     * SIGTERM: moves all clients, returns when none is left or time is up; false where the start
     * failed.
     */
    boolean drain() {
        if (startFailed) {
            return false; // the process ends with what went wrong, not as if it had been told to
        }
        boolean succeeded = operations.hasSuccessor();
        Duration late = lateness();
        operations.setNotReadyReason("leaving");
        if (succeeded && accepting) {
            try {
                pipeline.lineFrontend().acceptor().stop();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        new Drain(clock, pipeline, config.maxClientTimeout(), late, succeeded).run();
        if (stateStore != null) {
            stateStore.close(FINAL_WRITE_TIMEOUT);
        }
        if (sharedConfiguration != null) {
            sharedConfiguration.close(FINAL_WRITE_TIMEOUT);
        }
        return true;
    }

    /**
     * How late things happen here just now, by the beat. On a core that is busy with a crowd
     * SIGTERM was heard 2.3 s after it came; a drain that counts from then still has clients to
     * move when SIGKILL comes.
     */
    private synchronized Duration lateness() {
        Duration now = Duration.between(nextTickDue, clock.now());
        return now.compareTo(tickLateness) > 0 ? now : tickLateness;
    }

    private synchronized void recordTick() {
        Duration halved = tickLateness.dividedBy(2);
        Duration now = Duration.between(nextTickDue, clock.now());
        tickLateness = now.compareTo(halved) > 0 ? now : halved;
        nextTickDue = clock.now().plus(TICK_INTERVAL);
    }

    private void tick() {
        timers.schedule(
                TICK_INTERVAL, this::tick); // first of all: what fails below must not end the beat
        recordTick();
        ticks++;
        pipeline.checkUnresponsiveBackends();
        if (ticks % TICKS_PER_DELAY_REPORT == 0) {
            pipeline.reportDelays();
        }
        if (ticks % TICKS_PER_TOTALS == 0) {
            if (amqpFrontend != null) {
                amqpFrontend.logTotals();
            }
            if (stateStore == null) {
                pipeline.logTotals();
            } else {
                pipeline.logTotals("store", stateStore.state());
            }
        }
    }

    private void watchBackendList() {
        if (sharedConfiguration == null) {
            subscription.ask();
        }
    }

    private void backendListReceived(BackendList list) {
        operations.backendListReceived(list);
        pipeline.backendListReceived(backends.update(list), list);
        if (stateStore != null
                && sharedConfiguration
                        == null) { // else its revisions are the configuration's, kept with it
            stateStore.saveList(backends.toBackendList());
        }
        firstListReceived.countDown();
    }
}

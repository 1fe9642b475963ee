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
import saltstage.handover.RequestIdFile;
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
import saltstage.session.RequestIdTable;
import saltstage.session.Timers;
import saltstage.stage.AdmissionControl;
import saltstage.stage.RelayPipeline;
import saltstage.stage.Threads;
import saltstage.wire.BackendList;
import saltstage.wire.MalformedException;

/**
 * One running relay process: sets up the request pipeline, starts the background threads, reloads
 * the configuration and drains at the end.
 */
final class RelayServer {
    private static final Duration TICK_INTERVAL = Duration.ofMillis(500);
    private static final int TICKS_PER_DELAY_REPORT = 2;
    private static final int TICKS_PER_TOTALS = 20;

    /**
     * How long a start waits for the discovery agent, which answers at once if it can be reached.
     */
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

    /** Reads the relay's configuration, at the start and again at each reload. */
    interface ConfigurationSource {
        /** Reads and checks the configuration. */
        Configuration read() throws MalformedException;
    }

    /** Reads the operator's settings, at each reload. */
    interface SettingsSource {
        /** Reads and checks the settings. */
        OperatorSettings read() throws MalformedException;
    }

    RelayServer(
            Configuration config, OperatorSettings operatorSettings, ProcessEnvironment environment)
            throws IOException {
        this.environment = environment;
        this.config = config;
        this.operatorSettings = operatorSettings;
        stateStore =
                operatorSettings
                        .persistence()
                        .map(persistence -> RelayStateStore.open(persistence, clock::now))
                        .orElse(null);
        Path folder = environment.sharedFolder();
        boolean canHandOver = environment.inheritsListener() && folder != null;
        suspensions = new Suspensions(adminAddress() == null ? null : folder, config.name());
        counters = new RequestCounters(config.serviceClassNames());
        backends = new BackendRegistry(suspensions::isSuspended);
        pipeline =
                new RelayPipeline(
                        config, clock, timers, backends, counters, this::watchBackendList);
        if (folder != null && AdmissionControl.hasUnrepeatableClass(config)) {
            shareRequestIds(folder.resolve(config.name() + ".ids"));
        }
        operations = createOperations(canHandOver ? folder : null);
        subscription =
                new DiscoverySubscription(
                        config.discoveryAddress(),
                        !config.settings().watchesBackendList(),
                        timers,
                        backends::revision,
                        this::discoveryListReceived,
                        pipeline.router()::discoveryCallFailed);
        sharedConfiguration =
                operatorSettings.follower().isEmpty()
                        ? null
                        : SharedConfiguration.open(
                                operatorSettings.follower().get(),
                                operatorSettings.logging(),
                                config.name(),
                                suspensions,
                                this::backendListReceived);
    }

    /** Creates the operations; the folder is null where no process can hand over to another. */
    private RelayOperations createOperations(Path handoverFolder) {
        return new RelayOperations(
                clock,
                backends,
                pipeline,
                counters,
                suspensions,
                handoverFolder == null ? null : claimSlot(handoverFolder),
                handoverFolder == null ? null : handoverFolder.resolve(config.name() + ".takeover"),
                this::otherProcessListReceived);
    }

    /** Another process of this relay, or a later one, must know the ids that this one has used. */
    private void shareRequestIds(Path file) {
        try {
            pipeline.admissionControl()
                    .useRequestIds(
                            new RequestIdTable(
                                    RequestIdFile.map(file, RequestIdTable.BYTES), config.seed()));
        } catch (IOException e) { // the relay serves all the same, and knows its own ids
            Log.warn("handover.fault", "why", e.getMessage());
        }
    }

    private ProcessSlots claimSlot(Path folder) {
        try {
            return ProcessSlots.claim(
                    folder.resolve(config.name() + ".slots"), config.maxSockets());
        } catch (IOException e) { // the relay serves all the same, as if it were the only process
            Log.warn("handover.fault", "why", e.getMessage());
            return null;
        }
    }

    private InetSocketAddress adminAddress() {
        return environment.adminAddress() != null
                ? environment.adminAddress()
                : config.adminAddress();
    }

    /** Starts the relay; it accepts clients once this method has returned. */
    void start() throws IOException {
        try {
            startParts();
        } catch (IOException | RuntimeException failure) {
            startFailed = true;
            throw failure;
        }
    }

    private void startParts() throws IOException {
        if (adminAddress() != null) { // first, so that operators can call during the start
            pipeline.admissionControl().reserveDescriptors(AdminListener.MAX_DESCRIPTORS);
            AdminListener adminListener = new AdminListener(adminAddress(), operations);
            Threads.startLoop("admin", adminListener::runOnce);
        }
        Takeover takeover = operations.readTakeover();
        BackendList list = initialList(takeover);
        operations.backendListReceived(list);
        backends.update(list);
        if (sharedConfiguration != null) {
            pipeline.admissionControl().reserveDescriptors(SharedConfiguration.MAX_DESCRIPTORS);
        }
        pipeline.setDescriptorLimit(config.maxSockets()); // after the list: its probes take a part
        Threads.startLoop("timers", () -> timers.awaitNext().run());
        pipeline.router().start(list);
        startDiscovery();
        if (takeover != null) {
            pipeline.router().restoreLearnedState(takeover.learnedState());
        }
        if (stateStore != null) {
            stateStore.persistedLearnedState().ifPresent(pipeline.router()::restoreLearnedState);
            stateStore.saveConfiguration(config.text(), operatorSettings.text());
            stateStore.start(pipeline.router()::learnedState);
        }
        synchronized (this) {
            nextTickDue = clock.now(); // the duration of the start does not count as lateness
        }
        tick();
        if (operatorSettings.amqp().isPresent()) {
            startAmqp(operatorSettings.amqp().get());
        }
        ServerSocketChannel clientSocket =
                environment.inheritsListener()
                        ? ClientListener.inherited()
                        : ClientListener.bind(config.listenAddress());
        if (adminAddress() != null
                || environment.inheritsListener()
                || sharedConfiguration != null) {
            operations.poll(); // suspensions and descriptor share apply before the first client
            Threads.startLoop("clerk", operations::runOnce);
        }
        awaitFirstList();
        startAccepting(clientSocket);
    }

    private void startAccepting(ServerSocketChannel clientSocket) throws IOException {
        pipeline.lineFrontend().start();
        pipeline.lineFrontend().acceptor().start(clientSocket);
        accepting = true;
        operations.setNotReadyReason(null);
        Log.info(
                "relay.ready",
                "name",
                config.name(),
                "listen",
                clientSocket.getLocalAddress(),
                "rev",
                backends.revision(),
                "peers",
                backends.all().size());
    }

    /**
     * Waits for the agent's list where lists are pushed. The relay counts as knowing the agent's
     * list from the first moment of its process, and the list it was started with may be old, so no
     * request is sent to a backend before the agent's list has arrived. The agent sends nothing
     * while discovery is down; then the relay serves with the last list it has.
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

    private BackendList initialList(Takeover takeover) {
        return sharedConfiguration == null
                ? newestKnownList(takeover)
                : sharedConfiguration.knownList().orElseGet(() -> newestKnownList(takeover));
    }

    private void startDiscovery() {
        if (sharedConfiguration != null) {
            sharedConfiguration.start();
        } else if (!config.settings().watchesBackendList()) {
            // The load balancer never asks for lists that are pushed.
            subscription.ask();
        }
    }

    private void startAmqp(AmqpSettings settings) throws IOException {
        Transport transport =
                new NettyTransport(
                        settings.loops(),
                        true,
                        (location, fault) -> Log.error("loop.fault." + location, fault));
        try {
            amqpFrontend = new AmqpFrontend(settings, config, pipeline, clock, transport);
            if (environment.inheritsListener()) {
                // The process that this one replaces still serves and listens for AMQP clients.
                amqpFrontend.startAsSuccessor();
            } else {
                amqpFrontend.start();
            }
        } catch (MalformedException malformed) {
            throw new IOException(malformed.getMessage(), malformed);
        }
    }

    /**
     * Returns the list of the configuration or the one that this relay took over or persisted,
     * whichever is newer.
     */
    private BackendList newestKnownList(Takeover takeover) {
        BackendList persisted =
                takeover != null
                        ? takeover.list()
                        : stateStore == null ? null : stateStore.persistedList().orElse(null);
        boolean newer =
                persisted != null && persisted.revision() > config.knownBackends().revision();
        if (persisted != null) {
            Log.info(
                    "keep.list",
                    "rev",
                    persisted.revision(),
                    "known",
                    config.knownBackends().revision(),
                    "taken",
                    newer);
        }
        return newer ? persisted : config.knownBackends();
    }

    /**
     * Handles SIGHUP: reads the configuration and the settings again. Discovery is watched at its
     * new address at once, resumed after the revision held: the old address may go on answering for
     * a while, but the relay counts as knowing changes that the old address no longer reports. The
     * backend list, the load balancer's state and all connections stay. An invalid file changes
     * nothing.
     */
    void reload(ConfigurationSource configurationSource, SettingsSource settingsSource) {
        // A lock of its own: a file that is slow to read must delay neither the tick nor the drain.
        synchronized (reloadLock) {
            reloadExclusively(configurationSource, settingsSource);
        }
    }

    private void reloadExclusively(
            ConfigurationSource configurationSource, SettingsSource settingsSource) {
        try {
            OperatorSettings newSettings = settingsSource.read();
            Configuration newConfig = configurationSource.read();
            List<String> restartRequired =
                    new ArrayList<>(newConfig.restartRequiredChanges(config));
            // Everything is checked before any change is applied.
            AmqpFrontend.SettingsChange amqpChange =
                    amqpFrontend == null || newSettings.amqp().isEmpty()
                            ? null
                            : amqpFrontend.prepareChange(newSettings.amqp().get());
            if (sharedConfiguration == null) {
                subscription.changeAddress(newConfig.discoveryAddress());
            }
            if (amqpChange != null) {
                restartRequired.addAll(amqpChange.apply());
            } else if (amqpFrontend != null || newSettings.amqp().isPresent()) {
                // The frontend is neither started nor stopped while connections are established.
                restartRequired.add("amqp");
            }
            if (!newSettings.follower().equals(this.operatorSettings.follower())) {
                restartRequired.add("configuration");
            }
            applyLogging(newSettings.logging());
            if (stateStore != null) {
                stateStore.saveConfiguration(newConfig.text(), newSettings.text());
            }
            Log.info(
                    "reload.done",
                    "discovery",
                    subscription.address(),
                    "restart_for",
                    restartRequired);
        } catch (MalformedException | RuntimeException failure) {
            Log.warn("reload.refused", "why", failure.getMessage());
        }
    }

    private void applyLogging(OperatorSettings.Logging logging) {
        if (sharedConfiguration != null) {
            // A setting of the shared configuration takes precedence over the file's.
            sharedConfiguration.useLogging(logging);
        } else {
            LogSetup.reconfigure(logging.format(), logging.level().name());
        }
    }

    /**
     * Handles SIGTERM: moves all clients and returns when none is left or the time is up.
     *
     * @return false if the start had failed and there is nothing to drain
     */
    boolean drain() {
        if (startFailed) {
            return false; // the process exits with the code of the failed start
        }
        boolean hasSuccessor = operations.hasSuccessor();
        Duration lateness = lateness();
        operations.setNotReadyReason("leaving");
        if (hasSuccessor && accepting) {
            try {
                pipeline.lineFrontend().acceptor().stop();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        new Drain(clock, pipeline, config.maxClientTimeout(), lateness, hasSuccessor).run();
        if (stateStore != null) {
            stateStore.close(FINAL_WRITE_TIMEOUT);
        }
        if (sharedConfiguration != null) {
            sharedConfiguration.close(FINAL_WRITE_TIMEOUT);
        }
        return true;
    }

    /**
     * Returns how late this process is at present, judged by its tick. On a core that was busy with
     * many clients, SIGTERM was handled 2.3 s after it came; a drain that counts its time from the
     * handling on still has clients to move when SIGKILL comes.
     */
    private synchronized Duration lateness() {
        Duration current = Duration.between(nextTickDue, clock.now());
        return current.compareTo(tickLateness) > 0 ? current : tickLateness;
    }

    private synchronized void recordTick() {
        Duration decayed = tickLateness.dividedBy(2);
        Duration current = Duration.between(nextTickDue, clock.now());
        tickLateness = current.compareTo(decayed) > 0 ? current : decayed;
        nextTickDue = clock.now().plus(TICK_INTERVAL);
    }

    private void tick() {
        // The next tick is scheduled first: a failure below must not end the ticks.
        timers.schedule(TICK_INTERVAL, this::tick);
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

    private void discoveryListReceived(BackendList list) {
        backendListReceived(list);
        firstListReceived.countDown();
    }

    /** What discovery tells one process of this relay binds both. */
    private void otherProcessListReceived(BackendList list) {
        if (sharedConfiguration == null) { // else both have their lists from its directory
            Log.info("takeover.list", "rev", list.revision(), "held", backends.revision());
            subscription.listReceivedByOtherProcess(list);
        }
    }

    private void backendListReceived(BackendList list) {
        operations.backendListReceived(list);
        pipeline.backendListReceived(backends.update(list), list);
        // With shared configuration, lists have its revisions and are persisted with it.
        if (stateStore != null && sharedConfiguration == null) {
            stateStore.saveList(backends.toBackendList());
        }
    }
}

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
        } catch (IOException | RuntimeException bad) {
            startFailed = true;
            throw bad;
        }
    }

    private void startParts() throws IOException {
        // The admin listener starts first, so that operators can call during the start.
        if (adminAddress() != null) {
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
        // The limit follows the list: probes of the listed backends take a part of the descriptors.
        pipeline.setDescriptorLimit(config.maxSockets());
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
            nextTickDue = clock.now(); // the duration of the start does not count as lateness
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
            // Suspensions and the share of the descriptors apply before the first client comes.
            operations.poll();
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

    private BackendList initialList(Takeover left) {
        return sharedConfiguration == null
                ? newestKnownList(left)
                : sharedConfiguration.knownList().orElseGet(() -> newestKnownList(left));
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
                        (where, fault) -> Log.error("loop.fault." + where, fault));
        try {
            amqpFrontend = new AmqpFrontend(settings, config, pipeline, clock, transport);
            amqpFrontend.start();
        } catch (MalformedException bad) {
            throw new IOException(bad.getMessage(), bad);
        }
    }

    /**
     * Returns the list of the configuration or the one that this relay took over or persisted,
     * whichever is newer.
     */
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
     * Handles SIGHUP: reads the configuration and the settings again. Discovery is watched at its
     * new address at once, resumed after the revision held: the old address may go on answering for
     * a while, but the relay counts as knowing changes that the old address no longer reports. The
     * backend list, the load balancer's state and all connections stay. An invalid file changes
     * nothing.
     */
    void reload(ConfigurationSource source, SettingsSource operator) {
        // A lock of its own: a file that is slow to read must delay neither the tick nor the drain.
        synchronized (reloadLock) {
            reloadExclusively(source, operator);
        }
    }

    private void reloadExclusively(ConfigurationSource source, SettingsSource operator) {
        try {
            OperatorSettings chosen = operator.read();
            Configuration read = source.read();
            List<String> later = new ArrayList<>(read.restartRequiredChanges(config));
            // Everything is checked before any change is applied.
            AmqpFrontend.SettingsChange change =
                    amqpFrontend == null || chosen.amqp().isEmpty()
                            ? null
                            : amqpFrontend.prepareChange(chosen.amqp().get());
            if (sharedConfiguration == null) {
                subscription.changeAddress(read.discoveryAddress());
            }
            if (change != null) {
                later.addAll(change.apply());
            } else if (amqpFrontend != null || chosen.amqp().isPresent()) {
                // The frontend is neither started nor stopped while connections are established.
                later.add("amqp");
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
     * Returns how late this process is at present, judged by its tick. On a core that was busy with
     * many clients, SIGTERM was handled 2.3 s after it came; a drain that counts its time from the
     * handling on still has clients to move when SIGKILL comes.
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

    private void backendListReceived(BackendList list) {
        operations.backendListReceived(list);
        pipeline.backendListReceived(backends.update(list), list);
        // With shared configuration, lists have its revisions and are persisted with it.
        if (stateStore != null && sharedConfiguration == null) {
            stateStore.saveList(backends.toBackendList());
        }
        firstListReceived.countDown();
    }
}

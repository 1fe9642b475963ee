package saltstage.amqp;

import java.io.IOException;
import java.security.SecureRandom;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.LongAdder;
import org.apache.qpid.protonj2.types.messaging.Accepted;
import org.apache.qpid.protonj2.types.messaging.Modified;
import org.apache.qpid.protonj2.types.messaging.Rejected;
import org.apache.qpid.protonj2.types.messaging.Released;
import org.apache.qpid.protonj2.types.transport.DeliveryState;
import saltstage.config.AmqpSettings;
import saltstage.config.Configuration;
import saltstage.log.Log;
import saltstage.net.Connection;
import saltstage.net.ConnectionHandler;
import saltstage.net.Loop;
import saltstage.net.Transport;
import saltstage.session.Attempt;
import saltstage.session.MonotonicClock;
import saltstage.stage.AdmissionControl;
import saltstage.stage.Frontend;
import saltstage.stage.OutcomeRecorder;
import saltstage.stage.RelayPipeline;
import saltstage.wire.BackendList;
import saltstage.wire.MalformedException;

/** Accepts AMQP clients and holds the state that all their connections share. */
public final class AmqpFrontend implements Frontend {
    private static final Duration MAINTENANCE_INTERVAL = Duration.ofMillis(100);

    /**
     * Approximate number of maintenance intervals over which the links of a draining backend are
     * moved, so that not all of them attach elsewhere at once.
     */
    private static final int MOVE_SPREAD_INTERVALS = 5;

    private static final int MIN_LINKS_MOVED_PER_INTERVAL = 20;

    /** Connections beyond the limit that are closed with an error; any further ones are reset. */
    private static final int MAX_CONNECTIONS_OVER_LIMIT = 64;

    /** Descriptors reserved for connections to backends, in addition to those for clients. */
    private static final int RESERVED_BACKEND_SOCKETS = 64;

    /** The share of the heap that AMQP clients may occupy together. */
    private static final double MAX_HEAP_SHARE = 0.4;

    private final MemoryBudget memoryBudget =
            new MemoryBudget((long) (MAX_HEAP_SHARE * Runtime.getRuntime().maxMemory()));
    private final Configuration config;
    private final RelayPipeline pipeline;
    private final MonotonicClock clock;
    private final Transport transport;
    private final String containerId;
    private volatile ValidatedSettings validatedSettings;
    private int reservedDescriptors;
    private final Map<Loop, BackendConnectionPool> backendPools = new HashMap<>();
    private final Set<AmqpClientConnection> clients = ConcurrentHashMap.newKeySet();
    private final Set<ClientLink> links = ConcurrentHashMap.newKeySet();
    private final AtomicInteger connectionCount = new AtomicInteger();
    private final AtomicInteger linkCount = new AtomicInteger();
    private final AtomicLong lastRequestNumber = new AtomicLong();
    private final LongAdder receivedDeliveries = new LongAdder();
    private final LongAdder presettledDeliveries = new LongAdder();
    private final LongAdder accepted = new LongAdder();
    private final LongAdder rejected = new LongAdder();
    private final LongAdder released = new LongAdder();
    private final LongAdder modified = new LongAdder();
    private final LongAdder otherOutcomes = new LongAdder();
    private final LongAdder expiredDeliveries = new LongAdder();
    private final LongAdder deliveriesToClients = new LongAdder();
    private final LongAdder movedLinks = new LongAdder();
    private final LongAdder reattachedLinks = new LongAdder();
    private final LongAdder failedLogins = new LongAdder();
    private final LongAdder refusedForMemory = new LongAdder();
    private final AmqpListener listener;
    private volatile boolean draining;

    /** Creates a frontend with these settings for the pipeline. */
    public AmqpFrontend(
            AmqpSettings settings,
            Configuration config,
            RelayPipeline pipeline,
            MonotonicClock clock,
            Transport transport)
            throws MalformedException {
        this.config = config;
        this.pipeline = pipeline;
        this.clock = clock;
        this.transport = transport;
        validatedSettings = ValidatedSettings.validate(settings, config);
        // Link names are unique within a container. The random suffix keeps a backend from taking
        // this process for another relay of the same name or for an earlier process that it
        // believes is still connected.
        containerId =
                "saltstage-"
                        + config.name()
                        + "-"
                        + Integer.toHexString(new SecureRandom().nextInt());
        for (Loop loop : transport.loops()) {
            backendPools.put(loop, new BackendConnectionPool(this, transport, loop));
        }
        listener = new AmqpListener(transport, settings.listenAddress(), this::accept, clock::now);
    }

    /** Starts to listen. */
    public void start() throws IOException {
        listener.open();
        startServing();
    }

    /**
     * Starts beside another process of this relay, which may still listen on the address: listens
     * as soon as that process has closed its listener.
     */
    public void startAsSuccessor() throws IOException {
        listener.openWhenFree();
        startServing();
    }

    private void startServing() {
        reserveDescriptors();
        pipeline.addFrontend(this);
        transport.loops().forEach(this::scheduleMaintenance);
    }

    private void reserveDescriptors() {
        int descriptors =
                Math.min(
                        config.maxSockets() / 2,
                        settings().limits().maxConnections() + RESERVED_BACKEND_SOCKETS);
        pipeline.admissionControl().reserveDescriptors(descriptors - reservedDescriptors);
        reservedDescriptors = descriptors;
    }

    /** A validated settings change that has not been applied yet. */
    public interface SettingsChange {
        /**
         * Applies the change to new connections, links and logins; returns the settings that
         * require a restart.
         */
        List<String> apply();
    }

    /**
     * Validates new settings, reading the current secrets file. Existing connections and links keep
     * the limits they were created with; new connections, links and logins get the new ones.
     */
    public SettingsChange prepareChange(AmqpSettings newSettings) throws MalformedException {
        ValidatedSettings validated = ValidatedSettings.validate(newSettings, config);
        return () -> {
            List<String> restartRequired = validatedSettings.restartRequiredChanges(validated);
            validatedSettings = validated;
            reserveDescriptors();
            return restartRequired;
        };
    }

    /** Accepts a connection; returns null, which resets it, if it is too far beyond the limit. */
    ConnectionHandler accept(Connection connection) {
        int count = connectionCount.incrementAndGet();
        if (count > settings().limits().maxConnections() + MAX_CONNECTIONS_OVER_LIMIT) {
            connectionCount.decrementAndGet();
            Log.warn("amqp.full", "from", connection.remoteAddress(), "connections", count);
            return null;
        }
        AmqpClientConnection client =
                new AmqpClientConnection(
                        this,
                        backendPools.get(connection.loop()),
                        connection,
                        count > settings().limits().maxConnections());
        clients.add(client);
        return client;
    }

    private void scheduleMaintenance(Loop loop) {
        loop.schedule(
                MAINTENANCE_INTERVAL,
                () -> {
                    scheduleMaintenance(loop);
                    Instant now = now();
                    for (AmqpClientConnection client : clients) {
                        if (client.loop() == loop) {
                            client.checkTimeouts(now);
                        }
                    }
                    backendPools.get(loop).closeIdleConnections();
                    moveLinksOffDrainingBackends();
                });
    }

    /**
     * Moves some of the links of draining backends in each maintenance interval. A draining backend
     * keeps its links until they are moved.
     */
    private void moveLinksOffDrainingBackends() {
        Map<Object, Integer> remainingMoves = new HashMap<>();
        for (ClientLink link : links) {
            Attempt attempt = link.establishedAttempt();
            if (attempt != null
                    && attempt.backend().entry().state() == BackendList.State.DRAINING
                    && attempt.moveReason() == null) {
                remainingMoves.merge(attempt.backend(), 1, Integer::sum);
            }
        }
        if (remainingMoves.isEmpty()) {
            return;
        }
        remainingMoves.replaceAll(
                (backend, count) ->
                        Math.max(
                                MIN_LINKS_MOVED_PER_INTERVAL,
                                (count + MOVE_SPREAD_INTERVALS - 1) / MOVE_SPREAD_INTERVALS));
        for (ClientLink link : links) {
            Attempt attempt = link.establishedAttempt();
            if (attempt != null
                    && remainingMoves.getOrDefault(attempt.backend(), 0) > 0
                    && pipeline.move(attempt, "drain")) {
                remainingMoves.merge(attempt.backend(), -1, Integer::sum);
            }
        }
    }

    /** The successor listens on the same address, so this process must release it at once. */
    @Override
    public void startHandover() {
        startDraining();
    }

    @Override
    public void startDraining() {
        draining = true;
        listener.close();
        for (AmqpClientConnection client : clients) {
            client.loop().execute(client::closeIfDraining);
        }
    }

    @Override
    public void rejectPendingClients() {
        startDraining(); // this also closes all connections without links
    }

    /** Whether the relay is draining. */
    boolean isDraining() {
        return draining;
    }

    @Override
    public int clientCount() {
        return clients.size();
    }

    @Override
    public int requestCount() {
        return links.size();
    }

    /** Logs the totals of connections, links and delivery outcomes. */
    public void logTotals() {
        Log.info(
                "amqp.totals",
                "connections",
                clients.size(),
                "links",
                links.size(),
                "taken",
                receivedDeliveries,
                "presettled",
                presettledDeliveries,
                "accepted",
                accepted,
                "rejected",
                rejected,
                "released",
                released,
                "modified",
                modified,
                "other",
                otherOutcomes,
                "expired",
                expiredDeliveries,
                "handed",
                deliveriesToClients,
                "moved",
                movedLinks,
                "replaced",
                reattachedLinks,
                "logins_failed",
                failedLogins,
                "held_kb",
                memoryBudget.heldBytes() >> 10,
                "paused",
                clients.stream().filter(AmqpClientConnection::isPaused).count(),
                "memory_refused",
                refusedForMemory);
    }

    Instant now() {
        return clock.now();
    }

    AmqpSettings settings() {
        return validatedSettings.settings();
    }

    Configuration config() {
        return config;
    }

    AttachMapper attachMapper() {
        return validatedSettings.attachMapper();
    }

    UserSecrets userSecrets() {
        return validatedSettings.userSecrets();
    }

    DeliveryForwarder.Limits forwardingLimits() {
        return validatedSettings.forwardingLimits();
    }

    String containerId() {
        return containerId;
    }

    AdmissionControl admissionControl() {
        return pipeline.admissionControl();
    }

    OutcomeRecorder outcomeRecorder() {
        return pipeline.outcomeRecorder();
    }

    /** Returns a unique request id. */
    String newRequestId() {
        return containerId + "/" + lastRequestNumber.incrementAndGet();
    }

    /** Whether deliveries on this link may be repeated. */
    boolean isIdempotent(AttachMapper.AttachRequest attachRequest) {
        try {
            return attachMapper().map(attachRequest, "", false).idempotent();
        } catch (AttachMapper.AttachRejectedException rejectedOnAttach) {
            return false;
        }
    }

    boolean hasRoomForLink() {
        return linkCount.get() < settings().limits().maxLinks();
    }

    void addLink(ClientLink link) {
        links.add(link);
        linkCount.incrementAndGet();
    }

    void removeLink(ClientLink link) {
        if (links.remove(link)) {
            linkCount.decrementAndGet();
        }
    }

    void removeConnection(AmqpClientConnection client) {
        if (clients.remove(client)) {
            connectionCount.decrementAndGet();
        }
    }

    void countReceived(boolean settled) {
        receivedDeliveries.increment();
        if (settled) {
            presettledDeliveries.increment();
        }
    }

    void countOutcome(DeliveryState state) {
        LongAdder counter =
                state instanceof Accepted
                        ? accepted
                        : state instanceof Rejected
                                ? rejected
                                : state instanceof Released
                                        ? released
                                        : state instanceof Modified ? modified : otherOutcomes;
        counter.increment();
    }

    /**
     * Records how long a backend took to return an outcome, as a measure of its message latency.
     */
    void recordResponseDelay(Attempt attempt, DeliveryForwarder.Delivery delivery) {
        if (attempt != null && delivery.sentAt() != null) {
            attempt.backend().recordResponseDelay(Duration.between(delivery.sentAt(), now()));
        }
    }

    void countExpired(int count) {
        expiredDeliveries.add(count);
    }

    void countSentToClient() {
        deliveriesToClients.increment();
    }

    void countMoved() {
        movedLinks.increment();
    }

    void countReattached() {
        reattachedLinks.increment();
    }

    void countFailedLogin() {
        failedLogins.increment();
    }

    /** Counts a link or connection that was refused because its client holds its share. */
    void countRefusedForMemory() {
        refusedForMemory.increment();
    }

    /** The memory that all clients share. */
    MemoryBudget memoryBudget() {
        return memoryBudget;
    }
}

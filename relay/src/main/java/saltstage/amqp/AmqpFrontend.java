package saltstage.amqp;

import java.io.IOException;
import java.net.InetSocketAddress;
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

/** Where AMQP clients come in, and what all their connections share. */
public final class AmqpFrontend implements Frontend {
    private static final Connection.WriteLimits WRITE_LIMITS =
            new Connection.WriteLimits(256 << 10, 16 << 20);
    private static final int ACCEPT_BACKLOG = 1_024;
    private static final Duration MAINTENANCE_INTERVAL = Duration.ofMillis(100);

    /** Links of one backend that leaves are moved within about so many beats, not all at once. */
    private static final int MOVE_SPREAD_INTERVALS = 5;

    private static final int MIN_LINKS_MOVED_PER_INTERVAL = 20;

    /** Connections beyond the limit that are told so; more than that are reset. */
    private static final int MAX_CONNECTIONS_OVER_LIMIT = 64;

    /** Connections to backends, beside those of clients. */
    private static final int RESERVED_BACKEND_SOCKETS = 64;

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
    private Transport.Listener listener;
    private volatile boolean draining;

    /** A front of these settings before the stages of the chain; the transport ends with it. */
    public AmqpFrontend(
            AmqpSettings settings,
            Configuration config,
            RelayPipeline chain,
            MonotonicClock clock,
            Transport transport)
            throws MalformedException {
        this.config = config;
        this.pipeline = chain;
        this.clock = clock;
        this.transport = transport;
        validatedSettings = ValidatedSettings.validate(settings, config);
        // Links' names are unique for a container: neither a relay of the same name nor its own
        // former life,
        // which a backend may still think alive, may be taken for this one.
        containerId =
                "saltstage-"
                        + config.name()
                        + "-"
                        + Integer.toHexString(new SecureRandom().nextInt());
        for (Loop loop : transport.loops()) {
            backendPools.put(loop, new BackendConnectionPool(this, transport, loop));
        }
    }

    /** Listens; returns where. */
    public InetSocketAddress start() throws IOException {
        listener =
                transport.listen(
                        settings().listenAddress(), ACCEPT_BACKLOG, WRITE_LIMITS, this::accept);
        reserveDescriptors();
        pipeline.addFrontend(this);
        transport.loops().forEach(this::scheduleMaintenance);
        Log.info("amqp.ready", "listen", listener.address());
        return listener.address();
    }

    private void reserveDescriptors() {
        int wanted =
                Math.min(
                        config.maxSockets() / 2,
                        settings().limits().maxConnections() + RESERVED_BACKEND_SOCKETS);
        pipeline.admissionControl().reserveDescriptors(wanted - reservedDescriptors);
        reservedDescriptors = wanted;
    }

    /** A change that was checked and is not yet in force. */
    public interface SettingsChange {
        /** Puts it in force for all that comes from now on; returns what waits for a restart. */
        List<String> apply();
    }

    /**
     * Checks other settings, with the file of secrets as it is now. What stands keeps the limits
     * that it came under; new connections, links and logins get the new ones.
     */
    public SettingsChange prepareChange(AmqpSettings next) throws MalformedException {
        ValidatedSettings checked = ValidatedSettings.validate(next, config);
        return () -> {
            List<String> later = validatedSettings.restartRequiredChanges(checked);
            validatedSettings = checked;
            reserveDescriptors();
            return later;
        };
    }

    /** Takes a connection, or null where it is one too many. */
    ConnectionHandler accept(Connection connection) {
        int now = connectionCount.incrementAndGet();
        if (now > settings().limits().maxConnections() + MAX_CONNECTIONS_OVER_LIMIT) {
            connectionCount.decrementAndGet();
            Log.warn("amqp.full", "from", connection.remoteAddress(), "connections", now);
            return null;
        }
        AmqpClientConnection made =
                new AmqpClientConnection(
                        this,
                        backendPools.get(connection.loop()),
                        connection,
                        now > settings().limits().maxConnections());
        clients.add(made);
        return made;
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

    /** A backend that drains keeps its links until they are moved; a few at each beat. */
    private void moveLinksOffDrainingBackends() {
        Map<Object, Integer> found = new HashMap<>();
        for (ClientLink link : links) {
            Attempt up = link.establishedAttempt();
            if (up != null
                    && up.backend().entry().state() == BackendList.State.DRAINING
                    && up.moveReason() == null) {
                found.merge(up.backend(), 1, Integer::sum);
            }
        }
        if (found.isEmpty()) {
            return;
        }
        found.replaceAll(
                (peer, count) ->
                        Math.max(
                                MIN_LINKS_MOVED_PER_INTERVAL,
                                (count + MOVE_SPREAD_INTERVALS - 1) / MOVE_SPREAD_INTERVALS));
        for (ClientLink link : links) {
            Attempt up = link.establishedAttempt();
            if (up != null
                    && found.getOrDefault(up.backend(), 0) > 0
                    && pipeline.move(up, "drain")) {
                found.merge(up.backend(), -1, Integer::sum);
            }
        }
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
        startDraining(); // a connection without links was told by that
    }

    /** Whether the relay leaves. */
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

    /** Writes what became of deliveries to the log. */
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
                failedLogins);
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

    /** A name for a request that no other has. */
    String newRequestId() {
        return containerId + "/" + lastRequestNumber.incrementAndGet();
    }

    /** Whether deliveries to this address may be repeated. */
    boolean isIdempotent(AttachMapper.AttachRequest asked) {
        try {
            return attachMapper().map(asked, "", false).idempotent();
        } catch (AttachMapper.AttachRejectedException turnedAwayLater) {
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
        LongAdder kind =
                state instanceof Accepted
                        ? accepted
                        : state instanceof Rejected
                                ? rejected
                                : state instanceof Released
                                        ? released
                                        : state instanceof Modified ? modified : otherOutcomes;
        kind.increment();
    }

    /** An outcome came back from a backend: how long that took tells how late its messages are. */
    void recordResponseDelay(Attempt at, DeliveryForwarder.Delivery delivery) {
        if (at != null && delivery.sentAt() != null) {
            at.backend().recordResponseDelay(Duration.between(delivery.sentAt(), now()));
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
}

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
public final class AmqpFront implements Frontend {
    private static final Connection.WriteLimits BOUNDS =
            new Connection.WriteLimits(256 << 10, 16 << 20);
    private static final int BACKLOG = 1_024;
    private static final Duration BEAT = Duration.ofMillis(100);

    /** Links of one backend that leaves are moved within about so many beats, not all at once. */
    private static final int BEATS_TO_MOVE = 5;

    private static final int LEAST_MOVED = 20;

    /** Connections beyond the limit that are told so; more than that are reset. */
    private static final int MOST_TOLD = 64;

    /** Connections to backends, beside those of clients. */
    private static final int BACKEND_SOCKETS = 64;

    private final Configuration config;
    private final RelayPipeline chain;
    private final MonotonicClock clock;
    private final Transport transport;
    private final String container;
    private volatile Rules rules;
    private int reserved;
    private final Map<Loop, BackendPool> pools = new HashMap<>();
    private final Set<ClientPeering> clients = ConcurrentHashMap.newKeySet();
    private final Set<ClientLink> links = ConcurrentHashMap.newKeySet();
    private final AtomicInteger connections = new AtomicInteger();
    private final AtomicInteger open = new AtomicInteger();
    private final AtomicLong names = new AtomicLong();
    private final LongAdder taken = new LongAdder();
    private final LongAdder presettled = new LongAdder();
    private final LongAdder accepted = new LongAdder();
    private final LongAdder rejected = new LongAdder();
    private final LongAdder released = new LongAdder();
    private final LongAdder modified = new LongAdder();
    private final LongAdder other = new LongAdder();
    private final LongAdder expired = new LongAdder();
    private final LongAdder handed = new LongAdder();
    private final LongAdder moved = new LongAdder();
    private final LongAdder replaced = new LongAdder();
    private final LongAdder logins = new LongAdder();
    private Transport.Listener listener;
    private volatile boolean leaving;

    /** A front of these settings before the stages of the chain; the transport ends with it. */
    public AmqpFront(
            AmqpSettings settings,
            Configuration config,
            RelayPipeline chain,
            MonotonicClock clock,
            Transport transport)
            throws MalformedException {
        this.config = config;
        this.chain = chain;
        this.clock = clock;
        this.transport = transport;
        rules = Rules.of(settings, config);
        // Links' names are unique for a container: neither a relay of the same name nor its own
        // former life,
        // which a backend may still think alive, may be taken for this one.
        container =
                "saltstage-"
                        + config.name()
                        + "-"
                        + Integer.toHexString(new SecureRandom().nextInt());
        for (Loop loop : transport.loops()) {
            pools.put(loop, new BackendPool(this, transport, loop));
        }
    }

    /** Listens; returns where. */
    public InetSocketAddress start() throws IOException {
        listener = transport.listen(settings().listenAddress(), BACKLOG, BOUNDS, this::accept);
        reserve();
        chain.addFrontend(this);
        transport.loops().forEach(this::beat);
        Log.info("amqp.ready", "listen", listener.address());
        return listener.address();
    }

    private void reserve() {
        int wanted =
                Math.min(
                        config.maxSockets() / 2,
                        settings().limits().maxConnections() + BACKEND_SOCKETS);
        chain.admissionControl().reserveDescriptors(wanted - reserved);
        reserved = wanted;
    }

    /** A change that was checked and is not yet in force. */
    public interface Change {
        /** Puts it in force for all that comes from now on; returns what waits for a restart. */
        List<String> apply();
    }

    /**
     * Checks other settings, with the file of secrets as it is now. What stands keeps the limits
     * that it came under; new connections, links and logins get the new ones.
     */
    public Change change(AmqpSettings next) throws MalformedException {
        Rules checked = Rules.of(next, config);
        return () -> {
            List<String> later = rules.needRestart(checked);
            rules = checked;
            reserve();
            return later;
        };
    }

    /** Takes a connection, or null where it is one too many. */
    ConnectionHandler accept(Connection connection) {
        int now = connections.incrementAndGet();
        if (now > settings().limits().maxConnections() + MOST_TOLD) {
            connections.decrementAndGet();
            Log.warn("amqp.full", "from", connection.remoteAddress(), "connections", now);
            return null;
        }
        ClientPeering made =
                new ClientPeering(
                        this,
                        pools.get(connection.loop()),
                        connection,
                        now > settings().limits().maxConnections());
        clients.add(made);
        return made;
    }

    private void beat(Loop loop) {
        loop.schedule(
                BEAT,
                () -> {
                    beat(loop);
                    Instant now = now();
                    for (ClientPeering client : clients) {
                        if (client.loop() == loop) {
                            client.beat(now);
                        }
                    }
                    pools.get(loop).sweep();
                    moveFromLeavers();
                });
    }

    /** A backend that drains keeps its links until they are moved; a few at each beat. */
    private void moveFromLeavers() {
        Map<Object, Integer> found = new HashMap<>();
        for (ClientLink link : links) {
            Attempt up = link.standing();
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
                        Math.max(LEAST_MOVED, (count + BEATS_TO_MOVE - 1) / BEATS_TO_MOVE));
        for (ClientLink link : links) {
            Attempt up = link.standing();
            if (up != null && found.getOrDefault(up.backend(), 0) > 0 && chain.move(up, "drain")) {
                found.merge(up.backend(), -1, Integer::sum);
            }
        }
    }

    @Override
    public void startDraining() {
        leaving = true;
        listener.close();
        for (ClientPeering client : clients) {
            client.loop().execute(client::closeIfLeaving);
        }
    }

    @Override
    public void rejectPendingClients() {
        startDraining(); // a connection without links was told by that
    }

    /** Whether the relay leaves. */
    boolean leaving() {
        return leaving;
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
                taken,
                "presettled",
                presettled,
                "accepted",
                accepted,
                "rejected",
                rejected,
                "released",
                released,
                "modified",
                modified,
                "other",
                other,
                "expired",
                expired,
                "handed",
                handed,
                "moved",
                moved,
                "replaced",
                replaced,
                "logins_failed",
                logins);
    }

    Instant now() {
        return clock.now();
    }

    AmqpSettings settings() {
        return rules.settings();
    }

    Configuration config() {
        return config;
    }

    Mapping mapping() {
        return rules.mapping();
    }

    Secrets secrets() {
        return rules.secrets();
    }

    Forwarding.Bounds bounds() {
        return rules.bounds();
    }

    String container() {
        return container;
    }

    AdmissionControl admit() {
        return chain.admissionControl();
    }

    OutcomeRecorder book() {
        return chain.outcomeRecorder();
    }

    /** A name for a request that no other has. */
    String newName() {
        return container + "/" + names.incrementAndGet();
    }

    /** Whether deliveries to this address may be repeated. */
    boolean repeatable(Mapping.Asked asked) {
        try {
            return mapping().map(asked, "", false).repeatable();
        } catch (Mapping.Unmapped turnedAwayLater) {
            return false;
        }
    }

    boolean hasRoomForLink() {
        return open.get() < settings().limits().maxLinks();
    }

    void entered(ClientLink link) {
        links.add(link);
        open.incrementAndGet();
    }

    void left(ClientLink link) {
        if (links.remove(link)) {
            open.decrementAndGet();
        }
    }

    void left(ClientPeering client) {
        if (clients.remove(client)) {
            connections.decrementAndGet();
        }
    }

    void taken(boolean settled) {
        taken.increment();
        if (settled) {
            presettled.increment();
        }
    }

    void outcome(DeliveryState state) {
        LongAdder kind =
                state instanceof Accepted
                        ? accepted
                        : state instanceof Rejected
                                ? rejected
                                : state instanceof Released
                                        ? released
                                        : state instanceof Modified ? modified : other;
        kind.increment();
    }

    /** An outcome came back from a backend: how long that took tells how late its messages are. */
    void took(Attempt at, Forwarding.Delivery delivery) {
        if (at != null && delivery.sentAt() != null) {
            at.backend().recordResponseDelay(Duration.between(delivery.sentAt(), now()));
        }
    }

    void expired(int count) {
        expired.add(count);
    }

    void handed() {
        handed.increment();
    }

    void movedOne() {
        moved.increment();
    }

    void replaced() {
        replaced.increment();
    }

    void loginFailed() {
        logins.increment();
    }
}

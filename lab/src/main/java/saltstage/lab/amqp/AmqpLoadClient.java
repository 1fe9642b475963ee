package saltstage.lab.amqp;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ThreadLocalRandom;
import org.apache.qpid.protonj2.buffer.impl.ProtonByteArrayBufferAllocator;
import org.apache.qpid.protonj2.engine.Engine;
import org.apache.qpid.protonj2.engine.EngineFactory;
import org.apache.qpid.protonj2.engine.OutgoingDelivery;
import org.apache.qpid.protonj2.engine.Sender;
import org.apache.qpid.protonj2.engine.Session;
import org.apache.qpid.protonj2.types.messaging.Accepted;
import org.apache.qpid.protonj2.types.messaging.Modified;
import org.apache.qpid.protonj2.types.messaging.Rejected;
import org.apache.qpid.protonj2.types.messaging.Released;
import org.apache.qpid.protonj2.types.messaging.Source;
import org.apache.qpid.protonj2.types.messaging.Target;
import org.apache.qpid.protonj2.types.transport.DeliveryState;
import saltstage.amqp.AmqpConnection;
import saltstage.lab.amqp.DeliveryTracker.DeliveryOutcome;
import saltstage.net.Connection;
import saltstage.net.ConnectionHandler;
import saltstage.net.Loop;
import saltstage.net.Transport;

/**
 * A client with one connection and a number of sender links. The latency of a delivery counts from
 * the time at which it was due, whether its link had credit then or not. Detached links attach
 * again, and a lost connection is opened again.
 */
public final class AmqpLoadClient {
    private static final Connection.WriteLimits WRITE_LIMITS =
            new Connection.WriteLimits(1 << 20, 256 << 20);
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(5);

    private final Transport transport;
    private final Loop loop;
    private final InetSocketAddress target;
    private final String name;
    private final DeliveryTracker deliveryTracker;
    private final byte[] padding;
    private final List<SenderLink> links = new ArrayList<>();
    private final Map<String, Long> detachCounts = new TreeMap<>();
    private LoadConnection loadConnection;
    private Session session;
    private volatile int attachedCount;
    private volatile int unsentCount;
    private volatile boolean closing;

    private record ScheduledDelivery(String id, long dueNanos) {}

    /**
     * Connects to the target and attaches the links.
     *
     * @param address prefix of the links' target addresses: the service class
     * @param messageBytes size of each message's body
     */
    public AmqpLoadClient(
            Transport transport,
            Loop loop,
            InetSocketAddress target,
            String name,
            int linkCount,
            String address,
            int messageBytes,
            DeliveryTracker deliveryTracker) {
        this.transport = transport;
        this.loop = loop;
        this.target = target;
        this.name = name;
        this.deliveryTracker = deliveryTracker;
        padding = new byte[messageBytes];
        for (int i = 0; i < linkCount; i++) {
            links.add(new SenderLink(i, address + "/" + name + "-" + i));
        }
        loop.execute(this::connect);
    }

    /**
     * Queues a delivery on a link. Its latency counts from {@code dueNanos}, a time of {@link
     * System#nanoTime}.
     */
    public void scheduleDelivery(int link, String id, long dueNanos) {
        deliveryTracker.deliverySent(id);
        loop.execute(() -> links.get(link).enqueue(new ScheduledDelivery(id, dueNanos)));
    }

    /** Returns the number of links, attached or not. */
    public int linkCount() {
        return links.size();
    }

    /** Returns the number of attached links. */
    public int attachedCount() {
        return attachedCount;
    }

    /** Returns the number of deliveries that are due and wait for credit or for their link. */
    public int unsentCount() {
        return unsentCount;
    }

    /** Returns how often links were detached and the connection ended, by condition. */
    public Map<String, Long> detachCounts() {
        synchronized (detachCounts) {
            return Map.copyOf(detachCounts);
        }
    }

    /** Describes the state and credit of each link with unsent deliveries, for messages. */
    public String describeBlockedLinks() {
        StringBuilder text = new StringBuilder();
        for (SenderLink link : links) {
            if (!link.pendingDeliveries.isEmpty()) {
                text.append(link.address)
                        .append(" up=")
                        .append(link.attached)
                        .append(" waiting=")
                        .append(link.pendingDeliveries.size())
                        .append(" out=")
                        .append(link.unsettledDeliveries.size())
                        .append(" credit=")
                        .append(link.sender.getCredit())
                        .append(" sendable=")
                        .append(link.sender.isSendable())
                        .append(" local=")
                        .append(link.sender.getState())
                        .append(" remote=")
                        .append(link.sender.getRemoteState())
                        .append("; ");
            }
        }
        return text.toString();
    }

    /** Closes the connection; deliveries without an outcome stay without one. */
    public void close() {
        closing = true;
        loop.execute(
                () -> {
                    if (loadConnection != null) {
                        loadConnection.close(null);
                    }
                });
    }

    private void connect() {
        if (closing) {
            return;
        }
        transport.connect(
                loop,
                target,
                CONNECT_TIMEOUT,
                WRITE_LIMITS,
                new Transport.ConnectListener() {
                    @Override
                    public ConnectionHandler connected(Connection connection) {
                        loadConnection = new LoadConnection(connection);
                        loadConnection.open();
                        return loadConnection;
                    }

                    @Override
                    public void failed(IOException cause) {
                        scheduleReconnect();
                    }
                });
    }

    private void scheduleReconnect() {
        loop.schedule(
                Duration.ofMillis(50 + ThreadLocalRandom.current().nextInt(150)), this::connect);
    }

    /** The AMQP connection; when it ends, the client connects again. */
    private final class LoadConnection extends AmqpConnection {
        LoadConnection(Connection connection) {
            super(connection, Instant::now, 1 << 20);
        }

        void open() {
            Engine engine = EngineFactory.PROTON.createNonSaslEngine();
            engine.connection()
                    .setContainerId(name)
                    .setMaxFrameSize(16 << 10)
                    .closeHandler(closed -> close(null));
            startEngine(engine);
            engine.connection().open();
            session = engine.connection().session().open();
            links.forEach(SenderLink::attach);
        }

        @Override
        protected void onWritable() {
            links.forEach(SenderLink::sendPending);
        }

        @Override
        protected void connectionEnded(String reason) {
            links.forEach(SenderLink::markDetached);
            countDetach("connection " + reason);
            scheduleReconnect();
        }
    }

    private void countDetach(String condition) {
        synchronized (detachCounts) {
            detachCounts.merge(condition, 1L, Long::sum);
        }
    }

    /** A sender link with its unsent and unsettled deliveries. */
    private final class SenderLink {
        private final int index;
        private final String address;
        private final Deque<ScheduledDelivery> pendingDeliveries = new ArrayDeque<>();
        private final Map<OutgoingDelivery, ScheduledDelivery> unsettledDeliveries =
                new LinkedHashMap<>();
        private Sender sender;
        private boolean attached;
        private int nextTag;
        private int attachCount;

        SenderLink(int index, String address) {
            this.index = index;
            this.address = address;
        }

        void attach() {
            if (closing || loadConnection == null || loadConnection.isClosed()) {
                return;
            }
            sender = session.sender(name + "-" + index + "-" + attachCount++);
            sender.setSource(new Source().setAddress(name))
                    .setTarget(new Target().setAddress(address))
                    .openHandler(
                            opened -> {
                                if (sender.getRemoteTarget() != null) {
                                    attached = true;
                                    attachedCount++;
                                }
                            })
                    .closeHandler(this::detachReceived)
                    .detachHandler(this::detachReceived)
                    .creditStateUpdateHandler(ignored -> sendPending())
                    .deliveryStateUpdatedHandler(this::dispositionReceived)
                    .open();
        }

        private void detachReceived(Sender detached) {
            countDetach(
                    detached.getRemoteCondition() == null
                            ? "none"
                            : detached.getRemoteCondition().getCondition().toString());
            markDetached();
            detached.close();
            loop.schedule(
                    Duration.ofMillis(50 + ThreadLocalRandom.current().nextInt(150)), this::attach);
        }

        void markDetached() {
            if (attached) {
                attached = false;
                attachedCount--;
            }
            unsettledDeliveries
                    .values()
                    .forEach(
                            scheduled ->
                                    deliveryTracker.outcomeReceived(
                                            scheduled.id(), DeliveryOutcome.NOTHING, -1));
            unsettledDeliveries.clear();
        }

        void enqueue(ScheduledDelivery scheduled) {
            pendingDeliveries.add(scheduled);
            unsentCount++;
            sendPending();
        }

        void sendPending() {
            while (attached
                    && !pendingDeliveries.isEmpty()
                    && loadConnection.isWritable()
                    && sender.getCredit() > 0
                    && sender.isSendable()) {
                ScheduledDelivery scheduled = pendingDeliveries.poll();
                unsentCount--;
                OutgoingDelivery delivery =
                        sender.next()
                                .setTag(
                                        Integer.toString(nextTag++, 36)
                                                .getBytes(StandardCharsets.ISO_8859_1));
                unsettledDeliveries.put(delivery, scheduled);
                delivery.writeBytes(
                        ProtonByteArrayBufferAllocator.wrapped(
                                MessageCodec.encode(scheduled.id(), padding.length)));
            }
            if (attached
                    && sender.isDraining()
                    && sender.getCredit() > 0
                    && pendingDeliveries.isEmpty()) {
                sender.drained();
            }
        }

        private void dispositionReceived(OutgoingDelivery delivery) {
            DeliveryState state = delivery.getRemoteState();
            ScheduledDelivery scheduled = unsettledDeliveries.get(delivery);
            if (scheduled == null) {
                countDetach("outcome for nothing");
                return;
            }
            if (state == null && !delivery.isRemotelySettled()) {
                return;
            }
            DeliveryOutcome outcome =
                    state instanceof Accepted
                            ? DeliveryOutcome.ACCEPTED
                            : state instanceof Rejected
                                    ? DeliveryOutcome.REJECTED
                                    : state instanceof Released
                                            ? DeliveryOutcome.RELEASED
                                            : state instanceof Modified
                                                    ? DeliveryOutcome.MODIFIED
                                                    : DeliveryOutcome.OTHER;
            deliveryTracker.outcomeReceived(
                    scheduled.id(), outcome, System.nanoTime() - scheduled.dueNanos());
            if (delivery.isRemotelySettled()) {
                unsettledDeliveries.remove(delivery);
                delivery.settle();
            }
        }
    }
}

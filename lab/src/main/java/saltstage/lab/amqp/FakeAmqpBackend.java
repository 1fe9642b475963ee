package saltstage.lab.amqp;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import org.apache.qpid.protonj2.buffer.ProtonBuffer;
import org.apache.qpid.protonj2.buffer.ProtonBufferAllocator;
import org.apache.qpid.protonj2.buffer.impl.ProtonByteArrayBufferAllocator;
import org.apache.qpid.protonj2.engine.Engine;
import org.apache.qpid.protonj2.engine.IncomingDelivery;
import org.apache.qpid.protonj2.engine.Link;
import org.apache.qpid.protonj2.engine.OutgoingDelivery;
import org.apache.qpid.protonj2.engine.Receiver;
import org.apache.qpid.protonj2.engine.Sender;
import org.apache.qpid.protonj2.types.Symbol;
import org.apache.qpid.protonj2.types.messaging.Accepted;
import org.apache.qpid.protonj2.types.messaging.Rejected;
import org.apache.qpid.protonj2.types.messaging.Target;
import org.apache.qpid.protonj2.types.transport.AmqpError;
import org.apache.qpid.protonj2.types.transport.DeliveryState;
import org.apache.qpid.protonj2.types.transport.ErrorCondition;
import org.apache.qpid.protonj2.types.transport.LinkError;
import org.apache.qpid.protonj2.types.transport.ReceiverSettleMode;
import saltstage.lab.fleet.FakeBackend.State;
import saltstage.net.Connection;
import saltstage.net.Transport;

/**
 * A simulated backend that speaks AMQP 1.0. It takes links on any address, accepts or rejects
 * deliveries, sends messages to receivers and counts all of it. On command it drains, dies, freezes
 * or delays its outcomes.
 */
public final class FakeAmqpBackend {
    private static final int LINK_CREDIT = 200;
    private static final int MAX_FRAME_BYTES = 16 << 10;
    private static final int MAX_UNREAD_BYTES = 1 << 19;
    private static final int MAX_LINKS = 10_000;
    private static final Connection.WriteLimits WRITE_LIMITS =
            new Connection.WriteLimits(1 << 20, 256 << 20);

    private final String uid;
    private final Transport transport;
    private final InetSocketAddress address;
    private final DuplicateDeliveryDetector duplicateDetector;
    private final Set<AmqpServerConnection> connections = ConcurrentHashMap.newKeySet();
    private final Set<Runnable> outstandingCleanups = ConcurrentHashMap.newKeySet();
    private final Set<Link<?>> links = ConcurrentHashMap.newKeySet();
    private final Set<String> linkKeys = ConcurrentHashMap.newKeySet();
    private final List<String> acceptedIds = new ArrayList<>();
    private final Map<String, Long> outcomeCounts = new TreeMap<>();
    private final Map<String, Long> receivedOutcomeCounts = new TreeMap<>();
    private volatile Transport.Listener listener;
    private volatile State state = State.READY;
    private volatile int rejectPercent;
    private volatile int messagesPerLink = 10;
    private volatile int sessionWindowBytes;
    private volatile int maxFrameBytes = MAX_FRAME_BYTES;
    private volatile int sessionCount;
    private volatile int stolenLinkCount;
    private volatile int senderSettledFirstCount;
    private volatile Duration outcomeDelay = Duration.ZERO;
    private volatile long lastLinkMillis;
    private volatile long servedLinkCount;

    /** Starts a backend that listens on this address. */
    public FakeAmqpBackend(
            String uid,
            Transport transport,
            InetSocketAddress address,
            DuplicateDeliveryDetector duplicateDetector)
            throws IOException {
        this.uid = uid;
        this.transport = transport;
        this.address = address;
        this.duplicateDetector = duplicateDetector;
        listen();
    }

    private void listen() throws IOException {
        listener =
                transport.listen(
                        address,
                        1_024,
                        WRITE_LIMITS,
                        connection -> {
                            AmqpServerConnection serverConnection =
                                    new AmqpServerConnection(
                                            connection, this::configureEngine, connections::remove);
                            connections.add(serverConnection);
                            if (state == State.SILENT) {
                                connection.loop().execute(() -> serverConnection.setReading(false));
                            }
                            return serverConnection;
                        });
    }

    private void configureEngine(Engine engine) {
        engine.connection()
                .setContainerId(uid)
                .setMaxFrameSize(maxFrameBytes)
                .setChannelMax(65_535)
                .openHandler(connection -> connection.open())
                .closeHandler(connection -> connection.close())
                .sessionOpenHandler(
                        session -> {
                            // By default there is no window: everything received is read at once.
                            if (sessionWindowBytes > 0) {
                                session.setIncomingCapacity(sessionWindowBytes);
                            }
                            session.closeHandler(closedSession -> closedSession.close());
                            sessionCount++;
                            session.open();
                        })
                .receiverOpenHandler(this::receiverOpened)
                .senderOpenHandler(this::senderOpened);
    }

    private boolean rejectIfUnavailable(Link<?> link) {
        lastLinkMillis = System.currentTimeMillis();
        // A link name may be in use only once between two containers (AMQP 1.0, 2.6.1).
        if (!linkKeys.add(linkKey(link))) {
            stolenLinkCount++;
            link.setSource(null).setTarget((Target) null).open();
            link.setCondition(new ErrorCondition(LinkError.STOLEN, "link " + link.getName()))
                    .close();
            return true;
        }
        if (state != State.DRAINING && links.size() < MAX_LINKS) {
            links.add(link);
            servedLinkCount++;
            return false;
        }
        linkKeys.remove(linkKey(link));
        link.setSource(null).setTarget((Target) null).open();
        link.setCondition(new ErrorCondition(AmqpError.RESOURCE_LIMIT_EXCEEDED, "draining or full"))
                .close();
        return true;
    }

    private static String linkKey(Link<?> link) {
        return link.getEngine().connection().getRemoteContainerId()
                + " "
                + link.isSender()
                + " "
                + link.getName();
    }

    private void receiverOpened(Receiver link) {
        if (rejectIfUnavailable(link)) {
            return;
        }
        Set<String> outstandingIds = ConcurrentHashMap.newKeySet();
        Runnable releaseOutstanding =
                () -> {
                    outstandingIds.forEach(duplicateDetector::deliveryEnded);
                    outstandingIds.clear();
                };
        outstandingCleanups.add(releaseOutstanding);
        Runnable endLink =
                () -> {
                    links.remove(link);
                    linkKeys.remove(linkKey(link));
                    outstandingCleanups.remove(releaseOutstanding);
                    releaseOutstanding.run();
                    link.close();
                };
        boolean settlesSecond = link.getRemoteReceiverSettleMode() == ReceiverSettleMode.SECOND;
        link.setSource(link.getRemoteSource())
                .setTarget(link.<Target>getRemoteTarget())
                .setReceiverSettleMode(link.getRemoteReceiverSettleMode())
                .setOfferedCapabilities(link.getRemoteDesiredCapabilities())
                .deliveryStateUpdatedHandler(
                        delivery -> {
                            if (settlesSecond
                                    && delivery.isRemotelySettled()
                                    && !delivery.isSettled()) {
                                senderSettledFirstCount++;
                                delivery.settle();
                            }
                        })
                .closeHandler(ignored -> endLink.run())
                .detachHandler(ignored -> endLink.run())
                .parentEndpointClosedHandler(ignored -> endLink.run())
                .engineShutdownHandler(ignored -> endLink.run())
                .deliveryReadHandler(delivery -> deliveryReceived(link, delivery, outstandingIds))
                .deliveryAbortedHandler(delivery -> delivery.settle())
                .open();
        link.addCredit(LINK_CREDIT);
    }

    private void deliveryReceived(
            Receiver link, IncomingDelivery delivery, Set<String> outstandingIds) {
        if (delivery.isPartial()) {
            // A large delivery is read while it arrives; its id is in the first bytes.
            if (delivery.available() > MAX_UNREAD_BYTES) {
                bufferHead(delivery);
            }
            return;
        }
        bufferHead(delivery);
        ProtonBuffer message = delivery.getLinkedResource();
        String id = MessageCodec.readId(message);
        boolean settled = delivery.isRemotelySettled();
        if (settled) {
            countOutcome(id, "presettled");
            delivery.settle();
            link.addCredit(1);
            return;
        }
        duplicateDetector.deliveryReceived(id, uid);
        outstandingIds.add(id);
        if (outcomeDelay.isZero()) {
            sendOutcome(link, delivery, id, outstandingIds);
        } else {
            connectionOf(link)
                    .loop()
                    .schedule(outcomeDelay, () -> sendOutcome(link, delivery, id, outstandingIds));
        }
    }

    /** Reads the available bytes and keeps only the first ones, which contain the id. */
    private static void bufferHead(IncomingDelivery delivery) {
        ProtonBuffer head = delivery.getLinkedResource();
        ProtonBuffer received = delivery.available() > 0 ? delivery.readAll() : null;
        if (head == null) {
            delivery.setLinkedResource(
                    received == null
                            ? ProtonBufferAllocator.defaultAllocator().allocate(0)
                            : received);
        } else if (received != null && head.getReadableBytes() < MAX_FRAME_BYTES) {
            ProtonBuffer combined =
                    ProtonBufferAllocator.defaultAllocator()
                            .allocate(head.getReadableBytes() + received.getReadableBytes());
            combined.writeBytes(head).writeBytes(received);
            delivery.setLinkedResource(combined);
        }
    }

    private AmqpServerConnection connectionOf(Link<?> link) {
        for (AmqpServerConnection connection : connections) {
            if (connection.hasEngine(link.getEngine())) {
                return connection;
            }
        }
        throw new IllegalStateException("link belongs to no connection");
    }

    private void sendOutcome(
            Receiver link, IncomingDelivery delivery, String id, Set<String> outstandingIds) {
        if (!links.contains(link) || state == State.SILENT || !outstandingIds.remove(id)) {
            return; // the link has ended in the meantime, or the backend is frozen
        }
        duplicateDetector.deliveryEnded(id);
        boolean reject = ThreadLocalRandom.current().nextInt(100) < rejectPercent;
        DeliveryState outcome =
                reject
                        ? new Rejected(
                                new ErrorCondition(
                                        Symbol.valueOf("stand-in:rejected"), "as it was told"))
                        : Accepted.getInstance();
        countOutcome(id, reject ? "rejected" : "accepted");
        delivery.disposition(outcome, link.getReceiverSettleMode() != ReceiverSettleMode.SECOND);
        if (link.getCredit() <= LINK_CREDIT / 2) {
            link.addCredit(LINK_CREDIT - link.getCredit());
        }
    }

    private void countOutcome(String id, String outcome) {
        synchronized (acceptedIds) {
            outcomeCounts.merge(outcome, 1L, Long::sum);
            if (!outcome.equals("rejected")) {
                acceptedIds.add(id);
            }
        }
    }

    private void senderOpened(Sender link) {
        if (rejectIfUnavailable(link)) {
            return;
        }
        int[] sentCount = new int[1];
        Runnable endLink =
                () -> {
                    links.remove(link);
                    linkKeys.remove(linkKey(link));
                    link.close();
                };
        link.setSource(link.getRemoteSource())
                .setTarget(link.<Target>getRemoteTarget())
                .setSenderSettleMode(link.getRemoteSenderSettleMode())
                .closeHandler(ignored -> endLink.run())
                .detachHandler(ignored -> endLink.run())
                .parentEndpointClosedHandler(ignored -> endLink.run())
                .engineShutdownHandler(ignored -> endLink.run())
                .creditStateUpdateHandler(ignored -> sendMessages(link, sentCount))
                .deliveryStateUpdatedHandler(delivery -> outcomeReceived(delivery))
                .open();
    }

    private void sendMessages(Sender link, int[] sentCount) {
        while (link.isSendable() && sentCount[0] < messagesPerLink) {
            byte[] message =
                    MessageCodec.encode(uid + ":" + link.getName() + ":" + sentCount[0]++, 64);
            OutgoingDelivery delivery =
                    link.next()
                            .setTag(new byte[] {(byte) (sentCount[0] >> 8), (byte) sentCount[0]});
            delivery.writeBytes(ProtonByteArrayBufferAllocator.wrapped(message));
        }
        if (link.isDraining()) {
            link.drained();
        }
    }

    private void outcomeReceived(OutgoingDelivery delivery) {
        if (delivery.getRemoteState() != null) {
            synchronized (acceptedIds) {
                receivedOutcomeCounts.merge(
                        delivery.getRemoteState().getType().name().toLowerCase(Locale.ROOT),
                        1L,
                        Long::sum);
            }
        }
        if (delivery.isRemotelySettled()) {
            delivery.settle();
        }
    }

    /** Rejects new links; existing links continue. */
    public void drain() {
        state = State.DRAINING;
    }

    /** Stops listening and resets all connections, as the death of the process would. */
    public void kill() {
        state = State.DEAD;
        listener.close();
        connections.forEach(connection -> connection.loop().execute(connection::reset));
    }

    /**
     * Resets each connection in the middle of a frame. The backend keeps listening, as if a new
     * process had taken its place at once.
     */
    public void resetWithinFrame() {
        connections.forEach(connection -> connection.loop().execute(connection::resetWithinFrame));
    }

    /** Stops reading and answering without closing anything, as a machine that is cut off does. */
    public void freeze() {
        state = State.SILENT;
        connections.forEach(
                connection -> connection.loop().execute(() -> connection.setReading(false)));
        // The peers can only give up on these connections, and a frozen backend does not see it,
        // so its outstanding deliveries count as ended from here on.
        List.copyOf(outstandingCleanups).forEach(Runnable::run);
    }

    /** Returns to service; after a kill, listens again as a new process. */
    public void start() throws IOException {
        if (state == State.DEAD) {
            listen();
        }
        boolean frozen = state == State.SILENT;
        state = State.READY;
        if (frozen) { // the peers have given up on the connections from before the freeze
            connections.forEach(connection -> connection.loop().execute(connection::reset));
        }
    }

    /** Sets the delay between receiving a delivery and sending its outcome. */
    public void setOutcomeDelay(Duration delay) {
        outcomeDelay = delay;
    }

    /** Sets the percentage of deliveries that are rejected. */
    public void setRejectPercent(int percent) {
        rejectPercent = percent;
    }

    /** Sets the number of messages sent to each receiving client link. */
    public void setMessagesPerLink(int messages) {
        messagesPerLink = messages;
    }

    /** Sets the incoming window of each new session in bytes; 0 means no limit. */
    public void setSessionWindowBytes(int bytes) {
        sessionWindowBytes = bytes;
    }

    /** Sets the largest frame that connections from now on accept. */
    public void setMaxFrameBytes(int bytes) {
        maxFrameBytes = bytes;
    }

    /** Returns the number of sessions opened so far. */
    public int sessionCount() {
        return sessionCount;
    }

    /**
     * Returns the number of deliveries that their sender settled first, as receiver settle mode
     * 'second' asks for (AMQP 1.0, 2.6.12).
     */
    public int senderSettledFirstCount() {
        return senderSettledFirstCount;
    }

    /** Returns the credit of the links on which this backend sends, summed up. */
    public int availableCredit() {
        return links.stream().filter(Link::isSender).mapToInt(Link::getCredit).sum();
    }

    /** Returns the number of links rejected because their name was in use. */
    public int stolenLinkCount() {
        return stolenLinkCount;
    }

    /** Returns the address on which the backend listens. */
    public InetSocketAddress address() {
        return address;
    }

    /** Returns the number of open links. */
    public int linkCount() {
        return links.size();
    }

    /** Returns the number of links accepted so far. */
    public long servedLinkCount() {
        return servedLinkCount;
    }

    /**
     * Returns the time of the last attach, rejected ones included, in Unix milliseconds; 0 if none.
     */
    public long lastLinkMillis() {
        return lastLinkMillis;
    }

    /** Returns the ids of all accepted deliveries; an id accepted twice is in it twice. */
    public List<String> acceptedIds() {
        synchronized (acceptedIds) {
            return List.copyOf(acceptedIds);
        }
    }

    /** Returns the number of outcomes of each kind that this backend sent. */
    public Map<String, Long> outcomeCounts() {
        synchronized (acceptedIds) {
            return Map.copyOf(outcomeCounts);
        }
    }

    /** Returns the number of outcomes of each kind that receivers sent to this backend. */
    public Map<String, Long> receivedOutcomeCounts() {
        synchronized (acceptedIds) {
            return Map.copyOf(receivedOutcomeCounts);
        }
    }
}

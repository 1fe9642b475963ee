package saltstage.amqp;

import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import org.apache.qpid.protonj2.buffer.ProtonBuffer;
import org.apache.qpid.protonj2.buffer.impl.ProtonByteArrayBufferAllocator;
import org.apache.qpid.protonj2.engine.IncomingDelivery;
import org.apache.qpid.protonj2.engine.Link;
import org.apache.qpid.protonj2.engine.OutgoingDelivery;
import org.apache.qpid.protonj2.engine.Receiver;
import org.apache.qpid.protonj2.engine.Sender;
import org.apache.qpid.protonj2.engine.Session;
import org.apache.qpid.protonj2.engine.impl.ProtonFlowControl;
import org.apache.qpid.protonj2.types.DeliveryTag;
import org.apache.qpid.protonj2.types.messaging.Received;
import org.apache.qpid.protonj2.types.transport.DeliveryState;
import org.apache.qpid.protonj2.types.transport.ErrorCondition;
import org.apache.qpid.protonj2.types.transport.LinkError;
import org.apache.qpid.protonj2.types.transport.SessionError;
import saltstage.amqp.DeliveryForwarder.Delivery;

/**
 * The link of a client that sends. {@link DeliveryForwarder} decides; this joins it to the two
 * engines.
 */
final class ClientSenderLink extends ClientLink
        implements DeliveryForwarder.ClientEndpoint, DeliveryForwarder.BackendEndpoint {
    private static final byte[] NO_BYTES = {};

    private final Receiver clientReceiver;
    private final DeliveryForwarder forwarder;

    /** Deliveries with bytes that were not read yet: the client's session is held up by them. */
    private final Deque<IncomingDelivery> unreadDeliveries = new ArrayDeque<>();

    private Sender backendSender;
    private boolean clientDrainRequested;

    ClientSenderLink(
            AmqpFrontend front,
            AmqpClientConnection owner,
            Receiver client,
            AttachMapper.AttachRequest asked,
            boolean repeatable) {
        super(front, owner, client, asked);
        this.clientReceiver = client;
        forwarder = new DeliveryForwarder(front.forwardingLimits(), repeatable, this);
        client.deliveryReadHandler(owner.guarded(this::transferReceived))
                .deliveryAbortedHandler(owner.guarded(this::deliveryAborted))
                .deliveryStateUpdatedHandler(this::clientDispositionReceived)
                .creditStateUpdateHandler(
                        any -> {
                            if (client.getCredit() == 0 && !client.isDraining()) {
                                forwarder.clearGrantedCredit();
                            }
                            answerBackendDrain();
                            detachIfSettled();
                            ProtonFlowControl.answerEcho(client);
                        });
    }

    // ---- from the client

    private void transferReceived(IncomingDelivery in) {
        connection().countTransfer(clientReceiver);
        if (isEnded()) { // sent before its client had heard of the detach
            connection().restoreWindow(clientReceiver, discard(in));
            return;
        }
        if (in.getLinkedResource() == null) {
            Delivery begins = new Delivery(in, in.isRemotelySettled());
            in.setLinkedResource(begins);
            frontend().countReceived(begins.isPresettled());
            if (!forwarder.startDelivery(begins)) {
                detachForViolation(
                        new ErrorCondition(
                                LinkError.TRANSFER_LIMIT_EXCEEDED, "no credit for this delivery"));
                return;
            }
        }
        if (!unreadDeliveries.contains(in)) {
            unreadDeliveries.add(in);
        }
        if (in.available() > 2 * frontend().settings().limits().maxLinkBytes()) {
            detachForViolation(
                    new ErrorCondition(
                            SessionError.WINDOW_VIOLATION, "more bytes than the session's window"));
            return;
        }
        readDeliveries();
    }

    /** Reads what may be held; the rest waits in the engine and with it the client's session. */
    private void readDeliveries() {
        while (!unreadDeliveries.isEmpty()
                && (forwarder.canBufferMore() || isCompleted(unreadDeliveries.peek()))) {
            IncomingDelivery in = unreadDeliveries.poll();
            Delivery delivery = in.getLinkedResource();
            byte[] bytes = NO_BYTES;
            connection().replenishWindow(clientReceiver, in.available());
            if (in.available() > 0) {
                ProtonBuffer got = in.readAll();
                bytes = new byte[got.getReadableBytes()];
                got.readBytes(bytes, 0, bytes.length);
                got.close();
            }
            boolean whole = !in.isPartial();
            forwarder.bytesReceived(delivery, bytes, whole, frontend().now());
            if (whole) {
                detachIfSettled();
            }
            if (whole
                    && (delivery.isPresettled() || delivery.isCompleted() && !in.isSettled())
                    && !isEnded()) {
                in.settle(); // told already, while its bytes still came; or nothing is owed
            }
        }
    }

    private static int discard(IncomingDelivery in) {
        int bytes = in.available();
        in.readAll();
        return bytes;
    }

    /** What was not read when the link ended holds up the session no more. */
    @Override
    protected void onEnded() {
        int bytes = 0;
        for (IncomingDelivery in : unreadDeliveries) {
            bytes += discard(in);
        }
        unreadDeliveries.clear();
        connection().restoreWindow(clientReceiver, bytes);
    }

    private static boolean isCompleted(IncomingDelivery in) {
        Delivery delivery = in.getLinkedResource();
        return delivery.isCompleted();
    }

    private void deliveryAborted(IncomingDelivery in) {
        if (in.getLinkedResource() instanceof Delivery begun && !isEnded()) {
            unreadDeliveries.remove(in);
            forwarder.deliveryAborted(begun);
        }
        if (isEnded()) {
            connection().restoreWindow(clientReceiver, discard(in));
            return;
        }
        in.settle();
        readDeliveries();
        connection()
                .restoreWindow(
                        clientReceiver, 0); // a transfer without bytes uses the window up as well
    }

    /** The client has settled: in the mode 'second' the backend waits for that (2.6.12). */
    private void clientDispositionReceived(IncomingDelivery in) {
        if (!in.isRemotelySettled() || in.isPartial()) {
            return;
        }
        if (in.getLinkedResource() instanceof Delivery delivery
                && delivery.backendDelivery() instanceof OutgoingDelivery out
                && canUpdate(out)) {
            out.settle();
        }
        if (!in.isSettled()) {
            in.settle();
        }
    }

    private boolean canUpdate(OutgoingDelivery out) {
        return backendLink() != null
                && backendLink().isAttached()
                && out.getLink() == backendSender
                && !out.isSettled();
    }

    // ---- to the client

    @Override
    public void grantCredit(int more) {
        if (!isEnded() && connection().canSendFrames()) {
            connection()
                    .restoreWindow(
                            clientReceiver, 0); // the session's window first, for all its links
            clientReceiver.addCredit(more);
        }
    }

    @Override
    public void sendOutcome(Delivery delivery, DeliveryState state, boolean settled) {
        IncomingDelivery in = (IncomingDelivery) delivery.clientDelivery();
        frontend().countOutcome(state);
        if (connection().canSendFrames()
                && clientReceiver.isRemotelyOpen()
                && clientReceiver.isLocallyOpen()) {
            // One that still comes is settled when it has ended: until then the engine must know
            // it.
            in.disposition(state, settled && !in.isPartial());
        }
    }

    // ---- to the backend

    @Override
    public boolean canSend() {
        // protonj2 1.0.0 goes on calling a sender sendable whose credit it has just let go
        if (backendLink() == null
                || !backendLink().isWritable()
                || backendSender.getCredit() == 0) {
            return false;
        }
        if (!backendSender.isSendable()) {
            backendLink().awaitSessionWindow();
            return false;
        }
        return true;
    }

    @Override
    public int send(Delivery delivery, byte[] piece, int from, boolean last) {
        OutgoingDelivery out = (OutgoingDelivery) delivery.backendDelivery();
        if (out == null) {
            IncomingDelivery in = (IncomingDelivery) delivery.clientDelivery();
            out =
                    backendSender
                            .next()
                            .setTag(copyTag(in.getTag()))
                            .setMessageFormat(in.getMessageFormat());
            out.setLinkedResource(delivery);
            delivery.setBackendDelivery(out);
            if (delivery.isPresettled()) {
                out.settle();
            }
        }
        ProtonBuffer bytes =
                ProtonByteArrayBufferAllocator.wrapped(piece, from, piece.length - from);
        int before = bytes.getReadableBytes();
        out.streamBytes(bytes, last);
        if (last && !bytes.isReadable()) {
            delivery.setSentAt(frontend().now());
        }
        if (bytes.isReadable()) {
            backendLink().awaitSessionWindow();
        }
        return before - bytes.getReadableBytes();
    }

    private static byte[] copyTag(DeliveryTag tag) {
        return tag.tagBytes().clone();
    }

    @Override
    public void abort(Delivery delivery) {
        if (delivery.backendDelivery() instanceof OutgoingDelivery out && canUpdate(out)) {
            out.abort();
        }
    }

    @Override
    public void settle(Delivery delivery, DeliveryState state) {
        if (delivery.backendDelivery() instanceof OutgoingDelivery out && canUpdate(out)) {
            out.disposition(state, true);
        }
    }

    // ---- from the backend

    private void backendDispositionReceived(OutgoingDelivery out) {
        Delivery delivery = out.getLinkedResource();
        if (out.getLink() != backendSender || isEnded()) {
            return; // of a link that is over, on a session that is not
        }
        DeliveryState state = out.getRemoteState();
        boolean settled = out.isRemotelySettled();
        if (state instanceof Received && !settled || state == null && !settled) {
            return; // not an outcome yet (3.4.1)
        }
        if (delivery.backendDelivery() == out) {
            forwarder.outcomeReceived(delivery, state, settled);
        }
        if (settled && canUpdate(out)) {
            out.settle();
        }
        frontend().recordResponseDelay(establishedAttempt(), delivery);
        readDeliveries();
        outcomeReceived();
    }

    private void creditReceived(Sender from) {
        if (from != backendSender || isEnded()) {
            return;
        }
        forwarder.creditReceived(from.getCredit());
        readDeliveries();
        answerBackendDrain();
        if (backendLink() != null) {
            backendLink().flowReceived();
        }
        ProtonFlowControl.answerEcho(from);
    }

    /** A backend that drains its credit is told so once what the client may still send has come. */
    private void answerBackendDrain() {
        if (isEnded()
                || backendSender == null
                || backendLink() == null
                || !backendLink().isAttached()) {
            return;
        }
        if (!backendSender.isDraining()) {
            clientDrainRequested = false;
            return;
        }
        if (forwarder.grantedCredit() > 0 && clientReceiver.getCredit() > 0) {
            if (!clientDrainRequested && !clientReceiver.isDraining()) {
                clientDrainRequested = true;
                clientReceiver.drain();
            }
            return;
        }
        if (forwarder.unsentCount() == 0) {
            clientDrainRequested = false;
            backendSender.drained();
        }
    }

    // ---- its life

    @Override
    public Object sessionKey() {
        return clientReceiver.getSession();
    }

    @Override
    public Link<?> createLink(Session session, AmqpConnection on, String name) {
        backendSender = session.sender(name);
        copyAttachTo(backendSender);
        return backendSender
                .creditStateUpdateHandler(this::creditReceived)
                .deliveryStateUpdatedHandler(this::backendDispositionReceived);
    }

    @Override
    protected Link<?> backendEngineLink() {
        return backendSender;
    }

    @Override
    protected void onEstablished() {
        forwarder.backendAttached(this);
        forwarder.creditReceived(backendSender.getCredit());
    }

    @Override
    public void resume() {
        ProtonFlowControl.refreshSender(backendSender);
        forwarder.creditReceived(backendSender.getCredit());
        readDeliveries();
    }

    @Override
    protected void onBackendLost() {
        forwarder.backendLost();
    }

    @Override
    protected boolean canReattach() {
        return true;
    }

    @Override
    protected void drainCredit() {
        forwarder.stopGrantingCredit();
        if (clientReceiver.getCredit() > 0
                && !clientReceiver.isDraining()
                && connection().canSendFrames()) {
            clientReceiver.drain();
        }
    }

    @Override
    protected boolean isSettled() {
        return forwarder.size() == 0
                && clientReceiver.getCredit() == 0
                && !clientReceiver.isDraining();
    }

    @Override
    protected void completeDeliveries() {
        forwarder.endWithoutBackend();
    }

    @Override
    protected void onClientLeft() {
        forwarder.clientLeft();
    }

    @Override
    void checkTimeouts(Instant now) {
        int expired = forwarder.expireDeliveries(now);
        if (expired > 0) {
            frontend().countExpired(expired);
            detachIfSettled();
        }
    }
}

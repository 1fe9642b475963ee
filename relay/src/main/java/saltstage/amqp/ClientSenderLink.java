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
import org.apache.qpid.protonj2.engine.impl.ProtonUnsettledDeliveries;
import org.apache.qpid.protonj2.types.DeliveryTag;
import org.apache.qpid.protonj2.types.messaging.Received;
import org.apache.qpid.protonj2.types.transport.DeliveryState;
import org.apache.qpid.protonj2.types.transport.ErrorCondition;
import org.apache.qpid.protonj2.types.transport.LinkError;
import org.apache.qpid.protonj2.types.transport.SessionError;
import saltstage.amqp.DeliveryForwarder.Delivery;

/**
 * The link of a client that sends messages. {@link DeliveryForwarder} makes the decisions; this
 * class connects it to the engines of the client and of the backend.
 */
final class ClientSenderLink extends ClientLink
        implements DeliveryForwarder.ClientEndpoint, DeliveryForwarder.BackendEndpoint {
    private static final byte[] NO_BYTES = {};

    private final Receiver clientReceiver;
    private final DeliveryForwarder forwarder;

    /**
     * Deliveries with bytes that have not been read yet; they keep the window of the client's
     * session closed.
     */
    private final Deque<IncomingDelivery> unreadDeliveries = new ArrayDeque<>();

    private Sender backendSender;
    private boolean clientDrainRequested;

    ClientSenderLink(
            AmqpFrontend frontend,
            AmqpClientConnection connection,
            Receiver clientReceiver,
            AttachMapper.AttachRequest attachRequest,
            boolean idempotent) {
        super(frontend, connection, clientReceiver, attachRequest);
        this.clientReceiver = clientReceiver;
        forwarder =
                new DeliveryForwarder(
                        frontend.forwardingLimits(), idempotent, this, connection.memory()::add);
        clientReceiver
                .deliveryReadHandler(connection.guarded(this::transferReceived))
                .deliveryAbortedHandler(connection.guarded(this::deliveryAborted))
                .deliveryStateUpdatedHandler(this::clientDispositionReceived)
                .creditStateUpdateHandler(
                        receiver -> {
                            if (clientReceiver.getCredit() == 0 && !clientReceiver.isDraining()) {
                                forwarder.clearGrantedCredit();
                            }
                            answerBackendDrain();
                            detachIfSettled();
                            ProtonFlowControl.answerEcho(clientReceiver);
                        });
    }

    private void transferReceived(IncomingDelivery in) {
        connection().countTransfer(clientReceiver);
        if (isEnded()) { // sent before the client received the detach
            connection().restoreWindow(clientReceiver, discard(in));
            return;
        }
        if (in.getLinkedResource() == null) {
            Delivery delivery = new Delivery(in, in.isRemotelySettled());
            in.setLinkedResource(delivery);
            frontend().countReceived(delivery.isPresettled());
            if (!forwarder.startDelivery(delivery)) {
                detachForViolation(
                        new ErrorCondition(
                                LinkError.TRANSFER_LIMIT_EXCEEDED, "no credit for this delivery"));
                return;
            }
        }
        if (in.isPartial()
                && in.available() < AmqpClientConnection.SMALL_TRANSFER_BYTES
                && !connection().acceptSmallTransfer()) {
            return;
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

    /**
     * Reads as many bytes as may be buffered. The rest stays in the engine and holds back the
     * client's session.
     */
    private void readDeliveries() {
        while (!unreadDeliveries.isEmpty()
                && (forwarder.canBufferMore() || isCompleted(unreadDeliveries.peek()))) {
            IncomingDelivery in = unreadDeliveries.poll();
            Delivery delivery = in.getLinkedResource();
            byte[] bytes = NO_BYTES;
            connection().replenishWindow(clientReceiver, in.available());
            if (in.available() > 0) {
                ProtonBuffer buffer = in.readAll();
                bytes = new byte[buffer.getReadableBytes()];
                buffer.readBytes(bytes, 0, bytes.length);
                buffer.close();
            }
            boolean complete = !in.isPartial();
            forwarder.bytesReceived(delivery, bytes, complete, frontend().now());
            if (complete) {
                detachIfSettled();
            }
            if (complete
                    && (delivery.isPresettled() || delivery.isCompleted() && !in.isSettled())
                    && !isEnded()) {
                in.settle(); // its outcome was sent while its bytes were arriving, or it needs none
            }
        }
    }

    @Override
    void releaseMemory() {
        forwarder.discardSentChunksOfPartialDeliveries();
    }

    private static int discard(IncomingDelivery in) {
        int bytes = in.available();
        in.readAll();
        return bytes;
    }

    /**
     * Discards unread deliveries of the ended link, so that they do not keep the session's window
     * closed.
     */
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
        if (in.getLinkedResource() instanceof Delivery delivery && !isEnded()) {
            unreadDeliveries.remove(in);
            forwarder.deliveryAborted(delivery);
        }
        if (isEnded()) {
            connection().restoreWindow(clientReceiver, discard(in));
            return;
        }
        in.settle();
        readDeliveries();
        connection()
                .restoreWindow(clientReceiver, 0); // a transfer without bytes uses the window, too
    }

    /**
     * Passes the client's settlement on to the backend, which waits for it in the mode 'second'
     * (2.6.12).
     */
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

    @Override
    public void grantCredit(int credit) {
        if (!isEnded() && connection().canSendFrames()) {
            connection()
                    .restoreWindow(
                            clientReceiver,
                            0); // open the window of the session, for all its links, first
            clientReceiver.addCredit(credit);
        }
    }

    @Override
    public void sendOutcome(Delivery delivery, DeliveryState state, boolean settled) {
        IncomingDelivery in = (IncomingDelivery) delivery.clientDelivery();
        frontend().countOutcome(state);
        if (connection().canSendFrames()
                && clientReceiver.isRemotelyOpen()
                && clientReceiver.isLocallyOpen()) {
            // A delivery that is still arriving is settled when it is complete: the engine must
            // know it until then.
            in.disposition(state, settled && !in.isPartial());
        }
    }

    @Override
    public boolean canSend() {
        // protonj2 1.0.0 still reports a sender as sendable after it has given up its credit
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
    public int send(Delivery delivery, byte[] chunk, int offset, boolean last) {
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
                ProtonByteArrayBufferAllocator.wrapped(chunk, offset, chunk.length - offset);
        int bytesBefore = bytes.getReadableBytes();
        out.streamBytes(bytes, last);
        if (last && !bytes.isReadable()) {
            delivery.setSentAt(frontend().now());
        }
        if (bytes.isReadable()) {
            backendLink().awaitSessionWindow();
        }
        return bytesBefore - bytes.getReadableBytes();
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

    private void backendDispositionReceived(OutgoingDelivery out) {
        Delivery delivery = out.getLinkedResource();
        if (out.getLink() != backendSender || isEnded()) {
            return; // belongs to an earlier link on a session that is still open
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

    private void creditReceived(Sender sender) {
        if (sender != backendSender || isEnded()) {
            return;
        }
        forwarder.creditReceived(sender.getCredit());
        readDeliveries();
        answerBackendDrain();
        if (backendLink() != null) {
            backendLink().flowReceived();
        }
        ProtonFlowControl.answerEcho(sender);
    }

    /** Answers a drain of the backend once everything the client may still send has arrived. */
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

    @Override
    public Object sessionKey() {
        return clientReceiver.getSession();
    }

    @Override
    public Link<?> createLink(Session session, AmqpConnection connection, String name) {
        backendSender = session.sender(name);
        ProtonUnsettledDeliveries.trackOnce(backendSender);
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

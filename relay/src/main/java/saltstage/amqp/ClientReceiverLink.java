package saltstage.amqp;

import java.util.ArrayDeque;
import java.util.Deque;
import org.apache.qpid.protonj2.buffer.ProtonBuffer;
import org.apache.qpid.protonj2.engine.IncomingDelivery;
import org.apache.qpid.protonj2.engine.Link;
import org.apache.qpid.protonj2.engine.OutgoingDelivery;
import org.apache.qpid.protonj2.engine.Receiver;
import org.apache.qpid.protonj2.engine.Sender;
import org.apache.qpid.protonj2.engine.Session;
import org.apache.qpid.protonj2.engine.impl.ProtonFlowControl;
import org.apache.qpid.protonj2.types.transport.DeliveryState;

/**
 * The link of a client that receives messages. Deliveries of the backend are forwarded to the client in
 * order, as far as the client's credit and the window of its session allow; dispositions of the client go
 * back to the backend. Bytes that the client does not accept yet stay in the engine and hold back the
 * backend's session, which serves this link alone.
 */
final class ClientReceiverLink extends ClientLink {
    private final Sender clientSender;
    /** Deliveries of the backend that were not completely sent to the client yet. */
    private final Deque<IncomingDelivery> pendingDeliveries = new ArrayDeque<>();
    private Receiver backendReceiver;
    private OutgoingDelivery currentDelivery;
    private ProtonBuffer unsentBytes;
    private boolean refreshing;
    /** The bytes of pending deliveries, as last reported to the account of the client. */
    private long heldBytes;
    /** Whether the backend was asked to drain because the client drains. */
    private boolean backendDrainRequested;

    ClientReceiverLink(AmqpFrontend frontend, AmqpClientConnection connection, Sender clientSender,
            AttachMapper.AttachRequest attachRequest) {
        super(frontend, connection, clientSender, attachRequest);
        this.clientSender = clientSender;
        clientSender.creditStateUpdateHandler(sender -> {
            connection.forwardPending(); // the flow may have opened the session's window for other links, too
            forwardCredit();
            ProtonFlowControl.answerEcho(clientSender);
        }).deliveryStateUpdatedHandler(this::clientDispositionReceived);
    }

    private boolean isEstablished() {
        return !isEnded() && backendLink() != null && backendLink().isAttached()
            && connection().canSendFrames();
    }

    private void forwardCredit() {
        if (!isEstablished()) {
            return;
        }
        if (clientSender.isDraining()) {
            forwardDrain();
            return;
        }
        backendDrainRequested = false;
        int missing = missingCredit();
        if (missing > 0 && !backendReceiver.isDraining()) {
            backendReceiver.addCredit(missing);
        } else if (missing < 0 && backendReceiver.getCredit() > 0 && !backendReceiver.isDraining()) {
            // the client reduced its credit: the backend must not send more than it accepts
            ProtonFlowControl.reduceCredit(backendReceiver, -missing);
        }
    }

    /** Credit that the client has granted and the backend lacks; negative if the backend has too much. */
    private int missingCredit() {
        // A delivery that has arrived only in part has used no credit yet, on either side.
        int completePending = pendingDeliveries.isEmpty() || !pendingDeliveries.peekLast().isPartial()
            ? pendingDeliveries.size()
            : pendingDeliveries.size() - 1;
        return clientSender.getCredit() - backendReceiver.getCredit() - completePending;
    }

    /** Passes a drain of the client on to the backend once, and the backend's answer back to the client. */
    private void forwardDrain() {
        if (!backendDrainRequested) {
            backendDrainRequested = true;
            if (missingCredit() > 0 && !backendReceiver.isDraining()) {
                backendReceiver.addCredit(missingCredit());
            }
            if (backendReceiver.getCredit() > 0 && !backendReceiver.isDraining()) {
                backendReceiver.drain();
            }
        }
        if (backendReceiver.getCredit() == 0 && pendingDeliveries.isEmpty()) {
            backendDrainRequested = false;
            clientSender.drained();
        }
    }

    private void transferReceived(IncomingDelivery in) {
        if (!isEstablished()) {
            in.readAll();
            return;
        }
        if (in.getLinkedResource() == null) {
            in.setLinkedResource(this);
            pendingDeliveries.add(in);
            frontend().countSentToClient();
        }
        forwardPending();
        detachIfOverShare();
    }

    /** Detaches a link whose client does not take its deliveries when its memory is used up. */
    private void detachIfOverShare() {
        if (heldBytes > frontend().settings().limits().maxFrameBytes()
            && connection().memory().isOverShare()) {
            frontend().countRefusedForMemory();
            // Not at once: the engine of the backend's connection is handling a transfer.
            connection().loop().execute(() -> {
                if (!isEnded()) {
                    detachForViolation(
                        ErrorConditions.limitExceeded("deliveries wait and no memory is left"));
                }
            });
        }
    }

    private void updateHeldBytes() {
        long held = backendReceiver == null || pendingDeliveries.isEmpty()
            ? 0
            : ProtonFlowControl.unreadBytes(backendReceiver.getSession())
                + (unsentBytes == null ? 0 : unsentBytes.getReadableBytes());
        connection().memory().add(held - heldBytes);
        heldBytes = held;
    }

    private void deliveryAborted(IncomingDelivery in) {
        if (in == pendingDeliveries.peek() && currentDelivery != null) {
            currentDelivery.abort();
            currentDelivery = null;
            unsentBytes = null;
        }
        pendingDeliveries.remove(in);
        in.settle();
        forwardPending();
    }

    /** Forwards the deliveries that the client accepts now. */
    void forwardPending() {
        forwardAcceptable();
        updateHeldBytes();
    }

    private void forwardAcceptable() {
        if (isEstablished() && !pendingDeliveries.isEmpty() && !refreshing) {
            refreshing = true;
            ProtonFlowControl.refreshSender(clientSender);
            refreshing = false;
        }
        while (isEstablished() && !pendingDeliveries.isEmpty() && connection().isWritable()
            && clientSender.getCredit() > 0 && clientSender.isSendable()) {
            IncomingDelivery in = pendingDeliveries.peek();
            if (unsentBytes == null && in.available() > 0) {
                unsentBytes = in.readAll();
            }
            boolean complete = !in.isPartial() && in.available() == 0;
            if ((unsentBytes == null || !unsentBytes.isReadable()) && !complete) {
                return; // wait for more bytes of this delivery
            }
            if (currentDelivery == null) {
                currentDelivery = clientSender.next().setTag(in.getTag().tagBytes().clone())
                    .setMessageFormat(in.getMessageFormat());
                currentDelivery.setLinkedResource(in);
                in.setLinkedResource(currentDelivery);
                if (in.isRemotelySettled()) {
                    currentDelivery.settle();
                }
            }
            currentDelivery.streamBytes(unsentBytes, complete);
            if (unsentBytes != null && unsentBytes.isReadable()) {
                return; // the session's window is full
            }
            unsentBytes = null;
            if (complete) {
                pendingDeliveries.poll();
                currentDelivery = null;
                if (in.isRemotelySettled()) {
                    in.settle();
                }
            }
        }
        if (backendDrainRequested && isEstablished() && pendingDeliveries.isEmpty()) {
            forwardCredit(); // all deliveries sent before the backend answered the drain are forwarded
        }
    }

    /** Passes the client's disposition on to the backend. */
    private void clientDispositionReceived(OutgoingDelivery out) {
        if (!(out.getLinkedResource() instanceof IncomingDelivery in) || !isEstablished()) {
            return;
        }
        DeliveryState state = out.getRemoteState();
        boolean settled = out.isRemotelySettled();
        if (in.getLink() == backendReceiver && !in.isSettled() && (state != null || settled)) {
            in.disposition(state, settled);
        }
        if (settled && !out.isSettled() && !out.isPartial()) {
            out.settle();
        }
        outcomeReceived();
    }

    /** Passes a settlement by the backend on to the client, as happens in the mode 'second' (2.6.12). */
    private void backendDispositionReceived(IncomingDelivery in) {
        if (in.isRemotelySettled() && in.getLinkedResource() instanceof OutgoingDelivery out
            && isEstablished() && !out.isPartial()) {
            if (!out.isSettled()) {
                out.disposition(in.getRemoteState(), true);
            }
            if (!in.isSettled()) {
                in.settle();
            }
            detachIfSettled();
        }
    }

    @Override
    public Object sessionKey() {
        return null; // not shared: bytes that the client does not accept fill the session's window
    }

    @Override
    public Link<?> createLink(Session session, AmqpConnection connection, String name) {
        backendReceiver = session.receiver(name);
        copyAttachTo(backendReceiver);
        return backendReceiver.deliveryReadHandler(connection.guarded(this::transferReceived))
            .deliveryAbortedHandler(connection.guarded(this::deliveryAborted))
            .deliveryStateUpdatedHandler(this::backendDispositionReceived)
            .creditStateUpdateHandler(receiver -> {
                forwardCredit();
                detachIfSettled();
                ProtonFlowControl.answerEcho(backendReceiver);
            });
    }

    @Override
    protected Link<?> backendEngineLink() {
        return backendReceiver;
    }

    @Override
    protected void onEstablished() {
        forwardCredit();
    }

    @Override
    public void resume() {
        forwardCredit();
    }

    @Override
    protected void onBackendLost() {
        if (currentDelivery != null && connection().canSendFrames()) {
            currentDelivery.abort();
        }
        currentDelivery = null;
        unsentBytes = null;
        pendingDeliveries.clear();
        updateHeldBytes();
    }

    /** Unsettled deliveries at the client belong to the lost backend, so only a new link can start over. */
    @Override
    protected boolean canReattach() {
        return false;
    }

    @Override
    protected void drainCredit() {
        if (backendReceiver.getCredit() > 0 && !backendReceiver.isDraining()) {
            backendReceiver.drain();
        }
    }

    @Override
    protected boolean isSettled() {
        return pendingDeliveries.isEmpty() && backendReceiver.getCredit() == 0
            && !backendReceiver.hasUnsettled();
    }

    @Override
    protected void completeDeliveries() {
        onBackendLost();
    }

    @Override
    protected void onClientLeft() {
        pendingDeliveries.clear();
        updateHeldBytes();
    }
}

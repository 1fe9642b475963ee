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
 * The link of a client that receives: what the backend sends goes to the client, in order, as its credit and
 * its session's window allow; what the client says of it goes back. Bytes that the client does not take stay
 * in the engine and hold up the backend's session, which is this link's alone.
 */
final class ClientReceiverLink extends ClientLink {
    private final Sender clientSender;
    /** What has come from the backend and is not wholly with the client. */
    private final Deque<IncomingDelivery> pendingDeliveries = new ArrayDeque<>();
    private Receiver backendReceiver;
    private OutgoingDelivery currentDelivery;
    private ProtonBuffer unsentBytes;
    private boolean refreshing;
    /** The backend was asked to drain for its client. */
    private boolean backendDrainRequested;

    ClientReceiverLink(AmqpFrontend front, AmqpClientConnection owner, Sender client,
            AttachMapper.AttachRequest asked) {
        super(front, owner, client, asked);
        this.clientSender = client;
        client.creditStateUpdateHandler(any -> {
            owner.forwardPending(); // a flow may have opened the window of its session for other links too
            forwardCredit();
            ProtonFlowControl.answerEcho(client);
        }).deliveryStateUpdatedHandler(this::clientDispositionReceived);
    }

    // ---- credit, from the client to the backend

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
        int more = missingCredit();
        if (more > 0 && !backendReceiver.isDraining()) {
            backendReceiver.addCredit(more);
        } else if (more < 0 && backendReceiver.getCredit() > 0 && !backendReceiver.isDraining()) {
            // its client wants fewer: the backend must not send for nobody
            ProtonFlowControl.reduceCredit(backendReceiver, -more);
        }
    }

    /** How much more credit its client has given than the backend has; below 0 where that has too much. */
    private int missingCredit() {
        // What is only partly here has taken no credit yet, on neither side.
        int here = pendingDeliveries.isEmpty() || !pendingDeliveries.peekLast().isPartial()
            ? pendingDeliveries.size()
            : pendingDeliveries.size() - 1;
        return clientSender.getCredit() - backendReceiver.getCredit() - here;
    }

    /** The client drains its credit: the backend is asked the same once, and its answer is passed on. */
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

    // ---- deliveries, from the backend to the client

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

    /** Passes on what the client takes now. */
    void forwardPending() {
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
            boolean whole = !in.isPartial() && in.available() == 0;
            if ((unsentBytes == null || !unsentBytes.isReadable()) && !whole) {
                return; // more of it has to come first
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
            currentDelivery.streamBytes(unsentBytes, whole);
            if (unsentBytes != null && unsentBytes.isReadable()) {
                return; // the window is full
            }
            unsentBytes = null;
            if (whole) {
                pendingDeliveries.poll();
                currentDelivery = null;
                if (in.isRemotelySettled()) {
                    in.settle();
                }
            }
        }
        if (backendDrainRequested && isEstablished() && pendingDeliveries.isEmpty()) {
            forwardCredit(); // the last that the backend had sent before it answered is through
        }
    }

    /** The client has said what became of it: the backend is told the same. */
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

    /** The backend has settled by itself, as in the mode 'second' (2.6.12). */
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

    // ---- its life

    @Override
    public Object sessionKey() {
        return null; // bytes that its client does not take fill its session's window
    }

    @Override
    public Link<?> createLink(Session session, AmqpConnection on, String name) {
        backendReceiver = session.receiver(name);
        copyAttachTo(backendReceiver);
        return backendReceiver.deliveryReadHandler(on.guarded(this::transferReceived))
            .deliveryAbortedHandler(on.guarded(this::deliveryAborted))
            .deliveryStateUpdatedHandler(this::backendDispositionReceived).creditStateUpdateHandler(any -> {
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
    }

    /** What the client holds unsettled is the lost backend's: only a new link can begin anew. */
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
    }
}

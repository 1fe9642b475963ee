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
import org.apache.qpid.protonj2.engine.impl.Flows;
import org.apache.qpid.protonj2.types.transport.DeliveryState;

/**
 * The link of a client that receives: what the backend sends goes to the client, in order, as its credit and
 * its session's window allow; what the client says of it goes back. Bytes that the client does not take stay
 * in the engine and hold up the backend's session, which is this link's alone.
 */
final class ReceivingLink extends ClientLink {
    private final Sender client;
    /** What has come from the backend and is not wholly with the client. */
    private final Deque<IncomingDelivery> pipe = new ArrayDeque<>();
    private Receiver receiver;
    private OutgoingDelivery current;
    private ProtonBuffer rest;
    private boolean refreshing;
    /** The backend was asked to drain for its client. */
    private boolean draining;

    ReceivingLink(AmqpFront front, ClientPeering owner, Sender client, Mapping.Asked asked) {
        super(front, owner, client, asked);
        this.client = client;
        client.creditStateUpdateHandler(any -> {
            owner.pump(); // a flow may have opened the window of its session for other links too
            credit();
            Flows.echo(client);
        }).deliveryStateUpdatedHandler(this::toldByClient);
    }

    // ---- credit, from the client to the backend

    private boolean isStanding() {
        return !ended() && backend() != null && backend().isUp() && owner().engineRuns();
    }

    private void credit() {
        if (!isStanding()) {
            return;
        }
        if (client.isDraining()) {
            drain();
            return;
        }
        draining = false;
        int more = missing();
        if (more > 0 && !receiver.isDraining()) {
            receiver.addCredit(more);
        } else if (more < 0 && receiver.getCredit() > 0 && !receiver.isDraining()) {
            Flows.takeBack(receiver, -more); // its client wants fewer: the backend must not send for nobody
        }
    }

    /** How much more credit its client has given than the backend has; below 0 where that has too much. */
    private int missing() {
        // What is only partly here has taken no credit yet, on neither side.
        int here = pipe.isEmpty() || !pipe.peekLast().isPartial() ? pipe.size() : pipe.size() - 1;
        return client.getCredit() - receiver.getCredit() - here;
    }

    /** The client drains its credit: the backend is asked the same once, and its answer is passed on. */
    private void drain() {
        if (!draining) {
            draining = true;
            if (missing() > 0 && !receiver.isDraining()) {
                receiver.addCredit(missing());
            }
            if (receiver.getCredit() > 0 && !receiver.isDraining()) {
                receiver.drain();
            }
        }
        if (receiver.getCredit() == 0 && pipe.isEmpty()) {
            draining = false;
            client.drained();
        }
    }

    // ---- deliveries, from the backend to the client

    private void came(IncomingDelivery in) {
        if (!isStanding()) {
            in.readAll();
            return;
        }
        if (in.getLinkedResource() == null) {
            in.setLinkedResource(this);
            pipe.add(in);
            front().handed();
        }
        pump();
    }

    private void aborted(IncomingDelivery in) {
        if (in == pipe.peek() && current != null) {
            current.abort();
            current = null;
            rest = null;
        }
        pipe.remove(in);
        in.settle();
        pump();
    }

    /** Passes on what the client takes now. */
    void pump() {
        if (isStanding() && !pipe.isEmpty() && !refreshing) {
            refreshing = true;
            Flows.refresh(client);
            refreshing = false;
        }
        while (isStanding() && !pipe.isEmpty() && owner().writable() && client.getCredit() > 0
            && client.isSendable()) {
            IncomingDelivery in = pipe.peek();
            if (rest == null && in.available() > 0) {
                rest = in.readAll();
            }
            boolean whole = !in.isPartial() && in.available() == 0;
            if ((rest == null || !rest.isReadable()) && !whole) {
                return; // more of it has to come first
            }
            if (current == null) {
                current = client.next().setTag(in.getTag().tagBytes().clone())
                    .setMessageFormat(in.getMessageFormat());
                current.setLinkedResource(in);
                in.setLinkedResource(current);
                if (in.isRemotelySettled()) {
                    current.settle();
                }
            }
            current.streamBytes(rest, whole);
            if (rest != null && rest.isReadable()) {
                return; // the window is full
            }
            rest = null;
            if (whole) {
                pipe.poll();
                current = null;
                if (in.isRemotelySettled()) {
                    in.settle();
                }
            }
        }
        if (draining && isStanding() && pipe.isEmpty()) {
            credit(); // the last that the backend had sent before it answered is through
        }
    }

    /** The client has said what became of it: the backend is told the same. */
    private void toldByClient(OutgoingDelivery out) {
        if (!(out.getLinkedResource() instanceof IncomingDelivery in) || !isStanding()) {
            return;
        }
        DeliveryState state = out.getRemoteState();
        boolean settled = out.isRemotelySettled();
        if (in.getLink() == receiver && !in.isSettled() && (state != null || settled)) {
            in.disposition(state, settled);
        }
        if (settled && !out.isSettled() && !out.isPartial()) {
            out.settle();
        }
        works();
    }

    /** The backend has settled by itself, as in the mode 'second' (2.6.12). */
    private void toldByBackend(IncomingDelivery in) {
        if (in.isRemotelySettled() && in.getLinkedResource() instanceof OutgoingDelivery out
            && isStanding() && !out.isPartial()) {
            if (!out.isSettled()) {
                out.disposition(in.getRemoteState(), true);
            }
            if (!in.isSettled()) {
                in.settle();
            }
            progress();
        }
    }

    // ---- its life

    @Override
    public Object sessionKey() {
        return null; // bytes that its client does not take fill its session's window
    }

    @Override
    public Link<?> make(Session session, Peering on, String name) {
        receiver = session.receiver(name);
        copyAsked(receiver);
        return receiver.deliveryReadHandler(on.guarded(this::came))
            .deliveryAbortedHandler(on.guarded(this::aborted))
            .deliveryStateUpdatedHandler(this::toldByBackend).creditStateUpdateHandler(any -> {
                credit();
                progress();
                Flows.echo(receiver);
            });
    }

    @Override
    protected Link<?> backendLink() {
        return receiver;
    }

    @Override
    protected void stands() {
        credit();
    }

    @Override
    public void roomAgain() {
        credit();
    }

    @Override
    protected void lost() {
        if (current != null && owner().engineRuns()) {
            current.abort();
        }
        current = null;
        rest = null;
        pipe.clear();
    }

    /** What the client holds unsettled is the lost backend's: only a new link can begin anew. */
    @Override
    protected boolean canBeReplaced() {
        return false;
    }

    @Override
    protected void stopTaking() {
        if (receiver.getCredit() > 0 && !receiver.isDraining()) {
            receiver.drain();
        }
    }

    @Override
    protected boolean isSettled() {
        return pipe.isEmpty() && receiver.getCredit() == 0 && !receiver.hasUnsettled();
    }

    @Override
    protected void unplaced() {
        lost();
    }

    @Override
    protected void left() {
        pipe.clear();
    }
}

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
import org.apache.qpid.protonj2.engine.impl.Flows;
import org.apache.qpid.protonj2.types.DeliveryTag;
import org.apache.qpid.protonj2.types.messaging.Received;
import org.apache.qpid.protonj2.types.transport.DeliveryState;
import org.apache.qpid.protonj2.types.transport.ErrorCondition;
import org.apache.qpid.protonj2.types.transport.LinkError;
import org.apache.qpid.protonj2.types.transport.SessionError;
import saltstage.amqp.Forwarding.Delivery;

/**
 * The link of a client that sends. {@link Forwarding} decides; this joins it to the two engines.
 */
final class SendingLink extends ClientLink implements Forwarding.Client, Forwarding.Backend {
    private static final byte[] NOTHING = {};

    private final Receiver client;
    private final Forwarding forwarding;

    /** Deliveries with bytes that were not read yet: the client's session is held up by them. */
    private final Deque<IncomingDelivery> unread = new ArrayDeque<>();

    private Sender sender;
    private boolean drainAsked;

    SendingLink(
            AmqpFront front,
            ClientPeering owner,
            Receiver client,
            Mapping.Asked asked,
            boolean repeatable) {
        super(front, owner, client, asked);
        this.client = client;
        forwarding = new Forwarding(front.bounds(), repeatable, this);
        client.deliveryReadHandler(owner.guarded(this::came))
                .deliveryAbortedHandler(owner.guarded(this::aborted))
                .deliveryStateUpdatedHandler(this::settledByClient)
                .creditStateUpdateHandler(
                        any -> {
                            if (client.getCredit() == 0 && !client.isDraining()) {
                                forwarding.letGo();
                            }
                            drained();
                            progress();
                            Flows.echo(client);
                        });
    }

    // ---- from the client

    private void came(IncomingDelivery in) {
        owner().counts(client);
        if (ended()) { // sent before its client had heard of the detach
            owner().giveBack(client, discard(in));
            return;
        }
        if (in.getLinkedResource() == null) {
            Delivery begins = new Delivery(in, in.isRemotelySettled());
            in.setLinkedResource(begins);
            front().taken(begins.settled());
            if (!forwarding.begins(begins)) {
                breaks(
                        new ErrorCondition(
                                LinkError.TRANSFER_LIMIT_EXCEEDED, "no credit for this delivery"));
                return;
            }
        }
        if (!unread.contains(in)) {
            unread.add(in);
        }
        if (in.available() > 2 * front().settings().limits().maxLinkBytes()) {
            breaks(
                    new ErrorCondition(
                            SessionError.WINDOW_VIOLATION, "more bytes than the session's window"));
            return;
        }
        read();
    }

    /** Reads what may be held; the rest waits in the engine and with it the client's session. */
    private void read() {
        while (!unread.isEmpty() && (forwarding.wantsBytes() || answered(unread.peek()))) {
            IncomingDelivery in = unread.poll();
            Delivery delivery = in.getLinkedResource();
            byte[] bytes = NOTHING;
            owner().reads(client, in.available());
            if (in.available() > 0) {
                ProtonBuffer got = in.readAll();
                bytes = new byte[got.getReadableBytes()];
                got.readBytes(bytes, 0, bytes.length);
                got.close();
            }
            boolean whole = !in.isPartial();
            forwarding.came(delivery, bytes, whole, front().now());
            if (whole) {
                progress();
            }
            if (whole
                    && (delivery.settled() || delivery.answered() && !in.isSettled())
                    && !ended()) {
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
    protected void ends() {
        int bytes = 0;
        for (IncomingDelivery in : unread) {
            bytes += discard(in);
        }
        unread.clear();
        owner().giveBack(client, bytes);
    }

    private static boolean answered(IncomingDelivery in) {
        Delivery delivery = in.getLinkedResource();
        return delivery.answered();
    }

    private void aborted(IncomingDelivery in) {
        if (in.getLinkedResource() instanceof Delivery begun && !ended()) {
            unread.remove(in);
            forwarding.aborted(begun);
        }
        if (ended()) {
            owner().giveBack(client, discard(in));
            return;
        }
        in.settle();
        read();
        owner().giveBack(client, 0); // a transfer without bytes uses the window up as well
    }

    /** The client has settled: in the mode 'second' the backend waits for that (2.6.12). */
    private void settledByClient(IncomingDelivery in) {
        if (!in.isRemotelySettled() || in.isPartial()) {
            return;
        }
        if (in.getLinkedResource() instanceof Delivery delivery
                && delivery.backends() instanceof OutgoingDelivery out
                && canSpeak(out)) {
            out.settle();
        }
        if (!in.isSettled()) {
            in.settle();
        }
    }

    private boolean canSpeak(OutgoingDelivery out) {
        return backend() != null && backend().isUp() && out.getLink() == sender && !out.isSettled();
    }

    // ---- to the client

    @Override
    public void grant(int more) {
        if (!ended() && owner().engineRuns()) {
            owner().giveBack(client, 0); // the session's window first, for all its links
            client.addCredit(more);
        }
    }

    @Override
    public void outcome(Delivery delivery, DeliveryState state, boolean settled) {
        IncomingDelivery in = (IncomingDelivery) delivery.clients();
        front().outcome(state);
        if (owner().engineRuns() && client.isRemotelyOpen() && client.isLocallyOpen()) {
            // One that still comes is settled when it has ended: until then the engine must know
            // it.
            in.disposition(state, settled && !in.isPartial());
        }
    }

    // ---- to the backend

    @Override
    public boolean sendable() {
        // protonj2 1.0.0 goes on calling a sender sendable whose credit it has just let go
        if (backend() == null || !backend().writable() || sender.getCredit() == 0) {
            return false;
        }
        if (!sender.isSendable()) {
            backend().heldUp();
            return false;
        }
        return true;
    }

    @Override
    public int stream(Delivery delivery, byte[] piece, int from, boolean last) {
        OutgoingDelivery out = (OutgoingDelivery) delivery.backends();
        if (out == null) {
            IncomingDelivery in = (IncomingDelivery) delivery.clients();
            out = sender.next().setTag(copy(in.getTag())).setMessageFormat(in.getMessageFormat());
            out.setLinkedResource(delivery);
            delivery.backends(out);
            if (delivery.settled()) {
                out.settle();
            }
        }
        ProtonBuffer bytes =
                ProtonByteArrayBufferAllocator.wrapped(piece, from, piece.length - from);
        int before = bytes.getReadableBytes();
        out.streamBytes(bytes, last);
        if (last && !bytes.isReadable()) {
            delivery.sentAt(front().now());
        }
        if (bytes.isReadable()) {
            backend().heldUp();
        }
        return before - bytes.getReadableBytes();
    }

    private static byte[] copy(DeliveryTag tag) {
        return tag.tagBytes().clone();
    }

    @Override
    public void abort(Delivery delivery) {
        if (delivery.backends() instanceof OutgoingDelivery out && canSpeak(out)) {
            out.abort();
        }
    }

    @Override
    public void settle(Delivery delivery, DeliveryState state) {
        if (delivery.backends() instanceof OutgoingDelivery out && canSpeak(out)) {
            out.disposition(state, true);
        }
    }

    // ---- from the backend

    private void told(OutgoingDelivery out) {
        Delivery delivery = out.getLinkedResource();
        if (out.getLink() != sender || ended()) {
            return; // of a link that is over, on a session that is not
        }
        DeliveryState state = out.getRemoteState();
        boolean settled = out.isRemotelySettled();
        if (state instanceof Received && !settled || state == null && !settled) {
            return; // not an outcome yet (3.4.1)
        }
        if (delivery.backends() == out) {
            forwarding.outcome(delivery, state, settled);
        }
        if (settled && canSpeak(out)) {
            out.settle();
        }
        front().took(standing(), delivery);
        read();
        works();
    }

    private void credit(Sender from) {
        if (from != sender || ended()) {
            return;
        }
        forwarding.credit(from.getCredit());
        read();
        drained();
        if (backend() != null) {
            backend().flowed();
        }
        Flows.echo(from);
    }

    /** A backend that drains its credit is told so once what the client may still send has come. */
    private void drained() {
        if (ended() || sender == null || backend() == null || !backend().isUp()) {
            return;
        }
        if (!sender.isDraining()) {
            drainAsked = false;
            return;
        }
        if (forwarding.granted() > 0 && client.getCredit() > 0) {
            if (!drainAsked && !client.isDraining()) {
                drainAsked = true;
                client.drain();
            }
            return;
        }
        if (forwarding.waiting() == 0) {
            drainAsked = false;
            sender.drained();
        }
    }

    // ---- its life

    @Override
    public Object sessionKey() {
        return client.getSession();
    }

    @Override
    public Link<?> make(Session session, Peering on, String name) {
        sender = session.sender(name);
        copyAsked(sender);
        return sender.creditStateUpdateHandler(this::credit)
                .deliveryStateUpdatedHandler(this::told);
    }

    @Override
    protected Link<?> backendLink() {
        return sender;
    }

    @Override
    protected void stands() {
        forwarding.stands(this);
        forwarding.credit(sender.getCredit());
    }

    @Override
    public void roomAgain() {
        Flows.refresh(sender);
        forwarding.credit(sender.getCredit());
        read();
    }

    @Override
    protected void lost() {
        forwarding.lost();
    }

    @Override
    protected boolean canBeReplaced() {
        return true;
    }

    @Override
    protected void stopTaking() {
        forwarding.stop();
        if (client.getCredit() > 0 && !client.isDraining() && owner().engineRuns()) {
            client.drain();
        }
    }

    @Override
    protected boolean isSettled() {
        return forwarding.size() == 0 && client.getCredit() == 0 && !client.isDraining();
    }

    @Override
    protected void unplaced() {
        forwarding.end();
    }

    @Override
    protected void left() {
        forwarding.left();
    }

    @Override
    void beat(Instant now) {
        int expired = forwarding.expire(now);
        if (expired > 0) {
            front().expired(expired);
            progress();
        }
    }
}

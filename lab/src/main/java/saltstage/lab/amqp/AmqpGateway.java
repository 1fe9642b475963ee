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
import saltstage.lab.fleet.Gateway.State;
import saltstage.net.Connection;
import saltstage.net.Transport;

/**
 * A stand-in for a gateway that speaks AMQP 1.0: takes links on any address, accepts or rejects deliveries,
 * gives messages to who receives, and keeps count of all of it. It drains, dies, freezes and answers late.
 */
public final class AmqpGateway {
    private static final int CREDIT = 200;
    private static final int FRAME = 16 << 10;
    private static final int MOST_KEPT = 1 << 19;
    private static final int MOST_LINKS = 10_000;
    private static final Connection.WriteLimits BOUNDS = new Connection.WriteLimits(1 << 20, 256 << 20);

    private final String uid;
    private final Transport transport;
    private final InetSocketAddress at;
    private final Copies copies;
    private final Set<ServerSide> open = ConcurrentHashMap.newKeySet();
    private final Set<Runnable> held = ConcurrentHashMap.newKeySet();
    private final Set<Link<?>> links = ConcurrentHashMap.newKeySet();
    private final Set<String> names = ConcurrentHashMap.newKeySet();
    private final List<String> accepted = new ArrayList<>();
    private final Map<String, Long> outcomes = new TreeMap<>();
    private final Map<String, Long> told = new TreeMap<>();
    private volatile Transport.Listener listener;
    private volatile State state = State.READY;
    private volatile int rejectPercent;
    private volatile int feed = 10;
    private volatile int window;
    private volatile int sessions;
    private volatile int stolen;
    private volatile int settledSecond;
    private volatile Duration delay = Duration.ZERO;
    private volatile long lastLink;
    private volatile long served;

    /** A gateway at this address. */
    public AmqpGateway(String uid, Transport transport, InetSocketAddress at, Copies copies)
            throws IOException {
        this.uid = uid;
        this.transport = transport;
        this.at = at;
        this.copies = copies;
        listen();
    }

    private void listen() throws IOException {
        listener = transport.listen(at, 1_024, BOUNDS, net -> {
            ServerSide side = new ServerSide(net, this::setUp, open::remove);
            open.add(side);
            if (state == State.SILENT) {
                net.loop().execute(() -> side.reading(false));
            }
            return side;
        });
    }

    private void setUp(Engine engine) {
        engine.connection().setContainerId(uid).setMaxFrameSize(FRAME)
            .setChannelMax(65_535)
            .openHandler(up -> up.open())
            .closeHandler(up -> up.close())
            .sessionOpenHandler(session -> { // usually without a window: all that comes is read at once
                if (window > 0) {
                    session.setIncomingCapacity(window);
                }
                session.closeHandler(ended -> ended.close());
                sessions++;
                session.open();
            })
            .receiverOpenHandler(this::takes)
            .senderOpenHandler(this::gives);
    }

    private boolean turnsAway(Link<?> link) {
        lastLink = System.currentTimeMillis();
        if (!names.add(name(link))) { // a second one of this name between two containers (2.6.1)
            stolen++;
            link.setSource(null).setTarget((Target) null).open();
            link.setCondition(new ErrorCondition(LinkError.STOLEN, "link " + link.getName())).close();
            return true;
        }
        if (state != State.DRAINING && links.size() < MOST_LINKS) {
            links.add(link);
            served++;
            return false;
        }
        names.remove(name(link));
        link.setSource(null).setTarget((Target) null).open();
        link.setCondition(new ErrorCondition(AmqpError.RESOURCE_LIMIT_EXCEEDED, "draining or full")).close();
        return true;
    }

    private static String name(Link<?> link) {
        return link.getEngine().connection().getRemoteContainerId() + " " + link.isSender() + " "
            + link.getName();
    }

    private void takes(Receiver link) {
        if (turnsAway(link)) {
            return;
        }
        Set<String> out = ConcurrentHashMap.newKeySet();
        Runnable letGo = () -> {
            out.forEach(copies::ends);
            out.clear();
        };
        held.add(letGo);
        Runnable over = () -> {
            links.remove(link);
            names.remove(name(link));
            held.remove(letGo);
            letGo.run();
            link.close();
        };
        boolean second = link.getRemoteReceiverSettleMode() == ReceiverSettleMode.SECOND;
        link.setSource(link.getRemoteSource()).setTarget(link.<Target>getRemoteTarget())
            .setReceiverSettleMode(link.getRemoteReceiverSettleMode())
            .setOfferedCapabilities(link.getRemoteDesiredCapabilities())
            .deliveryStateUpdatedHandler(in -> {
                if (second && in.isRemotelySettled() && !in.isSettled()) {
                    settledSecond++;
                    in.settle();
                }
            })
            .closeHandler(any -> over.run())
            .detachHandler(any -> over.run())
            .parentEndpointClosedHandler(any -> over.run())
            .engineShutdownHandler(any -> over.run())
            .deliveryReadHandler(in -> came(link, in, out))
            .deliveryAbortedHandler(in -> in.settle())
            .open();
        link.addCredit(CREDIT);
    }

    private void came(Receiver link, IncomingDelivery in, Set<String> out) {
        if (in.isPartial()) {
            if (in.available() > MOST_KEPT) { // a large one is read as it comes: its id came first
                keepHead(in);
            }
            return;
        }
        keepHead(in);
        ProtonBuffer whole = in.getLinkedResource();
        String id = Messages.id(whole);
        boolean settled = in.isRemotelySettled();
        if (settled) {
            count(id, "presettled");
            in.settle();
            link.addCredit(1);
            return;
        }
        copies.begins(id, uid);
        out.add(id);
        if (delay.isZero()) {
            answer(link, in, id, out);
        } else {
            side(link).loop().schedule(delay, () -> answer(link, in, id, out));
        }
    }

    /** The first bytes are enough for the id. */
    private static void keepHead(IncomingDelivery in) {
        ProtonBuffer head = in.getLinkedResource();
        ProtonBuffer got = in.available() > 0 ? in.readAll() : null;
        if (head == null) {
            in.setLinkedResource(got == null ? ProtonBufferAllocator.defaultAllocator().allocate(0) : got);
        } else if (got != null && head.getReadableBytes() < FRAME) {
            ProtonBuffer both = ProtonBufferAllocator.defaultAllocator()
                .allocate(head.getReadableBytes() + got.getReadableBytes());
            both.writeBytes(head).writeBytes(got);
            in.setLinkedResource(both);
        }
    }

    private ServerSide side(Link<?> link) {
        for (ServerSide one : open) {
            if (one.runs(link.getEngine())) {
                return one;
            }
        }
        throw new IllegalStateException("a link of no connection");
    }

    private void answer(Receiver link, IncomingDelivery in, String id, Set<String> out) {
        if (!links.contains(link) || state == State.SILENT || !out.remove(id)) {
            return; // its link has ended meanwhile, or the machine is frozen
        }
        copies.ends(id);
        boolean reject = ThreadLocalRandom.current().nextInt(100) < rejectPercent;
        DeliveryState state = reject
            ? new Rejected(new ErrorCondition(Symbol.valueOf("stand-in:rejected"), "as it was told"))
            : Accepted.getInstance();
        count(id, reject ? "rejected" : "accepted");
        in.disposition(state, link.getReceiverSettleMode() != ReceiverSettleMode.SECOND);
        if (link.getCredit() <= CREDIT / 2) {
            link.addCredit(CREDIT - link.getCredit());
        }
    }

    private void count(String id, String outcome) {
        synchronized (accepted) {
            outcomes.merge(outcome, 1L, Long::sum);
            if (!outcome.equals("rejected")) {
                accepted.add(id);
            }
        }
    }

    private void gives(Sender link) {
        if (turnsAway(link)) {
            return;
        }
        int[] given = new int[1];
        Runnable over = () -> {
            links.remove(link);
            names.remove(name(link));
            link.close();
        };
        link.setSource(link.getRemoteSource()).setTarget(link.<Target>getRemoteTarget())
            .setSenderSettleMode(link.getRemoteSenderSettleMode())
            .closeHandler(any -> over.run())
            .detachHandler(any -> over.run())
            .parentEndpointClosedHandler(any -> over.run())
            .engineShutdownHandler(any -> over.run())
            .creditStateUpdateHandler(any -> {
                while (link.isSendable() && given[0] < feed) {
                    byte[] message = Messages.make(uid + ":" + link.getName() + ":" + given[0]++, 64);
                    OutgoingDelivery out = link.next().setTag(new byte[] {(byte) (given[0] >> 8),
                        (byte) given[0]});
                    out.writeBytes(ProtonByteArrayBufferAllocator.wrapped(message));
                }
                if (link.isDraining()) {
                    link.drained();
                }
            })
            .deliveryStateUpdatedHandler(out -> {
                if (out.getRemoteState() != null) {
                    synchronized (accepted) {
                        told.merge(out.getRemoteState().getType().name().toLowerCase(Locale.ROOT),
                            1L, Long::sum);
                    }
                }
                if (out.isRemotelySettled()) {
                    out.settle();
                }
            })
            .open();
    }

    // ---- what is done to it

    /** Wants no new links; those that it has go on. */
    public void drain() {
        state = State.DRAINING;
    }

    /** Dies as a process does. */
    public void kill() {
        state = State.DEAD;
        listener.close();
        open.forEach(side -> side.loop().execute(side::reset));
    }

    /** Dies in the middle of a frame to each of its peers; a new process takes its place at once. */
    public void tear() {
        open.forEach(side -> side.loop().execute(side::tear));
    }

    /** Freezes as a machine does that is cut off. */
    public void stop() {
        state = State.SILENT;
        open.forEach(side -> side.loop().execute(() -> side.reading(false)));
        // Its peers can only give its connections up, which it does not see: what it holds counts as that.
        List.copyOf(held).forEach(Runnable::run);
    }

    /** Serves again; a killed one as a new process. */
    public void start() throws IOException {
        if (state == State.DEAD) {
            listen();
        }
        boolean frozen = state == State.SILENT;
        state = State.READY;
        if (frozen) { // what it had open is void: its peers have given it up
            open.forEach(side -> side.loop().execute(side::reset));
        }
    }

    /** Gives outcomes that much later. */
    public void slow(Duration by) {
        delay = by;
    }

    /** Rejects so many of a hundred deliveries. */
    public void reject(int percent) {
        rejectPercent = percent;
    }

    /** Gives so many messages to each link that receives. */
    public void feed(int messages) {
        feed = messages;
    }

    /** Takes so many bytes a session before it has read them; 0: any number. */
    public void window(int bytes) {
        window = bytes;
    }

    // ---- what is seen of it

    /** How many sessions it has taken. */
    public int sessions() {
        return sessions;
    }

    /** How many deliveries were settled by their sender first, in the mode 'second' (2.6.12). */
    public int settledSecond() {
        return settledSecond;
    }

    /** How many messages its links that send may send now. */
    public int credit() {
        return links.stream().filter(Link::isSender).mapToInt(Link::getCredit).sum();
    }

    /** How many links were turned away as their name was taken. */
    public int stolen() {
        return stolen;
    }

    /** Where it listens. */
    public InetSocketAddress address() {
        return at;
    }

    /** How many links are open. */
    public int links() {
        return links.size();
    }

    /** How many links it has taken. */
    public long served() {
        return served;
    }

    /** When the last new link came, in Unix milliseconds; 0 for never. */
    public long lastLink() {
        return lastLink;
    }

    /** The ids of the deliveries accepted, each time that one was. */
    public List<String> accepted() {
        synchronized (accepted) {
            return List.copyOf(accepted);
        }
    }

    /** How many outcomes of each kind it has given. */
    public Map<String, Long> outcomes() {
        synchronized (accepted) {
            return Map.copyOf(outcomes);
        }
    }

    /** How many outcomes of each kind its receivers have told it. */
    public Map<String, Long> told() {
        synchronized (accepted) {
            return Map.copyOf(told);
        }
    }
}

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
import saltstage.lab.amqp.Ledger.Told;
import saltstage.net.Connection;
import saltstage.net.ConnectionHandler;
import saltstage.net.Loop;
import saltstage.net.Transport;

/**
 * One connection of a client and its sending links. Each delivery is due at a time and is measured from then,
 * whether its link had credit or not. A link that is detached attaches again, and so does the connection.
 */
public final class LoadClient {
    private static final Connection.WriteLimits BOUNDS = new Connection.WriteLimits(1 << 20, 256 << 20);
    private static final Duration CONNECT = Duration.ofSeconds(5);

    private final Transport transport;
    private final Loop loop;
    private final InetSocketAddress to;
    private final String name;
    private final Ledger ledger;
    private final byte[] padding;
    private final List<OneLink> links = new ArrayList<>();
    private final Map<String, Long> detached = new TreeMap<>();
    private Side side;
    private Session session;
    private volatile int attached;
    private volatile int unsent;
    private volatile boolean over;

    private record Due(String id, long at) { }

    /** So many links to addresses of this class, with messages of so many bytes. */
    public LoadClient(Transport transport, Loop loop, InetSocketAddress to, String name, int count,
            String address, int bytes, Ledger ledger) {
        this.transport = transport;
        this.loop = loop;
        this.to = to;
        this.name = name;
        this.ledger = ledger;
        padding = new byte[bytes];
        for (int i = 0; i < count; i++) {
            links.add(new OneLink(i, address + "/" + name + "-" + i));
        }
        loop.execute(this::connect);
    }

    /** Says that a delivery is due on a link, at this moment of the monotonic clock. */
    public void due(int link, String id, long at) {
        ledger.sent(id);
        loop.execute(() -> links.get(link).due(new Due(id, at)));
    }

    /** How many links it has. */
    public int links() {
        return links.size();
    }

    /** How many links are attached. */
    public int attached() {
        return attached;
    }

    /** How many deliveries are due and were not sent, for want of credit or of a link. */
    public int unsent() {
        return unsent;
    }

    /** How many times links were detached, by condition. */
    public Map<String, Long> detached() {
        synchronized (detached) {
            return Map.copyOf(detached);
        }
    }

    /** What keeps it, for a message: each link with deliveries that are due, its credit and its session's. */
    public String stuck() {
        StringBuilder text = new StringBuilder();
        for (OneLink link : links) {
            if (!link.waiting.isEmpty()) {
                text.append(link.address).append(" up=").append(link.up).append(" waiting=")
                    .append(link.waiting.size()).append(" out=").append(link.out.size()).append(" credit=")
                    .append(link.sender.getCredit()).append(" sendable=").append(link.sender.isSendable())
                    .append(" local=").append(link.sender.getState()).append(" remote=")
                    .append(link.sender.getRemoteState()).append("; ");
            }
        }
        return text.toString();
    }

    /** Ends politely; what has no outcome by then has none. */
    public void end() {
        over = true;
        loop.execute(() -> {
            if (side != null) {
                side.close(null);
            }
        });
    }

    private void connect() {
        if (over) {
            return;
        }
        transport.connect(loop, to, CONNECT, BOUNDS, new Transport.ConnectListener() {
            @Override
            public ConnectionHandler connected(Connection connection) {
                side = new Side(connection);
                side.begin();
                return side;
            }

            @Override
            public void failed(IOException why) {
                again();
            }
        });
    }

    private void again() {
        loop.schedule(Duration.ofMillis(50 + ThreadLocalRandom.current().nextInt(150)), this::connect);
    }

    /** The connection. */
    private final class Side extends AmqpConnection {
        Side(Connection net) {
            super(net, Instant::now, 1 << 20);
        }

        void begin() {
            Engine engine = EngineFactory.PROTON.createNonSaslEngine();
            engine.connection().setContainerId(name).setMaxFrameSize(16 << 10)
                .closeHandler(closed -> close(null));
            startEngine(engine);
            engine.connection().open();
            session = engine.connection().session().open();
            links.forEach(OneLink::attach);
        }

        @Override
        protected void onWritable() {
            links.forEach(OneLink::pump);
        }

        @Override
        protected void connectionEnded(String why) {
            links.forEach(OneLink::lost);
            count("connection " + why);
            again();
        }
    }

    private void count(String what) {
        synchronized (detached) {
            detached.merge(what, 1L, Long::sum);
        }
    }

    /** One link and what is due on it. */
    private final class OneLink {
        private final int number;
        private final String address;
        private final Deque<Due> waiting = new ArrayDeque<>();
        private final Map<OutgoingDelivery, Due> out = new LinkedHashMap<>();
        private Sender sender;
        private boolean up;
        private int tags;
        private int times;

        OneLink(int number, String address) {
            this.number = number;
            this.address = address;
        }

        void attach() {
            if (over || side == null || side.isClosed()) {
                return;
            }
            sender = session.sender(name + "-" + number + "-" + times++);
            sender.setSource(new Source().setAddress(name)).setTarget(new Target().setAddress(address))
                .openHandler(opened -> {
                    if (sender.getRemoteTarget() != null) {
                        up = true;
                        attached++;
                    }
                })
                .closeHandler(this::detached)
                .detachHandler(this::detached)
                .creditStateUpdateHandler(any -> pump())
                .deliveryStateUpdatedHandler(this::told)
                .open();
        }

        private void detached(Sender closed) {
            count(closed.getRemoteCondition() == null ? "none"
                : closed.getRemoteCondition().getCondition().toString());
            lost();
            closed.close();
            loop.schedule(Duration.ofMillis(50 + ThreadLocalRandom.current().nextInt(150)), this::attach);
        }

        void lost() {
            if (up) {
                up = false;
                attached--;
            }
            out.values().forEach(due -> ledger.outcome(due.id(), Told.NOTHING, -1));
            out.clear();
        }

        void due(Due due) {
            waiting.add(due);
            unsent++;
            pump();
        }

        void pump() {
            while (up && !waiting.isEmpty() && side.isWritable() && sender.getCredit() > 0
                && sender.isSendable()) {
                Due due = waiting.poll();
                unsent--;
                OutgoingDelivery delivery = sender.next().setTag(Integer.toString(tags++, 36)
                    .getBytes(StandardCharsets.ISO_8859_1));
                out.put(delivery, due);
                delivery.writeBytes(ProtonByteArrayBufferAllocator.wrapped(
                    Messages.make(due.id(), padding.length)));
            }
            if (up && sender.isDraining() && sender.getCredit() > 0 && waiting.isEmpty()) {
                sender.drained();
            }
        }

        private void told(OutgoingDelivery delivery) {
            DeliveryState state = delivery.getRemoteState();
            Due due = out.get(delivery);
            if (due == null) {
                count("outcome for nothing");
                return;
            }
            if (state == null && !delivery.isRemotelySettled()) {
                return;
            }
            Told what = state instanceof Accepted ? Told.ACCEPTED : state instanceof Rejected ? Told.REJECTED
                : state instanceof Released ? Told.RELEASED : state instanceof Modified ? Told.MODIFIED
                : Told.OTHER;
            ledger.outcome(due.id(), what, System.nanoTime() - due.at());
            if (delivery.isRemotelySettled()) {
                out.remove(delivery);
                delivery.settle();
            }
        }
    }
}

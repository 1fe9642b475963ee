package saltstage.coordinator.replica;

import io.microraft.RaftEndpoint;
import io.microraft.model.message.RaftMessage;
import io.microraft.transport.Transport;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import saltstage.coordinator.group.GroupCodec;
import saltstage.log.Log;
import saltstage.net.Connection;
import saltstage.net.ConnectionHandler;
import saltstage.net.Loop;

/**
 * The links among replicas: each keeps one connection to each other, on which it only sends. A
 * connection begins with who is at its end; whoever belongs to another group, or has come with
 * another disk under a known name, is told so and refused. What cannot be sent is dropped: the
 * engine sends it again.
 */
final class PeerLinks implements Transport {
    private static final Duration CONNECT = Duration.ofSeconds(1);
    private static final Duration HEARTBEAT_PERIOD = Duration.ofMillis(500);
    private static final long LEAST_PAUSE_MS = 50;
    private static final long MOST_PAUSE_MS = 800;
    private static final int MOST_FRAME = 16 << 20;

    /**
     * Half of a gathered snapshot part and many entries: beyond that a peer is too slow to be fed
     * further.
     */
    private static final long MOST_UNSENT = 24 << 20;

    private static final Connection.WriteLimits BOUNDS =
            new Connection.WriteLimits(1 << 20, 64 << 20);

    private static final byte HELLO = 1;
    private static final byte RAFT = 2;
    private static final byte HEARTBEAT = 3;
    private static final byte REFUSED = 4;

    /** Who is at the end of a link. */
    record Hello(
            String group,
            String from,
            String disk,
            String process,
            int speaks,
            String peers,
            String clients) {}

    /** What time of day it is there, and what that build knows. */
    record Heartbeat(long wallMs, int speaks) {}

    /** What comes in. */
    interface Events {
        /** Somebody is there; null: welcome, else why not. */
        String hello(Hello who);

        /** A message of the engine's. */
        void message(String from, byte[] bytes) throws IOException;

        /** A sign of life. */
        void heartbeat(String from, Heartbeat heartbeat);

        /** A peer refuses this replica. */
        void refused(String by, String why);
    }

    private final saltstage.net.Transport transport;
    private final Loop loop;
    private final RaftCodec codec;
    private final Hello self;
    private final Events events;
    private final java.util.function.Function<String, InetSocketAddress> addresses;
    private final java.util.function.Supplier<Heartbeat> heartbeat;
    private final Map<String, Link> links = new ConcurrentHashMap<>();
    private saltstage.net.Transport.Listener listener;
    private volatile boolean ended;

    PeerLinks(
            saltstage.net.Transport transport,
            RaftCodec codec,
            Hello self,
            Events events,
            java.util.function.Function<String, InetSocketAddress> addresses,
            java.util.function.Supplier<Heartbeat> heartbeat) {
        this.transport = transport;
        this.codec = codec;
        this.self = self;
        this.events = events;
        this.addresses = addresses;
        this.heartbeat = heartbeat;
        loop = transport.loops().get(0);
    }

    void listen(InetSocketAddress at) throws IOException {
        listener = transport.listen(at, 64, BOUNDS, connection -> new Inbound());
        loop.schedule(HEARTBEAT_PERIOD, this::heartbeat);
    }

    void end() {
        ended = true;
        if (listener != null) {
            listener.close();
        }
        loop.execute(() -> links.values().forEach(Link::end));
    }

    private void heartbeat() {
        if (ended) {
            return;
        }
        byte[] now = GroupCodec.toCbor(heartbeat.get());
        links.values().forEach(link -> link.send(HEARTBEAT, now));
        loop.schedule(HEARTBEAT_PERIOD, this::heartbeat);
    }

    /** Keeps a link to a peer from now on. */
    void keep(String peer) {
        if (!ended && !peer.equals(self.from())) {
            links.computeIfAbsent(
                    peer,
                    name -> {
                        Link link = new Link(name);
                        loop.execute(link::connect);
                        return link;
                    });
        }
    }

    /** Keeps no link to those that are not among these. */
    void keepOnly(java.util.Collection<String> peers) {
        for (String name : Map.copyOf(links).keySet()) {
            if (!peers.contains(name)) {
                Link gone = links.remove(name);
                loop.execute(gone::end);
            }
        }
        peers.forEach(this::keep);
    }

    @Override
    public void send(RaftEndpoint target, RaftMessage message) {
        String name = (String) target.getId();
        keep(name);
        byte[] bytes = codec.bytes(message);
        loop.execute(
                () -> {
                    Link link = links.get(name);
                    if (link != null) {
                        link.send(RAFT, bytes);
                    }
                });
    }

    @Override
    public boolean isReachable(RaftEndpoint endpoint) {
        Link link = links.get((String) endpoint.getId());
        return link != null && link.up;
    }

    private static ByteBuffer frame(byte type, byte[] body) {
        return ByteBuffer.allocate(5 + body.length)
                .putInt(1 + body.length)
                .put(type)
                .put(body)
                .flip();
    }

    /** Reads frames; what is none ends the connection. */
    private abstract static class Frames implements ConnectionHandler {
        private ByteBuffer held = ByteBuffer.allocate(64 << 10);

        abstract void frame(Connection on, byte type, byte[] body) throws IOException;

        @Override
        public void received(Connection on, ByteBuffer bytes) {
            if (held.remaining() < bytes.remaining()) {
                int need = held.position() + bytes.remaining();
                held = ByteBuffer.allocate(Math.max(need, 2 * held.capacity())).put(held.flip());
            }
            held.put(bytes).flip();
            try {
                while (held.remaining() >= 5) {
                    int length = held.getInt(held.position());
                    if (length < 1 || length > MOST_FRAME) {
                        throw new IOException("a frame of " + length + " bytes");
                    }
                    if (held.remaining() < 4 + length) {
                        break;
                    }
                    held.getInt();
                    byte type = held.get();
                    byte[] body = new byte[length - 1];
                    held.get(body);
                    frame(on, type, body);
                }
                held.compact();
            } catch (IOException bad) {
                Log.warn("peer.malformed", "why", bad.getMessage());
                held.clear();
                on.reset();
            }
        }

        @Override
        public void inputEnded(Connection on) {
            on.close();
        }
    }

    /** A connection that a peer keeps to here. */
    private final class Inbound extends Frames {
        private String from;
        private boolean refused;

        @Override
        void frame(Connection on, byte type, byte[] body) throws IOException {
            if (refused) {
                return; // it cannot have heard it yet
            }
            if (from == null) {
                if (type != HELLO) {
                    throw new IOException("a peer that does not say who it is");
                }
                Hello who = GroupCodec.cborMapper().readValue(body, Hello.class);
                if (who == null
                        || who.from() == null
                        || who.disk() == null
                        || who.peers() == null
                        || who.clients() == null) {
                    throw new IOException("a peer that says half of who it is");
                }
                String why = events.hello(who);
                if (why != null) {
                    refused = true;
                    Log.warn("peer.refused", "peer", who.from(), "why", why);
                    on.write(PeerLinks.frame(REFUSED, why.getBytes(StandardCharsets.UTF_8)));
                    on.close();
                    return;
                }
                from = who.from();
                return;
            }
            switch (type) {
                case RAFT -> events.message(from, body);
                case HEARTBEAT -> {
                    Heartbeat heartbeat = GroupCodec.cborMapper().readValue(body, Heartbeat.class);
                    if (heartbeat == null) {
                        throw new IOException("a beat that says nothing");
                    }
                    events.heartbeat(from, heartbeat);
                }
                default -> throw new IOException("a frame of type " + type);
            }
        }

        @Override
        public void closed(Connection on, Connection.Cause why) {
            Log.info("peer.gone", "peer", from == null ? "nobody" : from, "why", why);
        }
    }

    /** The connection kept to a peer. */
    private final class Link extends Frames implements saltstage.net.Transport.ConnectListener {
        private final String peer;
        private Connection connection;
        private long pause = LEAST_PAUSE_MS;
        private boolean over;
        private volatile boolean up;

        Link(String peer) {
            this.peer = peer;
        }

        void connect() {
            if (over || ended) {
                return;
            }
            InetSocketAddress at = address();
            if (at == null) {
                later();
            } else {
                transport.connect(loop, at, CONNECT, BOUNDS, this);
            }
        }

        /**
         * Null where it is not known, or not readable: the group may be told of another at any
         * time.
         */
        private InetSocketAddress address() {
            try {
                return addresses.apply(peer);
            } catch (RuntimeException unreadable) {
                Log.warn("peer.address", "peer", peer, "why", unreadable.getMessage());
                return null;
            }
        }

        private void later() {
            long drawn = pause / 2 + ThreadLocalRandom.current().nextLong(pause / 2 + 1);
            pause = Math.min(MOST_PAUSE_MS, pause * 2);
            loop.schedule(Duration.ofMillis(drawn), this::connect);
        }

        @Override
        public ConnectionHandler connected(Connection made) {
            if (over) {
                made.reset();
                return this;
            }
            connection = made;
            pause = LEAST_PAUSE_MS;
            made.write(PeerLinks.frame(HELLO, GroupCodec.toCbor(self)));
            made.write(PeerLinks.frame(HEARTBEAT, GroupCodec.toCbor(heartbeat.get())));
            up = true;
            return this;
        }

        @Override
        public void failed(IOException why) {
            later();
        }

        void send(byte type, byte[] body) {
            if (connection != null && connection.unsentBytes() < MOST_UNSENT) {
                connection.write(PeerLinks.frame(type, body));
            }
        }

        @Override
        void frame(Connection on, byte type, byte[] body) throws IOException {
            if (type != REFUSED) {
                throw new IOException("a frame of type " + type + " on a link that only sends");
            }
            pause = MOST_PAUSE_MS;
            events.refused(peer, new String(body, StandardCharsets.UTF_8));
        }

        @Override
        public void closed(Connection on, Connection.Cause why) {
            up = false;
            connection = null;
            if (!over && !ended) {
                later();
            }
        }

        void end() {
            over = true;
            if (connection != null) {
                connection.close();
            }
        }
    }

    /** How the links stand, by peer. */
    Map<String, Boolean> up() {
        Map<String, Boolean> now = new HashMap<>();
        links.forEach((name, link) -> now.put(name, link.up));
        return now;
    }
}

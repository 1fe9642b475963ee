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
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration HEARTBEAT_PERIOD = Duration.ofMillis(500);
    private static final long MIN_RECONNECT_DELAY_MS = 50;
    private static final long MAX_RECONNECT_DELAY_MS = 800;
    private static final int MAX_FRAME_BYTES = 16 << 20;

    /**
     * Half of a gathered snapshot part and many entries: beyond that a peer is too slow to be fed
     * further.
     */
    private static final long MAX_UNSENT_BYTES = 24 << 20;

    private static final Connection.WriteLimits WRITE_LIMITS =
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
    interface PeerListener {
        /** Somebody is there; null: welcome, else why not. */
        String helloReceived(Hello who);

        /** A message of the engine's. */
        void messageReceived(String from, byte[] bytes) throws IOException;

        /** A sign of life. */
        void heartbeatReceived(String from, Heartbeat heartbeat);

        /** A peer refuses this replica. */
        void refusedByPeer(String by, String why);
    }

    private final saltstage.net.Transport transport;
    private final Loop loop;
    private final RaftCodec codec;
    private final Hello self;
    private final PeerListener peerListener;
    private final java.util.function.Function<String, InetSocketAddress> addressResolver;
    private final java.util.function.Supplier<Heartbeat> heartbeatSupplier;
    private final Map<String, OutboundLink> links = new ConcurrentHashMap<>();
    private saltstage.net.Transport.Listener listener;
    private volatile boolean stopped;

    PeerLinks(
            saltstage.net.Transport transport,
            RaftCodec codec,
            Hello self,
            PeerListener events,
            java.util.function.Function<String, InetSocketAddress> addresses,
            java.util.function.Supplier<Heartbeat> heartbeat) {
        this.transport = transport;
        this.codec = codec;
        this.self = self;
        this.peerListener = events;
        this.addressResolver = addresses;
        this.heartbeatSupplier = heartbeat;
        loop = transport.loops().get(0);
    }

    void listen(InetSocketAddress at) throws IOException {
        listener = transport.listen(at, 64, WRITE_LIMITS, connection -> new InboundLink());
        loop.schedule(HEARTBEAT_PERIOD, this::sendHeartbeats);
    }

    void stop() {
        stopped = true;
        if (listener != null) {
            listener.close();
        }
        loop.execute(() -> links.values().forEach(OutboundLink::close));
    }

    private void sendHeartbeats() {
        if (stopped) {
            return;
        }
        byte[] now = GroupCodec.toCbor(heartbeatSupplier.get());
        links.values().forEach(link -> link.send(HEARTBEAT, now));
        loop.schedule(HEARTBEAT_PERIOD, this::sendHeartbeats);
    }

    /** Keeps a link to a peer from now on. */
    void ensureLink(String peer) {
        if (!stopped && !peer.equals(self.from())) {
            links.computeIfAbsent(
                    peer,
                    name -> {
                        OutboundLink link = new OutboundLink(name);
                        loop.execute(link::connect);
                        return link;
                    });
        }
    }

    /** Keeps no link to those that are not among these. */
    void updateLinks(java.util.Collection<String> peers) {
        for (String name : Map.copyOf(links).keySet()) {
            if (!peers.contains(name)) {
                OutboundLink gone = links.remove(name);
                loop.execute(gone::close);
            }
        }
        peers.forEach(this::ensureLink);
    }

    @Override
    public void send(RaftEndpoint target, RaftMessage message) {
        String name = (String) target.getId();
        ensureLink(name);
        byte[] bytes = codec.encode(message);
        loop.execute(
                () -> {
                    OutboundLink link = links.get(name);
                    if (link != null) {
                        link.send(RAFT, bytes);
                    }
                });
    }

    @Override
    public boolean isReachable(RaftEndpoint endpoint) {
        OutboundLink link = links.get((String) endpoint.getId());
        return link != null && link.connected;
    }

    private static ByteBuffer encodeFrame(byte type, byte[] body) {
        return ByteBuffer.allocate(5 + body.length)
                .putInt(1 + body.length)
                .put(type)
                .put(body)
                .flip();
    }

    /** Reads frames; what is none ends the connection. */
    private abstract static class FrameReader implements ConnectionHandler {
        private ByteBuffer inputBuffer = ByteBuffer.allocate(64 << 10);

        abstract void frameReceived(Connection on, byte type, byte[] body) throws IOException;

        @Override
        public void received(Connection on, ByteBuffer bytes) {
            if (inputBuffer.remaining() < bytes.remaining()) {
                int need = inputBuffer.position() + bytes.remaining();
                inputBuffer =
                        ByteBuffer.allocate(Math.max(need, 2 * inputBuffer.capacity()))
                                .put(inputBuffer.flip());
            }
            inputBuffer.put(bytes).flip();
            try {
                while (inputBuffer.remaining() >= 5) {
                    int length = inputBuffer.getInt(inputBuffer.position());
                    if (length < 1 || length > MAX_FRAME_BYTES) {
                        throw new IOException("a frame of " + length + " bytes");
                    }
                    if (inputBuffer.remaining() < 4 + length) {
                        break;
                    }
                    inputBuffer.getInt();
                    byte type = inputBuffer.get();
                    byte[] body = new byte[length - 1];
                    inputBuffer.get(body);
                    frameReceived(on, type, body);
                }
                inputBuffer.compact();
            } catch (IOException bad) {
                Log.warn("peer.malformed", "why", bad.getMessage());
                inputBuffer.clear();
                on.reset();
            }
        }

        @Override
        public void inputEnded(Connection on) {
            on.close();
        }
    }

    /** A connection that a peer keeps to here. */
    private final class InboundLink extends FrameReader {
        private String from;
        private boolean refused;

        @Override
        void frameReceived(Connection on, byte type, byte[] body) throws IOException {
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
                String why = peerListener.helloReceived(who);
                if (why != null) {
                    refused = true;
                    Log.warn("peer.refused", "peer", who.from(), "why", why);
                    on.write(PeerLinks.encodeFrame(REFUSED, why.getBytes(StandardCharsets.UTF_8)));
                    on.close();
                    return;
                }
                from = who.from();
                return;
            }
            switch (type) {
                case RAFT -> peerListener.messageReceived(from, body);
                case HEARTBEAT -> {
                    Heartbeat heartbeat = GroupCodec.cborMapper().readValue(body, Heartbeat.class);
                    if (heartbeat == null) {
                        throw new IOException("a beat that says nothing");
                    }
                    peerListener.heartbeatReceived(from, heartbeat);
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
    private final class OutboundLink extends FrameReader
            implements saltstage.net.Transport.ConnectListener {
        private final String peer;
        private Connection connection;
        private long reconnectDelayMs = MIN_RECONNECT_DELAY_MS;
        private boolean closed;
        private volatile boolean connected;

        OutboundLink(String peer) {
            this.peer = peer;
        }

        void connect() {
            if (closed || stopped) {
                return;
            }
            InetSocketAddress at = resolveAddress();
            if (at == null) {
                scheduleReconnect();
            } else {
                transport.connect(loop, at, CONNECT_TIMEOUT, WRITE_LIMITS, this);
            }
        }

        /**
         * Null where it is not known, or not readable: the group may be told of another at any
         * time.
         */
        private InetSocketAddress resolveAddress() {
            try {
                return addressResolver.apply(peer);
            } catch (RuntimeException unreadable) {
                Log.warn("peer.address", "peer", peer, "why", unreadable.getMessage());
                return null;
            }
        }

        private void scheduleReconnect() {
            long drawn =
                    reconnectDelayMs / 2
                            + ThreadLocalRandom.current().nextLong(reconnectDelayMs / 2 + 1);
            reconnectDelayMs = Math.min(MAX_RECONNECT_DELAY_MS, reconnectDelayMs * 2);
            loop.schedule(Duration.ofMillis(drawn), this::connect);
        }

        @Override
        public ConnectionHandler connected(Connection made) {
            if (closed) {
                made.reset();
                return this;
            }
            connection = made;
            reconnectDelayMs = MIN_RECONNECT_DELAY_MS;
            made.write(PeerLinks.encodeFrame(HELLO, GroupCodec.toCbor(self)));
            made.write(
                    PeerLinks.encodeFrame(HEARTBEAT, GroupCodec.toCbor(heartbeatSupplier.get())));
            connected = true;
            return this;
        }

        @Override
        public void failed(IOException why) {
            scheduleReconnect();
        }

        void send(byte type, byte[] body) {
            if (connection != null && connection.unsentBytes() < MAX_UNSENT_BYTES) {
                connection.write(PeerLinks.encodeFrame(type, body));
            }
        }

        @Override
        void frameReceived(Connection on, byte type, byte[] body) throws IOException {
            if (type != REFUSED) {
                throw new IOException("a frame of type " + type + " on a link that only sends");
            }
            reconnectDelayMs = MAX_RECONNECT_DELAY_MS;
            peerListener.refusedByPeer(peer, new String(body, StandardCharsets.UTF_8));
        }

        @Override
        public void closed(Connection on, Connection.Cause why) {
            connected = false;
            connection = null;
            if (!closed && !stopped) {
                scheduleReconnect();
            }
        }

        void close() {
            closed = true;
            if (connection != null) {
                connection.close();
            }
        }
    }

    /** How the links stand, by peer. */
    Map<String, Boolean> linkStates() {
        Map<String, Boolean> now = new HashMap<>();
        links.forEach((name, link) -> now.put(name, link.connected));
        return now;
    }
}

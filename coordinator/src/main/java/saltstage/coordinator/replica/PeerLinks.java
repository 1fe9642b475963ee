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
 * The connections between replicas. Each replica keeps one connection to each peer and only sends
 * on it. A connection begins with a hello that identifies the sender; a sender that belongs to
 * another group, or has a known name but another disk, receives the reason and is refused. A
 * message that cannot be sent is dropped, because the engine sends it again.
 */
final class PeerLinks implements Transport {
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration HEARTBEAT_PERIOD = Duration.ofMillis(500);
    private static final long MIN_RECONNECT_DELAY_MS = 50;
    private static final long MAX_RECONNECT_DELAY_MS = 800;
    private static final int MAX_FRAME_BYTES = 16 << 20;

    /**
     * Messages to a peer with more unsent bytes than this are dropped, because the peer is too
     * slow. The limit leaves room for half of a collected snapshot part and many log entries.
     */
    private static final long MAX_UNSENT_BYTES = 24 << 20;

    private static final Connection.WriteLimits WRITE_LIMITS =
            new Connection.WriteLimits(1 << 20, 64 << 20);

    private static final byte HELLO = 1;
    private static final byte RAFT = 2;
    private static final byte HEARTBEAT = 3;
    private static final byte REFUSED = 4;

    /**
     * The first frame on a connection; identifies the sender. The component names are part of the
     * wire format.
     *
     * @param process identifies the run of the sender's process
     * @param speaks the highest feature level that the sender supports
     * @param peers the sender's address for other replicas
     * @param clients the sender's address for clients
     */
    record Hello(
            String group,
            String from,
            String disk,
            String process,
            int speaks,
            String peers,
            String clients) {}

    /**
     * The sender's wall clock and the highest feature level that it supports. The component names
     * are part of the wire format.
     */
    record Heartbeat(long wallMs, int speaks) {}

    /** Receives the frames that peers send. */
    interface PeerListener {
        /** A peer has connected; returns null to admit it, otherwise the reason for the refusal. */
        String helloReceived(Hello hello);

        /** A peer has sent an encoded message of the consensus engine. */
        void messageReceived(String from, byte[] bytes) throws IOException;

        /** A peer has sent a heartbeat. */
        void heartbeatReceived(String from, Heartbeat heartbeat);

        /** A peer has refused the connection of this replica. */
        void refusedByPeer(String peer, String reason);
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
            PeerListener peerListener,
            java.util.function.Function<String, InetSocketAddress> addressResolver,
            java.util.function.Supplier<Heartbeat> heartbeatSupplier) {
        this.transport = transport;
        this.codec = codec;
        this.self = self;
        this.peerListener = peerListener;
        this.addressResolver = addressResolver;
        this.heartbeatSupplier = heartbeatSupplier;
        loop = transport.loops().get(0);
    }

    /** Listens for peers and starts to send heartbeats. */
    void listen(InetSocketAddress address) throws IOException {
        listener = transport.listen(address, 64, WRITE_LIMITS, connection -> new InboundLink());
        loop.schedule(HEARTBEAT_PERIOD, this::sendHeartbeats);
    }

    /** Stops listening and closes all links. */
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
        byte[] heartbeat = GroupCodec.toCbor(heartbeatSupplier.get());
        links.values().forEach(link -> link.send(HEARTBEAT, heartbeat));
        loop.schedule(HEARTBEAT_PERIOD, this::sendHeartbeats);
    }

    /** Starts to keep a link to a peer if there is none. */
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

    /** Keeps links to exactly these peers and closes all others. */
    void updateLinks(java.util.Collection<String> peers) {
        for (String name : Map.copyOf(links).keySet()) {
            if (!peers.contains(name)) {
                OutboundLink link = links.remove(name);
                loop.execute(link::close);
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

    /** Splits the input into frames; a malformed one resets the connection. */
    private abstract static class FrameReader implements ConnectionHandler {
        private ByteBuffer inputBuffer = ByteBuffer.allocate(64 << 10);

        abstract void frameReceived(Connection connection, byte type, byte[] body)
                throws IOException;

        @Override
        public void received(Connection connection, ByteBuffer bytes) {
            if (inputBuffer.remaining() < bytes.remaining()) {
                int required = inputBuffer.position() + bytes.remaining();
                inputBuffer =
                        ByteBuffer.allocate(Math.max(required, 2 * inputBuffer.capacity()))
                                .put(inputBuffer.flip());
            }
            inputBuffer.put(bytes).flip();
            try {
                while (inputBuffer.remaining() >= 5) {
                    int length = inputBuffer.getInt(inputBuffer.position());
                    if (length < 1 || length > MAX_FRAME_BYTES) {
                        throw new IOException("invalid frame length: " + length + " bytes");
                    }
                    if (inputBuffer.remaining() < 4 + length) {
                        break;
                    }
                    inputBuffer.getInt();
                    byte type = inputBuffer.get();
                    byte[] body = new byte[length - 1];
                    inputBuffer.get(body);
                    frameReceived(connection, type, body);
                }
                inputBuffer.compact();
            } catch (IOException malformed) {
                Log.warn("peer.malformed", "why", malformed.getMessage());
                inputBuffer.clear();
                connection.reset();
            }
        }

        @Override
        public void inputEnded(Connection connection) {
            connection.close();
        }
    }

    /** A connection that a peer keeps to this replica. */
    private final class InboundLink extends FrameReader {
        private String from;
        private boolean refused;

        @Override
        void frameReceived(Connection connection, byte type, byte[] body) throws IOException {
            if (refused) {
                return; // the refusal has not reached the peer yet
            }
            if (from == null) {
                if (type != HELLO) {
                    throw new IOException("the first frame is not a hello");
                }
                Hello hello = GroupCodec.cborMapper().readValue(body, Hello.class);
                if (hello == null
                        || hello.from() == null
                        || hello.disk() == null
                        || hello.peers() == null
                        || hello.clients() == null) {
                    throw new IOException("the hello is incomplete");
                }
                String refusal = peerListener.helloReceived(hello);
                if (refusal != null) {
                    refused = true;
                    Log.warn("peer.refused", "peer", hello.from(), "why", refusal);
                    connection.write(
                            PeerLinks.encodeFrame(
                                    REFUSED, refusal.getBytes(StandardCharsets.UTF_8)));
                    connection.close();
                    return;
                }
                from = hello.from();
                return;
            }
            switch (type) {
                case RAFT -> peerListener.messageReceived(from, body);
                case HEARTBEAT -> {
                    Heartbeat heartbeat = GroupCodec.cborMapper().readValue(body, Heartbeat.class);
                    if (heartbeat == null) {
                        throw new IOException("the heartbeat is empty");
                    }
                    peerListener.heartbeatReceived(from, heartbeat);
                }
                default -> throw new IOException("unexpected frame type " + type);
            }
        }

        @Override
        public void closed(Connection connection, Connection.Cause cause) {
            Log.info("peer.gone", "peer", from == null ? "nobody" : from, "why", cause);
        }
    }

    /** The connection that this replica keeps to a peer. */
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
            InetSocketAddress address = resolveAddress();
            if (address == null) {
                scheduleReconnect();
            } else {
                transport.connect(loop, address, CONNECT_TIMEOUT, WRITE_LIMITS, this);
            }
        }

        /**
         * The peer's address; null if it is unknown or unreadable, as the group may learn another
         * address at any time.
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
            long delayMs =
                    reconnectDelayMs / 2
                            + ThreadLocalRandom.current().nextLong(reconnectDelayMs / 2 + 1);
            reconnectDelayMs = Math.min(MAX_RECONNECT_DELAY_MS, reconnectDelayMs * 2);
            loop.schedule(Duration.ofMillis(delayMs), this::connect);
        }

        @Override
        public ConnectionHandler connected(Connection newConnection) {
            if (closed) {
                newConnection.reset();
                return this;
            }
            connection = newConnection;
            reconnectDelayMs = MIN_RECONNECT_DELAY_MS;
            newConnection.write(PeerLinks.encodeFrame(HELLO, GroupCodec.toCbor(self)));
            newConnection.write(
                    PeerLinks.encodeFrame(HEARTBEAT, GroupCodec.toCbor(heartbeatSupplier.get())));
            connected = true;
            return this;
        }

        @Override
        public void failed(IOException cause) {
            scheduleReconnect();
        }

        void send(byte type, byte[] body) {
            if (connection != null && connection.unsentBytes() < MAX_UNSENT_BYTES) {
                connection.write(PeerLinks.encodeFrame(type, body));
            }
        }

        @Override
        void frameReceived(Connection source, byte type, byte[] body) throws IOException {
            if (type != REFUSED) {
                throw new IOException("unexpected frame type " + type + " on an outbound link");
            }
            reconnectDelayMs = MAX_RECONNECT_DELAY_MS;
            peerListener.refusedByPeer(peer, new String(body, StandardCharsets.UTF_8));
        }

        @Override
        public void closed(Connection source, Connection.Cause cause) {
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

    /** Whether the link to each peer is connected, by the peer's name. */
    Map<String, Boolean> linkStates() {
        Map<String, Boolean> states = new HashMap<>();
        links.forEach((name, link) -> states.put(name, link.connected));
        return states;
    }
}

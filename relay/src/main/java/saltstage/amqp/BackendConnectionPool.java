package saltstage.amqp;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import saltstage.net.Connection;
import saltstage.net.ConnectionHandler;
import saltstage.net.Loop;
import saltstage.net.Transport;
import saltstage.session.Backend;

/**
 * The AMQP connections of one loop to the backends. Many links share a connection, each on its own
 * session or on one shared with links of the same client session. Used on that loop only.
 */
final class BackendConnectionPool {
    /** From the first limit of unsent bytes on, the links of a connection stop sending. */
    private static final Connection.WriteLimits WRITE_LIMITS =
            new Connection.WriteLimits(256 << 10, 64 << 20);

    private static final int MAX_LINKS_PER_CONNECTION = 2_000;

    private final AmqpFrontend frontend;
    private final Transport transport;
    private final Loop loop;
    private final Map<Backend, List<AmqpBackendConnection>> connections = new HashMap<>();
    private final Map<Backend, PendingConnect> pendingConnects = new HashMap<>();

    BackendConnectionPool(AmqpFrontend front, Transport transport, Loop loop) {
        this.frontend = front;
        this.transport = transport;
        this.loop = loop;
    }

    /** Attaches the link over a connection that has room, or starts a new connection for it. */
    void attach(BackendLink link, Duration connectWithin) {
        Backend peer = link.backend();
        for (AmqpBackendConnection held : connections.getOrDefault(peer, List.of())) {
            if (!held.isClosed() && held.linkCount() < MAX_LINKS_PER_CONNECTION) {
                held.attach(link);
                return;
            }
        }
        PendingConnect waiting = pendingConnects.get(peer);
        if (waiting != null && waiting.links.size() < MAX_LINKS_PER_CONNECTION) {
            waiting.links.add(link); // a burst of links shares one pending connection
            return;
        }
        waiting = new PendingConnect(peer);
        waiting.links.add(link);
        pendingConnects.put(peer, waiting);
        transport.connect(loop, addressOf(peer), connectWithin, WRITE_LIMITS, waiting);
    }

    private InetSocketAddress addressOf(Backend peer) {
        InetSocketAddress told = peer.entry().endpoint();
        int port = frontend.settings().backendPort();
        return port == 0 ? told : new InetSocketAddress(told.getAddress(), port);
    }

    /** Removes a connection that has ended. */
    void removeConnection(AmqpBackendConnection peering) {
        List<AmqpBackendConnection> all = connections.get(peering.backend());
        if (all != null) {
            all.remove(peering);
            if (all.isEmpty()) {
                connections.remove(peering.backend());
            }
        }
    }

    /** Closes the connections that are idle or whose backend takes no requests any more. */
    void closeIdleConnections() {
        for (List<AmqpBackendConnection> all : List.copyOf(connections.values())) {
            List.copyOf(all).forEach(AmqpBackendConnection::closeIfIdle);
        }
    }

    /** Returns the number of established connections. */
    int connectionCount() {
        return connections.values().stream().mapToInt(List::size).sum();
    }

    /** A connection that is being established, and the links that wait for it. */
    private final class PendingConnect implements Transport.ConnectListener {
        private final Backend backend;
        private final List<BackendLink> links = new ArrayList<>();

        PendingConnect(Backend peer) {
            this.backend = peer;
        }

        @Override
        public ConnectionHandler connected(Connection connection) {
            AmqpBackendConnection up =
                    new AmqpBackendConnection(
                            frontend, BackendConnectionPool.this, backend, connection);
            pendingConnects.remove(backend, this);
            connections.computeIfAbsent(backend, any -> new ArrayList<>()).add(up);
            up.open();
            links.forEach(up::attach);
            return up;
        }

        @Override
        public void failed(IOException why) {
            pendingConnects.remove(backend, this);
            links.forEach(BackendLink::connectFailed);
        }
    }
}

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
            new Connection.WriteLimits(256 << 10, 4 << 20);

    private static final int MAX_LINKS_PER_CONNECTION = 2_000;

    private final AmqpFrontend frontend;
    private final Transport transport;
    private final Loop loop;
    private final Map<Backend, List<AmqpBackendConnection>> connections = new HashMap<>();
    private final Map<Backend, PendingConnect> pendingConnects = new HashMap<>();

    BackendConnectionPool(AmqpFrontend frontend, Transport transport, Loop loop) {
        this.frontend = frontend;
        this.transport = transport;
        this.loop = loop;
    }

    /** Attaches the link over a connection that has room, or starts a new connection for it. */
    void attach(BackendLink link, Duration timeout) {
        Backend backend = link.backend();
        for (AmqpBackendConnection established : connections.getOrDefault(backend, List.of())) {
            if (!established.isClosed() && established.linkCount() < MAX_LINKS_PER_CONNECTION) {
                established.attach(link);
                return;
            }
        }
        PendingConnect pending = pendingConnects.get(backend);
        if (pending != null && pending.links.size() < MAX_LINKS_PER_CONNECTION) {
            pending.links.add(link); // a burst of links shares one pending connection
            return;
        }
        pending = new PendingConnect(backend);
        pending.links.add(link);
        pendingConnects.put(backend, pending);
        transport.connect(loop, addressOf(backend), timeout, WRITE_LIMITS, pending);
    }

    private InetSocketAddress addressOf(Backend backend) {
        InetSocketAddress endpoint = backend.entry().endpoint();
        int port = frontend.settings().backendPort();
        return port == 0 ? endpoint : new InetSocketAddress(endpoint.getAddress(), port);
    }

    /** Removes a connection that has ended. */
    void removeConnection(AmqpBackendConnection connection) {
        List<AmqpBackendConnection> backendConnections = connections.get(connection.backend());
        if (backendConnections != null) {
            backendConnections.remove(connection);
            if (backendConnections.isEmpty()) {
                connections.remove(connection.backend());
            }
        }
    }

    /** Closes the connections that are idle or whose backend takes no requests any more. */
    void closeIdleConnections() {
        for (List<AmqpBackendConnection> backendConnections : List.copyOf(connections.values())) {
            List.copyOf(backendConnections).forEach(AmqpBackendConnection::closeIfIdle);
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

        PendingConnect(Backend backend) {
            this.backend = backend;
        }

        @Override
        public ConnectionHandler connected(Connection connection) {
            AmqpBackendConnection amqpConnection =
                    new AmqpBackendConnection(
                            frontend, BackendConnectionPool.this, backend, connection);
            pendingConnects.remove(backend, this);
            connections.computeIfAbsent(backend, key -> new ArrayList<>()).add(amqpConnection);
            amqpConnection.open();
            links.forEach(amqpConnection::attach);
            return amqpConnection;
        }

        @Override
        public void failed(IOException cause) {
            pendingConnects.remove(backend, this);
            links.forEach(BackendLink::connectFailed);
        }
    }
}

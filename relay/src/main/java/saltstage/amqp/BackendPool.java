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
 * The connections of one loop to the backends: links share them, a session each; on that loop only.
 */
final class BackendPool {
    /** What is unsent to a backend holds its links up from the first figure on. */
    private static final Connection.WriteLimits BOUNDS =
            new Connection.WriteLimits(256 << 10, 64 << 20);

    private static final int MOST_LINKS = 2_000;

    private final AmqpFront front;
    private final Transport transport;
    private final Loop loop;
    private final Map<Backend, List<BackendPeering>> open = new HashMap<>();
    private final Map<Backend, Waiting> connecting = new HashMap<>();

    BackendPool(AmqpFront front, Transport transport, Loop loop) {
        this.front = front;
        this.transport = transport;
        this.loop = loop;
    }

    /** Begins to connect, or takes a connection that has room, and hands it the link. */
    void attach(BackendLink link, Duration connectWithin) {
        Backend peer = link.peer();
        for (BackendPeering held : open.getOrDefault(peer, List.of())) {
            if (!held.over() && held.size() < MOST_LINKS) {
                held.attach(link);
                return;
            }
        }
        Waiting waiting = connecting.get(peer);
        if (waiting != null && waiting.links.size() < MOST_LINKS) {
            waiting.links.add(link); // a crowd that comes while one connects does not open one each
            return;
        }
        waiting = new Waiting(peer);
        waiting.links.add(link);
        connecting.put(peer, waiting);
        transport.connect(loop, address(peer), connectWithin, BOUNDS, waiting);
    }

    private InetSocketAddress address(Backend peer) {
        InetSocketAddress told = peer.entry().endpoint();
        int port = front.settings().backendPort();
        return port == 0 ? told : new InetSocketAddress(told.getAddress(), port);
    }

    /** It has ended. */
    void ended(BackendPeering peering) {
        List<BackendPeering> all = open.get(peering.peer());
        if (all != null) {
            all.remove(peering);
            if (all.isEmpty()) {
                open.remove(peering.peer());
            }
        }
    }

    /** Ends what is idle: no link for a while, or a backend that has left. */
    void sweep() {
        for (List<BackendPeering> all : List.copyOf(open.values())) {
            List.copyOf(all).forEach(BackendPeering::closeIfIdle);
        }
    }

    /** How many connections there are. */
    int size() {
        return open.values().stream().mapToInt(List::size).sum();
    }

    /** A connect that is on its way. */
    private final class Waiting implements Transport.ConnectListener {
        private final Backend peer;
        private final List<BackendLink> links = new ArrayList<>();

        Waiting(Backend peer) {
            this.peer = peer;
        }

        @Override
        public ConnectionHandler connected(Connection connection) {
            BackendPeering up = new BackendPeering(front, BackendPool.this, peer, connection);
            connecting.remove(peer, this);
            open.computeIfAbsent(peer, any -> new ArrayList<>()).add(up);
            up.begin();
            links.forEach(up::attach);
            return up;
        }

        @Override
        public void failed(IOException why) {
            connecting.remove(peer, this);
            links.forEach(BackendLink::unreachable);
        }
    }
}

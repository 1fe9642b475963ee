package saltstage.coordinator.replica;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.function.Function;
import org.junit.jupiter.api.Test;
import saltstage.net.Connection;
import saltstage.net.Loop;
import saltstage.net.Transport;

/** When a link tries to connect; the test runs what is due. */
class PeerLinksTest {
    private static final InetSocketAddress PEER = new InetSocketAddress("127.0.0.1", 7_001);

    private final Queue<Runnable> due = new ArrayDeque<>();
    private final List<InetSocketAddress> connects = new ArrayList<>();

    /** Does things at once; what throws ends alone, as on the loops of the transport in use. */
    private final class ScriptedLoop implements Loop {
        @Override
        public boolean isCurrentThread() {
            return true;
        }

        @Override
        public void execute(Runnable task) {
            try {
                task.run();
            } catch (RuntimeException fault) {
                return;
            }
        }

        @Override
        public Timer schedule(Duration delay, Runnable task) {
            due.add(task);
            return () -> due.remove(task);
        }
    }

    private final class ScriptedTransport implements Transport {
        private final List<Loop> loops = List.of(new ScriptedLoop());

        @Override
        public Listener listen(
                InetSocketAddress at,
                int backlog,
                Connection.WriteLimits bounds,
                Acceptor acceptor) {
            throw new UnsupportedOperationException();
        }

        @Override
        public void connect(
                Loop on,
                InetSocketAddress to,
                Duration limit,
                Connection.WriteLimits bounds,
                ConnectListener connecting) {
            connects.add(to);
        }

        @Override
        public List<Loop> loops() {
            return loops;
        }

        @Override
        public void close() {
            due.clear();
        }
    }

    private PeerLinks links(Function<String, InetSocketAddress> addresses) {
        PeerLinks.Hello self = new PeerLinks.Hello("group", "a", "disk", "process", 1, "", "");
        return new PeerLinks(
                new ScriptedTransport(),
                new RaftCodec("group"),
                self,
                null,
                addresses,
                () -> new PeerLinks.Heartbeat(0, 1));
    }

    @Test
    void peerWhoseAddressCannotBeReadIsLookedUpAgain() {
        List<String> asked = new ArrayList<>();
        PeerLinks links =
                links(
                        peer -> {
                            asked.add(peer);
                            if (asked.size() == 1) {
                                throw new IllegalArgumentException("an address without a port");
                            }
                            return PEER;
                        });
        links.keep("b");
        assertEquals(1, asked.size());
        assertEquals(1, due.size(), "another try is due");
        due.remove().run();
        assertEquals(List.of(PEER), connects);
    }

    @Test
    void peerWhoseAddressIsNotKnownYetIsLookedUpAgain() {
        List<String> asked = new ArrayList<>();
        PeerLinks links =
                links(
                        peer -> {
                            asked.add(peer);
                            return asked.size() == 1 ? null : PEER;
                        });
        links.keep("b");
        due.remove().run();
        assertEquals(List.of(PEER), connects);
    }
}

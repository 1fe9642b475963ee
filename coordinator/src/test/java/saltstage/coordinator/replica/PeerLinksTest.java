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

/**
 * Checks that a link whose peer's address is unreadable or not yet known looks it up again later.
 * The test runs the scheduled tasks itself.
 */
class PeerLinksTest {
    private static final InetSocketAddress PEER_ADDRESS = new InetSocketAddress("127.0.0.1", 7_001);

    private final Queue<Runnable> scheduledTasks = new ArrayDeque<>();
    private final List<InetSocketAddress> connectAttempts = new ArrayList<>();

    /**
     * Runs tasks at once; an exception ends only its own task, as on the loops of the real
     * transport.
     */
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
            scheduledTasks.add(task);
            return () -> scheduledTasks.remove(task);
        }
    }

    private final class ScriptedTransport implements Transport {
        private final List<Loop> loops = List.of(new ScriptedLoop());

        @Override
        public Listener listen(
                InetSocketAddress address,
                int backlog,
                Connection.WriteLimits limits,
                Acceptor acceptor) {
            throw new UnsupportedOperationException();
        }

        @Override
        public void connect(
                Loop loop,
                InetSocketAddress address,
                Duration timeout,
                Connection.WriteLimits limits,
                ConnectListener listener) {
            connectAttempts.add(address);
        }

        @Override
        public List<Loop> loops() {
            return loops;
        }

        @Override
        public void close() {
            scheduledTasks.clear();
        }
    }

    private PeerLinks createLinks(Function<String, InetSocketAddress> addresses) {
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
        List<String> lookups = new ArrayList<>();
        PeerLinks links =
                createLinks(
                        peer -> {
                            lookups.add(peer);
                            if (lookups.size() == 1) {
                                throw new IllegalArgumentException("an address without a port");
                            }
                            return PEER_ADDRESS;
                        });
        links.ensureLink("b");
        assertEquals(1, lookups.size());
        assertEquals(1, scheduledTasks.size(), "another attempt is scheduled");
        scheduledTasks.remove().run();
        assertEquals(List.of(PEER_ADDRESS), connectAttempts);
    }

    @Test
    void peerWhoseAddressIsNotKnownYetIsLookedUpAgain() {
        List<String> lookups = new ArrayList<>();
        PeerLinks links =
                createLinks(
                        peer -> {
                            lookups.add(peer);
                            return lookups.size() == 1 ? null : PEER_ADDRESS;
                        });
        links.ensureLink("b");
        scheduledTasks.remove().run();
        assertEquals(List.of(PEER_ADDRESS), connectAttempts);
    }
}

package saltstage.stage;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import saltstage.memory.Peers;
import saltstage.wire.HostList;

/**
 * The thread of probes: the test decides whether the machine has one, and runs what it would do.
 */
@Timeout(30)
class ProbeTest {
    private static final String UID = "backend-1";

    private final Peers peers = new Peers();
    private final Queue<Boolean> threadsLeft = new ArrayDeque<>();
    private final List<Threads.Work> started = new ArrayList<>();
    private final Probe probe = new Probe(peers, this::start);
    private int attempts;

    private boolean start(String name, Threads.Work work) {
        attempts++;
        boolean left = threadsLeft.remove();
        if (left) {
            started.add(work);
        }
        return left;
    }

    @BeforeEach
    void listBackendThatRefusesConnections() throws Exception {
        InetSocketAddress closed;
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            closed = (InetSocketAddress) socket.getLocalSocketAddress();
        }
        peers.update(
                new HostList(
                        1,
                        true,
                        List.of(
                                new HostList.Entry(
                                        UID,
                                        closed,
                                        "zone",
                                        0,
                                        HostList.State.READY,
                                        1,
                                        Instant.EPOCH))));
    }

    @Test
    void probesWithoutAThreadAreGivenOneAtALaterAsk() {
        threadsLeft.addAll(List.of(false, true));
        probe.ask(UID);
        assertEquals(1, attempts);
        probe.ask(UID);
        assertEquals(
                1, started.size(), "the second ask starts the thread that the first did not get");
        probe.ask(UID);
        assertEquals(2, attempts, "all probes have one thread");
    }

    @Test
    void probesWhoseThreadEndsByAFaultAreGivenAnotherAtTheNextAsk() {
        threadsLeft.addAll(List.of(true, true));
        probe.route(null); // the fault: who is told of the probe's outcome throws
        probe.ask(UID);
        assertThrows(NullPointerException.class, () -> started.get(0).run());
        probe.ask(UID);
        assertEquals(2, started.size(), "the thread that is gone is replaced");
    }
}

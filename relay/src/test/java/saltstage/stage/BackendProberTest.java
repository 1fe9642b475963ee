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
import saltstage.session.BackendRegistry;
import saltstage.wire.BackendList;

/**
 * Guards against probes that stop for good because their thread could not be started or ended by a
 * fault. The test decides whether a thread can be started, and runs its work itself.
 */
@Timeout(30)
class BackendProberTest {
    private static final String UID = "backend-1";

    private final BackendRegistry backends = new BackendRegistry();
    private final Queue<Boolean> threadStartResults = new ArrayDeque<>();
    private final List<Threads.Work> started = new ArrayList<>();
    private final BackendProber prober = new BackendProber(backends, this::start);
    private int startAttempts;

    private boolean start(String name, Threads.Work work) {
        startAttempts++;
        boolean threadAvailable = threadStartResults.remove();
        if (threadAvailable) {
            started.add(work);
        }
        return threadAvailable;
    }

    @BeforeEach
    void listBackendThatRefusesConnections() throws Exception {
        InetSocketAddress closed;
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            closed = (InetSocketAddress) socket.getLocalSocketAddress();
        }
        backends.update(
                new BackendList(
                        1,
                        true,
                        List.of(
                                new BackendList.Entry(
                                        UID,
                                        closed,
                                        "zone",
                                        0,
                                        BackendList.State.READY,
                                        1,
                                        Instant.EPOCH))));
    }

    @Test
    void threadIsStartedOnALaterRequestAfterAFailedStart() {
        threadStartResults.addAll(List.of(false, true));
        prober.requestProbe(UID);
        assertEquals(1, startAttempts);
        prober.requestProbe(UID);
        assertEquals(
                1, started.size(), "the second request starts the thread that the first did not");
        prober.requestProbe(UID);
        assertEquals(2, startAttempts, "all probes share one thread");
    }

    @Test
    void threadIsReplacedOnTheNextRequestAfterAFault() {
        threadStartResults.addAll(List.of(true, true));
        prober.setRouter(null); // the fault: reporting the probe's outcome throws
        prober.requestProbe(UID);
        assertThrows(NullPointerException.class, () -> started.get(0).run());
        prober.requestProbe(UID);
        assertEquals(2, started.size(), "the thread that ended by a fault is replaced");
    }
}

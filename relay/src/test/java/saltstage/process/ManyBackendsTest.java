package saltstage.process;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.Test;
import saltstage.Api;
import saltstage.process.RelayTestEnvironment.TestConnection;

/**
 * Guards against probes of a large fleet that use up the threads and descriptors which connections
 * need: the relay has far more backends than the platform allows threads or descriptors.
 */
public class ManyBackendsTest {
    /** Sixteen times the size of the largest usual fleet. */
    private static final int BACKENDS = 1_440;

    private static final int RESTORED_CONNECTIONS = 100;
    private static final int MAX_THREADS = 512;

    /**
     * The descriptors that the platform allows in addition to the established connections, and two
     * for each of these.
     */
    private static final int MAX_DESCRIPTORS = 1_024 + 2 * RESTORED_CONNECTIONS;

    /** A connection that was open before the start is lost if it is not restored by then. */
    private static final int UP_WITHIN_MS = 40_000;

    private static final int PROBE_START_DELAY_MS = 1_000;

    private static String withProbes(String config) {
        return config.replace(
                "\"Limits\":{",
                "\"Report\":{\"How\":\"probe\",\"Fields\":[\"x0\",\"queue\"]},"
                        + "\"Limits\":{\"Probes\":true,");
    }

    @Test
    public void openConnectionsAreRestoredWithMoreBackendsThanThreadsOrDescriptors()
            throws Exception {
        try (RelayTestEnvironment environment = new RelayTestEnvironment();
                FakeBackendFleet fleet = new FakeBackendFleet(BACKENDS)) {
            environment.platformLimits =
                    new PlatformLimits().maxThreads(MAX_THREADS).maxDescriptors(MAX_DESCRIPTORS);
            environment.startWith(withProbes(environment.config(MAX_DESCRIPTORS, fleet.list(1))));
            Thread.sleep(PROBE_START_DELAY_MS);
            List<TestConnection> clients = new ArrayList<>();
            for (int i = 0; i < RESTORED_CONNECTIONS; i++) {
                clients.add(environment.connectClient());
            }
            for (int i = 0; i < RESTORED_CONNECTIONS; i++) {
                clients.get(i)
                        .sendLine(
                                "OPEN id"
                                        + i
                                        + " 7f3a9c21e0b4d655 c=chat,t=acme,d="
                                        + UP_WITHIN_MS
                                        + ",g=5c0f6e1a,at="
                                        + FakeBackendFleet.uid(
                                                i * BACKENDS / RESTORED_CONNECTIONS));
            }
            for (TestConnection client : clients) {
                client.socket.setSoTimeout(UP_WITHIN_MS);
                assertEquals("UP r1", client.readLine());
            }
            assertEquals("UP r1", environment.sendOpen("new", 5_000).readLine());
            RelayTestEnvironment.await(
                    "backends with connections are probed", () -> fleet.probeCount.get() > 0);
            int probed = fleet.probeConnectionCount.get();
            assertTrue("connections for probes: " + probed, probed <= Api.MAX_PROBED_BACKENDS);
            assertTrue(
                    "the relay calls discovery",
                    environment.discovery.accept(UP_WITHIN_MS) != null);
        }
    }
}

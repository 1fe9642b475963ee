package saltstage.process;

import static org.junit.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.Test;
import saltstage.process.RelayTestEnvironment.TestConnection;

/**
 * Guards against restored connections that find no thread: open connections are restored all at
 * once on a platform whose thread limit is just sufficient for them.
 */
public class RestoreBurstTest {
    private static final int RESTORED_CONNECTIONS = 90;

    /** Two threads for each connection, those of the JVM and the relay itself, and the reserve. */
    private static final int MAX_THREADS = 2 * RESTORED_CONNECTIONS + 70;

    private static final int THREAD_END_MICROS = 30_000;
    private static final int UP_WITHIN_MS = 40_000;

    @Test
    public void threadCapacityCheckTakesNoThreadsFromRestoredConnections() throws Exception {
        try (RelayTestEnvironment environment = new RelayTestEnvironment();
                FakeBackendFleet fleet = new FakeBackendFleet(8)) {
            environment.platformLimits =
                    new PlatformLimits()
                            .maxThreads(MAX_THREADS)
                            .threadEndDelayMicros(THREAD_END_MICROS);
            environment.startWith(environment.config(1_024, fleet.list(1)));
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
                                        + FakeBackendFleet.uid(i % 8));
            }
            for (TestConnection client : clients) {
                client.socket.setSoTimeout(UP_WITHIN_MS);
                assertEquals("UP r1", client.readLine());
            }
        }
    }
}

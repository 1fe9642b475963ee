package saltstage.process;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.Test;
import saltstage.process.RelayTestEnvironment.TestConnection;

/**
 * Guards against a relay that fails at a limit of its platform: when threads or descriptors run
 * out, established connections stay, further requests are rejected, and signals are still handled.
 */
public class PlatformLimitsTest {
    private static final int CLIENTS = 80;
    private static final int IDLE_CLIENTS = 200;
    private static final int DEADLINE_MS = 2_000;
    private static final int RELOAD_WITHIN_MS = 4_000;
    private static final int END_WITHIN_MS = 3_700;

    @Test
    public void requestsBeyondTheThreadLimitAreRejectedAndSignalsAreHandled() throws Exception {
        runUnderLimits(new PlatformLimits().maxThreads(96), 1_024);
    }

    @Test
    public void requestsBeyondTheDescriptorLimitAreRejectedAndSignalsAreHandled() throws Exception {
        runUnderLimits(new PlatformLimits().maxDescriptors(160), 160);
    }

    private static void runUnderLimits(PlatformLimits platform, int sockets) throws Exception {
        List<TestConnection> established = new ArrayList<>();
        List<Socket> idle = new ArrayList<>();
        try (RelayTestEnvironment environment = new RelayTestEnvironment();
                FakeBackendFleet fleet = new FakeBackendFleet(5)) {
            environment.platformLimits = platform;
            String config = environment.config(sockets, fleet.list(1));
            environment.startWith(config);
            for (int i = 0; i < IDLE_CLIENTS; i++) {
                idle.add(new Socket("127.0.0.1", environment.clientPort()));
            }
            int rejected = openRequests(environment, established);
            assertTrue("the limit was reached", rejected > 0);
            assertTrue("established: " + established.size(), established.size() > 10);
            environment.reload(config);
            IdleClientsTest.awaitWithin(
                    RELOAD_WITHIN_MS,
                    "the new configuration is read",
                    () -> environment.hasLogged("reload.done"));
            ProcessSupervisor.signal(environment.process().pid(), "TERM");
            for (TestConnection client : established) {
                assertEquals("MOVE", client.readLine());
            }
            assertTrue(
                    "the relay ends before SIGKILL would come",
                    environment.process().waitFor(END_WITHIN_MS, TimeUnit.MILLISECONDS));
            assertEquals(0, environment.process().exitValue());
        } finally {
            for (Socket socket : idle) {
                socket.close();
            }
        }
    }

    /** Adds the requests that are established to the list; returns how many are rejected. */
    private static int openRequests(
            RelayTestEnvironment environment, List<TestConnection> established) throws Exception {
        int rejected = 0;
        for (int i = 0; i < CLIENTS; i++) {
            TestConnection client = environment.sendOpen("id" + i, DEADLINE_MS);
            client.socket.setSoTimeout(DEADLINE_MS + 500);
            String answer = client.readLine();
            if ("UP r1".equals(answer)) {
                established.add(client);
            } else {
                rejected++;
                assertTrue(
                        "client " + i + ": " + answer, answer != null && answer.startsWith("BUSY"));
            }
        }
        return rejected;
    }
}

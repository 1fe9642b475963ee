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
        List<TestConnection> standing = new ArrayList<>();
        List<Socket> silent = new ArrayList<>();
        try (RelayTestEnvironment world = new RelayTestEnvironment();
                FakeBackendFleet fleet = new FakeBackendFleet(5)) {
            world.platformLimits = platform;
            String config = world.config(sockets, fleet.list(1));
            world.startWith(config);
            for (int i = 0; i < IDLE_CLIENTS; i++) {
                silent.add(new Socket("127.0.0.1", world.clientPort()));
            }
            int busy = openRequests(world, standing);
            assertTrue("the limit was reached", busy > 0);
            assertTrue("established: " + standing.size(), standing.size() > 10);
            world.reload(config);
            IdleClientsTest.awaitWithin(
                    RELOAD_WITHIN_MS,
                    "the new configuration is read",
                    () -> world.hasLogged("reload.done"));
            ProcessSupervisor.signal(world.process().pid(), "TERM");
            for (TestConnection client : standing) {
                assertEquals("MOVE", client.readLine());
            }
            assertTrue(
                    "the relay ends before SIGKILL would come",
                    world.process().waitFor(END_WITHIN_MS, TimeUnit.MILLISECONDS));
            assertEquals(0, world.process().exitValue());
        } finally {
            for (Socket one : silent) {
                one.close();
            }
        }
    }

    /** Adds the requests that are established to the list; returns how many are rejected. */
    private static int openRequests(RelayTestEnvironment world, List<TestConnection> standing)
            throws Exception {
        int busy = 0;
        for (int i = 0; i < CLIENTS; i++) {
            TestConnection client = world.sendOpen("id" + i, DEADLINE_MS);
            client.socket.setSoTimeout(DEADLINE_MS + 500);
            String answer = client.readLine();
            if ("UP r1".equals(answer)) {
                standing.add(client);
            } else {
                busy++;
                assertTrue(
                        "client " + i + ": " + answer, answer != null && answer.startsWith("BUSY"));
            }
        }
        return busy;
    }
}

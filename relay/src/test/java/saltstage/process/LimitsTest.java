package saltstage.process;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.Test;
import saltstage.process.World.Line;

/** Limits of the platform, reached one by one: what was taken is kept, and signals are heard. */
public class LimitsTest {
    private static final int CLIENTS = 80;
    private static final int SILENT = 200;
    private static final int DEADLINE_MS = 2_000;
    private static final int RELOAD_WITHIN_MS = 4_000;
    private static final int END_WITHIN_MS = 3_700;

    @Test
    public void requestsBeyondTheThreadsAreToldToComeAgainAndSignalsAreHeard() throws Exception {
        play(new NarrowPlatform().threads(96), 1_024);
    }

    @Test
    public void requestsBeyondTheDescriptorsAreToldToComeAgainAndSignalsAreHeard() throws Exception {
        play(new NarrowPlatform().descriptors(160), 160);
    }

    private static void play(NarrowPlatform platform, int sockets) throws Exception {
        List<Line> standing = new ArrayList<>();
        List<Socket> silent = new ArrayList<>();
        try (World world = new World(); StandInFleet fleet = new StandInFleet(5)) {
            world.platform = platform;
            String config = world.config(sockets, fleet.list(1));
            world.startWith(config);
            for (int i = 0; i < SILENT; i++) {
                silent.add(new Socket("127.0.0.1", world.clientPort()));
            }
            int busy = 0;
            for (int i = 0; i < CLIENTS; i++) {
                Line client = world.open("id" + i, DEADLINE_MS);
                client.socket.setSoTimeout(DEADLINE_MS + 500);
                String answer = client.hear();
                if ("UP r1".equals(answer)) {
                    standing.add(client);
                } else {
                    busy++;
                    assertTrue("client " + i + ": " + answer, answer != null && answer.startsWith("BUSY"));
                }
            }
            assertTrue("the limit was reached", busy > 0);
            assertTrue("standing: " + standing.size(), standing.size() > 10);
            world.reload(config);
            CrowdTest.awaitWithin(RELOAD_WITHIN_MS, "the new configuration is read",
                () -> world.logged("reload.done"));
            Platform.signal(world.process().pid(), "TERM");
            for (Line client : standing) {
                assertEquals("MOVE", client.hear());
            }
            assertTrue("it ends before SIGKILL would come",
                world.process().waitFor(END_WITHIN_MS, TimeUnit.MILLISECONDS));
            assertEquals(0, world.process().exitValue());
        } finally {
            for (Socket one : silent) {
                one.close();
            }
        }
    }
}

package saltstage.process;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.Test;
import saltstage.process.World.Line;
import saltstage.process.World.Service;

/** Clients that say nothing, as many as come, before a relay that may have few threads. */
public class CrowdTest {
    private static final int THREADS = 96;
    private static final int CROWD = 300;
    private static final int DESCRIPTORS = 1_024;

    /** After SIGHUP a change counts as told so much later. */
    private static final int RELOAD_WITHIN_MS = 4_000;

    /**
     * SIGKILL comes so long after SIGTERM at the earliest: 3 s as the longest deadline, and 0.7 s.
     */
    private static final int END_WITHIN_MS = 3_700;

    /** Comes again whenever it is hung up on. */
    private static final class Crowd implements AutoCloseable {
        private final List<Thread> members = new ArrayList<>();
        private volatile boolean over;

        Crowd(int port) {
            for (int i = 0; i < CROWD; i++) {
                Thread member = new Thread(() -> comeAgain(port));
                member.setDaemon(true);
                member.start();
                members.add(member);
            }
        }

        private void comeAgain(int port) {
            while (!over) {
                try (Socket socket = new Socket("127.0.0.1", port)) {
                    socket.getInputStream().transferTo(java.io.OutputStream.nullOutputStream());
                    Thread.sleep(100);
                } catch (IOException | InterruptedException refused) {
                    Thread.onSpinWait();
                }
            }
        }

        @Override
        public void close() {
            over = true;
        }
    }

    static void awaitWithin(int millis, String what, BooleanSupplier condition)
            throws InterruptedException {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        while (!condition.getAsBoolean()) {
            assertTrue(what + " within " + millis + " ms", System.nanoTime() < until);
            Thread.sleep(10);
        }
    }

    @Test
    public void signalsAreHeardWhileACrowdWouldTakeEveryThread() throws Exception {
        try (World world = new World()) {
            Service backend = world.backend();
            String known = World.list(1, true, World.target("s-1", backend.endpoint(), "ready"));
            world.platform = new NarrowPlatform().threads(THREADS);
            String config = world.config(DESCRIPTORS, known);
            world.startWith(config);
            try (Crowd crowd = new Crowd(world.clientPort())) {
                Thread.sleep(1_000);
                world.reload(config);
                awaitWithin(
                        RELOAD_WITHIN_MS,
                        "the new configuration is read",
                        () -> world.logged("reload.done"));
                Line client = world.open("served", 5_000);
                world.stand(backend, client);
                Platform.signal(world.process().pid(), "TERM");
                assertTrue(
                        "it ends before SIGKILL would come",
                        world.process().waitFor(END_WITHIN_MS, TimeUnit.MILLISECONDS));
                assertEquals(0, world.process().exitValue());
                assertEquals("MOVE", client.hear());
            }
        }
    }
}

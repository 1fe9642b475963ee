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
import saltstage.process.RelayTestEnvironment.TestConnection;
import saltstage.process.RelayTestEnvironment.TestServer;

/**
 * Guards against idle clients that exhaust the threads of a relay: clients that connect and send
 * nothing, again and again, must not prevent the relay from handling signals and requests.
 */
public class IdleClientsTest {
    private static final int MAX_THREADS = 96;
    private static final int IDLE_CLIENTS = 300;
    private static final int MAX_DESCRIPTORS = 1_024;

    /** The time after SIGHUP by which the relay has to use a changed configuration. */
    private static final int RELOAD_WITHIN_MS = 4_000;

    /** The earliest time of SIGKILL after SIGTERM: 3 s for the longest deadline, plus 0.7 s. */
    private static final int END_WITHIN_MS = 3_700;

    /** Clients that send nothing and connect again whenever they are disconnected. */
    private static final class IdleClients implements AutoCloseable {
        private final List<Thread> threads = new ArrayList<>();
        private volatile boolean stopped;

        IdleClients(int port) {
            for (int i = 0; i < IDLE_CLIENTS; i++) {
                Thread thread = new Thread(() -> reconnectRepeatedly(port));
                thread.setDaemon(true);
                thread.start();
                threads.add(thread);
            }
        }

        private void reconnectRepeatedly(int port) {
            while (!stopped) {
                try (Socket socket = new Socket("127.0.0.1", port)) {
                    socket.getInputStream().transferTo(java.io.OutputStream.nullOutputStream());
                    Thread.sleep(100);
                } catch (IOException | InterruptedException disconnected) {
                    Thread.onSpinWait();
                }
            }
        }

        @Override
        public void close() {
            stopped = true;
        }
    }

    static void awaitWithin(int millis, String event, BooleanSupplier condition)
            throws InterruptedException {
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        while (!condition.getAsBoolean()) {
            assertTrue(event + " within " + millis + " ms", System.nanoTime() < deadline);
            Thread.sleep(10);
        }
    }

    @Test
    public void signalsAreHandledWhileIdleClientsCouldExhaustThreads() throws Exception {
        try (RelayTestEnvironment environment = new RelayTestEnvironment()) {
            TestServer backend = environment.startBackend();
            String known =
                    RelayTestEnvironment.backendList(
                            1,
                            true,
                            RelayTestEnvironment.backendEntry("s-1", backend.endpoint(), "ready"));
            environment.platformLimits = new PlatformLimits().maxThreads(MAX_THREADS);
            String config = environment.config(MAX_DESCRIPTORS, known);
            environment.startWith(config);
            try (IdleClients idleClients = new IdleClients(environment.clientPort())) {
                Thread.sleep(1_000);
                environment.reload(config);
                awaitWithin(
                        RELOAD_WITHIN_MS,
                        "the new configuration is read",
                        () -> environment.hasLogged("reload.done"));
                TestConnection client = environment.sendOpen("served", 5_000);
                environment.establish(backend, client);
                ProcessSupervisor.signal(environment.process().pid(), "TERM");
                assertTrue(
                        "the relay ends before SIGKILL would come",
                        environment.process().waitFor(END_WITHIN_MS, TimeUnit.MILLISECONDS));
                assertEquals(0, environment.process().exitValue());
                assertEquals("MOVE", client.readLine());
            }
        }
    }
}

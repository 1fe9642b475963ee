package saltstage.process;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertNull;
import static org.junit.Assert.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.After;
import org.junit.Before;
import org.junit.Test;
import saltstage.process.RelayTestEnvironment.TestConnection;
import saltstage.process.RelayTestEnvironment.TestServer;

/**
 * Answers to operator calls. Guards against connections that are idle, send only part of a line or
 * are too many: they must not delay or change the calls of others.
 */
public class AdminTest {
    private RelayTestEnvironment world;
    private TestServer backend;
    private Path folder;

    @Before
    public void start() throws Exception {
        world = new RelayTestEnvironment();
        backend = world.startBackend();
        world.environmentVariables.put("GW_ADMIN", "127.0.0.1:" + world.adminPort);
        folder = Files.createTempDirectory("saltstage");
        world.environmentVariables.put("TMPDIR", folder.toString());
        world.start(
                RelayTestEnvironment.backendList(
                        1,
                        true,
                        RelayTestEnvironment.backendEntry("s-1", backend.endpoint(), "ready")));
    }

    @After
    public void stop() throws Exception {
        world.close();
        RelayTestEnvironment.deleteRecursively(folder);
    }

    @Test
    public void callsAreAnsweredAndBadOnesGetOneError() throws Exception {
        assertEquals("done ready\n", world.operatorCall("STATUS"));
        for (String bad :
                List.of(
                        "",
                        "status",
                        "SUSPEND",
                        "SUSPEND  ",
                        "SUSPEND a b",
                        "STATUS s-1",
                        "QUIT",
                        "SUSPEND nobody",
                        "RESTORE nobody",
                        "SUSPEND \u0001",
                        "x".repeat(5_000))) {
            String answer = world.operatorCall(bad);
            assertTrue(bad + " got " + answer, answer.matches("error [ -~]+\n"));
        }
    }

    @Test
    public void idleConnectionsDoNotBlockOthers() throws Exception {
        List<TestConnection> rude = new ArrayList<>();
        for (int i = 0; i < 300; i++) {
            rude.add(world.connectOperator(world.adminPort).sendRaw(i % 2 == 0 ? "" : "META"));
            if (i % 20 == 0) {
                long from = System.nanoTime();
                assertEquals("done ready\n", world.operatorCall("STATUS"));
                assertTrue("answered within a second", System.nanoTime() - from < 1_000_000_000L);
            }
        }
        assertNull("the oldest connection is closed", rude.get(0).readLine());
    }

    @Test
    public void lineThatComesInPiecesIsOneCallAndHalfALineIsNone() throws Exception {
        TestConnection slow = world.connectOperator(world.adminPort);
        for (String piece : "STATUS\r\n".split("")) {
            slow.sendRaw(piece);
            Thread.sleep(5);
        }
        assertEquals("done ready", slow.readLine());
        TestConnection half = world.connectOperator(world.adminPort).sendRaw("SUSPEND s-1");
        half.socket.shutdownOutput();
        assertEquals("error no end of line", half.readLine());
        world.establish(backend, world.sendOpen("h1", 20_000)); // s-1 is still in use
    }
}

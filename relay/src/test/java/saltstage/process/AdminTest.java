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
    private RelayTestEnvironment environment;
    private TestServer backend;
    private Path temporaryDirectory;

    @Before
    public void start() throws Exception {
        environment = new RelayTestEnvironment();
        backend = environment.startBackend();
        environment.environmentVariables.put("GW_ADMIN", "127.0.0.1:" + environment.adminPort);
        temporaryDirectory = Files.createTempDirectory("saltstage");
        environment.environmentVariables.put("TMPDIR", temporaryDirectory.toString());
        environment.start(
                RelayTestEnvironment.backendList(
                        1,
                        true,
                        RelayTestEnvironment.backendEntry("s-1", backend.endpoint(), "ready")));
    }

    @After
    public void stop() throws Exception {
        environment.close();
        RelayTestEnvironment.deleteRecursively(temporaryDirectory);
    }

    @Test
    public void callsAreAnsweredAndBadOnesGetOneError() throws Exception {
        assertEquals("done ready\n", environment.operatorCall("STATUS"));
        for (String invalidCall :
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
            String answer = environment.operatorCall(invalidCall);
            assertTrue(invalidCall + " got " + answer, answer.matches("error [ -~]+\n"));
        }
    }

    @Test
    public void idleConnectionsDoNotBlockOthers() throws Exception {
        List<TestConnection> idleConnections = new ArrayList<>();
        for (int i = 0; i < 300; i++) {
            idleConnections.add(
                    environment
                            .connectOperator(environment.adminPort)
                            .sendRaw(i % 2 == 0 ? "" : "META"));
            if (i % 20 == 0) {
                long startNs = System.nanoTime();
                assertEquals("done ready\n", environment.operatorCall("STATUS"));
                assertTrue(
                        "answered within a second", System.nanoTime() - startNs < 1_000_000_000L);
            }
        }
        assertNull("the oldest connection is closed", idleConnections.get(0).readLine());
    }

    @Test
    public void lineThatComesInPiecesIsOneCallAndHalfALineIsNone() throws Exception {
        TestConnection slow = environment.connectOperator(environment.adminPort);
        for (String piece : "STATUS\r\n".split("")) {
            slow.sendRaw(piece);
            Thread.sleep(5);
        }
        assertEquals("done ready", slow.readLine());
        TestConnection partial =
                environment.connectOperator(environment.adminPort).sendRaw("SUSPEND s-1");
        partial.socket.shutdownOutput();
        assertEquals("error no end of line", partial.readLine());
        environment.establish(backend, environment.sendOpen("h1", 20_000)); // s-1 is still in use
    }
}

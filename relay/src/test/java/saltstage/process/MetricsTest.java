package saltstage.process;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import org.junit.After;
import org.junit.Before;
import org.junit.Test;
import saltstage.process.RelayTestEnvironment.TestConnection;
import saltstage.process.RelayTestEnvironment.TestServer;

/**
 * The metrics compared with the connections that the test itself makes as client and as backend.
 * Guards against connections that are counted twice, not at all, or with the wrong result.
 */
public class MetricsTest {
    private RelayTestEnvironment environment;
    private TestServer backend;
    private Path temporaryDirectory;

    @Before
    public void start() throws Exception {
        environment = new RelayTestEnvironment();
        backend = environment.startBackend();
        temporaryDirectory = Files.createTempDirectory("saltstage");
        environment.environmentVariables.put("TMPDIR", temporaryDirectory.toString());
        environment.environmentVariables.put("GW_ADMIN", "127.0.0.1:" + environment.adminPort);
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

    private Map<String, Integer> metrics() {
        try {
            Map<String, Integer> values = new HashMap<>();
            String[] lines = environment.operatorCall("METRICS").split("\n");
            assertEquals("end", lines[lines.length - 1]);
            for (int i = 0; i < lines.length - 1; i++) {
                assertTrue(lines[i], lines[i].matches("app\\.[a-z_.]+:\\d+\\|[cg]"));
                String[] parts = lines[i].split("[:|]");
                values.put(parts[0].substring(4) + parts[2], Integer.parseInt(parts[1]));
            }
            return values;
        } catch (java.io.IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private void assertInitialMetrics() {
        assertEquals(
                Map.of(
                        "handled.chat.passedc",
                        0,
                        "handled.chat.droppedc",
                        0,
                        "handled.chat.bad_gatewayc",
                        0,
                        "upstream_triesc",
                        0,
                        "in_progressg",
                        0,
                        "known_backendsg",
                        1,
                        "skipped_backendsg",
                        0),
                metrics());
    }

    @Test
    public void eachConnectionIsCountedOnceWhereItEndsUp() throws Exception {
        assertInitialMetrics();
        TestConnection established = environment.sendOpen("f1", 20_000);
        TestConnection backendSide = environment.establish(backend, established);
        TestConnection rejected = environment.sendOpen("f2", 20_000);
        TestConnection rejectedBackendSide = backend.accept();
        rejectedBackendSide.readLine();
        assertEquals(2, (int) metrics().get("in_progressg"));
        environment
                .connectClient()
                .sendRaw("rubbish\r\n")
                .readLine(); // without a service class, counted as none of the three results
        TestConnection closed = environment.sendOpen("f3", 20_000);
        TestConnection closedBackendSide = backend.accept();
        closedBackendSide.readLine();
        closed.close();
        closedBackendSide.readLine();
        TestConnection early =
                environment.sendOpen("f4", 20_000); // sends a second line before the answer
        TestConnection earlySide = backend.accept();
        earlySide.readLine();
        early.sendLine("M 1");
        assertTrue(early.readLine().startsWith("ERR"));
        early.close();
        rejectedBackendSide.sendLine("BUSY").close();
        assertTrue(rejected.readLine().startsWith("BUSY"));
        rejected.close();
        RelayTestEnvironment.await(
                "all but one have ended", () -> metrics().get("in_progressg") == 1);
        Map<String, Integer> metrics = metrics();
        assertEquals(1, (int) metrics.get("handled.chat.passedc"));
        assertEquals(1, (int) metrics.get("handled.chat.droppedc"));
        assertEquals(1, (int) metrics.get("handled.chat.bad_gatewayc"));
        assertEquals(4, (int) metrics.get("upstream_triesc"));
        RelayTestEnvironment.await(
                "the failed backend is ejected", () -> metrics().get("skipped_backendsg") == 1);
        backendSide.sendLine("BYE").close();
        assertEquals("BYE", established.readLine());
        established.close();
        RelayTestEnvironment.await(
                "the last connection has ended", () -> metrics().get("in_progressg") == 0);
        assertEquals("an end is no second result", 1, (int) metrics().get("handled.chat.passedc"));
    }

    @Test
    public void operatorCallsFromTheCommandLine() throws Exception {
        assertEquals("0 done ready", runCall("status"));
        assertEquals("1 error never listed: nobody", runCall("suspend", "nobody"));
        assertEquals("0 done suspended", runCall("suspend", "s-1"));
        String json = runCall("metrics", "--json");
        assertTrue(
                json,
                json.startsWith("0 {\"ok\":true,") && json.contains("\"app.skipped_backends\":1"));
        assertEquals("0 done restored", runCall("restore", "s-1"));
        environment.kill();
        assertTrue(
                runCall("status")
                        .startsWith(
                                "3 saltstage: 127.0.0.1:"
                                        + environment.adminPort
                                        + " did not answer"));
    }

    private String runCall(String... arguments) throws Exception {
        String[] command = new String[arguments.length + 3];
        command[0] = "call";
        System.arraycopy(arguments, 0, command, 1, arguments.length);
        command[arguments.length + 1] = "--admin";
        command[arguments.length + 2] = "127.0.0.1:" + environment.adminPort;
        Process process = RelayTestEnvironment.launch(command);
        String output =
                new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8).trim();
        return process.waitFor() + " " + output;
    }
}

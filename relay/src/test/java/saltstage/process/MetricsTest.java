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
    private RelayTestEnvironment world;
    private TestServer backend;
    private Path folder;

    @Before
    public void start() throws Exception {
        world = new RelayTestEnvironment();
        backend = world.startBackend();
        folder = Files.createTempDirectory("saltstage");
        world.environmentVariables.put("TMPDIR", folder.toString());
        world.environmentVariables.put("GW_ADMIN", "127.0.0.1:" + world.adminPort);
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

    private Map<String, Integer> metrics() {
        try {
            Map<String, Integer> all = new HashMap<>();
            String[] lines = world.operatorCall("METRICS").split("\n");
            assertEquals("end", lines[lines.length - 1]);
            for (int i = 0; i < lines.length - 1; i++) {
                assertTrue(lines[i], lines[i].matches("app\\.[a-z_.]+:\\d+\\|[cg]"));
                String[] parts = lines[i].split("[:|]");
                all.put(parts[0].substring(4) + parts[2], Integer.parseInt(parts[1]));
            }
            return all;
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
        TestConnection standing = world.sendOpen("f1", 20_000);
        TestConnection side = world.establish(backend, standing);
        TestConnection waiting = world.sendOpen("f2", 20_000);
        TestConnection waitingSide = backend.accept();
        waitingSide.readLine();
        assertEquals(2, (int) metrics().get("in_progressg"));
        world.connectClient()
                .sendRaw("rubbish\r\n")
                .readLine(); // without a service class, counted as none of the three results
        TestConnection gone = world.sendOpen("f3", 20_000);
        TestConnection goneSide = backend.accept();
        goneSide.readLine();
        gone.close();
        goneSide.readLine();
        TestConnection early =
                world.sendOpen("f4", 20_000); // sends a second line before the answer
        TestConnection earlySide = backend.accept();
        earlySide.readLine();
        early.sendLine("M 1");
        assertTrue(early.readLine().startsWith("ERR"));
        early.close();
        waitingSide.sendLine("BUSY").close();
        assertTrue(waiting.readLine().startsWith("BUSY"));
        waiting.close();
        RelayTestEnvironment.await(
                "all but one have ended", () -> metrics().get("in_progressg") == 1);
        Map<String, Integer> now = metrics();
        assertEquals(1, (int) now.get("handled.chat.passedc"));
        assertEquals(1, (int) now.get("handled.chat.droppedc"));
        assertEquals(1, (int) now.get("handled.chat.bad_gatewayc"));
        assertEquals(4, (int) now.get("upstream_triesc"));
        RelayTestEnvironment.await(
                "the failed backend is ejected", () -> metrics().get("skipped_backendsg") == 1);
        side.sendLine("BYE").close();
        assertEquals("BYE", standing.readLine());
        standing.close();
        RelayTestEnvironment.await("the last connection has ended", () -> metrics().get("in_progressg") == 0);
        assertEquals("the end of a connection is not counted as a second result", 1, (int) metrics().get("handled.chat.passedc"));
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
        world.kill();
        assertTrue(
                runCall("status")
                        .startsWith(
                                "3 saltstage: 127.0.0.1:" + world.adminPort + " did not answer"));
    }

    private String runCall(String... words) throws Exception {
        String[] all = new String[words.length + 3];
        all[0] = "call";
        System.arraycopy(words, 0, all, 1, words.length);
        all[words.length + 1] = "--admin";
        all[words.length + 2] = "127.0.0.1:" + world.adminPort;
        Process process = RelayTestEnvironment.launch(all);
        String said =
                new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8).trim();
        return process.waitFor() + " " + said;
    }
}

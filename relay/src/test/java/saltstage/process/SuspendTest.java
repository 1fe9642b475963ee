package saltstage.process;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertNull;
import static org.junit.Assert.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.After;
import org.junit.Before;
import org.junit.Test;
import saltstage.process.RelayTestEnvironment.TestConnection;
import saltstage.process.RelayTestEnvironment.TestServer;

/**
 * Operators suspend and restore a backend. Guards against a suspension that is undone by a
 * discovery update, by a restart of the relay or by a torn file.
 */
public class SuspendTest {
    private RelayTestEnvironment environment;
    private TestServer suspended;
    private TestServer other;
    private Path temporaryDirectory;

    @Before
    public void start() throws Exception {
        environment = new RelayTestEnvironment();
        suspended = environment.startBackend();
        other = environment.startBackend();
        temporaryDirectory = Files.createTempDirectory("saltstage");
        environment.environmentVariables.put("GW_ADMIN", "127.0.0.1:" + environment.adminPort);
        environment.environmentVariables.put("TMPDIR", temporaryDirectory.toString());
    }

    @After
    public void stop() throws Exception {
        environment.close();
        RelayTestEnvironment.deleteRecursively(temporaryDirectory);
    }

    private String suspendedEntry(String state) {
        return RelayTestEnvironment.backendEntry("s-out", suspended.endpoint(), state);
    }

    private String bothEntries() {
        return RelayTestEnvironment.backendList(
                1,
                true,
                suspendedEntry("ready"),
                RelayTestEnvironment.backendEntry("s-other", other.endpoint(), "ready"));
    }

    private void assertAllGoToTheOther(String name) throws Exception {
        for (int i = 0; i < 8; i++) { // with 8 keys, each of two backends would get at least one
            TestConnection client =
                    environment
                            .connectClient()
                            .sendLine("OPEN " + name + i + " key" + i + " c=chat,t=acme,d=20000");
            environment.establish(other, client);
        }
        assertTrue(suspended.hasNoConnectionWithin(50));
    }

    @Test
    public void suspendedBackendIsSentNothingWhateverIsListedUntilItIsRestoredOnce()
            throws Exception {
        environment.start(bothEntries());
        TestConnection watch = environment.answerWatch();
        assertEquals("done suspended\n", environment.operatorCall("SUSPEND s-out"));
        assertAllGoToTheOther("a");
        for (String state : new String[] {"draining", "gone", "ready"}) {
            RelayTestEnvironment.sendChunk(
                    watch,
                    RelayTestEnvironment.backendList(2, false, suspendedEntry(state)) + "\n");
            Thread.sleep(100);
            assertAllGoToTheOther(state);
        }
        RelayTestEnvironment.sendChunk(
                watch,
                RelayTestEnvironment.backendList(
                                3,
                                false,
                                suspendedEntry("ready")
                                        .replace("\"boot_ms\":0", "\"boot_ms\":9000"))
                        + "\n");
        Thread.sleep(100);
        assertEquals("done suspended\n", environment.operatorCall("SUSPEND s-out"));
        assertAllGoToTheOther("again");
        assertTrue(environment.operatorCall("METRICS").contains("app.skipped_backends:1|g"));
        assertEquals("done restored\n", environment.operatorCall("RESTORE s-out"));
        assertTrue(environment.operatorCall("METRICS").contains("app.skipped_backends:0|g"));
        int accepted = 0;
        for (int i = 0; i < 32 && accepted == 0; i++) {
            environment
                    .connectClient()
                    .sendLine("OPEN back" + i + " key" + i + " c=chat,t=acme,d=20000");
            accepted += suspended.accept(50) == null ? 0 : 1;
        }
        assertEquals("the restored backend is used again", 1, accepted);
        RelayTestEnvironment.sendChunk(
                watch, RelayTestEnvironment.backendList(4, false, suspendedEntry("gone")) + "\n");
        Thread.sleep(100);
        assertEquals(
                "done suspended\n",
                environment.operatorCall("SUSPEND s-out")); // no longer listed, but listed before
    }

    @Test
    public void clientsOfASuspendedBackendAreMovedSoon() throws Exception {
        environment.start(RelayTestEnvironment.backendList(1, true, suspendedEntry("ready")));
        TestConnection client = environment.sendOpen("m1", 20_000);
        TestConnection backendSide = environment.establish(suspended, client);
        assertEquals("done suspended\n", environment.operatorCall("SUSPEND s-out"));
        assertEquals("MOVE", client.readLine());
        assertNull(backendSide.readLine());
    }

    @Test
    public void suspensionSurvivesAKilledProcessAndATornFileDoesNotPreventServing()
            throws Exception {
        environment.start(bothEntries());
        assertEquals("done suspended\n", environment.operatorCall("SUSPEND s-out"));
        environment.kill();
        environment.start(bothEntries());
        assertAllGoToTheOther("killed");
        environment.kill();
        Path suspensionsFile = temporaryDirectory.resolve("saltstage").resolve("n0.bans");
        byte[] content = Files.readAllBytes(suspensionsFile);
        content[content.length - 1] ^= 1;
        Files.write(suspensionsFile, content);
        environment.start(bothEntries());
        assertEquals("done ready\n", environment.operatorCall("STATUS"));
        RelayTestEnvironment.await(
                "the unreadable file is logged", () -> environment.hasLogged("bans.unreadable"));
        assertEquals("done suspended\n", environment.operatorCall("SUSPEND s-out"));
        assertAllGoToTheOther("torn");
    }
}

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
 * Operators suspend and restore a backend. Guards against a suspension that is undone by a discovery
 * update, by a restart of the relay or by a torn file.
 */
public class SuspendTest {
    private RelayTestEnvironment world;
    private TestServer suspended;
    private TestServer other;
    private Path folder;

    @Before
    public void start() throws Exception {
        world = new RelayTestEnvironment();
        suspended = world.startBackend();
        other = world.startBackend();
        folder = Files.createTempDirectory("saltstage");
        world.environmentVariables.put("GW_ADMIN", "127.0.0.1:" + world.adminPort);
        world.environmentVariables.put("TMPDIR", folder.toString());
    }

    @After
    public void stop() throws Exception {
        world.close();
        RelayTestEnvironment.deleteRecursively(folder);
    }

    private String suspendedTarget(String state) {
        return RelayTestEnvironment.backendEntry("s-out", suspended.endpoint(), state);
    }

    private String bothTargets() {
        return RelayTestEnvironment.backendList(
                1,
                true,
                suspendedTarget("ready"),
                RelayTestEnvironment.backendEntry("s-other", other.endpoint(), "ready"));
    }

    private void assertAllGoToTheOther(String name) throws Exception {
        for (int i = 0; i < 8; i++) { // with 8 keys, each of two backends would get at least one
            TestConnection client =
                    world.connectClient()
                            .sendLine("OPEN " + name + i + " key" + i + " c=chat,t=acme,d=20000");
            world.establish(other, client);
        }
        assertTrue(suspended.hasNoConnectionWithin(50));
    }

    @Test
    public void suspendedBackendIsSentNothingWhateverIsListedUntilItIsRestoredOnce()
            throws Exception {
        world.start(bothTargets());
        TestConnection watch = world.answerWatch();
        assertEquals("done suspended\n", world.operatorCall("SUSPEND s-out"));
        assertAllGoToTheOther("a");
        for (String state : new String[] {"draining", "gone", "ready"}) {
            RelayTestEnvironment.sendChunk(
                    watch,
                    RelayTestEnvironment.backendList(2, false, suspendedTarget(state)) + "\n");
            Thread.sleep(100);
            assertAllGoToTheOther(state);
        }
        RelayTestEnvironment.sendChunk(
                watch,
                RelayTestEnvironment.backendList(
                                3,
                                false,
                                suspendedTarget("ready")
                                        .replace("\"boot_ms\":0", "\"boot_ms\":9000"))
                        + "\n");
        Thread.sleep(100);
        assertEquals("done suspended\n", world.operatorCall("SUSPEND s-out"));
        assertAllGoToTheOther("again");
        assertTrue(world.operatorCall("METRICS").contains("app.skipped_backends:1|g"));
        assertEquals("done restored\n", world.operatorCall("RESTORE s-out"));
        assertTrue(world.operatorCall("METRICS").contains("app.skipped_backends:0|g"));
        int came = 0;
        for (int i = 0; i < 32 && came == 0; i++) {
            world.connectClient().sendLine("OPEN back" + i + " key" + i + " c=chat,t=acme,d=20000");
            came += suspended.accept(50) == null ? 0 : 1;
        }
        assertEquals("the restored backend is used again", 1, came);
        RelayTestEnvironment.sendChunk(
                watch, RelayTestEnvironment.backendList(4, false, suspendedTarget("gone")) + "\n");
        Thread.sleep(100);
        assertEquals(
                "done suspended\n", world.operatorCall("SUSPEND s-out")); // no longer listed, but listed before
    }

    @Test
    public void clientsEstablishedThereAreMovedSoon() throws Exception {
        world.start(RelayTestEnvironment.backendList(1, true, suspendedTarget("ready")));
        TestConnection client = world.sendOpen("m1", 20_000);
        TestConnection side = world.establish(suspended, client);
        assertEquals("done suspended\n", world.operatorCall("SUSPEND s-out"));
        assertEquals("MOVE", client.readLine());
        assertNull(side.readLine());
    }

    @Test
    public void suspensionSurvivesAKilledProcessAndATornFileDoesNotPreventServing()
            throws Exception {
        world.start(bothTargets());
        assertEquals("done suspended\n", world.operatorCall("SUSPEND s-out"));
        world.kill();
        world.start(bothTargets());
        assertAllGoToTheOther("killed");
        world.kill();
        Path bans = folder.resolve("saltstage").resolve("n0.bans");
        byte[] whole = Files.readAllBytes(bans);
        whole[whole.length - 1] ^= 1;
        Files.write(bans, whole);
        world.start(bothTargets());
        assertEquals("done ready\n", world.operatorCall("STATUS"));
        RelayTestEnvironment.await("the unreadable file is logged", () -> world.hasLogged("bans.unreadable"));
        assertEquals("done suspended\n", world.operatorCall("SUSPEND s-out"));
        assertAllGoToTheOther("torn");
    }
}

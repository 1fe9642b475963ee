package saltstage.process;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertNull;
import static org.junit.Assert.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.After;
import org.junit.Before;
import org.junit.Test;
import saltstage.process.World.Line;
import saltstage.process.World.Service;

/**
 * Operators take a backend out and put it back, whatever discovery says of it and whoever is asked.
 */
public class SuspendTest {
    private World world;
    private Service out;
    private Service other;
    private Path folder;

    @Before
    public void start() throws Exception {
        world = new World();
        out = world.backend();
        other = world.backend();
        folder = Files.createTempDirectory("saltstage");
        world.environment.put("GW_ADMIN", "127.0.0.1:" + world.admin);
        world.environment.put("TMPDIR", folder.toString());
    }

    @After
    public void stop() throws Exception {
        world.close();
        World.delete(folder);
    }

    private String listed(String state) {
        return World.target("s-out", out.endpoint(), state);
    }

    private String both() {
        return World.list(
                1, true, listed("ready"), World.target("s-other", other.endpoint(), "ready"));
    }

    private void allGoToTheOther(String name) throws Exception {
        for (int i = 0; i < 8; i++) { // of 8 keys one at least would go to each of two
            Line client =
                    world.client().say("OPEN " + name + i + " key" + i + " c=chat,t=acme,d=20000");
            world.stand(other, client);
        }
        assertTrue(out.nobodyComesFor(50));
    }

    @Test
    public void suspendedOneIsSentNothingWhateverIsListedUntilItIsRestoredOnce() throws Exception {
        world.start(both());
        Line watch = world.watched();
        assertEquals("done suspended\n", world.call("SUSPEND s-out"));
        allGoToTheOther("a");
        for (String state : new String[] {"draining", "gone", "ready"}) {
            World.chunk(watch, World.list(2, false, listed(state)) + "\n");
            Thread.sleep(100);
            allGoToTheOther(state);
        }
        World.chunk(
                watch,
                World.list(3, false, listed("ready").replace("\"boot_ms\":0", "\"boot_ms\":9000"))
                        + "\n");
        Thread.sleep(100);
        assertEquals("done suspended\n", world.call("SUSPEND s-out"));
        allGoToTheOther("again");
        assertTrue(world.call("METRICS").contains("app.skipped_backends:1|g"));
        assertEquals("done restored\n", world.call("RESTORE s-out"));
        assertTrue(world.call("METRICS").contains("app.skipped_backends:0|g"));
        int came = 0;
        for (int i = 0; i < 32 && came == 0; i++) {
            world.client().say("OPEN back" + i + " key" + i + " c=chat,t=acme,d=20000");
            came += out.accept(50) == null ? 0 : 1;
        }
        assertEquals("it is used again", 1, came);
        World.chunk(watch, World.list(4, false, listed("gone")) + "\n");
        Thread.sleep(100);
        assertEquals("done suspended\n", world.call("SUSPEND s-out")); // gone, yet once listed
    }

    @Test
    public void clientsThatStandThereAreMovedSoon() throws Exception {
        world.start(World.list(1, true, listed("ready")));
        Line client = world.open("m1", 20_000);
        Line side = world.stand(out, client);
        assertEquals("done suspended\n", world.call("SUSPEND s-out"));
        assertEquals("MOVE", client.hear());
        assertNull(side.hear());
    }

    @Test
    public void banOutlivesAKilledProcessAndATornFileKeepsNobodyFromServing() throws Exception {
        world.start(both());
        assertEquals("done suspended\n", world.call("SUSPEND s-out"));
        world.kill();
        world.start(both());
        allGoToTheOther("killed");
        world.kill();
        Path bans = folder.resolve("saltstage").resolve("n0.bans");
        byte[] whole = Files.readAllBytes(bans);
        whole[whole.length - 1] ^= 1;
        Files.write(bans, whole);
        world.start(both());
        assertEquals("done ready\n", world.call("STATUS"));
        World.await("it is told", () -> world.logged("bans.unreadable"));
        assertEquals("done suspended\n", world.call("SUSPEND s-out"));
        allGoToTheOther("torn");
    }
}

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
import saltstage.process.World.Line;
import saltstage.process.World.Service;

/** What operators get when they call, beside callers that are slow, rude or many. */
public class AdminTest {
    private World world;
    private Service backend;
    private Path folder;

    @Before
    public void start() throws Exception {
        world = new World();
        backend = world.backend();
        world.environment.put("GW_ADMIN", "127.0.0.1:" + world.admin);
        folder = Files.createTempDirectory("saltstage");
        world.environment.put("TMPDIR", folder.toString());
        world.start(World.list(1, true, World.target("s-1", backend.endpoint(), "ready")));
    }

    @After
    public void stop() throws Exception {
        world.close();
        World.delete(folder);
    }

    @Test
    public void callsAreAnsweredAndBadOnesGetOneError() throws Exception {
        assertEquals("done ready\n", world.call("STATUS"));
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
            String answer = world.call(bad);
            assertTrue(bad + " got " + answer, answer.matches("error [ -~]+\n"));
        }
    }

    @Test
    public void callersThatHoldOnAreInNobodysWay() throws Exception {
        List<Line> rude = new ArrayList<>();
        for (int i = 0; i < 300; i++) {
            rude.add(world.operator(world.admin).raw(i % 2 == 0 ? "" : "META"));
            if (i % 20 == 0) {
                long from = System.nanoTime();
                assertEquals("done ready\n", world.call("STATUS"));
                assertTrue("answered within a second", System.nanoTime() - from < 1_000_000_000L);
            }
        }
        assertNull("the oldest had to go", rude.get(0).hear());
    }

    @Test
    public void lineThatComesInPiecesIsOneCallAndHalfALineIsNone() throws Exception {
        Line slow = world.operator(world.admin);
        for (String piece : "STATUS\r\n".split("")) {
            slow.raw(piece);
            Thread.sleep(5);
        }
        assertEquals("done ready", slow.hear());
        Line half = world.operator(world.admin).raw("SUSPEND s-1");
        half.socket.shutdownOutput();
        assertEquals("error no end of line", half.hear());
        world.stand(backend, world.open("h1", 20_000)); // s-1 is in use still
    }
}

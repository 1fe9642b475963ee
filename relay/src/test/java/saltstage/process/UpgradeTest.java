package saltstage.process;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertNull;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.After;
import org.junit.Before;
import org.junit.Test;
import saltstage.process.World.Line;
import saltstage.process.World.Service;

/**
 * A process is replaced by another that inherits the clients' listening socket, held by the
 * platform.
 */
public class UpgradeTest {
    private World world;
    private Platform platform;
    private Service backend;
    private Path config;

    @Before
    public void start() throws Exception {
        world = new World();
        platform = new Platform();
        world.clientsAt(platform.port);
        backend = world.backend();
        config = platform.folder.resolve("config.json");
        Files.writeString(
                config,
                world.config(
                        4096,
                        World.list(1, true, World.target("s-1", backend.endpoint(), "ready"))));
    }

    @After
    public void stop() throws Exception {
        platform.close();
        world.close();
    }

    private static int freePort() throws IOException {
        try (ServerSocket any = new ServerSocket(0)) {
            return any.getLocalPort();
        }
    }

    private record Relay(long pid, int admin, Path log) {}

    private Relay begin(String name) throws Exception {
        int admin = freePort();
        Path log = platform.folder.resolve(name + ".log");
        return new Relay(platform.start(config, admin, log), admin, log);
    }

    private Relay serving(String name) throws Exception {
        Relay relay = begin(name);
        World.await(name + " serves", () -> ready(relay));
        return relay;
    }

    private boolean ready(Relay relay) {
        try {
            return world.call(relay.admin(), "STATUS").startsWith("done");
        } catch (IOException notYet) {
            return false;
        }
    }

    private static boolean said(Relay relay, String part) {
        try {
            return Files.readString(relay.log()).contains(part);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    @Test
    public void nobodyIsLostAtTheDoorAndWhoStandsIsMovedToTheNewProcess() throws Exception {
        Relay old = serving("old");
        Line client = world.open("u1", 20_000);
        Line side = world.stand(backend, client);
        Line waiting = world.open("u2", 20_000);
        Line waitingSide = backend.accept();
        assertTrue(waitingSide.hear().startsWith("OPEN u2 "));
        Relay next = serving("next");
        Platform.signal(old.pid(), "TERM");
        World.await("the old process has stopped accepting", () -> said(old, "drain.start"));
        List<Line> others = new ArrayList<>();
        for (int i = 0; i < 10; i++) { // newcomers in the middle of it, each served
            Line newcomer = world.open("n" + i, 20_000);
            others.add(world.stand(backend, newcomer));
            Thread.sleep(20);
        }
        waitingSide.say("UP r2");
        assertEquals("UP r2", waiting.hear());
        for (Line standing : List.of(client, waiting)) {
            assertEquals("MOVE", standing.hear());
            assertNull(standing.hear());
        }
        assertNull(side.hear());
        World.await("the old process ends", () -> platform.ended.containsKey(old.pid()));
        assertEquals(0, (int) platform.ended.get(old.pid()));
        world.stand(backend, world.open("u9", 20_000));
        assertTrue(ready(next));
        assertTrue(said(old, "succeeded=true"));
        assertFalse("newcomers are the new process's, not taken and moved", said(old, " id=n"));
    }

    private static void pong(Line line) {
        try {
            assertEquals("PONG", line.say("PING").hear());
        } catch (IOException gone) {
            throw new UncheckedIOException(gone);
        }
    }

    @Test
    public void lineThatIsHalfReadAtTheEndIsServedByTheOldProcess() throws Exception {
        Relay old = serving("old");
        Relay next = serving("next");
        // A first line has 2 s, and on a busy machine processes start and hear signals later than
        // that: the
        // new one is stopped, so that the old one accepts, and the line begins when the drain has.
        Platform.stop(next.pid());
        Line half = world.client();
        pong(half);
        Platform.signal(old.pid(), "TERM");
        World.await(
                "the old process has stopped accepting",
                () -> {
                    pong(half); // each has 2 s again
                    return said(old, "drain.start");
                });
        half.raw("OPEN u3 ");
        Thread.sleep(200); // four looks of the drain's at whether anybody is left
        half.say("7f3a9c21e0b4d655 c=chat,t=acme,d=20000,g=5c0f6e1a");
        Line side = world.stand(backend, half);
        assertEquals("MOVE", half.hear());
        assertNull(half.hear());
        assertNull(side.hear());
        World.await("the old process ends", () -> platform.ended.containsKey(old.pid()));
        assertEquals(0, (int) platform.ended.get(old.pid()));
        Platform.signal(next.pid(), "CONT");
        world.stand(backend, world.open("u9", 20_000));
    }

    @Test
    public void newProcessThatDiesBeforeItIsReadyChangesNothingAndTwoUpgradesWorkInARow()
            throws Exception {
        Relay first = serving("first");
        Relay dead = begin("dead");
        Platform.signal(dead.pid(), "KILL");
        World.await("it is gone", () -> platform.ended.containsKey(dead.pid()));
        world.stand(backend, world.open("d1", 20_000));
        Relay old = first;
        for (String name : List.of("second", "third")) {
            Relay next = serving(name);
            Platform.signal(old.pid(), "TERM");
            long pid = old.pid();
            World.await("the one before ends", () -> platform.ended.containsKey(pid));
            assertEquals(0, (int) platform.ended.get(pid));
            world.stand(backend, world.open("to-" + name, 20_000));
            old = next;
        }
    }

    @Test
    public void descriptorThatIsNoListeningSocketEndsTheStartWithOneLine() throws Exception {
        ProcessBuilder relay = World.program(List.of("serve", "--config", config.toString()));
        relay.environment().put("GW_LISTEN_FD", "0");
        relay.redirectErrorStream(true).redirectInput(new java.io.File("/dev/null"));
        Process process = relay.start();
        String said = new String(process.getInputStream().readAllBytes());
        assertEquals(1, process.waitFor());
        assertTrue(said, said.contains("saltstage: descriptor 0 is no listening socket"));
        relay.environment().put("GW_LISTEN_FD", "7");
        process = relay.start();
        assertEquals(
                "saltstage: GW_LISTEN_FD: only descriptor 0 can be taken over, not '7'\n",
                new String(process.getInputStream().readAllBytes()));
        assertEquals(1, process.waitFor());
    }
}

package saltstage.process;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertNull;
import static org.junit.Assert.assertTrue;

import java.time.Duration;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.After;
import org.junit.Before;
import org.junit.Test;
import saltstage.process.World.Line;
import saltstage.process.World.Service;

/** The running program and discovery: one watch, and an old list that still serves. */
public class DiscoveryTest {
    private World world;
    private Service backend;
    private String ready;

    @Before
    public void start() throws Exception {
        world = new World();
        backend = world.backend();
        ready = World.target("s-1", backend.endpoint(), "ready");
    }

    @After
    public void stop() throws Exception {
        world.close();
    }

    @Test
    public void watchIsResumedAfterWhatWasHeardWhateverEndsIt() throws Exception {
        world.start(World.list(4, true, ready));
        Line watch = world.watched("", World.list(5, false));
        assertTrue(world.logged("watch=1&after=4 "));
        World.await("the change is taken", () -> world.logged("rev=5"));
        watch.close();
        Line refused = world.discovery.accept();
        assertTrue(refused.hear().contains("after=5 "));
        refused.say("HTTP/1.1 503 Service Unavailable").say("").close();
        world.watched("{\"rev\":9,\"all\":tr");
        world.watched(World.list(6, true, ready));
        World.await("the list is taken", () -> world.logged("rev=6"));
        world.stand(backend, world.open("a1", 20_000));
    }

    @Test
    public void listThatIsOldStillServesWhileDiscoveryIsDown() throws Exception {
        world.discovery.close();
        world.start(World.list(4, true, ready));
        world.stand(backend, world.open("a1", 20_000));
    }

    @Test
    public void changeIsHeardInTimeThoughACallHangs() throws Exception {
        Service second = world.backend();
        world.start(World.list(1, true, ready, World.target("s-2", second.endpoint(), "draining")));
        Line hangs = world.discovery.accept();
        long begun = System.nanoTime();
        assertTrue(hangs.hear().contains("after=1 "));
        world.watched(
                World.list(
                        2,
                        false,
                        World.target("s-1", backend.endpoint(), "draining"),
                        World.target("s-2", second.endpoint(), "ready")));
        World.await("the change is taken", () -> world.logged("rev=2"));
        Duration took = Duration.ofNanos(System.nanoTime() - begun);
        assertTrue(
                "told counts from 6 s on, took " + took, took.compareTo(Duration.ofSeconds(5)) < 0);
        world.stand(second, world.open("a1", 20_000));
        while (hangs.hear() != null) { // the rest of its call; then it is given up
            continue;
        }
    }

    @Test
    public void pushedListIsWatchedFromTheStartAndNobodyIsServedBeforeIt() throws Exception {
        Service second = world.backend();
        BlockingQueue<Line> watch =
                World.aside(
                        () ->
                                world.watched(
                                        World.list(
                                                2,
                                                false,
                                                World.target("s-1", backend.endpoint(), "draining"),
                                                World.target("s-2", second.endpoint(), "ready"))));
        world.startWith(
                world.config(4096, World.list(1, true, ready)).replace("on_request", "pushed"));
        assertTrue(
                world.logged("relay.ready name=n0")
                        && world.log.stream()
                                .anyMatch(
                                        line ->
                                                line.contains("relay.ready")
                                                        && line.contains("rev=2")));
        world.stand(second, world.open("a1", 20_000));
        watch.take().close();
        world.watched(
                World.list(
                        3,
                        false,
                        World.target("s-2", second.endpoint(), "gone"),
                        World.target(
                                "s-1",
                                backend.endpoint(),
                                "ready"))); // asked again at once, and not by the module
        World.await("the change is taken", () -> world.logged("rev=3"));
        world.stand(backend, world.open("a2", 20_000));
    }

    @Test
    public void silentAgentKeepsNoRelayFromItsStart() throws Exception {
        world.startWith(
                world.config(4096, World.list(1, true, ready)).replace("on_request", "pushed"));
        assertTrue(world.logged("discovery.none"));
        world.stand(backend, world.open("a1", 20_000));
    }

    @Test
    public void wholeListWithFewerEntriesEndsWhoIsNotNamed() throws Exception {
        Service second = world.backend();
        world.start(World.list(1, true, ready, World.target("s-2", second.endpoint(), "draining")));
        Line standing = world.open("a1", 20_000);
        world.stand(backend, standing);
        world.watched(World.list(2, true, World.target("s-2", second.endpoint(), "ready")));
        assertEquals("MOVE", standing.hear());
        world.stand(second, world.open("a2", 20_000));
    }

    @Test
    public void idleCrowdWhileDiscoveryIsDownIsInTheWayOfNothing() throws Exception {
        world.close();
        world = new World();
        Service backend = world.backend();
        Service second = world.backend();
        AtomicBoolean down = new AtomicBoolean(true);
        World.aside(
                () -> {
                    while (down.get()) {
                        world.discovery.accept().close();
                    }
                    return true;
                });
        String ready = World.target("s-1", backend.endpoint(), "ready");
        world.startWith(world.config(64, World.list(1, true, ready)));
        for (int i = 0; i < 300; i++) {
            world.client(); // and says nothing
        }
        World.await("who came first has to go", () -> world.logged("doorway.full"));
        Line served = world.open("d1", 20_000);
        world.stand(backend, served);
        down.set(false);
        world.discovery.accept().close(); // the last that goes in vain, or the one after it
        world.watched(
                World.list(
                        2,
                        false,
                        World.target("s-1", backend.endpoint(), "draining"),
                        World.target("s-2", second.endpoint(), "ready")));
        World.await("the list's return is heard", () -> world.logged("discovery.list rev=2"));
        world.stand(second, world.open("d2", 20_000));
        assertFalse(world.logged("thread.fault"));
        world.process().toHandle().destroy();
        assertEquals("MOVE", served.hear());
        assertTrue(world.waitForEnd());
        assertEquals(0, world.process().exitValue());
    }

    @Test
    public void requestWaitsForABackendToBeNamed() throws Exception {
        world.start(World.list(1, true));
        Line client = world.open("a1", 20_000);
        world.watched(World.list(2, true, ready));
        world.stand(backend, client);
    }

    @Test
    public void drainingBackendGetsNothingNewAndOneThatVanishesLosesItsClients() throws Exception {
        Service second = world.backend();
        world.start(World.list(1, true, ready));
        Line standing = world.open("a1", 20_000);
        world.stand(backend, standing);
        Line watch =
                world.watched(
                        World.list(
                                2,
                                false,
                                World.target("s-1", backend.endpoint(), "draining"),
                                World.target("s-2", second.endpoint(), "ready")));
        World.await("the change is taken", () -> world.logged("rev=2"));
        world.stand(second, world.open("a2", 20_000));
        World.chunk(
                watch,
                World.list(3, false, World.target("s-1", backend.endpoint(), "gone")) + "\n");
        assertEquals("MOVE", standing.hear());
    }

    @Test
    public void reloadMovesTheWatchAtOnceAndKeepsListAndConnections() throws Exception {
        world.start(World.list(4, true, ready));
        Line standing = world.open("a1", 20_000);
        Line side = world.stand(backend, standing);
        Line old = world.watched(World.list(5, false));
        World.await("the change is taken", () -> world.logged("rev=5"));
        Service moved = world.backend();
        world.reload("{\"name\":\"half a fi");
        World.await("the bad file is refused", () -> world.logged("reload.refused"));
        world.reload(world.config(4096, moved, World.list(1, true)));
        world.watched(
                moved, World.list(6, false, World.target("s-1", backend.endpoint(), "draining")));
        assertTrue(world.logged("watch=1&after=5 "));
        World.await("the change is taken", () -> world.logged("rev=6"));
        assertNull("the old watch is given up", old.hear());
        side.say("M 1 still here");
        assertEquals("M 1 still here", standing.hear());
    }

    @Test
    public void terminationDuringAReloadStillMovesClients() throws Exception {
        world.start(World.list(4, true, ready));
        Line standing = world.open("a1", 20_000);
        world.stand(backend, standing);
        world.reload(world.config(4096, world.backend(), World.list(1, true)));
        world.process().toHandle().destroy();
        assertEquals("MOVE", standing.hear());
        standing.close();
        World.await("the reload was no end of its own", () -> world.logged("reload.done"));
        assertTrue(world.waitForEnd());
        assertEquals(0, world.process().exitValue());
    }
}

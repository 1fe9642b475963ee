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
import saltstage.process.RelayTestEnvironment.TestConnection;
import saltstage.process.RelayTestEnvironment.TestServer;

/**
 * Guards the running program against outages of discovery: it keeps one watch, resumes it after
 * failures, and serves from the cached list meanwhile.
 */
public class DiscoveryTest {
    private RelayTestEnvironment environment;
    private TestServer backend;
    private String readyEntry;

    @Before
    public void start() throws Exception {
        environment = new RelayTestEnvironment();
        backend = environment.startBackend();
        readyEntry = RelayTestEnvironment.backendEntry("s-1", backend.endpoint(), "ready");
    }

    @After
    public void stop() throws Exception {
        environment.close();
    }

    @Test
    public void watchResumesAfterTheLastRevisionHoweverItEnded() throws Exception {
        environment.start(RelayTestEnvironment.backendList(4, true, readyEntry));
        TestConnection watch =
                environment.answerWatch("", RelayTestEnvironment.backendList(5, false));
        assertTrue(environment.hasLogged("watch=1&after=4 "));
        RelayTestEnvironment.await("the change is applied", () -> environment.hasLogged("rev=5"));
        watch.close();
        TestConnection refused = environment.discovery.accept();
        assertTrue(refused.readLine().contains("after=5 "));
        refused.sendLine("HTTP/1.1 503 Service Unavailable").sendLine("").close();
        environment.answerWatch("{\"rev\":9,\"all\":tr");
        environment.answerWatch(RelayTestEnvironment.backendList(6, true, readyEntry));
        RelayTestEnvironment.await("the list is applied", () -> environment.hasLogged("rev=6"));
        environment.establish(backend, environment.sendOpen("a1", 20_000));
    }

    @Test
    public void cachedListIsUsedWhileDiscoveryIsDown() throws Exception {
        environment.discovery.close();
        environment.start(RelayTestEnvironment.backendList(4, true, readyEntry));
        environment.establish(backend, environment.sendOpen("a1", 20_000));
    }

    @Test
    public void changeIsReceivedInTimeWhileACallHangs() throws Exception {
        TestServer second = environment.startBackend();
        environment.start(
                RelayTestEnvironment.backendList(
                        1,
                        true,
                        readyEntry,
                        RelayTestEnvironment.backendEntry("s-2", second.endpoint(), "draining")));
        TestConnection hanging = environment.discovery.accept();
        long start = System.nanoTime();
        assertTrue(hanging.readLine().contains("after=1 "));
        environment.answerWatch(
                RelayTestEnvironment.backendList(
                        2,
                        false,
                        RelayTestEnvironment.backendEntry("s-1", backend.endpoint(), "draining"),
                        RelayTestEnvironment.backendEntry("s-2", second.endpoint(), "ready")));
        RelayTestEnvironment.await("the change is applied", () -> environment.hasLogged("rev=2"));
        Duration elapsed = Duration.ofNanos(System.nanoTime() - start);
        assertTrue(
                "a change counts from 6 s on, took " + elapsed,
                elapsed.compareTo(Duration.ofSeconds(5)) < 0);
        environment.establish(second, environment.sendOpen("a1", 20_000));
        while (hanging.readLine() != null) { // the rest of the call, until the relay closes it
            continue;
        }
    }

    @Test
    public void pushedListIsWatchedFromTheStartAndReceivedBeforeReady() throws Exception {
        TestServer second = environment.startBackend();
        BlockingQueue<TestConnection> watch =
                RelayTestEnvironment.runInBackground(
                        () ->
                                environment.answerWatch(
                                        RelayTestEnvironment.backendList(
                                                2,
                                                false,
                                                RelayTestEnvironment.backendEntry(
                                                        "s-1", backend.endpoint(), "draining"),
                                                RelayTestEnvironment.backendEntry(
                                                        "s-2", second.endpoint(), "ready"))));
        environment.startWith(
                environment
                        .config(4096, RelayTestEnvironment.backendList(1, true, readyEntry))
                        .replace("on_request", "pushed"));
        assertTrue(
                environment.hasLogged("relay.ready name=n0")
                        && environment.logLines.stream()
                                .anyMatch(
                                        line ->
                                                line.contains("relay.ready")
                                                        && line.contains("rev=2")));
        environment.establish(second, environment.sendOpen("a1", 20_000));
        watch.take().close();
        // The watch is renewed at once, without a call by the load balancer.
        environment.answerWatch(
                RelayTestEnvironment.backendList(
                        3,
                        false,
                        RelayTestEnvironment.backendEntry("s-2", second.endpoint(), "gone"),
                        RelayTestEnvironment.backendEntry("s-1", backend.endpoint(), "ready")));
        RelayTestEnvironment.await("the change is applied", () -> environment.hasLogged("rev=3"));
        environment.establish(backend, environment.sendOpen("a2", 20_000));
    }

    @Test
    public void unresponsiveDiscoveryDoesNotPreventTheStart() throws Exception {
        environment.startWith(
                environment
                        .config(4096, RelayTestEnvironment.backendList(1, true, readyEntry))
                        .replace("on_request", "pushed"));
        assertTrue(environment.hasLogged("discovery.none"));
        environment.establish(backend, environment.sendOpen("a1", 20_000));
    }

    @Test
    public void fullListEndsBackendsItDoesNotName() throws Exception {
        TestServer second = environment.startBackend();
        environment.start(
                RelayTestEnvironment.backendList(
                        1,
                        true,
                        readyEntry,
                        RelayTestEnvironment.backendEntry("s-2", second.endpoint(), "draining")));
        TestConnection established = environment.sendOpen("a1", 20_000);
        environment.establish(backend, established);
        environment.answerWatch(
                RelayTestEnvironment.backendList(
                        2,
                        true,
                        RelayTestEnvironment.backendEntry("s-2", second.endpoint(), "ready")));
        assertEquals("MOVE", established.readLine());
        environment.establish(second, environment.sendOpen("a2", 20_000));
    }

    @Test
    public void idleClientsDuringADiscoveryOutageBlockNothing() throws Exception {
        environment.close();
        environment = new RelayTestEnvironment();
        TestServer backend = environment.startBackend();
        TestServer second = environment.startBackend();
        AtomicBoolean down = new AtomicBoolean(true);
        RelayTestEnvironment.runInBackground(
                () -> {
                    while (down.get()) {
                        environment.discovery.accept().close();
                    }
                    return true;
                });
        String ready = RelayTestEnvironment.backendEntry("s-1", backend.endpoint(), "ready");
        environment.startWith(
                environment.config(64, RelayTestEnvironment.backendList(1, true, ready)));
        for (int i = 0; i < 300; i++) {
            environment.connectClient(); // sends nothing
        }
        RelayTestEnvironment.await(
                "the oldest pending client is evicted",
                () -> environment.hasLogged("doorway.full"));
        TestConnection served = environment.sendOpen("d1", 20_000);
        environment.establish(backend, served);
        down.set(false);
        environment.discovery.accept().close(); // the last call that fails, or the next one
        environment.answerWatch(
                RelayTestEnvironment.backendList(
                        2,
                        false,
                        RelayTestEnvironment.backendEntry("s-1", backend.endpoint(), "draining"),
                        RelayTestEnvironment.backendEntry("s-2", second.endpoint(), "ready")));
        RelayTestEnvironment.await(
                "the list is received again", () -> environment.hasLogged("discovery.list rev=2"));
        environment.establish(second, environment.sendOpen("d2", 20_000));
        assertFalse(environment.hasLogged("thread.fault"));
        environment.process().toHandle().destroy();
        assertEquals("MOVE", served.readLine());
        assertTrue(environment.waitForExit());
        assertEquals(0, environment.process().exitValue());
    }

    @Test
    public void requestWaitsForABackendToBeListed() throws Exception {
        environment.start(RelayTestEnvironment.backendList(1, true));
        TestConnection client = environment.sendOpen("a1", 20_000);
        environment.answerWatch(RelayTestEnvironment.backendList(2, true, readyEntry));
        environment.establish(backend, client);
    }

    @Test
    public void drainingBackendGetsNoRequestsAndClientsOfAGoneOneAreMoved() throws Exception {
        TestServer second = environment.startBackend();
        environment.start(RelayTestEnvironment.backendList(1, true, readyEntry));
        TestConnection established = environment.sendOpen("a1", 20_000);
        environment.establish(backend, established);
        TestConnection watch =
                environment.answerWatch(
                        RelayTestEnvironment.backendList(
                                2,
                                false,
                                RelayTestEnvironment.backendEntry(
                                        "s-1", backend.endpoint(), "draining"),
                                RelayTestEnvironment.backendEntry(
                                        "s-2", second.endpoint(), "ready")));
        RelayTestEnvironment.await("the change is applied", () -> environment.hasLogged("rev=2"));
        environment.establish(second, environment.sendOpen("a2", 20_000));
        RelayTestEnvironment.sendChunk(
                watch,
                RelayTestEnvironment.backendList(
                                3,
                                false,
                                RelayTestEnvironment.backendEntry(
                                        "s-1", backend.endpoint(), "gone"))
                        + "\n");
        assertEquals("MOVE", established.readLine());
    }

    @Test
    public void reloadMovesTheWatchAtOnceAndKeepsListAndConnections() throws Exception {
        environment.start(RelayTestEnvironment.backendList(4, true, readyEntry));
        TestConnection established = environment.sendOpen("a1", 20_000);
        TestConnection side = environment.establish(backend, established);
        TestConnection oldWatch =
                environment.answerWatch(RelayTestEnvironment.backendList(5, false));
        RelayTestEnvironment.await("the change is applied", () -> environment.hasLogged("rev=5"));
        TestServer newDiscovery = environment.startBackend();
        environment.reload("{\"name\":\"half a fi");
        RelayTestEnvironment.await(
                "the malformed file is rejected", () -> environment.hasLogged("reload.refused"));
        environment.reload(
                environment.config(4096, newDiscovery, RelayTestEnvironment.backendList(1, true)));
        environment.answerWatch(
                newDiscovery,
                RelayTestEnvironment.backendList(
                        6,
                        false,
                        RelayTestEnvironment.backendEntry("s-1", backend.endpoint(), "draining")));
        assertTrue(environment.hasLogged("watch=1&after=5 "));
        RelayTestEnvironment.await("the change is applied", () -> environment.hasLogged("rev=6"));
        assertNull("the old watch is closed", oldWatch.readLine());
        side.sendLine("M 1 still here");
        assertEquals("M 1 still here", established.readLine());
    }

    @Test
    public void terminationDuringAReloadStillMovesClients() throws Exception {
        environment.start(RelayTestEnvironment.backendList(4, true, readyEntry));
        TestConnection established = environment.sendOpen("a1", 20_000);
        environment.establish(backend, established);
        environment.reload(
                environment.config(
                        4096,
                        environment.startBackend(),
                        RelayTestEnvironment.backendList(1, true)));
        environment.process().toHandle().destroy();
        assertEquals("MOVE", established.readLine());
        established.close();
        RelayTestEnvironment.await(
                "the reload is completed during the drain",
                () -> environment.hasLogged("reload.done"));
        assertTrue(environment.waitForExit());
        assertEquals(0, environment.process().exitValue());
    }
}

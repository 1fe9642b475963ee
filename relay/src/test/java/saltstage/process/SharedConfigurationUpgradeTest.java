package saltstage.process;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.After;
import org.junit.Before;
import org.junit.Test;
import saltstage.configuration.EntryValue.BackendState;
import saltstage.configuration.Mutation;
import saltstage.configuration.follower.ScriptedSource;
import saltstage.configuration.follower.ServedView;
import saltstage.process.ProcessSupervisor.Relay;
import saltstage.process.RelayTestEnvironment.TestServer;

/**
 * Two processes of a relay share a configuration directory while one replaces the other. Guards
 * against a process that keeps an older revision than the other has confirmed, and against
 * confirmed revisions that are lost when either is killed.
 */
public class SharedConfigurationUpgradeTest {
    /** How long after a change a relay may send new requests to a backend that drains. */
    private static final int DRAIN_GRACE_MS = 1_000;

    private static final int CLIENTS = 8;
    private static final long KILL_SEED = 20261207;
    private static final int MIN_CHANGES = 100;
    private static final int CHANGE_INTERVAL_MS = 5;

    private final ServedView view = new ServedView();
    private RelayTestEnvironment environment;
    private ProcessSupervisor platform;
    private TestServer first;
    private TestServer second;
    private ScriptedSource source;
    private Path config;
    private Path settings;
    private int clientCount;

    @Before
    public void start() throws Exception {
        environment = new RelayTestEnvironment();
        platform = new ProcessSupervisor();
        environment.setClientPort(platform.port);
        first = environment.startBackend();
        second = environment.startBackend();
        source = new ScriptedSource(view);
        config = platform.directory.resolve("config.json");
        Files.writeString(
                config, environment.config(4096, RelayTestEnvironment.backendList(1, true)));
        settings = platform.directory.resolve("saltstage.hcl");
        writeSettings(source);
        view.accept(backend("s-1", first, BackendState.READY), ready("s-2", second));
    }

    /** Writes the settings for the relays started from now on. */
    private void writeSettings(ScriptedSource followed) throws IOException {
        Files.writeString(
                settings,
                "configuration {\n  sources = [\""
                        + followed.address()
                        + "\"]\n  zone = \"a\"\n  dir = \""
                        + platform.directory.resolve("configuration")
                        + "\"\n}\n");
    }

    @After
    public void stop() throws Exception {
        platform.close();
        environment.close();
        source.close();
    }

    private static Mutation backend(String id, TestServer server, BackendState state) {
        return TestMutations.backend(id, server, state);
    }

    private static Mutation ready(String id, TestServer server) {
        return backend(id, server, BackendState.READY);
    }

    private static Mutation draining(String id, TestServer server) {
        return backend(id, server, BackendState.DRAINING);
    }

    private Relay startReady(String name) throws Exception {
        Relay relay = platform.launch(name, config, List.of("--settings", settings.toString()));
        RelayTestEnvironment.await(name + " serves", () -> relay.isReady(environment));
        return relay;
    }

    /** Starts a relay and waits until it has the source's configuration in force. */
    private Relay startWithConfiguration(String name) throws Exception {
        Relay relay = startReady(name);
        awaitApplied(relay, 1);
        return relay;
    }

    private static void awaitApplied(Relay relay, long revision) throws InterruptedException {
        RelayTestEnvironment.await(
                "revision " + revision + " is in force",
                () -> relay.hasLogged("configuration.applied rev=" + revision + " "));
    }

    /** Changes the configuration and waits until the relay has it in force, and so confirms it. */
    private void tell(Relay relay, Mutation... mutations) throws InterruptedException {
        awaitApplied(relay, view.accept(mutations).revision());
    }

    /** With this many keys, each of two backends in use would get at least one client. */
    private void assertAllClientsGoTo(TestServer backend) throws Exception {
        for (int i = 0; i < CLIENTS; i++) {
            String id = "u" + clientCount++;
            environment.establish(
                    backend,
                    environment
                            .connectClient()
                            .sendLine("OPEN " + id + " key" + i + " c=chat,t=acme,d=20000"));
        }
    }

    /** The old process has confirmed the change; then only the new one accepts clients. */
    private void assertBindsTheNewProcess(Mutation change) throws Exception {
        Relay old = startWithConfiguration("old");
        startReady("next");
        tell(old, change);
        ProcessSupervisor.stop(old.pid());
        Thread.sleep(DRAIN_GRACE_MS);
        assertAllClientsGoTo(second);
    }

    /** Guards against new requests from the new process to a backend that drains (review/2). */
    @Test
    public void drainConfirmedByTheOldProcessBindsTheNewOne() throws Exception {
        assertBindsTheNewProcess(draining("s-1", first));
    }

    /** Guards against new requests from the new process to a backend whose entry is deleted. */
    @Test
    public void deletionConfirmedByTheOldProcessBindsTheNewOne() throws Exception {
        assertBindsTheNewProcess(backend("s-1", first, null));
    }

    /** Guards against new requests from the new process to a backend that is suspended. */
    @Test
    public void suspensionConfirmedByTheOldProcessBindsTheNewOne() throws Exception {
        assertBindsTheNewProcess(TestMutations.suspension("s-1", "disk"));
    }

    /** Guards against a new process that stays behind the directory until a source answers it. */
    @Test
    public void newProcessFollowsTheDirectoryWhileItsSourcesAreSilent() throws Exception {
        Relay old = startWithConfiguration("old");
        ScriptedSource.Script silence =
                (query, out) -> Thread.sleep(RelayTestEnvironment.AWAIT_TIMEOUT_MS);
        try (ScriptedSource silentSource = new ScriptedSource(silence)) {
            writeSettings(silentSource);
            startReady("next");
            tell(old, draining("s-1", first));
            ProcessSupervisor.stop(old.pid());
            Thread.sleep(DRAIN_GRACE_MS);
            assertAllClientsGoTo(second);
        }
    }

    /** Guards against a confirmed revision that is lost when both processes are killed. */
    @Test
    public void confirmedRevisionIsInForceAfterBothAreKilledAndNoSourceAnswers() throws Exception {
        Relay old = startWithConfiguration("old");
        Relay next = startReady("next");
        tell(old, draining("s-1", first));
        platform.kill(old);
        platform.kill(next);
        source.close();
        Relay last = startReady("last");
        assertTrue(last.hasLogged("configuration.kept rev=2 "));
        assertAllClientsGoTo(second);
    }

    /** Guards against a confirmed revision that is lost when a kill interrupts its writes. */
    @Test
    public void noConfirmedRevisionIsLostWhenBothAreKilledWhileChangesArrive() throws Exception {
        AtomicLong confirmedRevision = new AtomicLong();
        source.setScript(
                (query, out) -> {
                    long after = Long.parseLong(query.get("after"));
                    confirmedRevision.accumulateAndGet(after, Math::max);
                    view.respond(query, out);
                });
        Relay old = startWithConfiguration("old");
        Relay next = startReady("next");
        Random random = new Random(KILL_SEED);
        int changesUntilKill = MIN_CHANGES + random.nextInt(MIN_CHANGES);
        for (int i = 0; i < changesUntilKill; i++) {
            acceptSetting(i);
        }
        platform.kill(old);
        for (int i = 0; i < changesUntilKill; i++) {
            acceptSetting(i);
        }
        long newest = acceptSetting(changesUntilKill);
        RelayTestEnvironment.await( // the log leaves out lines of an event that are too many
                "the new process confirms the newest revision",
                () -> confirmedRevision.get() >= newest);
        for (int i = 0; i < changesUntilKill; i++) {
            acceptSetting(i);
        }
        platform.kill(next);
        source.close();
        Relay last = startReady("last");
        assertTrue(confirmedRevision.get() > changesUntilKill);
        assertTrue(
                "revision " + confirmedRevision + " was confirmed",
                keptRevision(last) >= confirmedRevision.get());
        List<Long> applied = appliedRevisions(next);
        assertEquals("never back", applied.stream().sorted().distinct().toList(), applied);
    }

    private long acceptSetting(int value) throws InterruptedException {
        Thread.sleep(CHANGE_INTERVAL_MS);
        return view.accept(TestMutations.setting("pool.size", Integer.toString(value))).revision();
    }

    private static long keptRevision(Relay relay) throws IOException {
        return revisionsIn(relay, "configuration.kept").get(0);
    }

    private static List<Long> appliedRevisions(Relay relay) throws IOException {
        return revisionsIn(relay, "configuration.applied");
    }

    /** Returns the revision of each log line of this event, in order. */
    private static List<Long> revisionsIn(Relay relay, String event) throws IOException {
        return Files.readAllLines(relay.log()).stream()
                .filter(line -> line.contains(event + " rev="))
                .map(line -> Long.parseLong(line.replaceAll(".* rev=(\\d+) .*", "$1")))
                .toList();
    }

    /** Guards against a new process that does not persist what it confirms after the old one. */
    @Test
    public void newProcessPersistsWhatItConfirmsOnceTheOldOneIsKilled() throws Exception {
        Relay old = startWithConfiguration("old");
        Relay next = startReady("next");
        tell(old, draining("s-1", first));
        platform.kill(old);
        tell(next, ready("s-1", first), draining("s-2", second));
        platform.kill(next);
        source.close();
        Relay last = startReady("last");
        assertTrue(last.hasLogged("configuration.kept rev=3 "));
        assertAllClientsGoTo(first);
    }

    /** Guards against a second replacement that misses what the first successor has confirmed. */
    @Test
    public void drainsToldInTwoReplacementsInARowBindEachNewProcess() throws Exception {
        Relay old = startWithConfiguration("old");
        Relay next = startReady("next");
        tell(old, draining("s-1", first));
        ProcessSupervisor.signal(old.pid(), "TERM");
        platform.awaitEnd(old);
        startReady("third");
        tell(next, ready("s-1", first), draining("s-2", second));
        ProcessSupervisor.stop(next.pid());
        Thread.sleep(DRAIN_GRACE_MS);
        assertAllClientsGoTo(first);
    }
}

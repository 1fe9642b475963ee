package saltstage.process;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import java.io.File;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.After;
import org.junit.Before;
import org.junit.Rule;
import org.junit.Test;
import org.junit.rules.TemporaryFolder;
import saltstage.configuration.EntryValue.BackendState;
import saltstage.configuration.Mutation;
import saltstage.configuration.follower.ScriptedSource;
import saltstage.configuration.follower.ServedView;
import saltstage.process.RelayTestEnvironment.TestConnection;
import saltstage.process.RelayTestEnvironment.TestServer;

/**
 * A running relay that receives its configuration in revisions from a source. Guards against
 * changes that are not applied, configuration lost in a restart, and code of this feature that is
 * loaded when it is not configured.
 */
public class ConfigurationTest {
    @Rule public final TemporaryFolder folder = new TemporaryFolder();

    private final ServedView view = new ServedView();
    private RelayTestEnvironment environment;
    private TestServer first;
    private TestServer second;
    private ScriptedSource source;
    private Path settings;

    @Before
    public void start() throws Exception {
        environment = new RelayTestEnvironment();
        first = environment.startBackend();
        second = environment.startBackend();
        source = new ScriptedSource(view);
        settings = folder.getRoot().toPath().resolve("saltstage.hcl");
        environment.environmentVariables.put("GW_ADMIN", "127.0.0.1:" + environment.adminPort);
        environment.environmentVariables.put("TMPDIR", folder.getRoot().toString());
    }

    @After
    public void stop() throws Exception {
        environment.close();
        source.close();
    }

    private void startRelay() throws Exception {
        Files.writeString(
                settings,
                "configuration {\n  sources = [\""
                        + source.address()
                        + "\"]\n"
                        + "  zone = \"a\"\n  dir = \""
                        + folder.getRoot().toPath().resolve("configuration")
                        + "\"\n}\n");
        environment.startWith(
                environment.config(512, RelayTestEnvironment.backendList(41, true)), settings);
    }

    private void accept(Mutation... mutations) throws InterruptedException {
        long revision = view.accept(mutations).revision();
        RelayTestEnvironment.await(
                "revision " + revision + " is applied", () -> isApplied(revision));
    }

    /** Whether the log, in either of its formats, reports that the revision is applied. */
    private boolean isApplied(long revision) {
        return environment.logLines.stream()
                .anyMatch(
                        line ->
                                line.contains("configuration.applied")
                                        && (line.contains(" rev=" + revision + " ")
                                                || line.contains(
                                                        "{\"rev\":\"" + revision + "\"}")));
    }

    private void assertAllGoTo(TestServer backend, String name) throws Exception {
        for (int i = 0; i < 8; i++) { // with 8 keys, each of two backends would get at least one
            environment.establish(
                    backend,
                    environment
                            .connectClient()
                            .sendLine("OPEN " + name + i + " key" + i + " c=chat,t=acme,d=20000"));
        }
    }

    @Test
    public void anAddedBackendGetsClientsADrainingOneNoneAndThoseOfAGoneOneAreMoved()
            throws Exception {
        startRelay();
        accept(TestMutations.backend("s-1", first, BackendState.READY));
        TestConnection client = environment.sendOpen("a1", 20_000);
        environment.establish(first, client);
        accept(
                TestMutations.backend("s-1", first, BackendState.DRAINING),
                TestMutations.backend("s-2", second, BackendState.READY));
        assertAllGoTo(second, "b");
        accept(
                TestMutations.backend(
                        "s-1", first, null)); // as with discovery, only its removal moves them
        assertTrue(client.readLine().startsWith("MOVE"));
        assertTrue(
                "the relay does not connect to discovery",
                environment.discovery.hasNoConnectionWithin(50));
    }

    @Test
    public void aRestartWithAllSourcesGoneServesByTheLastRevision() throws Exception {
        startRelay();
        accept(
                TestMutations.backend("s-1", first, BackendState.READY),
                TestMutations.backend("s-2", second, BackendState.READY),
                TestMutations.suspension("s-1", "disk"));
        environment.kill();
        source.close();
        startRelay();
        assertTrue(
                environment.logLines.toString(),
                environment.hasLogged("configuration.kept rev=1 entries=3 age_ms="));
        assertFalse(environment.hasLogged("age_ms=-1"));
        assertAllGoTo(second, "a");
        RelayTestEnvironment.await(
                "the loss of the source is logged",
                () -> environment.hasLogged("configuration.source.left"));
        assertFalse(environment.hasLogged("configuration.applied"));
    }

    @Test
    public void aSuspensionHoldsUntilBothItAndTheOperatorsCallAreLifted() throws Exception {
        startRelay();
        accept(TestMutations.backend("s-1", first, BackendState.READY));
        TestConnection client = environment.sendOpen("a", 20_000);
        environment.establish(first, client);
        accept(
                TestMutations.backend("s-2", second, BackendState.READY),
                TestMutations.suspension("s-1", "disk"));
        assertTrue(client.readLine().startsWith("MOVE")); // as after an operator call
        assertAllGoTo(second, "a");
        assertEquals("done suspended\n", environment.operatorCall("SUSPEND s-1"));
        accept(TestMutations.suspension("s-1", null));
        assertAllGoTo(second, "b"); // the operator's suspension is still in force
        assertEquals("done restored\n", environment.operatorCall("RESTORE s-1"));
        accept(TestMutations.suspension("s-2", "disk"));
        assertAllGoTo(first, "c");
        assertEquals(
                "error still suspended by configuration: s-2\n",
                environment.operatorCall("RESTORE s-2"));
        assertAllGoTo(first, "d");
    }

    @Test
    public void theLogsSettingsAreChangedAndOthersNamedOnce() throws Exception {
        startRelay();
        accept(
                TestMutations.setting("log.format", "json"),
                TestMutations.setting("pool.size", "3"));
        environment.awaitLogged("\"configuration.applied\"");
        accept(TestMutations.setting("pool.size", "4"));
        accept(TestMutations.setting("log.format", null));
        accept(TestMutations.setting("log.level", "loud"));
        assertEquals(
                1,
                environment.logLines.stream()
                        .filter(
                                line ->
                                        line.contains("name=pool.size")
                                                || line.contains("\"pool.size\""))
                        .count());
        environment.awaitLogged("why=\"unknown word: loud\"");
    }

    @Test
    public void aForeignSourceChangesNothing() throws Exception {
        source.setScript(
                (query, out) ->
                        ScriptedSource.writeResponse(out, 200, "{\"rev\":9,\"targets\":[]}"));
        Files.writeString(
                settings,
                "configuration {\n  sources = [\""
                        + source.address()
                        + "\"]\n"
                        + "  dir = \""
                        + folder.getRoot().toPath().resolve("configuration")
                        + "\"\n}\n");
        environment.startWith(
                environment.config(
                        512,
                        RelayTestEnvironment.backendList(
                                41,
                                true,
                                RelayTestEnvironment.backendEntry(
                                        "s-1", first.endpoint(), "ready"))),
                settings);
        RelayTestEnvironment.await(
                "the malformed response is logged",
                () -> environment.hasLogged("why=\"malformed: "));
        assertAllGoTo(first, "a"); // according to the platform's list
    }

    @Test
    public void aDirectoryThatCannotBeOpenedEndsTheStartWithOneLine() throws Exception {
        Path file = folder.newFile().toPath();
        Files.writeString(
                settings,
                "configuration {\n  sources = [\""
                        + source.address()
                        + "\"]\n"
                        + "  dir = \""
                        + file
                        + "\"\n}\n");
        Path config = folder.newFile().toPath();
        Files.writeString(
                config, environment.config(512, RelayTestEnvironment.backendList(41, true)));
        Process relay =
                RelayTestEnvironment.launch(
                        "serve", "--config", config.toString(), "--settings", settings.toString());
        String output = new String(relay.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertEquals(output, 1, relay.waitFor());
        assertTrue(output, output.startsWith("saltstage: configuration: cannot open dir " + file));
        assertEquals(output, 1, output.lines().count());
    }

    @Test
    public void aRelayWithoutTheBlockLoadsNothingOfIt() throws Exception {
        List<String> loaded = classesLoadedBy(null);
        assertTrue("classes seen: " + loaded.size(), loaded.size() > 200);
        assertEquals(List.of(), followerClasses(loaded));
        Files.writeString(
                settings,
                "configuration {\n  sources = [\""
                        + source.address()
                        + "\"]\n"
                        + "  dir = \""
                        + folder.getRoot().toPath().resolve("configuration")
                        + "\"\n}\n");
        assertFalse(
                "the check detects loaded classes",
                followerClasses(classesLoadedBy(settings)).isEmpty());
    }

    private static List<String> followerClasses(List<String> loaded) {
        return loaded.stream()
                .filter(
                        line ->
                                line.contains("saltstage.configuration.")
                                        || line.contains("java.net.http.HttpClient "))
                .toList();
    }

    /** The classes that a relay loads from its start to the end of its drain. */
    private List<String> classesLoadedBy(Path file) throws IOException, InterruptedException {
        Path config = folder.getRoot().toPath().resolve("relay.json");
        Files.writeString(
                config,
                environment.config(
                        512,
                        RelayTestEnvironment.backendList(
                                41,
                                true,
                                RelayTestEnvironment.backendEntry(
                                        "s-1", first.endpoint(), "ready"))));
        Path log = folder.newFile().toPath();
        List<String> command =
                new ArrayList<>(
                        RelayTestEnvironment.programBuilder(
                                        List.of("serve", "--config", config.toString()))
                                .command());
        command.add(1, "-Xlog:class+load:file=" + log);
        if (file != null) {
            command.addAll(List.of("--settings", file.toString()));
        }
        Path out = folder.newFile().toPath();
        Process relay =
                new ProcessBuilder(command)
                        .redirectErrorStream(true)
                        .redirectOutput(out.toFile())
                        .redirectInput(new File("/dev/null"))
                        .start();
        try {
            RelayTestEnvironment.await("the relay is ready", () -> contains(out, "relay.ready"));
            relay.destroy(); // SIGTERM, so that classes loaded by a drain are included
            assertTrue(relay.waitFor(RelayTestEnvironment.AWAIT_TIMEOUT_MS, TimeUnit.MILLISECONDS));
        } finally {
            relay.destroyForcibly().waitFor();
        }
        return Files.readAllLines(log);
    }

    private static boolean contains(Path file, String text) {
        try {
            return Files.readString(file).contains(text);
        } catch (IOException e) {
            return false;
        }
    }
}

package saltstage.process;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.Before;
import org.junit.Rule;
import org.junit.Test;
import org.junit.rules.TemporaryFolder;
import saltstage.persistence.ConfigurationVersions;
import saltstage.store.FileDisk;
import saltstage.store.Store;
import saltstage.store.StoreEventListener;

/**
 * A relay that was killed starts again from its persisted state. Guards against state that is lost
 * or outdated, and against a damaged or locked store that keeps the relay from serving.
 */
public class PersistenceTest {
    @Rule public final TemporaryFolder folder = new TemporaryFolder();

    private Path settings;
    private Path directory;

    @Before
    public void writeSettings() throws IOException {
        directory = folder.getRoot().toPath().resolve("state");
        settings = folder.getRoot().toPath().resolve("saltstage.hcl");
        Files.writeString(
                settings, "store {\n  dir = \"" + directory + "\"\n  every = \"100ms\"\n}\n");
    }

    private static String runCommand(int expectedExitCode, String... arguments) throws Exception {
        Process process = RelayTestEnvironment.launch(arguments);
        String out = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertEquals(out, expectedExitCode, process.waitFor());
        return out;
    }

    private boolean isPersisted(String key) {
        try (Store store = Store.openToRead(new FileDisk(directory), StoreEventListener.NONE)) {
            return store.get(key.getBytes(StandardCharsets.UTF_8)) != null;
        } catch (IOException e) {
            return false;
        }
    }

    @Test
    public void aKilledRelayStartsFromItsPersistedListAndLearnedState() throws Exception {
        try (RelayTestEnvironment environment = new RelayTestEnvironment()) {
            RelayTestEnvironment.TestServer backend = environment.startBackend();
            String config = environment.config(512, RelayTestEnvironment.backendList(1, true));
            environment.startWith(config, settings);
            environment.answerWatch(
                    RelayTestEnvironment.backendList(
                            41,
                            true,
                            RelayTestEnvironment.backendEntry("s1", backend.endpoint(), "ready")));
            RelayTestEnvironment.await(
                    "the list is known", () -> environment.hasLogged("discovery.list rev=41"));
            environment.establish(backend, environment.sendOpen("a1", 5_000));
            RelayTestEnvironment.await(
                    "the list and the learned state are persisted",
                    () -> isPersisted("list/target/s1") && isPersisted("learnt"));
            environment.kill();

            environment.startWith(
                    config, settings); // the configured list is empty and discovery does not answer
            assertTrue(environment.hasLogged("keep.list rev=41 known=1 taken=true"));
            assertTrue(
                    environment.logLines.toString(), environment.hasLogged("keep.learnt age_s="));
            assertTrue(environment.hasLogged("servers=1 taken=true"));
            assertTrue(
                    environment.hasLogged("relay.ready name=n0")
                            && environment.hasLogged("rev=41 peers=1"));
            environment.establish(backend, environment.sendOpen("a2", 5_000));
        }
    }

    @Test
    public void aNewerListOfThePlatformWins() throws Exception {
        try (RelayTestEnvironment environment = new RelayTestEnvironment()) {
            RelayTestEnvironment.TestServer backend = environment.startBackend();
            environment.startWith(
                    environment.config(512, RelayTestEnvironment.backendList(1, true)), settings);
            environment.answerWatch(
                    RelayTestEnvironment.backendList(
                            41,
                            true,
                            RelayTestEnvironment.backendEntry("s1", "127.0.0.1:1", "ready")));
            RelayTestEnvironment.await(
                    "the list is persisted", () -> isPersisted("list/target/s1"));
            environment.kill();
            environment.startWith(
                    environment.config(
                            512,
                            RelayTestEnvironment.backendList(
                                    50,
                                    true,
                                    RelayTestEnvironment.backendEntry(
                                            "s2", backend.endpoint(), "ready"))),
                    settings);
            assertTrue(environment.hasLogged("keep.list rev=41 known=50 taken=false"));
            environment.establish(backend, environment.sendOpen("a1", 5_000));
        }
    }

    @Test
    public void learnedStateThatIsTooOldIsIgnored() throws Exception {
        Files.writeString(
                settings,
                "store {\n  dir = \""
                        + directory
                        + "\"\n  every = \"100ms\"\n"
                        + "  learnt_for = \"1s\"\n}\n");
        try (RelayTestEnvironment environment = new RelayTestEnvironment()) {
            RelayTestEnvironment.TestServer backend = environment.startBackend();
            String config =
                    environment.config(
                            512,
                            RelayTestEnvironment.backendList(
                                    1,
                                    true,
                                    RelayTestEnvironment.backendEntry(
                                            "s1", backend.endpoint(), "ready")));
            environment.startWith(config, settings);
            environment.establish(backend, environment.sendOpen("a1", 5_000));
            RelayTestEnvironment.await("learned state is persisted", () -> isPersisted("learnt"));
            environment.kill();
            Thread.sleep(2_100); // twice the maximum age
            environment.startWith(config, settings);
            assertTrue(
                    environment.logLines.toString(),
                    environment.hasLogged("servers=1 taken=false"));
        }
    }

    @Test
    public void acceptedConfigurationsArePersistedShownAndRolledBack() throws Exception {
        try (RelayTestEnvironment environment = new RelayTestEnvironment()) {
            String first = environment.config(512, RelayTestEnvironment.backendList(1, true));
            environment.startWith(first, settings);
            RelayTestEnvironment.await(
                    "the first configuration is persisted",
                    () -> isPersisted("config/0000000000000001"));
            String second = first.replace("\"rev\":1", "\"rev\":2");
            environment.reload(second);
            RelayTestEnvironment.await(
                    "the second configuration is persisted",
                    () -> isPersisted("config/0000000000000002"));
            environment.reload("{}");
            RelayTestEnvironment.await(
                    "the invalid configuration is refused",
                    () -> environment.hasLogged("reload.refused"));
            String settingsPath = settings.toString();
            List<String> lines =
                    runCommand(0, "config", "history", "--settings", settingsPath).lines().toList();
            assertEquals(2, lines.size());
            assertTrue(
                    lines.get(1),
                    lines.get(1).matches("2 \\S+ [0-9a-f]{32} configuration=\\d+ settings=\\d+"));
            assertEquals(first, runCommand(0, "config", "show", "1", "--settings", settingsPath));
            String file = environment.configFile().toString();
            runCommand(0, "config", "rollback", "1", "--settings", settingsPath, "--config", file);
            assertEquals(first, Files.readString(environment.configFile()));
            environment.reload(first);
            RelayTestEnvironment.await(
                    "the rollback is a new version", () -> isPersisted("config/0000000000000003"));
            assertEquals(
                    "saltstage: there is no version 9\n",
                    runCommand(
                            1,
                            "config",
                            "rollback",
                            "9",
                            "--settings",
                            settingsPath,
                            "--config",
                            file));
            assertEquals(first, Files.readString(environment.configFile()));
        }
        try (Store store = Store.openToRead(new FileDisk(directory), StoreEventListener.NONE)) {
            List<ConfigurationVersions.Version> all = ConfigurationVersions.all(store);
            assertEquals(3, all.size());
            assertEquals(all.get(0).hash(), all.get(2).hash());
        }
    }

    @Test
    public void aDamagedStoreIsReportedAndTheRelayServes() throws Exception {
        Files.createDirectories(directory);
        Files.writeString(directory.resolve("manifest"), "rubbish");
        assertServesWithoutStore("keep.lost dir=" + directory + " why=\"damaged: manifest at ");
    }

    @Test
    public void aStoreInUseIsReportedAndTheRelayServes() throws Exception {
        try (Store held =
                Store.open(
                        FileDisk.openOrCreate(directory),
                        saltstage.store.StoreOptions.defaults(),
                        StoreEventListener.NONE)) {
            assertServesWithoutStore(
                    "keep.lost dir=" + directory + " why=\"the store is open in another process\"");
            assertTrue(held.isWritable());
        }
    }

    private void assertServesWithoutStore(String logText) throws Exception {
        try (RelayTestEnvironment environment = new RelayTestEnvironment()) {
            RelayTestEnvironment.TestServer backend = environment.startBackend();
            environment.startWith(
                    environment.config(
                            512,
                            RelayTestEnvironment.backendList(
                                    1,
                                    true,
                                    RelayTestEnvironment.backendEntry(
                                            "s1", backend.endpoint(), "ready"))),
                    settings);
            assertTrue(environment.logLines.toString(), environment.hasLogged(logText));
            environment.establish(backend, environment.sendOpen("a1", 5_000));
            RelayTestEnvironment.await(
                    "the totals report the lost store", () -> environment.hasLogged("store=LOST"));
        }
    }
}

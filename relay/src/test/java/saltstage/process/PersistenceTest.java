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
        try (RelayTestEnvironment relay = new RelayTestEnvironment()) {
            RelayTestEnvironment.TestServer backend = relay.startBackend();
            String config = relay.config(512, RelayTestEnvironment.backendList(1, true));
            relay.startWith(config, settings);
            relay.answerWatch(
                    RelayTestEnvironment.backendList(
                            41,
                            true,
                            RelayTestEnvironment.backendEntry("s1", backend.endpoint(), "ready")));
            RelayTestEnvironment.await(
                    "the list is known", () -> relay.hasLogged("discovery.list rev=41"));
            relay.establish(backend, relay.sendOpen("a1", 5_000));
            RelayTestEnvironment.await(
                    "the list and the learned state are persisted",
                    () -> isPersisted("list/target/s1") && isPersisted("learnt"));
            relay.kill();

            relay.startWith(
                    config, settings); // the configured list is empty and discovery does not answer
            assertTrue(relay.hasLogged("keep.list rev=41 known=1 taken=true"));
            assertTrue(relay.logLines.toString(), relay.hasLogged("keep.learnt age_s="));
            assertTrue(relay.hasLogged("servers=1 taken=true"));
            assertTrue(relay.hasLogged("relay.ready name=n0") && relay.hasLogged("rev=41 peers=1"));
            relay.establish(backend, relay.sendOpen("a2", 5_000));
        }
    }

    @Test
    public void aNewerListOfThePlatformWins() throws Exception {
        try (RelayTestEnvironment relay = new RelayTestEnvironment()) {
            RelayTestEnvironment.TestServer backend = relay.startBackend();
            relay.startWith(relay.config(512, RelayTestEnvironment.backendList(1, true)), settings);
            relay.answerWatch(
                    RelayTestEnvironment.backendList(
                            41,
                            true,
                            RelayTestEnvironment.backendEntry("s1", "127.0.0.1:1", "ready")));
            RelayTestEnvironment.await(
                    "the list is persisted", () -> isPersisted("list/target/s1"));
            relay.kill();
            relay.startWith(
                    relay.config(
                            512,
                            RelayTestEnvironment.backendList(
                                    50,
                                    true,
                                    RelayTestEnvironment.backendEntry(
                                            "s2", backend.endpoint(), "ready"))),
                    settings);
            assertTrue(relay.hasLogged("keep.list rev=41 known=50 taken=false"));
            relay.establish(backend, relay.sendOpen("a1", 5_000));
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
        try (RelayTestEnvironment relay = new RelayTestEnvironment()) {
            RelayTestEnvironment.TestServer backend = relay.startBackend();
            String config =
                    relay.config(
                            512,
                            RelayTestEnvironment.backendList(
                                    1,
                                    true,
                                    RelayTestEnvironment.backendEntry(
                                            "s1", backend.endpoint(), "ready")));
            relay.startWith(config, settings);
            relay.establish(backend, relay.sendOpen("a1", 5_000));
            RelayTestEnvironment.await("learned state is persisted", () -> isPersisted("learnt"));
            relay.kill();
            Thread.sleep(2_100); // twice the maximum age
            relay.startWith(config, settings);
            assertTrue(relay.logLines.toString(), relay.hasLogged("servers=1 taken=false"));
        }
    }

    @Test
    public void acceptedConfigurationsArePersistedShownAndRolledBack() throws Exception {
        try (RelayTestEnvironment relay = new RelayTestEnvironment()) {
            String first = relay.config(512, RelayTestEnvironment.backendList(1, true));
            relay.startWith(first, settings);
            RelayTestEnvironment.await(
                    "configuration 1 is persisted", () -> isPersisted("config/0000000000000001"));
            String second = first.replace("\"rev\":1", "\"rev\":2");
            relay.reload(second);
            RelayTestEnvironment.await(
                    "configuration 2 is persisted", () -> isPersisted("config/0000000000000002"));
            relay.reload("{}");
            RelayTestEnvironment.await(
                    "the invalid configuration is refused",
                    () -> relay.hasLogged("reload.refused"));
            String path = settings.toString();
            List<String> lines =
                    runCommand(0, "config", "history", "--settings", path).lines().toList();
            assertEquals(2, lines.size());
            assertTrue(
                    lines.get(1),
                    lines.get(1).matches("2 \\S+ [0-9a-f]{32} configuration=\\d+ settings=\\d+"));
            assertEquals(first, runCommand(0, "config", "show", "1", "--settings", path));
            String file = relay.configFile().toString();
            runCommand(0, "config", "rollback", "1", "--settings", path, "--config", file);
            assertEquals(first, Files.readString(relay.configFile()));
            relay.reload(first);
            RelayTestEnvironment.await(
                    "the rollback is a new version", () -> isPersisted("config/0000000000000003"));
            assertEquals(
                    "saltstage: there is no version 9\n",
                    runCommand(1, "config", "rollback", "9", "--settings", path, "--config", file));
            assertEquals(first, Files.readString(relay.configFile()));
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
        try (RelayTestEnvironment relay = new RelayTestEnvironment()) {
            RelayTestEnvironment.TestServer backend = relay.startBackend();
            relay.startWith(
                    relay.config(
                            512,
                            RelayTestEnvironment.backendList(
                                    1,
                                    true,
                                    RelayTestEnvironment.backendEntry(
                                            "s1", backend.endpoint(), "ready"))),
                    settings);
            assertTrue(relay.logLines.toString(), relay.hasLogged(logText));
            relay.establish(backend, relay.sendOpen("a1", 5_000));
            RelayTestEnvironment.await(
                    "the totals report the lost store", () -> relay.hasLogged("store=LOST"));
        }
    }
}

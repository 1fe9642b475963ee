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
    private Path dir;

    @Before
    public void writeSettings() throws IOException {
        dir = folder.getRoot().toPath().resolve("state");
        settings = folder.getRoot().toPath().resolve("saltstage.hcl");
        Files.writeString(settings, "store {\n  dir = \"" + dir + "\"\n  every = \"100ms\"\n}\n");
    }

    private static String runCommand(int exit, String... words) throws Exception {
        Process process = RelayTestEnvironment.launch(words);
        String out = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertEquals(out, exit, process.waitFor());
        return out;
    }

    private boolean isPersisted(String key) {
        try (Store store = Store.openToRead(new FileDisk(dir), StoreEventListener.NONE)) {
            return store.get(key.getBytes(StandardCharsets.UTF_8)) != null;
        } catch (IOException notYet) {
            return false;
        }
    }

    @Test
    public void aKilledRelayStartsFromItsPersistedListAndLearnedState() throws Exception {
        try (RelayTestEnvironment world = new RelayTestEnvironment()) {
            RelayTestEnvironment.TestServer backend = world.startBackend();
            String config = world.config(512, RelayTestEnvironment.backendList(1, true));
            world.startWith(config, settings);
            world.answerWatch(
                    RelayTestEnvironment.backendList(
                            41,
                            true,
                            RelayTestEnvironment.backendEntry("s1", backend.endpoint(), "ready")));
            RelayTestEnvironment.await(
                    "the list is known", () -> world.hasLogged("discovery.list rev=41"));
            world.establish(backend, world.sendOpen("a1", 5_000));
            RelayTestEnvironment.await(
                    "the list and the learned state are persisted",
                    () -> isPersisted("list/target/s1") && isPersisted("learnt"));
            world.kill();

            world.startWith(
                    config, settings); // the configured list is empty and discovery does not answer
            assertTrue(world.hasLogged("keep.list rev=41 known=1 taken=true"));
            assertTrue(world.logLines.toString(), world.hasLogged("keep.learnt age_s="));
            assertTrue(world.hasLogged("servers=1 taken=true"));
            assertTrue(world.hasLogged("relay.ready name=n0") && world.hasLogged("rev=41 peers=1"));
            world.establish(backend, world.sendOpen("a2", 5_000));
        }
    }

    @Test
    public void aNewerListOfThePlatformWins() throws Exception {
        try (RelayTestEnvironment world = new RelayTestEnvironment()) {
            RelayTestEnvironment.TestServer backend = world.startBackend();
            world.startWith(world.config(512, RelayTestEnvironment.backendList(1, true)), settings);
            world.answerWatch(
                    RelayTestEnvironment.backendList(
                            41,
                            true,
                            RelayTestEnvironment.backendEntry("s1", "127.0.0.1:1", "ready")));
            RelayTestEnvironment.await("the list is persisted", () -> isPersisted("list/target/s1"));
            world.kill();
            world.startWith(
                    world.config(
                            512,
                            RelayTestEnvironment.backendList(
                                    50,
                                    true,
                                    RelayTestEnvironment.backendEntry(
                                            "s2", backend.endpoint(), "ready"))),
                    settings);
            assertTrue(world.hasLogged("keep.list rev=41 known=50 taken=false"));
            world.establish(backend, world.sendOpen("a1", 5_000));
        }
    }

    @Test
    public void learnedStateThatIsTooOldIsIgnored() throws Exception {
        Files.writeString(
                settings,
                "store {\n  dir = \""
                        + dir
                        + "\"\n  every = \"100ms\"\n"
                        + "  learnt_for = \"1s\"\n}\n");
        try (RelayTestEnvironment world = new RelayTestEnvironment()) {
            RelayTestEnvironment.TestServer backend = world.startBackend();
            String config =
                    world.config(
                            512,
                            RelayTestEnvironment.backendList(
                                    1,
                                    true,
                                    RelayTestEnvironment.backendEntry(
                                            "s1", backend.endpoint(), "ready")));
            world.startWith(config, settings);
            world.establish(backend, world.sendOpen("a1", 5_000));
            RelayTestEnvironment.await("learned state is persisted", () -> isPersisted("learnt"));
            world.kill();
            Thread.sleep(2_100); // twice the maximum age
            world.startWith(config, settings);
            assertTrue(world.logLines.toString(), world.hasLogged("servers=1 taken=false"));
        }
    }

    @Test
    public void acceptedConfigurationsArePersistedShownAndRolledBack() throws Exception {
        try (RelayTestEnvironment world = new RelayTestEnvironment()) {
            String first = world.config(512, RelayTestEnvironment.backendList(1, true));
            world.startWith(first, settings);
            RelayTestEnvironment.await(
                    "the first configuration is persisted", () -> isPersisted("config/0000000000000001"));
            String second = first.replace("\"rev\":1", "\"rev\":2");
            world.reload(second);
            RelayTestEnvironment.await(
                    "the second configuration is persisted", () -> isPersisted("config/0000000000000002"));
            world.reload("{}");
            RelayTestEnvironment.await(
                    "the invalid configuration is refused", () -> world.hasLogged("reload.refused"));
            String s = settings.toString();
            List<String> lines =
                    runCommand(0, "config", "history", "--settings", s).lines().toList();
            assertEquals(2, lines.size());
            assertTrue(
                    lines.get(1),
                    lines.get(1).matches("2 \\S+ [0-9a-f]{32} configuration=\\d+ settings=\\d+"));
            assertEquals(first, runCommand(0, "config", "show", "1", "--settings", s));
            String file = world.configFile().toString();
            runCommand(0, "config", "rollback", "1", "--settings", s, "--config", file);
            assertEquals(first, Files.readString(world.configFile()));
            world.reload(first);
            RelayTestEnvironment.await(
                    "the rollback is a new version", () -> isPersisted("config/0000000000000003"));
            assertEquals(
                    "saltstage: there is no version 9\n",
                    runCommand(1, "config", "rollback", "9", "--settings", s, "--config", file));
            assertEquals(first, Files.readString(world.configFile()));
        }
        try (Store store = Store.openToRead(new FileDisk(dir), StoreEventListener.NONE)) {
            List<ConfigurationVersions.Version> all = ConfigurationVersions.all(store);
            assertEquals(3, all.size());
            assertEquals(all.get(0).hash(), all.get(2).hash());
        }
    }

    @Test
    public void aDamagedStoreIsReportedAndTheRelayServes() throws Exception {
        Files.createDirectories(dir);
        Files.writeString(dir.resolve("manifest"), "rubbish");
        assertServesWithoutStore("keep.lost dir=" + dir + " why=\"damaged: manifest at ");
    }

    @Test
    public void aStoreInUseIsReportedAndTheRelayServes() throws Exception {
        try (Store held =
                Store.open(
                        FileDisk.openOrCreate(dir),
                        saltstage.store.StoreOptions.defaults(),
                        StoreEventListener.NONE)) {
            assertServesWithoutStore(
                    "keep.lost dir=" + dir + " why=\"the store is open in another process\"");
            assertTrue(held.isWritable());
        }
    }

    private void assertServesWithoutStore(String told) throws Exception {
        try (RelayTestEnvironment world = new RelayTestEnvironment()) {
            RelayTestEnvironment.TestServer backend = world.startBackend();
            world.startWith(
                    world.config(
                            512,
                            RelayTestEnvironment.backendList(
                                    1,
                                    true,
                                    RelayTestEnvironment.backendEntry(
                                            "s1", backend.endpoint(), "ready"))),
                    settings);
            assertTrue(world.logLines.toString(), world.hasLogged(told));
            world.establish(backend, world.sendOpen("a1", 5_000));
            RelayTestEnvironment.await("the totals report the lost store", () -> world.hasLogged("store=LOST"));
        }
    }
}

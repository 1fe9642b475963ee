package saltstage.configuration.follower;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import saltstage.configuration.ConfigurationView;
import saltstage.store.FaultDisk;
import saltstage.store.FileDisk;
import saltstage.store.Store;
import saltstage.store.StoreEvents;
import saltstage.store.StoreException;
import saltstage.store.StoreOptions;

/** Whatever happens to the disk at whichever step, it holds exactly a state that was accepted. */
class ConfigurationStoreTest {
    private static final Instant NOON = Instant.parse("2026-01-01T12:00:00Z");
    private static final int CRASHES_PER_STEP = 6;
    private static final long SNAPSHOT = 9;

    private final ScriptedHistory history = new ScriptedHistory(12, "a");

    @TempDir Path folder;

    /** The writes of one run, and which of them have returned. */
    private final class Run {
        long durable;
        long attempted;

        void on(FaultDisk disk) throws IOException {
            ConfigurationStore store = ConfigurationStore.open(disk, false, StoreEvents.NONE);
            write(store, 1, 1);
            write(store, 2, 4);
            store.confirmed(NOON);
            attempted = SNAPSHOT;
            store.replace(history.at(SNAPSHOT));
            durable = SNAPSHOT;
            write(store, SNAPSHOT + 1, 12);
            store.close();
        }

        private void write(ConfigurationStore store, long from, long to) throws IOException {
            attempted = to;
            store.write(history.changes(from, to).changes());
            durable = to;
        }

        void check(FaultDisk after) throws IOException {
            try (ConfigurationStore store =
                    ConfigurationStore.open(after, false, StoreEvents.NONE)) {
                ConfigurationView view = store.held().view();
                assertTrue(
                        view.revision() == durable || view.revision() == attempted,
                        view.revision() + " is neither " + durable + " nor " + attempted);
                assertEquals(history.at(view.revision()).digest(), view.digest());
                assertEquals(history.at(view.revision()).entries(), view.entries());
            }
        }
    }

    private int operations() throws IOException {
        FaultDisk disk = new FaultDisk();
        disk.arm(Integer.MAX_VALUE, FaultDisk.Fault.CRASH);
        new Run().on(disk);
        return disk.operations();
    }

    @ParameterizedTest
    @EnumSource(FaultDisk.Fault.class)
    void aFaultAtAnyStepLeavesAnAcceptedState(FaultDisk.Fault fault) throws IOException {
        int operations = operations();
        assertTrue(operations > 15, "operations: " + operations);
        for (int step = 0; step < operations; step++) {
            for (int crash = 0; crash < CRASHES_PER_STEP; crash++) {
                FaultDisk disk = new FaultDisk();
                disk.arm(step, fault);
                Run run = new Run();
                try {
                    run.on(disk);
                } catch (IOException | Error faulted) { // as armed
                    assertTrue(run.attempted >= run.durable);
                }
                run.check(disk.afterCrash(new Random(crash)));
            }
        }
    }

    @Test
    void whatOneProcessWroteAnotherSkips() throws IOException {
        FaultDisk disk = new FaultDisk();
        try (ConfigurationStore store = ConfigurationStore.open(disk, false, StoreEvents.NONE)) {
            store.write(history.changes(1, 5).changes());
            store.write(history.changes(3, 7).changes());
            assertThrows(IOException.class, () -> store.write(history.changes(9, 9).changes()));
            store.confirmed(NOON);
            store.confirmed(NOON.plusSeconds(1)); // not worth a write
        }
        HeldConfiguration held = ConfigurationStore.read(disk);
        assertEquals(history.at(7).digest(), held.view().digest());
        assertEquals(NOON, held.confirmedAt());
    }

    private Path setAside() throws IOException {
        try (var files = Files.list(folder)) {
            return files.filter(f -> f.getFileName().toString().contains(".set-aside-"))
                    .findFirst()
                    .orElseThrow();
        }
    }

    private void setsAside(Path dir, String why) throws IOException {
        List<String> told = new CopyOnWriteArrayList<>();
        StoreEvents events = (event, pairs) -> told.add(event + " " + List.of(pairs));
        try (ConfigurationDirectory opened = new ConfigurationDirectory(dir, events)) {
            assertEquals(0, opened.held().view().revision());
            assertNull(opened.held().confirmedAt());
            opened.write(history.changes(1, 2).changes());
        }
        assertEquals(1, told.size(), told.toString());
        assertTrue(told.get(0).startsWith("configuration.set_aside"), told.get(0));
        assertTrue(told.get(0).contains(why), told.get(0));
        assertTrue(Files.isDirectory(setAside()));
        assertEquals(2, ConfigurationStore.read(new FileDisk(dir)).view().revision());
    }

    @Test
    void aStoreOfSomethingElseIsSetAside() throws IOException {
        Path dir = folder.resolve("state");
        try (Store other = Store.open(FileDisk.at(dir), StoreOptions.usual(), StoreEvents.NONE)) {
            other.put("learnt".getBytes(), new byte[9]);
        }
        setsAside(dir, "a store of something else");
    }

    @Test
    void entriesThatDifferFromTheirDigestAreSetAside() throws IOException {
        Path dir = folder.resolve("state");
        try (ConfigurationDirectory sound = new ConfigurationDirectory(dir, StoreEvents.NONE)) {
            sound.write(history.changes(1, 5).changes());
        }
        try (Store store = Store.open(FileDisk.at(dir), StoreOptions.usual(), StoreEvents.NONE)) {
            store.delete("entry/shard/topic/2".getBytes());
        }
        setsAside(dir, "differ from their digest");
    }

    @Test
    void aDamagedStoreIsSetAside() throws IOException {
        Path dir = folder.resolve("state");
        try (ConfigurationDirectory sound = new ConfigurationDirectory(dir, StoreEvents.NONE)) {
            sound.write(history.changes(1, 5).changes());
        }
        Files.writeString(dir.resolve("manifest"), "rubbish");
        setsAside(dir, "damaged");
    }

    @Test
    void whileAnotherProcessWritesItsStateIsReadAndWritesFail() throws IOException {
        Path dir = folder.resolve("state");
        List<String> told = new ArrayList<>();
        ConfigurationDirectory first = new ConfigurationDirectory(dir, StoreEvents.NONE);
        first.write(history.changes(1, 5).changes());
        try (ConfigurationDirectory second =
                new ConfigurationDirectory(dir, (event, pairs) -> told.add(event))) {
            assertEquals(5, second.held().view().revision());
            assertEquals(List.of("configuration.shared"), told);
            assertThrows(
                    StoreException.Locked.class,
                    () -> second.write(history.changes(6, 6).changes()));
            first.write(history.changes(6, 7).changes());
            first.close();
            second.write(history.changes(6, 8).changes());
        }
        assertEquals(8, ConfigurationStore.read(new FileDisk(dir)).view().revision());
    }
}

package saltstage.configuration.follower;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Clock;
import java.time.Instant;
import java.time.ZoneOffset;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import saltstage.configuration.ConfigurationView;
import saltstage.store.FaultInjectingDisk;
import saltstage.store.FileDisk;
import saltstage.store.Store;
import saltstage.store.StoreEventListener;
import saltstage.store.StoreException;
import saltstage.store.StoreOptions;

/** Whatever happens to the disk at whichever step, it holds exactly a state that was accepted. */
class ConfigurationStoreTest {
    private static final Instant NOON = Instant.parse("2026-01-01T12:00:00Z");
    private static final Clock CLOCK = Clock.fixed(NOON, ZoneOffset.UTC);
    private static final int CRASHES_PER_STEP = 6;
    private static final StoreOptions SMALL = new StoreOptions(4 << 10, false, 1 << 20);
    private static final long SNAPSHOT = 9;

    private final ScriptedHistory history = new ScriptedHistory(12, "a");

    @TempDir Path folder;

    /** The writes of one run, and which of them have returned. */
    private final class Run {
        long durable;
        long attempted;

        void on(FaultInjectingDisk disk) throws IOException {
            ConfigurationStore store =
                    ConfigurationStore.open(disk, SMALL, CLOCK, StoreEventListener.NONE);
            write(store, 1, 1);
            write(store, 2, 4);
            store.confirmed(NOON.plusSeconds(60));
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

        void check(FaultInjectingDisk after) throws IOException {
            try (ConfigurationStore store =
                    ConfigurationStore.open(after, SMALL, CLOCK, StoreEventListener.NONE)) {
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
        FaultInjectingDisk disk = new FaultInjectingDisk();
        disk.injectFaultAt(Integer.MAX_VALUE, FaultInjectingDisk.Fault.CRASH);
        new Run().on(disk);
        return disk.operationCount();
    }

    @ParameterizedTest
    @EnumSource(FaultInjectingDisk.Fault.class)
    void aFaultAtAnyStepLeavesAnAcceptedState(FaultInjectingDisk.Fault fault) throws IOException {
        int operations = operations();
        assertTrue(operations > 15, "operations: " + operations);
        for (int step = 0; step < operations; step++) {
            for (int crash = 0; crash < CRASHES_PER_STEP; crash++) {
                FaultInjectingDisk disk = new FaultInjectingDisk();
                disk.injectFaultAt(step, fault);
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
        FaultInjectingDisk disk = new FaultInjectingDisk();
        try (ConfigurationStore store =
                ConfigurationStore.open(disk, SMALL, CLOCK, StoreEventListener.NONE)) {
            store.write(history.changes(1, 5).changes());
            store.write(history.changes(3, 7).changes());
            assertThrows(IOException.class, () -> store.write(history.changes(9, 9).changes()));
            store.confirmed(NOON.plusSeconds(1)); // not worth a write
        }
        HeldConfiguration held = ConfigurationStore.read(disk);
        assertEquals(history.at(7).digest(), held.view().digest());
        assertEquals(NOON, held.confirmedAt());
    }

    @Test
    void aConfirmationIsKeptOnceTheLastOneIsOld() throws IOException {
        FaultInjectingDisk disk = new FaultInjectingDisk();
        try (ConfigurationStore store =
                ConfigurationStore.open(disk, SMALL, CLOCK, StoreEventListener.NONE)) {
            store.confirmed(NOON); // of nothing: not kept
            assertNull(ConfigurationStore.read(disk).confirmedAt());
            store.write(history.changes(1, 1).changes());
            store.confirmed(NOON.plusSeconds(31));
        }
        assertEquals(NOON.plusSeconds(31), ConfigurationStore.read(disk).confirmedAt());
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
        StoreEventListener events = (event, pairs) -> told.add(event + " " + List.of(pairs));
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
        try (Store other = Store.open(FileDisk.openOrCreate(dir), StoreOptions.defaults(), StoreEventListener.NONE)) {
            other.put("learnt".getBytes(), new byte[9]);
        }
        setsAside(dir, "a store of something else");
    }

    @Test
    void entriesThatDifferFromTheirDigestAreSetAside() throws IOException {
        Path dir = folder.resolve("state");
        try (ConfigurationDirectory sound = new ConfigurationDirectory(dir, StoreEventListener.NONE)) {
            sound.write(history.changes(1, 5).changes());
        }
        try (Store store = Store.open(FileDisk.openOrCreate(dir), StoreOptions.defaults(), StoreEventListener.NONE)) {
            store.delete("entry/shard/topic/2".getBytes());
        }
        setsAside(dir, "differ from their digest");
    }

    @Test
    void aDamagedStoreIsSetAside() throws IOException {
        Path dir = folder.resolve("state");
        try (ConfigurationDirectory sound = new ConfigurationDirectory(dir, StoreEventListener.NONE)) {
            sound.write(history.changes(1, 5).changes());
        }
        Files.writeString(dir.resolve("manifest"), "rubbish");
        setsAside(dir, "damaged");
    }

    @Test
    void whileAnotherProcessWritesItsStateIsReadAndWritesFail() throws IOException {
        Path dir = folder.resolve("state");
        List<String> told = new ArrayList<>();
        ConfigurationDirectory first = new ConfigurationDirectory(dir, StoreEventListener.NONE);
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

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

/**
 * Guards against a disk that holds a mixture of revisions: after a fault at any step of a write, it
 * must hold exactly one accepted state. Also covers foreign, damaged and locked stores.
 */
class ConfigurationStoreTest {
    private static final Instant NOON = Instant.parse("2026-01-01T12:00:00Z");
    private static final Clock CLOCK = Clock.fixed(NOON, ZoneOffset.UTC);
    private static final int CRASHES_PER_STEP = 6;
    private static final StoreOptions SMALL_SEGMENTS = new StoreOptions(4 << 10, false, 1 << 20);
    private static final long SNAPSHOT_REVISION = 9;

    private final ScriptedHistory history = new ScriptedHistory(12, "a");

    @TempDir Path folder;

    /** The writes of one run, with the newest attempted and the newest durable revision. */
    private final class WriteRun {
        long durableRevision;
        long attemptedRevision;

        void writeAll(FaultInjectingDisk disk) throws IOException {
            ConfigurationStore store =
                    ConfigurationStore.open(disk, SMALL_SEGMENTS, CLOCK, StoreEventListener.NONE);
            write(store, 1, 1);
            write(store, 2, 4);
            store.recordConfirmation(NOON.plusSeconds(60));
            attemptedRevision = SNAPSHOT_REVISION;
            store.replace(history.viewAt(SNAPSHOT_REVISION));
            durableRevision = SNAPSHOT_REVISION;
            write(store, SNAPSHOT_REVISION + 1, 12);
            store.close();
        }

        private void write(ConfigurationStore store, long from, long to) throws IOException {
            attemptedRevision = to;
            store.write(history.changesResponse(from, to).changes());
            durableRevision = to;
        }

        void checkRecovered(FaultInjectingDisk disk) throws IOException {
            try (ConfigurationStore store =
                    ConfigurationStore.open(disk, SMALL_SEGMENTS, CLOCK, StoreEventListener.NONE)) {
                ConfigurationView view = store.persistedConfiguration().view();
                assertTrue(
                        view.revision() == durableRevision || view.revision() == attemptedRevision,
                        view.revision()
                                + " is neither "
                                + durableRevision
                                + " nor "
                                + attemptedRevision);
                assertEquals(history.viewAt(view.revision()).digest(), view.digest());
                assertEquals(history.viewAt(view.revision()).entries(), view.entries());
            }
        }
    }

    private int countOperations() throws IOException {
        FaultInjectingDisk disk = new FaultInjectingDisk();
        disk.injectFaultAt(Integer.MAX_VALUE, FaultInjectingDisk.Fault.CRASH);
        new WriteRun().writeAll(disk);
        return disk.operationCount();
    }

    @ParameterizedTest
    @EnumSource(FaultInjectingDisk.Fault.class)
    void aFaultAtAnyStepLeavesAnAcceptedState(FaultInjectingDisk.Fault fault) throws IOException {
        int operations = countOperations();
        assertTrue(operations > 15, "operations: " + operations);
        for (int step = 0; step < operations; step++) {
            for (int crash = 0; crash < CRASHES_PER_STEP; crash++) {
                FaultInjectingDisk disk = new FaultInjectingDisk();
                disk.injectFaultAt(step, fault);
                WriteRun run = new WriteRun();
                try {
                    run.writeAll(disk);
                } catch (IOException | Error injected) { // the injected fault
                    assertTrue(run.attemptedRevision >= run.durableRevision);
                }
                run.checkRecovered(disk.afterCrash(new Random(crash)));
            }
        }
    }

    @Test
    void changesWrittenByAnotherProcessAreSkipped() throws IOException {
        FaultInjectingDisk disk = new FaultInjectingDisk();
        try (ConfigurationStore store =
                ConfigurationStore.open(disk, SMALL_SEGMENTS, CLOCK, StoreEventListener.NONE)) {
            store.write(history.changesResponse(1, 5).changes());
            store.write(history.changesResponse(3, 7).changes());
            assertThrows(
                    IOException.class, () -> store.write(history.changesResponse(9, 9).changes()));
            store.recordConfirmation(NOON.plusSeconds(1)); // too recent to be persisted
        }
        PersistedConfiguration persisted = ConfigurationStore.read(disk);
        assertEquals(history.viewAt(7).digest(), persisted.view().digest());
        assertEquals(NOON, persisted.confirmedAt());
    }

    @Test
    void confirmationIsPersistedOnceTheLastOneIsOld() throws IOException {
        FaultInjectingDisk disk = new FaultInjectingDisk();
        try (ConfigurationStore store =
                ConfigurationStore.open(disk, SMALL_SEGMENTS, CLOCK, StoreEventListener.NONE)) {
            store.recordConfirmation(NOON); // not persisted, as there is no revision yet
            assertNull(ConfigurationStore.read(disk).confirmedAt());
            store.write(history.changesResponse(1, 1).changes());
            store.recordConfirmation(NOON.plusSeconds(31));
        }
        assertEquals(NOON.plusSeconds(31), ConfigurationStore.read(disk).confirmedAt());
    }

    private Path setAsideDirectory() throws IOException {
        try (var files = Files.list(folder)) {
            return files.filter(file -> file.getFileName().toString().contains(".set-aside-"))
                    .findFirst()
                    .orElseThrow();
        }
    }

    private void assertSetAside(Path dir, String reason) throws IOException {
        List<String> loggedEvents = new CopyOnWriteArrayList<>();
        StoreEventListener events =
                (event, pairs) -> loggedEvents.add(event + " " + List.of(pairs));
        try (ConfigurationDirectory opened = new ConfigurationDirectory(dir, events)) {
            assertEquals(0, opened.persistedConfiguration().view().revision());
            assertNull(opened.persistedConfiguration().confirmedAt());
            opened.write(history.changesResponse(1, 2).changes());
        }
        assertEquals(1, loggedEvents.size(), loggedEvents.toString());
        assertTrue(loggedEvents.get(0).startsWith("configuration.set_aside"), loggedEvents.get(0));
        assertTrue(loggedEvents.get(0).contains(reason), loggedEvents.get(0));
        assertTrue(Files.isDirectory(setAsideDirectory()));
        assertEquals(2, ConfigurationStore.read(new FileDisk(dir)).view().revision());
    }

    @Test
    void foreignStoreIsSetAside() throws IOException {
        Path dir = folder.resolve("state");
        try (Store other =
                Store.open(
                        FileDisk.openOrCreate(dir),
                        StoreOptions.defaults(),
                        StoreEventListener.NONE)) {
            other.put("learnt".getBytes(), new byte[9]);
        }
        assertSetAside(dir, "a store of something else");
    }

    @Test
    void entriesThatDifferFromTheirDigestAreSetAside() throws IOException {
        Path dir = folder.resolve("state");
        try (ConfigurationDirectory directory =
                new ConfigurationDirectory(dir, StoreEventListener.NONE)) {
            directory.write(history.changesResponse(1, 5).changes());
        }
        try (Store store =
                Store.open(
                        FileDisk.openOrCreate(dir),
                        StoreOptions.defaults(),
                        StoreEventListener.NONE)) {
            store.delete("entry/shard/topic/2".getBytes());
        }
        assertSetAside(dir, "differ from their digest");
    }

    @Test
    void aDamagedStoreIsSetAside() throws IOException {
        Path dir = folder.resolve("state");
        try (ConfigurationDirectory directory =
                new ConfigurationDirectory(dir, StoreEventListener.NONE)) {
            directory.write(history.changesResponse(1, 5).changes());
        }
        Files.writeString(dir.resolve("manifest"), "rubbish");
        assertSetAside(dir, "damaged");
    }

    @Test
    void storeLockedByAnotherProcessIsReadableButNotWritable() throws IOException {
        Path dir = folder.resolve("state");
        List<String> loggedEvents = new ArrayList<>();
        ConfigurationDirectory first = new ConfigurationDirectory(dir, StoreEventListener.NONE);
        first.write(history.changesResponse(1, 5).changes());
        try (ConfigurationDirectory second =
                new ConfigurationDirectory(dir, (event, pairs) -> loggedEvents.add(event))) {
            assertEquals(5, second.persistedConfiguration().view().revision());
            assertEquals(List.of("configuration.shared"), loggedEvents);
            assertThrows(
                    StoreException.Locked.class,
                    () -> second.write(history.changesResponse(6, 6).changes()));
            first.write(history.changesResponse(6, 7).changes());
            first.close();
            second.write(history.changesResponse(6, 8).changes());
        }
        assertEquals(8, ConfigurationStore.read(new FileDisk(dir)).view().revision());
    }
}

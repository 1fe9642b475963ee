package saltstage.persistence;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.Test;
import saltstage.Api.LearnedBackend;
import saltstage.Api.LearnedState;
import saltstage.config.OperatorSettings.PersistenceSettings;
import saltstage.store.FaultInjectingDisk;
import saltstage.wire.BackendList;

/**
 * State that is handed to the store is persisted, or its loss is reported, also when the disk is
 * full or fails. Guards against use of outdated learned state and of values in an unknown format.
 */
class RelayStateStoreTest {
    private static final Instant NOON = Instant.parse("2026-12-01T12:00:00Z");
    private static final PersistenceSettings SETTINGS =
            new PersistenceSettings(
                    Path.of("none"),
                    4096,
                    Duration.ofMinutes(10),
                    Duration.ofMillis(20),
                    3,
                    1 << 20);

    private final FaultInjectingDisk disk = new FaultInjectingDisk();

    private RelayStateStore open(Instant now) {
        return RelayStateStore.open(SETTINGS, () -> now, () -> disk);
    }

    private static LearnedState learnedState(int setup) {
        return new LearnedState(
                setup,
                2,
                3,
                4,
                0.5,
                6,
                List.of(new LearnedBackend("s1", 7, 100, 10, 90, 2, 5_000_000)),
                Map.of(9L, 0.75));
    }

    private static BackendList list(long revision, String... ids) {
        return new BackendList(
                revision,
                true,
                List.of(ids).stream()
                        .map(
                                id ->
                                        new BackendList.Entry(
                                                id,
                                                new InetSocketAddress("127.0.0.1", 9),
                                                "a",
                                                3,
                                                BackendList.State.READY,
                                                1.5,
                                                NOON))
                        .toList());
    }

    private static void await(BooleanSupplier condition) throws InterruptedException {
        for (int waitedMillis = 0; !condition.getAsBoolean(); waitedMillis += 10) {
            assertTrue(waitedMillis < 30_000);
            Thread.sleep(10);
        }
    }

    private void persist(BackendList list, LearnedState learnedState) {
        RelayStateStore stateStore = open(NOON);
        stateStore.saveList(list);
        stateStore.start(() -> learnedState);
        stateStore.close(Duration.ofSeconds(30));
        assertEquals(RelayStateStore.State.OK, stateStore.state());
    }

    @Test
    void theListIsRestoredUnchanged() {
        persist(list(5, "s1", "s2", "s3"), learnedState(1));
        persist(list(8, "s2", "s4"), learnedState(1));
        BackendList restored = open(NOON).persistedList().orElseThrow();
        assertEquals(list(8, "s2", "s4"), restored);
    }

    /** Guards against a new process that persists nothing after a replacement. */
    @Test
    void aStoreThatAnotherProcessHasOpenIsUsedOnceThatHasClosedIt() throws Exception {
        RelayStateStore old = open(NOON);
        old.start(() -> learnedState(1));
        RelayStateStore next = open(NOON);
        assertEquals(RelayStateStore.State.LOST, next.state());
        next.saveList(list(5, "s1"));
        next.start(() -> learnedState(2));
        old.close(Duration.ofSeconds(30));
        await(() -> next.state() == RelayStateStore.State.OK);
        next.close(Duration.ofSeconds(30));
        assertEquals(list(5, "s1"), open(NOON).persistedList().orElseThrow());
    }

    /** Guards against an older list of the new process in place of the old one's last list. */
    @Test
    void aNewerListThatAnotherProcessHasLeftStays() {
        persist(list(8, "s1", "s2"), learnedState(1));
        persist(list(7, "s1"), learnedState(1));
        assertEquals(list(8, "s1", "s2"), open(NOON).persistedList().orElseThrow());
    }

    @Test
    void learnedStateAgesAndATurnedBackClockIsNotTrusted() {
        persist(list(5, "s1"), learnedState(11));
        RelayStateStore later = open(NOON.plusSeconds(2));
        LearnedState restored = later.persistedLearnedState().orElseThrow();
        assertEquals(11, restored.setupLatency());
        assertEquals(6, restored.capacityShare());
        assertEquals(Map.of(9L, 0.75), restored.groupShares());
        assertEquals(3_000_000, restored.backends().get(0).remainingEjection());
        later.start(() -> restored);
        later.close(Duration.ofSeconds(30));
        RelayStateStore tooLate =
                open(NOON.plusSeconds(2).plus(SETTINGS.maxLearnedStateAge()).plusMillis(1));
        assertTrue(tooLate.persistedLearnedState().isEmpty());
        tooLate.start(() -> new LearnedState(0, 0, 0, 0, 0, 0, List.of(), Map.of()));
        tooLate.close(Duration.ofSeconds(30));
        assertTrue(open(NOON.minusSeconds(60)).persistedLearnedState().isEmpty());
    }

    @Test
    void theOldestConfigurationsAreDeletedAndARepeatedOneIsNoNewVersion() throws IOException {
        RelayStateStore stateStore = open(NOON);
        for (String text : new String[] {"a", "b", "b", "c", "d", "e"}) {
            stateStore.saveConfiguration(text, "s");
        }
        stateStore.start(() -> learnedState(1));
        stateStore.close(Duration.ofSeconds(30));
        try (saltstage.store.Store store =
                saltstage.store.Store.openToRead(disk, saltstage.store.StoreEventListener.NONE)) {
            assertEquals(
                    List.of("3 c", "4 d", "5 e"),
                    ConfigurationVersions.all(store).stream()
                            .map(version -> version.number() + " " + version.configuration())
                            .toList());
        }
    }

    @Test
    void aFullDiskIsReportedAndPendingStateIsWrittenWhenThereIsRoom() throws Exception {
        RelayStateStore stateStore = open(NOON);
        disk.injectFaultAt(0, FaultInjectingDisk.Fault.DISK_FULL);
        stateStore.saveConfiguration("x".repeat(5_000), ""); // larger than the preallocated segment
        stateStore.start(() -> learnedState(1));
        await(() -> stateStore.state() == RelayStateStore.State.FULL);
        disk.clearFaults();
        stateStore.close(Duration.ofSeconds(30));
        try (saltstage.store.Store store =
                saltstage.store.Store.openToRead(disk, saltstage.store.StoreEventListener.NONE)) {
            assertEquals(1, ConfigurationVersions.all(store).size());
        }
    }

    @Test
    void aFailedForceLosesOnlyTheStore() throws Exception {
        RelayStateStore stateStore = open(NOON);
        disk.injectFaultAt(0, FaultInjectingDisk.Fault.IO_ERROR);
        stateStore.start(() -> learnedState(1));
        for (int i = 0; stateStore.state() != RelayStateStore.State.LOST; i++) {
            assertTrue(i < 3_000);
            stateStore.saveList(list(i + 1, "s1"));
            disk.injectFaultAt(0, FaultInjectingDisk.Fault.IO_ERROR);
            Thread.sleep(10);
        }
        stateStore.saveList(list(99, "s9")); // neither blocks nor throws
        stateStore.close(Duration.ofSeconds(30));
    }

    @Test
    void bytesOfAnotherVersionAreRefusedAndNotGuessed() throws IOException {
        byte[] bytes =
                RelayStateCodec.encodeLearnedState(
                        new RelayStateCodec.TimestampedState(NOON, learnedState(1)));
        for (int length = 0; length < bytes.length; length++) {
            byte[] truncated = java.util.Arrays.copyOf(bytes, length);
            assertThrows(IOException.class, () -> RelayStateCodec.decodeLearnedState(truncated));
        }
        byte[] firstVersion = java.util.Arrays.copyOf(bytes, bytes.length - Double.BYTES);
        firstVersion[0] = 1;
        assertEquals(
                0,
                RelayStateCodec.decodeLearnedState(firstVersion).learnedState().capacityShare(),
                "the first format version can be read too");
        bytes[0] = 3;
        assertEquals(
                "learnt state of version 3; 2 is known",
                assertThrows(IOException.class, () -> RelayStateCodec.decodeLearnedState(bytes))
                        .getMessage());
    }
}

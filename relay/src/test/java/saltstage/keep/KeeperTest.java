package saltstage.keep;

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
import saltstage.Api.LearnedState;
import saltstage.Api.LearnedBackend;
import saltstage.config.OperatorSettings.Keeping;
import saltstage.store.FaultDisk;
import saltstage.wire.HostList;

/** What is handed over is kept, whatever the disk does meanwhile, or its loss is told. */
class KeeperTest {
    private static final Instant NOON = Instant.parse("2026-12-01T12:00:00Z");
    private static final Keeping SETTINGS =
            new Keeping(
                    Path.of("none"),
                    4096,
                    Duration.ofMinutes(10),
                    Duration.ofMillis(20),
                    3,
                    1 << 20);

    private final FaultDisk disk = new FaultDisk();

    private Keeper open(Instant now) {
        return Keeper.open(SETTINGS, () -> now, () -> disk);
    }

    private static LearnedState learnt(int setup) {
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

    private static HostList list(long rev, String... uids) {
        return new HostList(
                rev,
                true,
                List.of(uids).stream()
                        .map(
                                uid ->
                                        new HostList.Entry(
                                                uid,
                                                new InetSocketAddress("127.0.0.1", 9),
                                                "a",
                                                3,
                                                HostList.State.READY,
                                                1.5,
                                                NOON))
                        .toList());
    }

    private static void await(BooleanSupplier condition) throws InterruptedException {
        for (int waited = 0; !condition.getAsBoolean(); waited += 10) {
            assertTrue(waited < 30_000);
            Thread.sleep(10);
        }
    }

    private void keep(HostList list, LearnedState learnt) {
        Keeper keeper = open(NOON);
        keeper.listed(list);
        keeper.start(() -> learnt);
        keeper.close(Duration.ofSeconds(30));
        assertEquals(Keeper.State.OK, keeper.state());
    }

    @Test
    void theListComesBackAsItWas() {
        keep(list(5, "s1", "s2", "s3"), learnt(1));
        keep(list(8, "s2", "s4"), learnt(1));
        HostList back = open(NOON).keptList().orElseThrow();
        assertEquals(list(8, "s2", "s4"), back);
    }

    @Test
    void whatWasLearntAgesAndATurnedBackClockIsNotTrusted() {
        keep(list(5, "s1"), learnt(11));
        Keeper later = open(NOON.plusSeconds(2));
        LearnedState back = later.keptLearnt().orElseThrow();
        assertEquals(11, back.setupLatency());
        assertEquals(6, back.capacityShare());
        assertEquals(Map.of(9L, 0.75), back.groupShares());
        assertEquals(3_000_000, back.backends().get(0).remainingEjection());
        later.start(() -> back);
        later.close(Duration.ofSeconds(30));
        Keeper tooLate = open(NOON.plusSeconds(2).plus(SETTINGS.learntFor()).plusMillis(1));
        assertTrue(tooLate.keptLearnt().isEmpty());
        tooLate.start(() -> new LearnedState(0, 0, 0, 0, 0, 0, List.of(), Map.of()));
        tooLate.close(Duration.ofSeconds(30));
        assertTrue(open(NOON.minusSeconds(60)).keptLearnt().isEmpty());
    }

    @Test
    void theOldestConfigurationsGoAndARepeatedOneIsNoNewVersion() throws IOException {
        Keeper keeper = open(NOON);
        for (String text : new String[] {"a", "b", "b", "c", "d", "e"}) {
            keeper.accepted(text, "s");
        }
        keeper.start(() -> learnt(1));
        keeper.close(Duration.ofSeconds(30));
        try (saltstage.store.Store store =
                saltstage.store.Store.openToRead(disk, saltstage.store.StoreEvents.NONE)) {
            assertEquals(
                    List.of("3 c", "4 d", "5 e"),
                    History.all(store).stream()
                            .map(v -> v.number() + " " + v.configuration())
                            .toList());
        }
    }

    @Test
    void aFullDiskIsToldAndWhatWasHandedOverIsKeptWhenThereIsRoom() throws Exception {
        Keeper keeper = open(NOON);
        disk.arm(0, FaultDisk.Fault.FULL);
        keeper.accepted("x".repeat(5_000), ""); // more than the segment that was filled beforehand
        keeper.start(() -> learnt(1));
        await(() -> keeper.state() == Keeper.State.FULL);
        disk.makeRoom();
        keeper.close(Duration.ofSeconds(30));
        try (saltstage.store.Store store =
                saltstage.store.Store.openToRead(disk, saltstage.store.StoreEvents.NONE)) {
            assertEquals(1, History.all(store).size());
        }
    }

    @Test
    void aFailedForceLosesTheStoreAndNothingElse() throws Exception {
        Keeper keeper = open(NOON);
        disk.arm(0, FaultDisk.Fault.FAIL);
        keeper.start(() -> learnt(1));
        for (int i = 0; keeper.state() != Keeper.State.LOST; i++) {
            assertTrue(i < 3_000);
            keeper.listed(list(i + 1, "s1"));
            disk.arm(0, FaultDisk.Fault.FAIL);
            Thread.sleep(10);
        }
        keeper.listed(list(99, "s9")); // nobody waits, nothing throws
        keeper.close(Duration.ofSeconds(30));
    }

    @Test
    void bytesOfAnotherVersionAreRefusedAndNotGuessed() throws IOException {
        byte[] bytes = Codec.learnt(new Codec.Dated(NOON, learnt(1)));
        for (int length = 0; length < bytes.length; length++) {
            byte[] cut = java.util.Arrays.copyOf(bytes, length);
            assertThrows(IOException.class, () -> Codec.learnt(cut));
        }
        byte[] first = java.util.Arrays.copyOf(bytes, bytes.length - Double.BYTES);
        first[0] = 1;
        assertEquals(0, Codec.learnt(first).learnt().capacityShare(), "the first version is known too");
        bytes[0] = 3;
        assertEquals(
                "learnt state of version 3; 2 is known",
                assertThrows(IOException.class, () -> Codec.learnt(bytes)).getMessage());
    }
}

package saltstage.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assertions.fail;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.Random;
import java.util.TreeMap;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Damages the files of a store. Every open must either return the exact acknowledged state or fail
 * cleanly.
 */
class DamageTest {
    private final FaultInjectingDisk disk = new FaultInjectingDisk();
    private TreeMap<String, String> acknowledged;

    @BeforeEach
    void runWorkload() throws IOException {
        StoreWorkload workload = new StoreWorkload().open(disk);
        workload.run();
        acknowledged = workload.acknowledged;
    }

    private static String fileNameWithSuffix(FaultInjectingDisk disk, String suffix) {
        return disk.list().stream().filter(name -> name.endsWith(suffix)).findFirst().orElseThrow();
    }

    /**
     * Opens the store. Returns 0 if the state is exact and 1 if the open failed cleanly; anything
     * else fails the test.
     */
    private int openOutcome(FaultInjectingDisk changed, String description) {
        try (Store store =
                Store.open(changed, StoreWorkload.SMALL_SEGMENTS, StoreEventListener.NONE)) {
            assertEquals(acknowledged, StoreWorkload.dump(store), description);
            store.put(StoreWorkload.bytes("after"), StoreWorkload.bytes("all"));
            return 0;
        } catch (StoreException e) {
            assertTrue(e.getMessage().matches("damaged: \\S+ at \\d+: .*"), description + ": " + e);
            return 1;
        } catch (IOException | RuntimeException e) {
            return fail(description + ": " + e, e);
        }
    }

    @Test
    void everyFileTruncatedAtEveryByteIsRefused() {
        int[] outcomes = new int[2];
        for (String name : disk.list()) {
            byte[] original = disk.content(name);
            for (int length = 0; length < original.length; length++) {
                FaultInjectingDisk truncated = disk.durableCopy();
                truncated.putFile(name, Arrays.copyOf(original, length));
                int outcome = openOutcome(truncated, name + " cut to " + length);
                assertEquals(1, outcome, name + " cut to " + length + " looks like a shorter log");
                outcomes[outcome]++;
            }
        }
        System.out.println(
                "cut at every byte of "
                        + disk.list().size()
                        + " files: exact "
                        + outcomes[0]
                        + ", refused "
                        + outcomes[1]);
    }

    @Test
    void everyByteOfEveryFileFlipped() {
        int[] outcomes = new int[2];
        for (String name : disk.list()) {
            byte[] original = disk.content(name);
            for (int offset = 0; offset < original.length; offset++) {
                for (int mask : new int[] {0x01, 0xff}) {
                    byte[] flipped = original.clone();
                    flipped[offset] ^= (byte) mask;
                    FaultInjectingDisk changed = disk.durableCopy();
                    changed.putFile(name, flipped);
                    outcomes[openOutcome(changed, name + " flipped at " + offset)]++;
                }
            }
        }
        System.out.println(
                "every byte of "
                        + disk.list().size()
                        + " files flipped: exact "
                        + outcomes[0]
                        + ", refused "
                        + outcomes[1]);
        assertTrue(outcomes[0] > 0 && outcomes[1] > 0);
    }

    @Test
    void aMissingFileIsRefused() {
        for (String name : disk.list()) {
            FaultInjectingDisk without = disk.durableCopy();
            without.removeFile(name);
            assertEquals(1, openOutcome(without, "without " + name));
        }
    }

    @Test
    void aForeignSegmentIsRefused() throws IOException {
        FaultInjectingDisk other = new FaultInjectingDisk();
        new StoreWorkload().open(other).run();
        for (String name : other.list()) {
            FaultInjectingDisk mixed = disk.durableCopy();
            mixed.putFile(name, other.content(name));
            assertEquals(1, openOutcome(mixed, "with a foreign " + name));
        }
    }

    @Test
    void anOlderManifestIsRefused() throws IOException {
        FaultInjectingDisk fresh = new FaultInjectingDisk();
        StoreWorkload workload = new StoreWorkload().open(fresh);
        workload.commit("a=1");
        byte[] older = fresh.content(Manifest.NAME);
        for (int i = 0; i < 30; i++) {
            workload.commit("a=" + "x".repeat(100) + i);
        }
        acknowledged = workload.acknowledged;
        FaultInjectingDisk mixed = fresh.durableCopy();
        mixed.putFile(Manifest.NAME, older);
        assertEquals(1, openOutcome(mixed, "an older manifest over a newer log"));
    }

    @Test
    void damagedLastGroupIsRestoredFromItsMirrorAndReported() throws IOException {
        FaultInjectingDisk fresh = new FaultInjectingDisk();
        StoreWorkload workload = new StoreWorkload().open(fresh);
        workload.commit("a=1");
        workload.commit("b=2");
        String log = fileNameWithSuffix(fresh, ".log");
        byte[] original = fresh.content(log);
        int last =
                SegmentFormat.SEGMENT_HEADER_BYTES
                        + SegmentFormat.alignUp(
                                SegmentFormat.FRAME_HEADER_BYTES
                                        + original[SegmentFormat.SEGMENT_HEADER_BYTES + 11]);
        original[last + SegmentFormat.FRAME_HEADER_BYTES + 10] ^= 1;
        fresh.putFile(log, original);
        StoreWorkload after = new StoreWorkload().open(fresh.durableCopy());
        assertEquals(workload.acknowledged, StoreWorkload.dump(after.store));
        assertTrue(after.events.get(0).startsWith("store.restored"), after.events.toString());
        try (Store reader = Store.openToRead(fresh.durableCopy(), StoreEventListener.NONE)) {
            assertEquals(workload.acknowledged, StoreWorkload.dump(reader));
        }
    }

    @Test
    void damagedLargeLastGroupIsRefusedByItsCommitMarker() throws IOException {
        FaultInjectingDisk fresh = new FaultInjectingDisk();
        StoreWorkload workload = new StoreWorkload().open(fresh);
        workload.commit("a=" + "x".repeat(SegmentFormat.MAX_MIRRORED_BYTES + 1));
        acknowledged = workload.acknowledged;
        assertEquals(0, openOutcome(fresh.durableCopy(), "undamaged"));
        String log =
                fresh.list().stream()
                        .filter(
                                name ->
                                        fresh.content(name).length
                                                > SegmentFormat.MAX_MIRRORED_BYTES)
                        .findFirst()
                        .orElseThrow();
        byte[] original = fresh.content(log);
        original[SegmentFormat.MAX_MIRRORED_BYTES / 2] ^= 1;
        FaultInjectingDisk changed = fresh.durableCopy();
        changed.putFile(log, original);
        assertEquals(1, openOutcome(changed, "a large record flipped"));
    }

    /**
     * Guards against losing an acknowledged group that is damaged together with its mirror. The
     * test flips every pair of one byte in the last group and one in its mirror, and zeroes the log
     * from every offset of the two on.
     */
    @Test
    void lastGroupDamagedWithItsMirrorIsRefusedAndLeftUnchanged() throws IOException {
        FaultInjectingDisk fresh = new FaultInjectingDisk();
        StoreWorkload workload = new StoreWorkload().open(fresh);
        workload.commit("a=1");
        workload.commit("b=2");
        acknowledged = workload.acknowledged;
        String log = fileNameWithSuffix(fresh, ".log");
        byte[] original = fresh.content(log);
        int payload = SegmentFormat.BATCH_HEADER_BYTES + SegmentFormat.ENTRY_HEADER_BYTES + 2;
        int group =
                SegmentFormat.SEGMENT_HEADER_BYTES
                        + SegmentFormat.alignUp(SegmentFormat.FRAME_HEADER_BYTES + payload);
        int mirror = group + SegmentFormat.alignUp(SegmentFormat.FRAME_HEADER_BYTES + payload);
        int end = mirror + SegmentFormat.trailerBytes(mirror - group);
        int refused = 0;
        for (int first = group; first < mirror; first++) {
            for (int second = mirror; second < end; second++) {
                refused += outcomeWithTwoBytesFlipped(fresh, log, original, first, second);
            }
        }
        assertEquals(
                (SegmentFormat.FRAME_HEADER_BYTES + payload)
                        * (SegmentFormat.FRAME_HEADER_BYTES
                                + SegmentFormat.MIRROR_HEADER_BYTES
                                + mirror
                                - group),
                refused);
        // The zeroed tail reads as if it had never been written.
        for (int from = group; from < end; from++) {
            byte[] zeroed = original.clone();
            Arrays.fill(zeroed, from, zeroed.length, (byte) 0);
            FaultInjectingDisk changed = fresh.durableCopy();
            changed.putFile(log, zeroed);
            int expected = from < group + SegmentFormat.FRAME_HEADER_BYTES + payload ? 1 : 0;
            assertEquals(
                    expected, openOutcome(changed, "zeros from " + from), "zeros from " + from);
        }
        System.out.println("the last record and its mirror both damaged: refused " + refused);
    }

    /**
     * Returns {@link #openOutcome} with two bytes flipped, and checks that a failed open leaves the
     * log unchanged.
     */
    private int outcomeWithTwoBytesFlipped(
            FaultInjectingDisk fresh, String log, byte[] original, int first, int second) {
        byte[] damaged = original.clone();
        damaged[first] ^= 0x10;
        damaged[second] ^= 0x10;
        FaultInjectingDisk changed = fresh.durableCopy();
        changed.putFile(log, damaged);
        int outcome = openOutcome(changed, "flipped at " + first + " and " + second);
        assertTrue(
                outcome == 0 || Arrays.equals(damaged, changed.content(log)),
                "a refused log must stay unchanged");
        return outcome;
    }

    /**
     * Guards against opening a log that was restored from an older backup. Such a log is valid in
     * itself; only the acknowledged sequence number file shows that records are missing.
     */
    @Test
    void olderLogOrForeignAcknowledgedSeqFileIsRefused() throws IOException {
        FaultInjectingDisk fresh = new FaultInjectingDisk();
        StoreWorkload workload = new StoreWorkload().open(fresh);
        workload.commit("a=1");
        FaultInjectingDisk mixed = fresh.durableCopy();
        workload.commit("a=2");
        mixed.putFile(AcknowledgedSeqFile.NAME, fresh.content(AcknowledgedSeqFile.NAME));
        acknowledged = workload.acknowledged;
        assertEquals(1, openOutcome(mixed, "an older log"));
        FaultInjectingDisk foreign = fresh.durableCopy();
        foreign.putFile(AcknowledgedSeqFile.NAME, disk.content(AcknowledgedSeqFile.NAME));
        assertEquals(1, openOutcome(foreign, "the sequence number file of another store"));
        FaultInjectingDisk damaged = fresh.durableCopy();
        byte[] content = fresh.content(AcknowledgedSeqFile.NAME);
        content[8] ^= 1;
        content[AcknowledgedSeqFile.SLOT_BYTES + 8] ^= 1;
        damaged.putFile(AcknowledgedSeqFile.NAME, content);
        assertEquals(1, openOutcome(damaged, "neither slot is valid"));
        FaultInjectingDisk onlyFile = new FaultInjectingDisk();
        onlyFile.putFile(AcknowledgedSeqFile.NAME, fresh.content(AcknowledgedSeqFile.NAME));
        assertEquals(1, openOutcome(onlyFile, "only the sequence number file"));
    }

    /** Returns the disk after a crash that loses everything unforced. */
    private static FaultInjectingDisk afterPowerLoss(FaultInjectingDisk disk) {
        return disk.afterCrash(
                new Random() {
                    private static final long serialVersionUID = 1L;

                    @Override
                    public boolean nextBoolean() {
                        return false;
                    }
                });
    }

    /**
     * Replaces the log by an earlier version of it, which loses all later groups together with
     * their mirrors.
     */
    private static FaultInjectingDisk withLogOf(
            FaultInjectingDisk before, FaultInjectingDisk current) {
        String log = fileNameWithSuffix(current, ".log");
        current.putFile(log, before.content(log));
        return current;
    }

    /**
     * Guards against a power loss that takes back the acknowledged sequence number although writing
     * was idle or the store was closed. A log that lost records would then be accepted.
     */
    @Test
    void acknowledgedSeqIsDurableOnceWritingIsIdleOrTheStoreIsClosed() throws Exception {
        FaultInjectingDisk closing = new FaultInjectingDisk();
        StoreWorkload workload = new StoreWorkload().open(closing);
        for (int i = 0; i < 9; i++) {
            workload.commit("before" + i + "=1");
        }
        workload.store.checkpoint(); // larger than the later log: close() writes no checkpoint
        FaultInjectingDisk before = closing.durableCopy();
        workload.commit("a=1");
        acknowledged = workload.acknowledged;
        assertEquals(0, openOutcome(afterPowerLoss(closing).durableCopy(), "undamaged"));
        workload.store.close();
        assertEquals(1, openOutcome(withLogOf(before, afterPowerLoss(closing)), "closed"));

        FaultInjectingDisk idle = new FaultInjectingDisk();
        StoreOptions options = new StoreOptions(2048, true, 1 << 30);
        try (Store store = Store.open(idle, options, StoreEventListener.NONE)) {
            FaultInjectingDisk fresh = idle.durableCopy();
            store.put(StoreWorkload.bytes("a"), StoreWorkload.bytes("1"));
            SegmentFormat.StoreId id = Manifest.read(idle).storeId();
            for (int i = 0;
                    i < 2000 && AcknowledgedSeqFile.read(afterPowerLoss(idle), id) < 1;
                    i++) {
                Thread.sleep(10);
            }
            assertEquals(1, openOutcome(withLogOf(fresh, afterPowerLoss(idle)), "idle"));
        }
    }

    /** Guards against an interrupted write to the slot that the last force made durable. */
    @Test
    void oneSlotIsAlwaysDurableAndUnchanged() throws IOException {
        FaultInjectingDisk fresh = new FaultInjectingDisk();
        StoreWorkload workload = new StoreWorkload().open(fresh);
        for (int i = 0; i < 4; i++) {
            workload.commit("a=" + i);
            workload.commit("b=" + i);
            byte[] durable = afterPowerLoss(fresh).content(AcknowledgedSeqFile.NAME);
            byte[] current = fresh.content(AcknowledgedSeqFile.NAME);
            boolean first = isRangeEqual(durable, current, 0, AcknowledgedSeqFile.SLOT_BYTES);
            boolean second =
                    isRangeEqual(
                            durable,
                            current,
                            AcknowledgedSeqFile.SLOT_BYTES,
                            AcknowledgedSeqFile.FILE_BYTES);
            assertTrue(first ^ second, "round " + i);
            acknowledged = workload.acknowledged;
            FaultInjectingDisk damaged = fresh.durableCopy();
            byte[] interrupted = current.clone();
            Arrays.fill(
                    interrupted,
                    first ? AcknowledgedSeqFile.SLOT_BYTES : 0,
                    (first ? AcknowledgedSeqFile.SLOT_BYTES : 0) + 20,
                    (byte) 0);
            damaged.putFile(AcknowledgedSeqFile.NAME, interrupted);
            SegmentFormat.StoreId id = Manifest.read(fresh).storeId();
            assertEquals(
                    AcknowledgedSeqFile.read(afterPowerLoss(fresh), id),
                    AcknowledgedSeqFile.read(damaged, id),
                    "the number that the last force made durable");
            assertEquals(0, openOutcome(damaged, "write interrupted in a slot"));
            if (i == 1) {
                fresh = fresh.durableCopy(); // killed: the written data remains, but was not forced
            } else {
                workload.store.close();
            }
            workload = new StoreWorkload();
            workload.acknowledged = acknowledged;
            workload.open(fresh);
        }
    }

    private static boolean isRangeEqual(byte[] first, byte[] second, int from, int to) {
        return Arrays.equals(first, from, to, second, from, to);
    }

    /**
     * Guards against overwriting the only durable slot. After a kill the slot with the higher
     * number may be unforced, so that slot must be overwritten.
     */
    @Test
    void openOverwritesTheSlotThatMayNotBeDurable() throws IOException {
        for (int commits = 1; commits <= 2; commits++) {
            FaultInjectingDisk fresh = new FaultInjectingDisk();
            StoreWorkload workload = new StoreWorkload().open(fresh);
            workload.commit("a=1");
            if (commits == 2) {
                workload.store.close();
                workload = new StoreWorkload().open(fresh);
                workload.commit("a=2");
            }
            SegmentFormat.StoreId id = Manifest.read(fresh).storeId();
            byte[] before = fresh.content(AcknowledgedSeqFile.NAME);
            int higher = slotSeq(before, 0) > slotSeq(before, 1) ? 0 : 1;
            FaultInjectingDisk killed = fresh.durableCopy();
            killed.injectFaultAt(1, FaultInjectingDisk.Fault.CRASH); // the force
            assertThrows(
                    FaultInjectingDisk.SimulatedCrash.class,
                    () -> AcknowledgedSeqFile.open(killed, id, 9));
            byte[] after = killed.content(AcknowledgedSeqFile.NAME);
            assertEquals(9, slotSeq(after, higher));
            assertEquals(slotSeq(before, 1 - higher), slotSeq(after, 1 - higher));
        }
    }

    private static long slotSeq(byte[] file, int slot) {
        return ByteBuffer.wrap(file).getLong(slot * AcknowledgedSeqFile.SLOT_BYTES + 32);
    }

    /**
     * Guards against losing a recovered group. A group that was complete at a crash is visible
     * after the next open, so it counts as acknowledged from then on.
     */
    @Test
    void recoveredGroupCountsAsAcknowledged() throws IOException {
        FaultInjectingDisk fresh = new FaultInjectingDisk();
        StoreWorkload workload = new StoreWorkload().open(fresh);
        workload.commit("a=1");
        FaultInjectingDisk before = fresh.durableCopy();
        fresh.injectFaultAt(1, FaultInjectingDisk.Fault.CRASH); // the force of the next commit
        assertThrows(FaultInjectingDisk.SimulatedCrash.class, () -> workload.commit("b=2"));
        FaultInjectingDisk recovered =
                fresh.afterCrash(
                        new Random() {
                            private static final long serialVersionUID = 1L;

                            @Override
                            public boolean nextBoolean() {
                                return true;
                            }
                        });
        acknowledged = workload.requested;
        assertEquals(acknowledged, StoreWorkload.dump(new StoreWorkload().open(recovered).store));
        assertEquals(
                1,
                openOutcome(
                        withLogOf(before, afterPowerLoss(recovered)),
                        "visible after recovery, then lost"));
    }

    /**
     * A store of format 1 has no acknowledged sequence number file. It gets one when it is opened
     * for writing; from then on a missing file is damage.
     */
    @Test
    void formatOneStoreIsUpgraded() throws IOException {
        Manifest manifest = Manifest.decode(ByteBuffer.wrap(disk.content(Manifest.NAME)));
        byte[] formatOne =
                new Manifest(
                                (short) 1,
                                manifest.storeId(),
                                manifest.generation(),
                                manifest.nextFileId(),
                                manifest.checkpoint(),
                                manifest.segments())
                        .encode()
                        .array();
        FaultInjectingDisk first = disk.durableCopy();
        first.putFile(Manifest.NAME, formatOne);
        first.delete(AcknowledgedSeqFile.NAME);
        try (Store reader = Store.openToRead(first.durableCopy(), StoreEventListener.NONE)) {
            assertEquals(acknowledged, StoreWorkload.dump(reader));
        }
        StoreWorkload next = new StoreWorkload().open(first);
        assertEquals(acknowledged, StoreWorkload.dump(next.store));
        assertTrue(first.list().contains(AcknowledgedSeqFile.NAME));
        next.store.checkpoint();
        FaultInjectingDisk without = first.durableCopy();
        without.removeFile(AcknowledgedSeqFile.NAME);
        assertEquals(1, openOutcome(without, "the file is gone"));
    }

    /** A damaged checkpoint must be reported with the offset of the damaged block. */
    @Test
    void damagedCheckpointBlockIsReportedWithItsOffset() throws IOException {
        FaultInjectingDisk large = new FaultInjectingDisk();
        try (Store store =
                Store.open(
                        large,
                        new StoreOptions(1 << 20, false, 1 << 30),
                        StoreEventListener.NONE)) {
            Batch batch = new Batch();
            for (int i = 0; i < 4000; i++) {
                batch.put(StoreWorkload.bytes("key" + i), StoreWorkload.bytes("1"));
            }
            store.commit(batch);
            store.checkpoint();
        }
        String index = fileNameWithSuffix(large, ".index");
        byte[] content = large.content(index);
        int second = 64 + 8 + ByteBuffer.wrap(content).getInt(64);
        // The last byte of a version: only the block's checksum detects the change.
        content[second + 8 + 14 + 7] ^= 1;
        large.putFile(index, content);
        StoreException thrown =
                assertThrows(
                        StoreException.Damaged.class,
                        () -> Store.openToRead(large, StoreEventListener.NONE));
        assertEquals(
                "damaged: " + index + " at " + second + ": the block's checksum does not match",
                thrown.getMessage());
    }

    @Test
    void valueThatLooksLikeAFrameIsNotReadAsOne() throws IOException {
        FaultInjectingDisk fresh = new FaultInjectingDisk();
        StoreWorkload workload = new StoreWorkload().open(fresh);
        workload.commit("a=1");
        String log = fileNameWithSuffix(fresh, ".log");
        Manifest manifest = Manifest.decode(ByteBuffer.wrap(fresh.content(Manifest.NAME)));
        ByteBuffer frames = ByteBuffer.allocate(400);
        // Frames of a later record, one for each possible alignment.
        for (int i = 0; i < 8; i++) {
            frames.position(frames.position() + 1);
            int start = SegmentFormat.beginFrame(frames, SegmentFormat.GROUP_FRAME, 1, 1000);
            SegmentFormat.endFrame(
                    frames, start, new SegmentFormat.ChecksumSeed(manifest.storeId(), 1), 64);
        }
        byte[] value = frames.array();
        workload.store.put(StoreWorkload.bytes("b"), value);
        workload.store.put(StoreWorkload.bytes("c"), value);
        try (Store reopened =
                Store.open(
                        fresh.durableCopy(),
                        StoreWorkload.SMALL_SEGMENTS,
                        StoreEventListener.NONE)) {
            assertTrue(Arrays.equals(value, reopened.get(StoreWorkload.bytes("c"))));
        }
    }

    @Test
    void aDamagedValueIsRefusedWhenItIsRead() throws IOException {
        StoreWorkload.dump(Store.openToRead(disk.durableCopy(), StoreEventListener.NONE));
        String copy =
                disk.list().stream()
                        .filter(name -> name.endsWith(".copy"))
                        .findFirst()
                        .orElseThrow();
        byte[] content = disk.content(copy);
        content[content.length - 20] ^= 1;
        disk.putFile(copy, content);
        try (Store store = Store.openToRead(disk, StoreEventListener.NONE)) {
            StoreException thrown = assertThrows(StoreException.Damaged.class, store::verify);
            assertTrue(
                    thrown.getMessage().startsWith("damaged: " + copy + " at "),
                    thrown.getMessage());
        }
    }
}

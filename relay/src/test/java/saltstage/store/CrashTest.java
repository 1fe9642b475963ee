package saltstage.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.List;
import java.util.Random;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** Tests crashes, I/O failures and a full disk at every single operation of a workload. */
class CrashTest {
    private static final int SUBSETS_PER_CRASH = 6;

    private static int countOperations() throws IOException {
        FaultInjectingDisk disk = new FaultInjectingDisk();
        disk.injectFaultAt(Integer.MAX_VALUE, FaultInjectingDisk.Fault.CRASH);
        new StoreWorkload().open(disk).run();
        return disk.operationCount();
    }

    private static void assertRecovers(StoreWorkload night, FaultInjectingDisk left, String what)
            throws IOException {
        StoreWorkload next = new StoreWorkload();
        try {
            next.open(left);
        } catch (StoreException refused) {
            throw new AssertionError(
                    what + ": refused after a mere crash: " + refused.getMessage(), refused);
        }
        TreeMap<String, String> found = StoreWorkload.dump(next.store);
        assertTrue(
                found.equals(night.acknowledged) || found.equals(night.requested),
                what
                        + ": found "
                        + found
                        + ", acknowledged "
                        + night.acknowledged
                        + ", asked "
                        + night.requested);
        next.acknowledged = found;
        next.commit("later=1"); // the store works on, and dropped changes stay dropped
        next.commit("later=2", "all");
        TreeMap<String, String> more = next.acknowledged;
        next.store.close();
        assertEquals(
                more,
                StoreWorkload.dump(new StoreWorkload().open(left.durableCopy()).store),
                what + ", reopened");
    }

    @Test
    void crashAtEveryOperationRecoversTheAcknowledgedState() throws IOException {
        int operations = countOperations();
        int cases = 0;
        for (int at = 0; at < operations; at++) {
            FaultInjectingDisk disk = new FaultInjectingDisk();
            disk.injectFaultAt(at, FaultInjectingDisk.Fault.CRASH);
            StoreWorkload night = new StoreWorkload();
            int crash = at;
            assertThrows(
                    FaultInjectingDisk.SimulatedCrash.class,
                    () -> night.open(disk).run(),
                    () -> "no crash at " + crash);
            for (int subset = 0; subset < SUBSETS_PER_CRASH; subset++) {
                assertRecovers(
                        night,
                        disk.afterCrash(survivingWrites(subset, at)),
                        "crash at " + at + ", subset " + subset);
                cases++;
            }
        }
        System.out.println(
                "crash at each of " + operations + " operations: " + cases + " cases, all exact");
        assertTrue(operations > 300);
    }

    /**
     * Returns a choice of surviving writes: none for subset 0, all for subset 1, and random ones
     * for the others.
     */
    private static Random survivingWrites(int subset, int at) {
        return subset > 1
                ? new Random(31L * at + subset)
                : new Random() {
                    private static final long serialVersionUID = 1L;

                    @Override
                    public boolean nextBoolean() {
                        return subset == 1;
                    }
                };
    }

    @Test
    void aCrashDuringTheRecoveryFromACrash() throws IOException {
        int operations = countOperations();
        Random random = new Random(5);
        for (int i = 0; i < 150; i++) {
            FaultInjectingDisk disk = new FaultInjectingDisk();
            disk.injectFaultAt(random.nextInt(operations), FaultInjectingDisk.Fault.CRASH);
            StoreWorkload night = new StoreWorkload();
            assertThrows(FaultInjectingDisk.SimulatedCrash.class, () -> night.open(disk).run());
            FaultInjectingDisk left = disk.afterCrash(random);
            left.injectFaultAt(random.nextInt(6), FaultInjectingDisk.Fault.CRASH);
            try {
                new StoreWorkload().open(left);
            } catch (FaultInjectingDisk.SimulatedCrash again) {
                left = left.afterCrash(random);
            }
            left.clearFaults();
            assertRecovers(night, left, "second crash, round " + i);
        }
    }

    @Test
    void ioFailureAtEveryOperationKeepsTheAcknowledgedState() throws IOException {
        int operations = countOperations();
        int stopped = 0;
        for (FaultInjectingDisk.Fault fault :
                new FaultInjectingDisk.Fault[] {
                    FaultInjectingDisk.Fault.IO_ERROR, FaultInjectingDisk.Fault.SHORT_WRITE
                }) {
            for (int at = 0; at < operations; at++) {
                FaultInjectingDisk disk = new FaultInjectingDisk();
                disk.injectFaultAt(at, fault);
                StoreWorkload night = new StoreWorkload();
                try {
                    night.open(disk).run();
                } catch (IOException failed) {
                    stopped++;
                }
                if (night.store != null && !night.store.isWritable()) {
                    assertThrows(
                            StoreException.WritesStopped.class,
                            () ->
                                    night.store.put(
                                            StoreWorkload.bytes("more"), StoreWorkload.bytes("1")));
                    assertEquals(
                            night.acknowledged, StoreWorkload.dump(night.store), "reads go on");
                    assertTrue(
                            night.events.stream()
                                    .anyMatch(line -> line.startsWith("store.stopped")));
                }
                assertRecovers(night, disk.afterCrash(new Random(at)), fault + " at " + at);
            }
        }
        assertTrue(stopped > operations / 2, "stopped in " + stopped);
    }

    /**
     * Guards against replaying segments in an order in which they were not written, which occurred
     * when a bulk load was killed. If a spare segment got its id at its creation, a segment that
     * became active before it could be replayed after it.
     */
    @Test
    void spareSegmentCreatedBeforeAnotherSegmentIsReplayedAfterIt() throws IOException {
        FaultInjectingDisk disk = new FaultInjectingDisk();
        StoreState core =
                new StoreState(disk, StoreWorkload.SMALL_SEGMENTS, StoreEventListener.NONE);
        new Recovery(core, true).run();
        LogWriter writer = new LogWriter(core);
        GroupCommit commits = new GroupCommit(writer::write);
        disk.beforeNextCreate(
                () -> {
                    writer.roll(SegmentFormat.FRAME_HEADER_BYTES);
                    return null;
                });
        writer.prepareSpare();
        commits.commit(new Batch().put(StoreWorkload.bytes("a"), StoreWorkload.bytes("1")));
        writer.roll(SegmentFormat.FRAME_HEADER_BYTES);
        commits.commit(new Batch().put(StoreWorkload.bytes("a"), StoreWorkload.bytes("2")));
        TreeMap<String, String> wanted = new TreeMap<>();
        wanted.put("a", "2");
        assertEquals(
                wanted, StoreWorkload.dump(new StoreWorkload().open(disk.durableCopy()).store));
    }

    /**
     * Guards against retrying a failed force. The page cache drops the data that could not be
     * written, so a second force succeeds without having written it.
     */
    @Test
    void aFailedForceStopsWritesPermanently() throws IOException {
        for (FaultInjectingDisk.Fault fault :
                new FaultInjectingDisk.Fault[] {
                    FaultInjectingDisk.Fault.IO_ERROR, FaultInjectingDisk.Fault.SHORT_WRITE
                }) {
            FaultInjectingDisk disk = new FaultInjectingDisk();
            StoreWorkload night = new StoreWorkload().open(disk);
            night.commit("a=1");
            disk.injectFaultAt(fault == FaultInjectingDisk.Fault.IO_ERROR ? 1 : 0, fault);
            assertThrows(StoreException.WritesStopped.class, () -> night.commit("a=2"));
            for (int i = 0; i < 3; i++) {
                assertThrows(StoreException.WritesStopped.class, () -> night.commit("a=3"));
            }
            assertThrows(StoreException.class, night.store::checkpoint);
            assertEquals(night.acknowledged, StoreWorkload.dump(night.store));
            assertEquals(false, night.store.isWritable());
            assertEquals(1, night.events.size(), "said once: " + night.events);
            night.store.close();
        }
    }

    @Test
    void fullDiskRejectsWritesServesReadsAndRecovers() throws IOException {
        int operations = countOperations();
        int refused = 0;
        for (int at = 0; at < operations; at++) {
            FaultInjectingDisk disk = new FaultInjectingDisk();
            StoreWorkload night = new StoreWorkload().open(disk);
            disk.injectFaultAt(at, FaultInjectingDisk.Fault.DISK_FULL);
            try {
                night.run();
            } catch (StoreException.DiskFull | Disk.FullException full) {
                refused++;
                assertEquals(
                        night.acknowledged,
                        StoreWorkload.dump(night.store),
                        "reads go on at " + at);
            }
            disk.clearFaults();
            night.commit("room=again");
            assertEquals(night.acknowledged, StoreWorkload.dump(night.store));
            assertRecovers(night, disk.afterCrash(new Random(at)), "full at " + at);
        }
        assertTrue(refused > operations / 2, "refused in " + refused);
    }

    @Test
    void tornTailIsDroppedAndReportedWithFileOffsetAndLength() throws IOException {
        FaultInjectingDisk disk = new FaultInjectingDisk();
        StoreWorkload night = new StoreWorkload().open(disk);
        night.commit("a=1");
        disk.injectFaultAt(1, FaultInjectingDisk.Fault.CRASH); // the force of the next commit
        assertThrows(
                FaultInjectingDisk.SimulatedCrash.class,
                () -> night.commit("b=" + "x".repeat(700)));
        int[] sector = new int[1];
        FaultInjectingDisk left =
                disk.afterCrash(
                        new Random() {
                            private static final long serialVersionUID = 1L;

                            @Override
                            public boolean nextBoolean() {
                                return sector[0]++ % 2 == 0;
                            }
                        });
        StoreWorkload next = new StoreWorkload().open(left);
        assertEquals(night.acknowledged, StoreWorkload.dump(next.store));
        assertTrue(
                next.events
                        .get(0)
                        .matches(
                                "store.torn \\[file, [0-9a-f]{16}\\.log, offset, \\d+, length,"
                                        + " \\d+\\]"),
                next.events.toString());
        next.store.close();
        StoreWorkload third = new StoreWorkload().open(left.durableCopy());
        assertEquals(List.of(), third.events, "it is told once");
        String log =
                left.list().stream()
                        .filter(name -> name.endsWith(".log"))
                        .findFirst()
                        .orElseThrow();
        byte[] content = left.content(log);
        int end =
                SegmentFormat.SEGMENT_HEADER_BYTES
                        + 2 * 72
                        + 200; // behind the first group and its mirror
        for (int i = end; i < content.length; i++) {
            assertEquals(0, content[i], "left over at " + i);
        }
    }
}

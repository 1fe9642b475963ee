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

    private static void assertRecovers(
            StoreWorkload workload, FaultInjectingDisk remains, String description)
            throws IOException {
        StoreWorkload next = new StoreWorkload();
        try {
            next.open(remains);
        } catch (StoreException e) {
            throw new AssertionError(
                    description + ": open failed after a crash: " + e.getMessage(), e);
        }
        TreeMap<String, String> found = StoreWorkload.dump(next.store);
        assertTrue(
                found.equals(workload.acknowledged) || found.equals(workload.requested),
                description
                        + ": found "
                        + found
                        + ", acknowledged "
                        + workload.acknowledged
                        + ", requested "
                        + workload.requested);
        next.acknowledged = found;
        next.commit("later=1"); // the store works on, and dropped changes stay dropped
        next.commit("later=2", "all");
        TreeMap<String, String> expected = next.acknowledged;
        next.store.close();
        assertEquals(
                expected,
                StoreWorkload.dump(new StoreWorkload().open(remains.durableCopy()).store),
                description + ", reopened");
    }

    @Test
    void crashAtEveryOperationRecoversTheAcknowledgedState() throws IOException {
        int operations = countOperations();
        int cases = 0;
        for (int operation = 0; operation < operations; operation++) {
            FaultInjectingDisk disk = new FaultInjectingDisk();
            disk.injectFaultAt(operation, FaultInjectingDisk.Fault.CRASH);
            StoreWorkload workload = new StoreWorkload();
            int crash = operation;
            assertThrows(
                    FaultInjectingDisk.SimulatedCrash.class,
                    () -> workload.open(disk).run(),
                    () -> "no crash at " + crash);
            for (int subset = 0; subset < SUBSETS_PER_CRASH; subset++) {
                assertRecovers(
                        workload,
                        disk.afterCrash(survivingWrites(subset, operation)),
                        "crash at " + operation + ", subset " + subset);
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
    private static Random survivingWrites(int subset, int operation) {
        return subset > 1
                ? new Random(31L * operation + subset)
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
            StoreWorkload workload = new StoreWorkload();
            assertThrows(FaultInjectingDisk.SimulatedCrash.class, () -> workload.open(disk).run());
            FaultInjectingDisk remains = disk.afterCrash(random);
            remains.injectFaultAt(random.nextInt(6), FaultInjectingDisk.Fault.CRASH);
            try {
                new StoreWorkload().open(remains);
            } catch (FaultInjectingDisk.SimulatedCrash e) {
                remains = remains.afterCrash(random);
            }
            remains.clearFaults();
            assertRecovers(workload, remains, "second crash, round " + i);
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
            for (int operation = 0; operation < operations; operation++) {
                FaultInjectingDisk disk = new FaultInjectingDisk();
                disk.injectFaultAt(operation, fault);
                StoreWorkload workload = new StoreWorkload();
                try {
                    workload.open(disk).run();
                } catch (IOException e) {
                    stopped++;
                }
                if (workload.store != null && !workload.store.isWritable()) {
                    assertThrows(
                            StoreException.WritesStopped.class,
                            () ->
                                    workload.store.put(
                                            StoreWorkload.bytes("more"), StoreWorkload.bytes("1")));
                    assertEquals(
                            workload.acknowledged,
                            StoreWorkload.dump(workload.store),
                            "reads must continue");
                    assertTrue(
                            workload.events.stream()
                                    .anyMatch(line -> line.startsWith("store.stopped")));
                }
                assertRecovers(
                        workload,
                        disk.afterCrash(new Random(operation)),
                        fault + " at " + operation);
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
        StoreState state =
                new StoreState(disk, StoreWorkload.SMALL_SEGMENTS, StoreEventListener.NONE);
        new Recovery(state, true).run();
        LogWriter writer = new LogWriter(state);
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
        TreeMap<String, String> expected = new TreeMap<>();
        expected.put("a", "2");
        assertEquals(
                expected, StoreWorkload.dump(new StoreWorkload().open(disk.durableCopy()).store));
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
            StoreWorkload workload = new StoreWorkload().open(disk);
            workload.commit("a=1");
            disk.injectFaultAt(fault == FaultInjectingDisk.Fault.IO_ERROR ? 1 : 0, fault);
            assertThrows(StoreException.WritesStopped.class, () -> workload.commit("a=2"));
            for (int i = 0; i < 3; i++) {
                assertThrows(StoreException.WritesStopped.class, () -> workload.commit("a=3"));
            }
            assertThrows(StoreException.class, workload.store::checkpoint);
            assertEquals(workload.acknowledged, StoreWorkload.dump(workload.store));
            assertEquals(false, workload.store.isWritable());
            assertEquals(1, workload.events.size(), "must be reported once: " + workload.events);
            workload.store.close();
        }
    }

    @Test
    void fullDiskRejectsWritesServesReadsAndRecovers() throws IOException {
        int operations = countOperations();
        int rejected = 0;
        for (int operation = 0; operation < operations; operation++) {
            FaultInjectingDisk disk = new FaultInjectingDisk();
            StoreWorkload workload = new StoreWorkload().open(disk);
            disk.injectFaultAt(operation, FaultInjectingDisk.Fault.DISK_FULL);
            try {
                workload.run();
            } catch (StoreException.DiskFull | Disk.FullException e) {
                rejected++;
                assertEquals(
                        workload.acknowledged,
                        StoreWorkload.dump(workload.store),
                        "reads must continue, fault at " + operation);
            }
            disk.clearFaults();
            workload.commit("room=again");
            assertEquals(workload.acknowledged, StoreWorkload.dump(workload.store));
            assertRecovers(
                    workload, disk.afterCrash(new Random(operation)), "full at " + operation);
        }
        assertTrue(rejected > operations / 2, "rejected in " + rejected);
    }

    @Test
    void tornTailIsDroppedAndReportedWithFileOffsetAndLength() throws IOException {
        FaultInjectingDisk disk = new FaultInjectingDisk();
        StoreWorkload workload = new StoreWorkload().open(disk);
        workload.commit("a=1");
        disk.injectFaultAt(1, FaultInjectingDisk.Fault.CRASH); // the force of the next commit
        assertThrows(
                FaultInjectingDisk.SimulatedCrash.class,
                () -> workload.commit("b=" + "x".repeat(700)));
        int[] sector = new int[1];
        FaultInjectingDisk remains =
                disk.afterCrash(
                        new Random() {
                            private static final long serialVersionUID = 1L;

                            @Override
                            public boolean nextBoolean() {
                                return sector[0]++ % 2 == 0;
                            }
                        });
        StoreWorkload next = new StoreWorkload().open(remains);
        assertEquals(workload.acknowledged, StoreWorkload.dump(next.store));
        assertTrue(
                next.events
                        .get(0)
                        .matches(
                                "store.torn \\[file, [0-9a-f]{16}\\.log, offset, \\d+, length,"
                                        + " \\d+\\]"),
                next.events.toString());
        next.store.close();
        StoreWorkload reopened = new StoreWorkload().open(remains.durableCopy());
        assertEquals(List.of(), reopened.events, "must be reported only once");
        String log =
                remains.list().stream()
                        .filter(name -> name.endsWith(".log"))
                        .findFirst()
                        .orElseThrow();
        byte[] content = remains.content(log);
        int end =
                SegmentFormat.SEGMENT_HEADER_BYTES
                        + 2 * 72
                        + 200; // behind the first group and its mirror
        for (int i = end; i < content.length; i++) {
            assertEquals(0, content[i], "left over at " + i);
        }
    }
}

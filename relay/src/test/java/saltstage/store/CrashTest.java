package saltstage.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.List;
import java.util.Random;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** Crashes, failures and a full disk at every single operation of a night. */
class CrashTest {
    private static final int SUBSETS = 6;

    private static int operations() throws IOException {
        FaultDisk disk = new FaultDisk();
        disk.arm(Integer.MAX_VALUE, FaultDisk.Fault.CRASH);
        new Night().open(disk).run();
        return disk.operations();
    }

    private static void checkAfter(Night night, FaultDisk left, String what) throws IOException {
        Night next = new Night();
        try {
            next.open(left);
        } catch (StoreException refused) {
            throw new AssertionError(
                    what + ": refused after a mere crash: " + refused.getMessage(), refused);
        }
        TreeMap<String, String> found = Night.dump(next.store);
        assertTrue(
                found.equals(night.acked) || found.equals(night.asked),
                what
                        + ": found "
                        + found
                        + ", acknowledged "
                        + night.acked
                        + ", asked "
                        + night.asked);
        next.acked = found;
        next.commit("later=1"); // it serves on, and what was dropped does not come back
        next.commit("later=2", "all");
        TreeMap<String, String> more = next.acked;
        next.store.close();
        assertEquals(more, Night.dump(new Night().open(left.copy()).store), what + ", reopened");
    }

    @Test
    void aCrashAtEveryOperationWithAnyPartOfTheUnforcedKept() throws IOException {
        int operations = operations();
        int cases = 0;
        for (int at = 0; at < operations; at++) {
            FaultDisk disk = new FaultDisk();
            disk.arm(at, FaultDisk.Fault.CRASH);
            Night night = new Night();
            int crash = at;
            assertThrows(
                    FaultDisk.Crash.class,
                    () -> night.open(disk).run(),
                    () -> "no crash at " + crash);
            for (int subset = 0; subset < SUBSETS; subset++) {
                checkAfter(
                        night,
                        disk.afterCrash(chance(subset, at)),
                        "crash at " + at + ", subset " + subset);
                cases++;
            }
        }
        System.out.println(
                "crash at each of " + operations + " operations: " + cases + " cases, all exact");
        assertTrue(operations > 300);
    }

    /** Nothing kept, all kept, then by chance. */
    private static Random chance(int subset, int at) {
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
        int operations = operations();
        Random random = new Random(5);
        for (int i = 0; i < 150; i++) {
            FaultDisk disk = new FaultDisk();
            disk.arm(random.nextInt(operations), FaultDisk.Fault.CRASH);
            Night night = new Night();
            assertThrows(FaultDisk.Crash.class, () -> night.open(disk).run());
            FaultDisk left = disk.afterCrash(random);
            left.arm(random.nextInt(6), FaultDisk.Fault.CRASH);
            try {
                new Night().open(left);
            } catch (FaultDisk.Crash again) {
                left = left.afterCrash(random);
            }
            left.makeRoom();
            checkAfter(night, left, "second crash, round " + i);
        }
    }

    @Test
    void aFailureAtEveryOperationLosesAndInventsNothing() throws IOException {
        int operations = operations();
        int stopped = 0;
        for (FaultDisk.Fault fault :
                new FaultDisk.Fault[] {FaultDisk.Fault.FAIL, FaultDisk.Fault.SHORT}) {
            for (int at = 0; at < operations; at++) {
                FaultDisk disk = new FaultDisk();
                disk.arm(at, fault);
                Night night = new Night();
                try {
                    night.open(disk).run();
                } catch (IOException failed) {
                    stopped++;
                }
                if (night.store != null && !night.store.writable()) {
                    assertThrows(
                            StoreException.Stopped.class,
                            () -> night.store.put(Night.bytes("more"), Night.bytes("1")));
                    assertEquals(night.acked, Night.dump(night.store), "reads go on");
                    assertTrue(
                            night.told.stream().anyMatch(line -> line.startsWith("store.stopped")));
                }
                checkAfter(night, disk.afterCrash(new Random(at)), fault + " at " + at);
            }
        }
        assertTrue(stopped > operations / 2, "stopped in " + stopped);
    }

    /**
     * Seen when a loader was killed: the log was read in an order in which it had not been written.
     */
    @Test
    void aSpareThatWasBegunBeforeAnotherSegmentDoesNotComeBeforeIt() throws IOException {
        FaultDisk disk = new FaultDisk();
        Core core = new Core(disk, Night.SMALL, StoreEvents.NONE);
        new Recovery(core, true).run();
        LogWriter writer = new LogWriter(core);
        GroupCommit commits = new GroupCommit(writer::write);
        disk.beforeNextCreate(
                () -> {
                    writer.roll(Frames.HEAD);
                    return null;
                });
        writer.prepareSpare();
        commits.commit(new Batch().put(Night.bytes("a"), Night.bytes("1")));
        writer.roll(Frames.HEAD);
        commits.commit(new Batch().put(Night.bytes("a"), Night.bytes("2")));
        TreeMap<String, String> wanted = new TreeMap<>();
        wanted.put("a", "2");
        assertEquals(wanted, Night.dump(new Night().open(disk.copy()).store));
    }

    /**
     * The page cache forgets what a force could not write: a second one that succeeds means
     * nothing.
     */
    @Test
    void aFailedForceStopsAcknowledgingForGood() throws IOException {
        for (FaultDisk.Fault fault :
                new FaultDisk.Fault[] {FaultDisk.Fault.FAIL, FaultDisk.Fault.SHORT}) {
            FaultDisk disk = new FaultDisk();
            Night night = new Night().open(disk);
            night.commit("a=1");
            disk.arm(fault == FaultDisk.Fault.FAIL ? 1 : 0, fault);
            assertThrows(StoreException.Stopped.class, () -> night.commit("a=2"));
            for (int i = 0; i < 3; i++) {
                assertThrows(StoreException.Stopped.class, () -> night.commit("a=3"));
            }
            assertThrows(StoreException.class, night.store::checkpoint);
            assertEquals(night.acked, Night.dump(night.store));
            assertEquals(false, night.store.writable());
            assertEquals(1, night.told.size(), "said once: " + night.told);
            night.store.close();
        }
    }

    @Test
    void aFullDiskRefusesReadsOnAndRecovers() throws IOException {
        int operations = operations();
        int refused = 0;
        for (int at = 0; at < operations; at++) {
            FaultDisk disk = new FaultDisk();
            Night night = new Night().open(disk);
            disk.arm(at, FaultDisk.Fault.FULL);
            try {
                night.run();
            } catch (StoreException.Full | Disk.FullException full) {
                refused++;
                assertEquals(night.acked, Night.dump(night.store), "reads go on at " + at);
            }
            disk.makeRoom();
            night.commit("room=again");
            assertEquals(night.acked, Night.dump(night.store));
            checkAfter(night, disk.afterCrash(new Random(at)), "full at " + at);
        }
        assertTrue(refused > operations / 2, "refused in " + refused);
    }

    @Test
    void aTornTailIsDroppedAndToldWithFileOffsetAndLength() throws IOException {
        FaultDisk disk = new FaultDisk();
        Night night = new Night().open(disk);
        night.commit("a=1");
        disk.arm(1, FaultDisk.Fault.CRASH); // the force of the next commit
        assertThrows(FaultDisk.Crash.class, () -> night.commit("b=" + "x".repeat(700)));
        int[] sector = new int[1];
        FaultDisk left =
                disk.afterCrash(
                        new Random() {
                            private static final long serialVersionUID = 1L;

                            @Override
                            public boolean nextBoolean() {
                                return sector[0]++ % 2 == 0;
                            }
                        });
        Night next = new Night().open(left);
        assertEquals(night.acked, Night.dump(next.store));
        assertTrue(
                next.told
                        .get(0)
                        .matches(
                                "store.torn \\[file, [0-9a-f]{16}\\.log, offset, \\d+, length,"
                                        + " \\d+\\]"),
                next.told.toString());
        next.store.close();
        Night third = new Night().open(left.copy());
        assertEquals(List.of(), third.told, "it is told once");
        String log =
                left.list().stream()
                        .filter(name -> name.endsWith(".log"))
                        .findFirst()
                        .orElseThrow();
        byte[] content = left.content(log);
        int end = Frames.HEADER + 2 * 72 + 200; // the first group, its mirror, and more than that
        for (int i = end; i < content.length; i++) {
            assertEquals(0, content[i], "left over at " + i);
        }
    }
}

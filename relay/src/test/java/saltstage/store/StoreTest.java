package saltstage.store;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.locks.LockSupport;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Tests the guarantees of the store without faults, against a sorted map as a model and with
 * concurrent threads.
 */
class StoreTest {
    @TempDir Path dir;

    private static byte[] bytes(String text) {
        return StoreWorkload.bytes(text);
    }

    private Store openStore(int segment, boolean background) throws IOException {
        return Store.open(
                FileDisk.openOrCreate(dir.resolve("s")),
                new StoreOptions(segment, background, 1 << 30),
                StoreEventListener.NONE);
    }

    /**
     * The last digit of an operation selects it: 0 to 3 put, 4 and 5 delete, 6 batch, 7 checkpoint,
     * 8 compact, 9 close and reopen.
     */
    @Property(tries = 120, seed = "20261201")
    void behavesAsASortedMap(
            @ForAll @Size(min = 1, max = 120)
                    List<@IntRange(min = 0, max = 99_999) Integer> operations)
            throws IOException {
        FaultInjectingDisk disk = new FaultInjectingDisk();
        StoreWorkload workload = new StoreWorkload().open(disk);
        for (int operation : operations) {
            String key = "k" + operation / 10 % 40;
            switch (operation % 10) {
                case 0, 1, 2, 3 -> workload.commit(key + "=" + "v".repeat(operation / 500));
                case 4, 5 -> workload.commit(key);
                case 6 ->
                        workload.commit(
                                key + "=1",
                                "k" + operation / 400 % 40,
                                key + "=2",
                                "m" + operation % 7 + "=" + operation);
                case 7 -> workload.store.checkpoint();
                case 8 -> workload.store.compact();
                default -> {
                    workload.store.close();
                    workload.open(disk);
                }
            }
            assertEquals(workload.acknowledged, StoreWorkload.dump(workload.store));
        }
        Store.VerificationResult result = workload.store.verify();
        assertEquals(workload.acknowledged.size(), result.liveKeys());
        TreeMap<String, String> reread =
                StoreWorkload.dump(new StoreWorkload().open(disk.afterCrash(new Random(1))).store);
        assertEquals(workload.acknowledged, reread);
    }

    @Test
    void scansInOrderOfUnsignedBytesBetweenBounds() throws IOException {
        try (Store store = openStore(4096, false)) {
            List<byte[]> keys = new ArrayList<>();
            for (int i = 0; i < 256; i++) {
                keys.add(new byte[] {(byte) i, 1});
                store.put(new byte[] {(byte) (i * 37), 1}, new byte[] {(byte) (i * 37)});
            }
            try (Snapshot snapshot = store.snapshot()) {
                Snapshot.Scan scan = snapshot.scan(new byte[] {100}, new byte[] {(byte) 200, 1});
                for (int i = 100; i < 200; i++) {
                    assertTrue(scan.next());
                    assertArrayEquals(keys.get(i), scan.key());
                    assertArrayEquals(new byte[] {(byte) i}, scan.value());
                }
                assertTrue(!scan.next());
            }
        }
    }

    @Test
    void staleExpectedVersionRejectsTheWholeBatch() throws IOException {
        try (Store store = openStore(4096, false)) {
            long first =
                    store.commit(
                            new Batch().expectVersion(bytes("a"), 0).put(bytes("a"), bytes("1")));
            StoreException.VersionConflict conflict =
                    assertThrows(
                            StoreException.VersionConflict.class,
                            () ->
                                    store.commit(
                                            new Batch()
                                                    .put(bytes("b"), bytes("1"))
                                                    .expectVersion(bytes("a"), 0)
                                                    .put(bytes("a"), bytes("2"))));
            assertEquals(first, conflict.actualVersion());
            assertNull(store.get(bytes("b")));
            long second =
                    store.commit(
                            new Batch()
                                    .expectVersion(bytes("a"), first)
                                    .put(bytes("a"), bytes("2")));
            assertTrue(second > first);
            assertArrayEquals(bytes("2"), store.get(bytes("a")));
        }
    }

    @Test
    void aSecondOpenerIsRefusedAndReadersAreNot() throws IOException {
        try (Store store = openStore(4096, false)) {
            store.put(bytes("a"), bytes("1"));
            StoreException refused =
                    assertThrows(StoreException.Locked.class, () -> openStore(4096, false));
            assertEquals("the store is open in another process", refused.getMessage());
            try (Store reader =
                    Store.openToRead(new FileDisk(dir.resolve("s")), StoreEventListener.NONE)) {
                assertArrayEquals(bytes("1"), reader.get(bytes("a")));
                assertThrows(StoreException.class, () -> reader.put(bytes("a"), bytes("2")));
            }
        }
    }

    @Test
    void concurrentWritersShareGroupCommitsAndEachGetsItsOwnResult() throws Exception {
        int writers = 16;
        int incrementsPerWriter = 60;
        ConcurrentLinkedQueue<Throwable> failures = new ConcurrentLinkedQueue<>();
        try (Store store = openStore(32 << 10, true)) {
            store.put(bytes("shared"), ByteBuffer.allocate(8).array());
            List<Thread> threads = new ArrayList<>();
            for (int w = 0; w < writers; w++) {
                int writer = w;
                threads.add(
                        new Thread(
                                () -> {
                                    try {
                                        for (int i = 0; i < incrementsPerWriter; i++) {
                                            increment(store);
                                            store.put(
                                                    bytes("w" + writer + "-" + i),
                                                    bytes("x".repeat(i)));
                                        }
                                    } catch (IOException | RuntimeException e) {
                                        failures.add(e);
                                    }
                                }));
            }
            threads.forEach(Thread::start);
            while (threads.stream().anyMatch(Thread::isAlive)) {
                store.compact(); // moves entries while the writers overwrite them
            }
            assertTrue(failures.isEmpty(), failures.toString());
        }
        try (Store store = openStore(32 << 10, false)) {
            assertEquals(
                    writers * incrementsPerWriter,
                    ByteBuffer.wrap(store.get(bytes("shared"))).getLong());
            assertEquals(writers * incrementsPerWriter + 1, store.verify().liveKeys());
        }
    }

    private static void increment(Store store) throws IOException {
        byte[] key = bytes("shared");
        while (true) {
            try (Snapshot snapshot = store.snapshot()) {
                long next = ByteBuffer.wrap(snapshot.get(key)).getLong() + 1;
                store.commit(
                        new Batch()
                                .expectVersion(key, snapshot.version(key))
                                .put(key, ByteBuffer.allocate(8).putLong(next).array()));
                return;
            } catch (StoreException.VersionConflict e) {
                continue;
            }
        }
    }

    /**
     * Both keys of a pair are always written in one batch. The test fails if a reader sees only one
     * of the two changes, or if compaction deletes a segment that a snapshot still reads.
     */
    @Test
    void snapshotsStayConsistentDuringCompactions() throws Exception {
        AtomicBoolean done = new AtomicBoolean();
        ConcurrentLinkedQueue<Throwable> failures = new ConcurrentLinkedQueue<>();
        try (Store store = openStore(8 << 10, false)) {
            store.commit(new Batch().put(bytes("a"), bytes("0")).put(bytes("z"), bytes("0")));
            List<Thread> readers = new ArrayList<>();
            for (int r = 0; r < 3; r++) {
                readers.add(
                        new Thread(
                                () -> {
                                    try {
                                        while (!done.get()) {
                                            try (Snapshot view = store.snapshot()) {
                                                assertArrayEquals(
                                                        view.get(bytes("a")), view.get(bytes("z")));
                                                Thread.onSpinWait();
                                                assertArrayEquals(
                                                        view.get(bytes("a")), view.get(bytes("z")));
                                            }
                                        }
                                    } catch (IOException | AssertionError | RuntimeException e) {
                                        failures.add(e);
                                    }
                                }));
            }
            readers.forEach(Thread::start);
            for (int i = 1; i <= 400; i++) {
                byte[] value = bytes(i + "x".repeat(80));
                store.commit(
                        new Batch()
                                .put(bytes("a"), value)
                                .put(bytes("z"), value)
                                .put(bytes("k" + i % 20), value));
                if (i % 25 == 0) {
                    store.compact();
                }
            }
            done.set(true);
            for (Thread reader : readers) {
                reader.join();
            }
            assertTrue(failures.isEmpty(), failures.toString());
        }
    }

    @Test
    void compactionReclaimsSpaceOfDeletedData() throws IOException {
        try (Store store = openStore(16 << 10, false)) {
            for (int i = 0; i < 2_000; i++) {
                store.put(bytes("k" + i % 10), new byte[100]);
            }
            long before = store.statistics().fileBytes();
            store.compact();
            long after = store.statistics().fileBytes();
            assertTrue(after < before / 5, before + " then " + after);
            long bytesOnDisk = 0;
            for (java.io.File file : dir.resolve("s").toFile().listFiles()) {
                bytesOnDisk += file.length();
            }
            assertTrue(
                    bytesOnDisk <= after + 4096,
                    "bytes on the disk: " + bytesOnDisk + ", counted: " + after);
            assertEquals(10, store.verify().liveKeys());
        }
    }

    @Test
    void snapshotStaysReadableAfterCompactionRemovesItsSegments() throws IOException {
        FaultInjectingDisk disk = new FaultInjectingDisk();
        StoreWorkload workload = new StoreWorkload().open(disk);
        workload.run();
        TreeMap<String, String> expected = workload.acknowledged;
        TreeMap<String, String> found = new TreeMap<>();
        try (Snapshot snapshot = workload.store.snapshot()) {
            for (String key : expected.keySet()) {
                workload.commit(key + "=new");
            }
            workload.store.compact();
            Snapshot.Scan scan = snapshot.scan(null, null);
            while (scan.next()) {
                found.put(new String(scan.key()), new String(scan.value()));
            }
        }
        assertEquals(expected, found);
    }

    @Test
    void anInterruptedThreadNeitherFailsNorClosesTheFiles() throws IOException {
        try (Store store = openStore(4096, false)) {
            store.put(bytes("a"), bytes("1"));
            Thread.currentThread().interrupt();
            store.put(bytes("b"), bytes("2"));
            assertArrayEquals(bytes("1"), store.get(bytes("a")));
            assertTrue(Thread.interrupted(), "the interrupt flag is still set");
            store.put(bytes("c"), bytes("3"));
            Thread writer = Thread.currentThread();
            AtomicBoolean done = new AtomicBoolean();
            Thread interrupter =
                    new Thread(
                            () -> {
                                while (!done.get()) {
                                    writer.interrupt();
                                    LockSupport.parkNanos(300_000);
                                }
                            });
            interrupter.start();
            try {
                for (int i = 0; i < 300; i++) {
                    store.put(bytes("k" + i), bytes("v" + i));
                    assertArrayEquals(bytes("v" + i), store.get(bytes("k" + i)));
                }
            } finally {
                done.set(true);
                while (interrupter.isAlive()) {
                    Thread.interrupted();
                    Thread.onSpinWait();
                }
                Thread.interrupted();
            }
        }
    }

    /**
     * Guards against a group that outgrows the space reserved for it. The space is reserved for
     * both batches, but the large one is rejected by its expected version, and the mirror of the
     * small one is longer than the commit marker of the large one would have been.
     */
    @Test
    void groupWithRejectedLargeBatchStaysWithinItsReservedSpace() throws IOException {
        FaultInjectingDisk disk = new FaultInjectingDisk();
        StoreState state =
                new StoreState(disk, StoreWorkload.SMALL_SEGMENTS, StoreEventListener.NONE);
        new Recovery(state, true).run();
        LogWriter writer = new LogWriter(state);
        PendingBatch small =
                new PendingBatch(
                        new Batch()
                                .put(bytes("s"), new byte[SegmentFormat.MAX_MIRRORED_BYTES - 200]));
        PendingBatch large =
                new PendingBatch(
                        new Batch().expectVersion(bytes("x"), 9).put(bytes("l"), new byte[1_000]));
        writer.write(List.of(small, large));
        assertEquals(1, small.result());
        assertThrows(StoreException.VersionConflict.class, large::result);
        try (Store store =
                Store.open(
                        disk.durableCopy(),
                        StoreWorkload.SMALL_SEGMENTS,
                        StoreEventListener.NONE)) {
            assertEquals(1, store.verify().liveKeys());
        }
    }

    @Test
    void largeBatchesSurviveReopenAndCompaction() throws IOException {
        byte[] large = new byte[200 << 10];
        new Random(3).nextBytes(large);
        try (Store store = openStore(64 << 10, false)) {
            store.commit(new Batch().put(bytes("large"), large).put(bytes("small"), bytes("1")));
        }
        try (Store store = openStore(64 << 10, false)) {
            assertArrayEquals(large, store.get(bytes("large")));
            store.put(bytes("large"), bytes("now small"));
            store.compact();
            assertArrayEquals(bytes("now small"), store.get(bytes("large")));
        }
    }
}

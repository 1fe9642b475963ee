package saltstage.lab.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.concurrent.atomic.AtomicReference;
import java.util.concurrent.atomic.LongAdder;
import java.util.stream.Stream;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import saltstage.lab.Installation;
import saltstage.store.Batch;
import saltstage.store.FileDisk;
import saltstage.store.Store;
import saltstage.store.StoreEventListener;
import saltstage.store.StoreOptions;

/** Benchmarks of the store; results go to docs/measurements as CSV, table and chart. */
@Command(
        name = "store",
        mixinStandardHelpOptions = true,
        description = "Measures the embedded store.",
        subcommands = {
            StoreBenchmark.Commits.class,
            StoreBenchmark.Recovery.class,
            StoreBenchmark.Compaction.class
        })
public final class StoreBenchmark implements Callable<Integer> {
    private static final int VALUE_BYTES = 128;

    @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

    @Override
    public Integer call() {
        throw new CommandLine.ParameterException(spec.commandLine(), "a sub-command is needed");
    }

    static byte[] key(long n) {
        return ByteBuffer.allocate(16).putLong(0x9e3779b97f4a7c15L * n).putLong(n).array();
    }

    static byte[] value(long n) {
        byte[] value = new byte[VALUE_BYTES];
        Arrays.fill(value, (byte) n);
        ByteBuffer.wrap(value).putLong(n);
        return value;
    }

    static long median(List<Long> figures) {
        return figures.stream().sorted().skip(figures.size() / 2).findFirst().orElseThrow();
    }

    /** A write to the store, with a number from which its key and value are derived. */
    private interface StoreOperation {
        void run(long n) throws Exception;
    }

    /**
     * Runs the operation in a loop on this many threads for this time and returns the operations
     * per second. Latencies are recorded in microseconds unless {@code latency} is null.
     */
    private static long measureRate(
            int writers, double seconds, Histogram latency, StoreOperation operation)
            throws Exception {
        LongAdder completed = new LongAdder();
        AtomicReference<Exception> failure = new AtomicReference<>();
        long start = System.nanoTime();
        long end = start + (long) (seconds * 1e9);
        List<Thread> threads = new ArrayList<>();
        for (int writer = 0; writer < writers; writer++) {
            SplittableRandom random = new SplittableRandom(writer + 1);
            threads.add(
                    new Thread(
                            () -> {
                                try {
                                    for (long begin = System.nanoTime();
                                            begin < end && failure.get() == null; ) {
                                        operation.run(random.nextLong(100_000));
                                        long now = System.nanoTime();
                                        if (latency != null) {
                                            latency.recordValue((now - begin) / 1_000);
                                        }
                                        begin = now;
                                        completed.increment();
                                    }
                                } catch (Exception e) {
                                    failure.set(e);
                                }
                            }));
        }
        threads.forEach(Thread::start);
        for (Thread thread : threads) {
            thread.join();
        }
        if (failure.get() != null) {
            throw failure.get();
        }
        return Math.round(completed.sum() / ((System.nanoTime() - start) / 1e9));
    }

    /** Measures durable commits per second, with the engines taking turns. */
    @Command(
            name = "commits",
            mixinStandardHelpOptions = true,
            description =
                    "Durable commits per second of 128-byte values, compared with other engines on"
                            + " the same disk.")
    static final class Commits implements Callable<Integer> {
        @Option(
                names = "--dir",
                required = true,
                description = "a new folder on the disk to measure")
        private Path dir;

        @Option(
                names = "--rounds",
                defaultValue = "5",
                description = "number of rounds; each runs all engines in turn (5)")
        private int rounds;

        @Option(
                names = "--seconds",
                defaultValue = "1.5",
                description = "duration of each run (1.5)")
        private double seconds;

        @Override
        public Integer call() throws Exception {
            int[] writerCounts = {1, 8, 64};
            Map<String, List<Long>> rates = new LinkedHashMap<>();
            for (int round = 0; round < rounds; round++) {
                for (int n : writerCounts) {
                    for (StorageEngine.Kind kind : StorageEngine.Kind.values()) {
                        Path engineDir = dir.resolve(kind + "-" + n + "-" + round);
                        try (StorageEngine engine = kind.open(engineDir)) {
                            long rate =
                                    measureRate(
                                            n, seconds, null, k -> engine.put(key(k), value(k)));
                            rates.computeIfAbsent(kind + " " + n, k -> new ArrayList<>()).add(rate);
                        }
                        Installation.deleteRecursively(engineDir);
                    }
                }
                System.err.println("round " + (round + 1) + " of " + rounds);
            }
            Report report =
                    new Report(
                            "store-commits",
                            "engine",
                            "writers",
                            "median",
                            "least",
                            "most",
                            "to growing file");
            for (int writers : writerCounts) {
                long limit = median(rates.get(StorageEngine.Kind.RAW_GROWING + " 1"));
                for (StorageEngine.Kind kind : StorageEngine.Kind.values()) {
                    List<Long> figures = rates.get(kind + " " + writers);
                    report.addRow(
                            kind.title(),
                            writers,
                            median(figures),
                            figures.stream().min(Long::compare).get(),
                            figures.stream().max(Long::compare).get(),
                            String.format("%.2f", (double) median(figures) / limit));
                }
            }
            report.setBarChart(
                    "durable commits a second, 128-byte values", "writers", "commits/s", 0, 1, 2);
            report.writeFiles(Installation.measurementsDirectory());
            return 0;
        }
    }

    /** Measures the time to open a store and its heap use per key. */
    @Command(
            name = "recovery",
            mixinStandardHelpOptions = true,
            description =
                    "Time to open and heap bytes per key, from a checkpoint and from the log"
                            + " alone.")
    static final class Recovery implements Callable<Integer> {
        @Option(
                names = "--dir",
                required = true,
                description = "a new folder on the disk to measure")
        private Path dir;

        @Option(
                names = "--keys",
                split = ",",
                defaultValue = "1000000,5000000",
                description = "numbers of keys")
        private List<Integer> sizes;

        @Override
        public Integer call() throws Exception {
            Report report =
                    new Report(
                            "store-recovery",
                            "keys",
                            "from",
                            "open in ms",
                            "heap bytes a key",
                            "files in MiB");
            StoreOptions manual = new StoreOptions(64 << 20, false, 1 << 30);
            for (int keys : sizes) {
                Path storeDir = dir.resolve("keys-" + keys);
                for (boolean fromCheckpoint : new boolean[] {false, true}) {
                    if (!fromCheckpoint) {
                        writeKeys(storeDir, keys, manual);
                    }
                    long heapBefore = usedHeapBytes();
                    long start = System.nanoTime();
                    Store store =
                            Store.open(
                                    FileDisk.openOrCreate(storeDir),
                                    manual,
                                    StoreEventListener.NONE);
                    long openMillis = (System.nanoTime() - start) / 1_000_000;
                    long heapBytes = usedHeapBytes() - heapBefore;
                    if (store.statistics().liveKeys() != keys) {
                        throw new IOException(
                                store.statistics().liveKeys() + " live keys, expected " + keys);
                    }
                    report.addRow(
                            keys,
                            fromCheckpoint ? "checkpoint" : "log",
                            openMillis,
                            String.format("%.1f", (double) heapBytes / keys),
                            store.statistics().fileBytes() >> 20);
                    if (!fromCheckpoint) {
                        store.checkpoint();
                    }
                    store.close();
                }
                Installation.deleteRecursively(storeDir);
            }
            report.writeFiles(Installation.measurementsDirectory());
            return 0;
        }

        private static void writeKeys(Path storeDir, int keys, StoreOptions options)
                throws IOException {
            Store store =
                    Store.open(FileDisk.openOrCreate(storeDir), options, StoreEventListener.NONE);
            for (int i = 0; i < keys; ) {
                Batch batch = new Batch();
                for (int end = Math.min(keys, i + 1_000); i < end; i++) {
                    batch.put(key(i), value(i));
                }
                store.commit(batch);
            }
            // The files are copied before close() writes a checkpoint, which is missing after a
            // crash.
            Path copy = storeDir.resolveSibling(storeDir.getFileName() + "-copy");
            Files.createDirectories(copy);
            try (Stream<Path> files = Files.list(storeDir)) {
                for (Path file : files.toList()) {
                    Files.copy(file, copy.resolve(file.getFileName()));
                }
            }
            store.close();
            Installation.deleteRecursively(storeDir);
            Files.move(copy, storeDir);
        }

        /** Collects garbage three times before it reads the heap's use. */
        private static long usedHeapBytes() {
            for (int i = 0; i < 3; i++) {
                System.gc();
            }
            return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
        }
    }

    /** Measures commit latency and write amplification with and without compaction. */
    @Command(
            name = "compaction",
            mixinStandardHelpOptions = true,
            description =
                    "Commit latency and bytes copied while 100,000 keys are overwritten, with and"
                            + " without compaction in the background.")
    static final class Compaction implements Callable<Integer> {
        @Option(
                names = "--dir",
                required = true,
                description = "a new folder on the disk to measure")
        private Path dir;

        @Option(names = "--seconds", defaultValue = "20", description = "duration of each run (20)")
        private double seconds;

        @Override
        public Integer call() throws Exception {
            Report report =
                    new Report(
                            "store-compaction",
                            "writers",
                            "compaction",
                            "commits/s",
                            "p50 us",
                            "p99 us",
                            "p99.9 us",
                            "most ms",
                            "copied a byte",
                            "files in MiB");
            for (int writers : new int[] {1, 8, 64}) {
                for (boolean withCompaction : new boolean[] {false, true}) {
                    measureRun(report, writers, withCompaction);
                }
            }
            report.writeFiles(Installation.measurementsDirectory());
            return 0;
        }

        private void measureRun(Report report, int writers, boolean withCompaction)
                throws Exception {
            Path storeDir = dir.resolve("c-" + writers + withCompaction);
            Histogram latency = new ConcurrentHistogram(3);
            StoreOptions options = new StoreOptions(8 << 20, withCompaction, 32L << 20);
            try (Store store =
                    Store.open(FileDisk.openOrCreate(storeDir), options, StoreEventListener.NONE)) {
                for (long i = 0; i < 100_000; ) {
                    Batch batch = new Batch();
                    for (long end = i + 1_000; i < end; i++) {
                        batch.put(key(i), value(i));
                    }
                    store.commit(batch);
                }
                long rate =
                        measureRate(writers, seconds, latency, n -> store.put(key(n), value(n)));
                double userBytes = rate * seconds * (VALUE_BYTES + 16);
                report.addRow(
                        writers,
                        withCompaction ? "on" : "off",
                        rate,
                        latency.getValueAtPercentile(50),
                        latency.getValueAtPercentile(99),
                        latency.getValueAtPercentile(99.9),
                        String.format("%.1f", latency.getMaxValue() / 1e3),
                        String.format("%.2f", store.copiedBytes() / userBytes),
                        store.statistics().fileBytes() >> 20);
            }
            Installation.deleteRecursively(storeDir);
        }
    }
}

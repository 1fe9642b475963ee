package saltstage.lifecycle;

import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.ByteArrayOutputStream;
import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import saltstage.log.Log;
import saltstage.store.Batch;
import saltstage.store.FileDisk;
import saltstage.store.Snapshot;
import saltstage.store.Store;
import saltstage.store.StoreException;
import saltstage.store.StoreOptions;

/**
 * The {@code store} command: reads, changes, verifies and compacts an embedded store by hand or by
 * a script.
 */
@Command(
        name = "store",
        mixinStandardHelpOptions = true,
        description = "Works with an embedded store.",
        footer = {
            "",
            "Keys and values are bytes, one pair a line: key TAB value, with \\t, \\n"
                    + " and \\\\ for a tab, a",
            "line end and a backslash. Exits 0; 1 with one line on standard error; 2 on a wrong"
                    + " command line."
        },
        subcommands = {
            StoreCommand.Load.class,
            StoreCommand.Dump.class,
            StoreCommand.Get.class,
            StoreCommand.Verify.class,
            StoreCommand.Compact.class,
            StoreCommand.ShowStatistics.class,
            CommandLine.HelpCommand.class
        })
final class StoreCommand implements Callable<Integer> {
    @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

    @Override
    public Integer call() {
        throw new CommandLine.ParameterException(
                spec.commandLine(), "a sub-command is needed; see 'store help'");
    }

    private interface StoreTask {
        int run(Store store) throws IOException;
    }

    /** The store's directory, and how a command opens the store in it. */
    static final class StoreDirectory {
        @Parameters(index = "0", paramLabel = "DIR", description = "the store's directory")
        private Path dir;

        int runReadOnly(StoreTask task) throws IOException {
            if (!Files.isDirectory(dir)) {
                throw new StoreException(dir + ": there is no store");
            }
            return run(() -> Store.openToRead(new FileDisk(dir), Log::warn), task);
        }

        int runWritable(StoreOptions options, StoreTask task) throws IOException {
            return run(() -> Store.open(FileDisk.openOrCreate(dir), options, Log::warn), task);
        }

        private interface StoreOpener {
            Store open() throws IOException;
        }

        private int run(StoreOpener opener, StoreTask task) throws IOException {
            try (Store store = opener.open()) {
                return task.run(store);
            } catch (StoreException e) {
                throw new StoreException(dir + ": " + e.getMessage(), e);
            }
        }
    }

    /** Reads and writes pairs of key and value, one pair a line. */
    static final class PairLines {
        private final InputStream in;
        private long lineNumber;
        private boolean endReached;

        PairLines(InputStream in) {
            this.in = in;
        }

        /** Returns the bytes of the next line, or null at the end. */
        byte[] nextLine() throws IOException {
            ByteArrayOutputStream line = new ByteArrayOutputStream();
            int b = endReached ? -1 : in.read();
            if (b < 0) {
                return null;
            }
            lineNumber++;
            for (; b >= 0 && b != '\n'; b = in.read()) {
                line.write(b);
            }
            endReached = b < 0;
            return line.toByteArray();
        }

        /** Adds the pair of a line to a batch; a line with a key alone deletes the key. */
        void addTo(byte[] line, Batch batch) throws StoreException {
            int tab = 0;
            while (tab < line.length && line[tab] != '\t') {
                tab++;
            }
            byte[] key = unescape(line, 0, tab);
            try {
                if (tab == line.length) {
                    batch.delete(key);
                } else {
                    batch.put(key, unescape(line, tab + 1, line.length));
                }
            } catch (IllegalArgumentException invalid) {
                throw new StoreException("line " + lineNumber + ": " + invalid.getMessage());
            }
        }

        private byte[] unescape(byte[] text, int from, int to) throws StoreException {
            ByteArrayOutputStream out = new ByteArrayOutputStream(to - from);
            for (int i = from; i < to; i++) {
                if (text[i] == '\t') {
                    throw new StoreException("line " + lineNumber + ": more than one tab");
                }
                if (text[i] != '\\') {
                    out.write(text[i]);
                    continue;
                }
                int escapeIndex = ++i < to ? "tn\\".indexOf(text[i]) : -1;
                if (escapeIndex < 0) {
                    throw new StoreException(
                            "line " + lineNumber + ": a backslash takes t, n or another behind it");
                }
                out.write("\t\n\\".charAt(escapeIndex));
            }
            return out.toByteArray();
        }

        static void writeEscaped(OutputStream out, byte[] bytes) throws IOException {
            for (byte b : bytes) {
                int escapeIndex = "\t\n\\".indexOf(b);
                if (escapeIndex >= 0) {
                    out.write('\\');
                    out.write("tn\\".charAt(escapeIndex));
                } else {
                    out.write(b);
                }
            }
        }
    }

    private static OutputStream standardOut() {
        return new BufferedOutputStream(new FileOutputStream(FileDescriptor.out), 1 << 16);
    }

    /** Commits pairs from standard input. */
    @Command(
            name = "load",
            mixinStandardHelpOptions = true,
            description = {
                "Reads pairs from standard input and commits each; a key alone deletes. Prints"
                        + " 'acked SEQ' once a",
                "commit is durable. An invalid line ends the command without its batch; acked"
                        + " batches stay."
            })
    static final class Load implements Callable<Integer> {
        @CommandLine.Mixin private StoreDirectory storeDirectory;

        @Option(
                names = "--batch",
                paramLabel = "N",
                defaultValue = "1",
                description = "number of lines in one atomic batch (default 1)")
        private int batchSize;

        @Option(
                names = "--segment",
                paramLabel = "BYTES",
                defaultValue = "8388608",
                description = "size of a log segment (default 8 MiB)")
        private int segmentBytes;

        @Override
        public Integer call() throws IOException {
            if (batchSize < 1) {
                throw new StoreException("--batch takes a whole number from 1 on");
            }
            StoreOptions defaults = StoreOptions.defaults();
            return storeDirectory.runWritable(
                    new StoreOptions(segmentBytes, true, defaults.compactionBytesPerSecond()),
                    this::load);
        }

        private int load(Store store) throws IOException {
            PairLines in = new PairLines(new BufferedInputStream(System.in, 1 << 16));
            OutputStream out = standardOut();
            Batch batch = new Batch();
            for (byte[] line = in.nextLine(); line != null; line = in.nextLine()) {
                in.addTo(line, batch);
                if (batch.size() == batchSize) {
                    printAcked(out, store.commit(batch));
                    batch = new Batch();
                }
            }
            if (batch.size() > 0) {
                printAcked(out, store.commit(batch));
            }
            return 0;
        }

        private static void printAcked(OutputStream out, long seq) throws IOException {
            out.write(("acked " + seq + "\n").getBytes(StandardCharsets.US_ASCII));
            out.flush();
        }
    }

    /** Prints all live pairs. */
    @Command(
            name = "dump",
            mixinStandardHelpOptions = true,
            description =
                    "Prints the live pairs in the order of their keys, in the form that load"
                            + " reads.")
    static final class Dump implements Callable<Integer> {
        @CommandLine.Mixin private StoreDirectory storeDirectory;

        @Override
        public Integer call() throws IOException {
            return storeDirectory.runReadOnly(
                    store -> {
                        try (Snapshot snapshot = store.snapshot();
                                OutputStream out = standardOut()) {
                            Snapshot.Scan scan = snapshot.scan(null, null);
                            while (scan.next()) {
                                PairLines.writeEscaped(out, scan.key());
                                out.write('\t');
                                PairLines.writeEscaped(out, scan.value());
                                out.write('\n');
                            }
                        }
                        return 0;
                    });
        }
    }

    /** Prints the value of one key. */
    @Command(
            name = "get",
            mixinStandardHelpOptions = true,
            description =
                    "Prints a key's value, escaped as in dump. Exits 1 if the key is not there.")
    static final class Get implements Callable<Integer> {
        @CommandLine.Mixin private StoreDirectory storeDirectory;

        @Parameters(index = "1", paramLabel = "KEY", description = "the key, escaped as in dump")
        private String key;

        @Override
        public Integer call() throws IOException {
            byte[] keyBytes =
                    new PairLines(InputStream.nullInputStream())
                            .unescape(
                                    key.getBytes(StandardCharsets.UTF_8),
                                    0,
                                    key.getBytes(StandardCharsets.UTF_8).length);
            return storeDirectory.runReadOnly(
                    store -> {
                        byte[] value = store.get(keyBytes);
                        if (value == null) {
                            throw new StoreException("there is no such key");
                        }
                        try (OutputStream out = standardOut()) {
                            PairLines.writeEscaped(out, value);
                            out.write('\n');
                        }
                        return 0;
                    });
        }
    }

    /** Checks every record. */
    @Command(
            name = "verify",
            mixinStandardHelpOptions = true,
            description =
                    "Reads every record and live value; prints one line, or fails with file and"
                            + " offset.")
    static final class Verify implements Callable<Integer> {
        @CommandLine.Mixin private StoreDirectory storeDirectory;

        @Override
        public Integer call() throws IOException {
            return storeDirectory.runReadOnly(
                    store -> {
                        Store.VerificationResult result = store.verify();
                        System.out.println(
                                "ok records="
                                        + result.entryCount()
                                        + " live="
                                        + result.liveKeys()
                                        + " seq="
                                        + result.lastSeq());
                        return 0;
                    });
        }
    }

    /** Reclaims the space of dead data. */
    @Command(
            name = "compact",
            mixinStandardHelpOptions = true,
            description =
                    "Gives back the space of deleted and overwritten data; not while another"
                            + " process writes.")
    static final class Compact implements Callable<Integer> {
        @CommandLine.Mixin private StoreDirectory storeDirectory;

        @Override
        public Integer call() throws IOException {
            StoreOptions defaults = StoreOptions.defaults();
            return storeDirectory.runWritable(
                    new StoreOptions(
                            defaults.segmentBytes(), false, defaults.compactionBytesPerSecond()),
                    store -> {
                        long bytesBefore = store.statistics().fileBytes();
                        long copied = store.compact();
                        System.out.println(
                                "compacted copied="
                                        + copied
                                        + " before="
                                        + bytesBefore
                                        + " after="
                                        + store.statistics().fileBytes());
                        return 0;
                    });
        }
    }

    /** Prints the store's statistics. */
    @Command(
            name = "stat",
            mixinStandardHelpOptions = true,
            description = "Prints the statistics of a store.")
    static final class ShowStatistics implements Callable<Integer> {
        @CommandLine.Mixin private StoreDirectory storeDirectory;

        @Option(names = "--json", description = "one JSON object")
        private boolean json;

        @Override
        public Integer call() throws IOException {
            return storeDirectory.runReadOnly(
                    store -> {
                        Store.Statistics statistics = store.statistics();
                        String[] names = {
                            "live",
                            "seq",
                            "segments",
                            "file_bytes",
                            "live_bytes",
                            "dead_bytes",
                            "checkpoint_seq",
                            "checkpoint_bytes",
                            "log_since"
                        };
                        long[] values = {
                            statistics.liveKeys(),
                            statistics.lastSeq(),
                            statistics.segmentCount(),
                            statistics.fileBytes(),
                            statistics.liveBytes(),
                            statistics.deadBytes(),
                            statistics.checkpointSeq(),
                            statistics.checkpointBytes(),
                            statistics.logBytesSinceCheckpoint()
                        };
                        StringBuilder out = new StringBuilder();
                        for (int i = 0; i < names.length; i++) {
                            out.append(
                                    json
                                            ? (i == 0 ? "{" : ",")
                                                    + "\""
                                                    + names[i]
                                                    + "\":"
                                                    + values[i]
                                            : names[i] + "=" + values[i] + "\n");
                        }
                        System.out.print(out + (json ? "}\n" : ""));
                        return 0;
                    });
        }
    }
}

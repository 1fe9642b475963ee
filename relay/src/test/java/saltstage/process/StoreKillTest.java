package saltstage.process;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.Rule;
import org.junit.Test;
import org.junit.rules.TemporaryFolder;
import saltstage.store.FileDisk;
import saltstage.store.Snapshot;
import saltstage.store.Store;
import saltstage.store.StoreEventListener;

/**
 * A process that writes to a store is killed with SIGKILL at random moments, repeatedly on the same
 * store. Guards against acknowledged writes that are lost and against writes that were never made.
 */
public class StoreKillTest {
    private static final int ROUNDS = 24;
    private static final int KEYS = 40;

    @Rule public final TemporaryFolder folder = new TemporaryFolder();

    private final TreeMap<String, String> expected = new TreeMap<>();

    private static String line(int round, long i) {
        String key = "k" + (i * 7 + round) % KEYS;
        return i % 5 == 4 ? key : key + "\t" + round + "-" + i + "x".repeat((int) (i % 90));
    }

    private static void apply(TreeMap<String, String> target, String line) {
        int tab = line.indexOf('\t');
        if (tab < 0) {
            target.remove(line);
        } else {
            target.put(line.substring(0, tab), line.substring(tab + 1));
        }
    }

    private static TreeMap<String, String> dump(Path dir) throws IOException {
        TreeMap<String, String> all = new TreeMap<>();
        try (Store store = Store.openToRead(new FileDisk(dir), StoreEventListener.NONE);
                Snapshot snapshot = store.snapshot()) {
            Snapshot.Scan scan = snapshot.scan(null, null);
            while (scan.next()) {
                all.put(
                        new String(scan.key(), StandardCharsets.UTF_8),
                        new String(scan.value(), StandardCharsets.UTF_8));
            }
        }
        return all;
    }

    @Test
    public void allAckedWritesSurviveAndNothingElseAppears() throws Exception {
        Path dir = folder.getRoot().toPath().resolve("store");
        Random random = new Random(11);
        long acked = 0;
        for (int round = 0; round < ROUNDS; round++) {
            acked += killRound(dir, round, 1 + round % 3, random);
        }
        System.out.println("killed " + ROUNDS + " times; " + acked + " batches acked, all there");
        assertTrue("acked " + acked, acked > ROUNDS);
    }

    /** Runs the process until it is killed; returns the number of batches it acknowledged. */
    private long killRound(Path dir, int round, int batch, Random random) throws Exception {
        Process loader =
                RelayTestEnvironment.programBuilder(
                                List.of(
                                        "store",
                                        "load",
                                        dir.toString(),
                                        "--batch",
                                        "" + batch,
                                        "--segment",
                                        "16384"))
                        .start();
        AtomicLong sent = new AtomicLong();
        Thread feeder = new Thread(() -> feed(loader, round, sent));
        feeder.start();
        BufferedReader output =
                new BufferedReader(
                        new InputStreamReader(loader.getInputStream(), StandardCharsets.US_ASCII));
        int killAfter = 1 + random.nextInt(400);
        long acked = 0;
        String outputLine = output.readLine();
        for (; outputLine != null; outputLine = output.readLine()) {
            assertTrue(outputLine, outputLine.startsWith("acked "));
            if (++acked == killAfter) {
                // destroyForcibly would close the pipe, and earlier output is still to be read.
                new ProcessBuilder("kill", "-KILL", Long.toString(loader.pid())).start().waitFor();
            }
        }
        loader.waitFor();
        feeder.join();
        assertTrue("the process ended before it was killed", acked >= killAfter);
        TreeMap<String, String> found = dump(dir);
        for (long i = 0; i < acked * batch; i++) {
            apply(expected, line(round, i));
        }
        for (long i = acked * batch; !expected.equals(found) && i < sent.get(); i++) {
            apply(expected, line(round, i)); // written, but killed before it was acknowledged
        }
        assertEquals("round " + round + ", acked " + acked, expected, found);
        return acked;
    }

    private static void feed(Process loader, int round, AtomicLong sent) {
        try (OutputStream in = loader.getOutputStream()) {
            for (long i = 0; ; i++) {
                sent.set(i + 1);
                in.write((line(round, i) + "\n").getBytes(StandardCharsets.US_ASCII));
                in.flush();
            }
        } catch (IOException e) { // expected: this test kills the process
            return;
        }
    }

    @Test
    public void theCommandsReportTheirResults() throws Exception {
        Path dir = folder.getRoot().toPath().resolve("s");
        assertEquals(
                "acked 1|acked 2|",
                run(0, "b\\tc\t1\\n2\na\t\\\\\nb\t9\nb\n", "load", dir, "--batch", "2"));
        assertEquals("a\t\\\\|b\\tc\t1\\n2|", run(0, "", "dump", dir));
        assertEquals("1\\n2|", run(0, "", "get", dir, "b\\tc"));
        assertEquals("ok records=4 live=2 seq=2|", run(0, "", "verify", dir));
        assertTrue(run(0, "", "stat", dir, "--json").startsWith("{\"live\":2,\"seq\":2,"));
        assertTrue(run(0, "", "compact", dir).startsWith("compacted copied="));
        assertEquals("saltstage: " + dir + ": there is no such key|", run(1, "", "get", dir, "x"));
        assertEquals(
                "acked 3|saltstage: "
                        + dir
                        + ": line 2: a backslash takes t, n or another behind it|",
                run(1, "c\t1\nd\t\\x\n", "load", dir));
        assertEquals(
                "saltstage: " + dir + ": line 1: key of 0 bytes; 1 to 4096 are allowed|",
                run(1, "\tx\n", "load", dir));
        Path missing = dir.resolve("none");
        assertEquals(
                "saltstage: " + missing + ": there is no store|", run(1, "", "verify", missing));
        Path log =
                Files.list(dir)
                        .filter(file -> file.toString().endsWith(".log"))
                        .findFirst()
                        .orElseThrow();
        Files.write(log, new byte[10]);
        assertTrue(run(1, "", "dump", dir).matches("saltstage: .*: damaged: \\S+ at \\d+: .*\\|"));
    }

    private static String run(int expectedExitCode, String in, Object... arguments)
            throws Exception {
        List<String> all = new java.util.ArrayList<>(List.of("store"));
        for (Object argument : arguments) {
            all.add(argument.toString());
        }
        Process process =
                RelayTestEnvironment.programBuilder(all).redirectErrorStream(true).start();
        try (OutputStream input = process.getOutputStream()) {
            input.write(in.getBytes(StandardCharsets.US_ASCII));
        }
        String output =
                new String(process.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        assertEquals(output, expectedExitCode, process.waitFor());
        return output.replace('\n', '|');
    }
}

package saltstage.lab.scale;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

/** Controls a process with simulated relays of one zone, from the run that started it. */
final class SimulatedRelayHost implements AutoCloseable {
    /**
     * First word of a line that reports a revision applied by a relay, with the time on the
     * machine's monotonic clock.
     */
    static final String REVISION_LINE = "F";

    /** First word of a line that reports a relay's revision and digest. */
    static final String DIGEST_LINE = "D";

    private static final long START_TIMEOUT_SECONDS = 150;
    private static final long ANSWER_TIMEOUT_SECONDS = 20;

    /** The revision and the digest of the configuration that a relay has applied. */
    record RelayState(long revision, long digest) {}

    private final int firstIndex;
    private final int relayCount;
    private final AppliedRevisionLog revisionLog;
    private final ChildProcess process;
    private final Map<Integer, RelayState> states = new TreeMap<>();
    private CountDownLatch readyLatch;
    private CountDownLatch answerLatch = new CountDownLatch(1);

    /**
     * Prepares a process with the given number of relays, indexed from the first index on. The
     * relays use these sources in order of preference.
     */
    SimulatedRelayHost(
            int firstIndex,
            int relayCount,
            String zone,
            List<String> sources,
            int heapMegabytes,
            Path folder,
            AppliedRevisionLog revisionLog) {
        this.firstIndex = firstIndex;
        this.relayCount = relayCount;
        this.revisionLog = revisionLog;
        process =
                ChildProcess.ofLab(
                        "hollow-" + zone + "-" + firstIndex,
                        heapMegabytes,
                        folder,
                        List.of(
                                "scale",
                                "hollow-host",
                                "--first",
                                Integer.toString(firstIndex),
                                "--count",
                                Integer.toString(relayCount),
                                "--zone",
                                zone,
                                "--sources",
                                String.join(",", sources)));
    }

    /** Starts the process; {@link #awaitReady} waits until its relays have started. */
    void start() throws IOException {
        readyLatch = new CountDownLatch(1);
        Process started = process.start().process();
        BufferedReader out =
                new BufferedReader(
                        new InputStreamReader(started.getInputStream(), StandardCharsets.US_ASCII));
        Thread reader = new Thread(() -> readLines(out), "hollow");
        reader.setDaemon(true);
        reader.start();
    }

    /** Waits until all relays of the process have started. */
    void awaitReady() throws IOException, InterruptedException {
        if (!readyLatch.await(START_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
            throw new IOException("simulated relays from " + firstIndex + " on did not start");
        }
    }

    private void readLines(BufferedReader out) {
        try {
            for (String line = out.readLine(); line != null; line = out.readLine()) {
                handleLine(line.split(" "));
            }
        } catch (IOException ended) {
            return;
        }
    }

    private synchronized void handleLine(String[] words) {
        switch (words[0]) {
            case REVISION_LINE ->
                    revisionLog.revisionApplied(
                            Integer.parseInt(words[1]),
                            Long.parseLong(words[2]),
                            Long.parseLong(words[3]));
            case DIGEST_LINE ->
                    states.put(
                            Integer.parseInt(words[1]),
                            new RelayState(Long.parseLong(words[2]), Long.parseLong(words[3])));
            case "READY" -> readyLatch.countDown();
            default -> answerLatch.countDown();
        }
    }

    /** Requests the current state of all relays of the process, by relay index. */
    Map<Integer, RelayState> states() throws IOException, InterruptedException {
        CountDownLatch answer = new CountDownLatch(1);
        synchronized (this) {
            states.clear();
            answerLatch = answer;
        }
        process.process().getOutputStream().write('\n');
        process.process().getOutputStream().flush();
        if (!answer.await(ANSWER_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
            throw new IOException("simulated relays from " + firstIndex + " on do not answer");
        }
        synchronized (this) {
            return new TreeMap<>(states);
        }
    }

    /** The indexes of the relays of this process. */
    Collection<Integer> relayIndexes() {
        return IntStream.range(firstIndex, firstIndex + relayCount).boxed().toList();
    }

    ChildProcess process() {
        return process;
    }

    @Override
    public void close() throws InterruptedException {
        process.close();
    }
}

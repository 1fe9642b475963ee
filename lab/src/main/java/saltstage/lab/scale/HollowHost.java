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

/** A process with hollow relays of one zone, as the run that started it sees it. */
final class HollowHost implements AutoCloseable {
    /**
     * Line: a revision came into force at a relay, with the time on the machine's monotonic clock.
     */
    static final String IN_FORCE = "F";

    /** Line: a relay's revision and digest. */
    static final String DIGEST = "D";

    private static final long START_SECONDS = 150;
    private static final long ANSWER_SECONDS = 20;

    /** What a relay has in force. */
    record State(long revision, long digest) {}

    private final int first;
    private final int count;
    private final InForceLog log;
    private final ChildProcess process;
    private final Map<Integer, State> states = new TreeMap<>();
    private CountDownLatch ready;
    private CountDownLatch answered = new CountDownLatch(1);

    /** So many relays from this number on, which ask these sources in this order. */
    HollowHost(
            int first,
            int count,
            String zone,
            List<String> sources,
            int heapMegabytes,
            Path folder,
            InForceLog log) {
        this.first = first;
        this.count = count;
        this.log = log;
        process =
                ChildProcess.ofLab(
                        "hollow-" + zone + "-" + first,
                        heapMegabytes,
                        folder,
                        List.of(
                                "scale",
                                "hollow-host",
                                "--first",
                                Integer.toString(first),
                                "--count",
                                Integer.toString(count),
                                "--zone",
                                zone,
                                "--sources",
                                String.join(",", sources)));
    }

    /** Starts the process; {@link #awaitReady} waits until its relays have begun. */
    void start() throws IOException {
        ready = new CountDownLatch(1);
        Process started = process.start().process();
        BufferedReader out =
                new BufferedReader(
                        new InputStreamReader(started.getInputStream(), StandardCharsets.US_ASCII));
        Thread reader = new Thread(() -> read(out), "hollow");
        reader.setDaemon(true);
        reader.start();
    }

    void awaitReady() throws IOException, InterruptedException {
        if (!ready.await(START_SECONDS, TimeUnit.SECONDS)) {
            throw new IOException("hollow relays " + first + " and on did not start");
        }
    }

    private void read(BufferedReader out) {
        try {
            for (String line = out.readLine(); line != null; line = out.readLine()) {
                take(line.split(" "));
            }
        } catch (IOException ended) {
            return;
        }
    }

    private synchronized void take(String[] words) {
        switch (words[0]) {
            case IN_FORCE ->
                    log.inForce(
                            Integer.parseInt(words[1]),
                            Long.parseLong(words[2]),
                            Long.parseLong(words[3]));
            case DIGEST ->
                    states.put(
                            Integer.parseInt(words[1]),
                            new State(Long.parseLong(words[2]), Long.parseLong(words[3])));
            case "READY" -> ready.countDown();
            default -> answered.countDown();
        }
    }

    /** What all its relays have in force now. */
    Map<Integer, State> states() throws IOException, InterruptedException {
        CountDownLatch answer = new CountDownLatch(1);
        synchronized (this) {
            states.clear();
            answered = answer;
        }
        process.process().getOutputStream().write('\n');
        process.process().getOutputStream().flush();
        if (!answer.await(ANSWER_SECONDS, TimeUnit.SECONDS)) {
            throw new IOException("hollow relays " + first + " and on do not answer");
        }
        synchronized (this) {
            return new TreeMap<>(states);
        }
    }

    /** The numbers of its relays. */
    Collection<Integer> relays() {
        return IntStream.range(first, first + count).boxed().toList();
    }

    ChildProcess process() {
        return process;
    }

    @Override
    public void close() throws InterruptedException {
        process.close();
    }
}

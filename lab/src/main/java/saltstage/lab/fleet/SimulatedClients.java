package saltstage.lab.fleet;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Random;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/**
 * Simulated clients of the line protocol. Each one sends a request, stays connected while it sends
 * a line at each interval, leaves, and connects again after a pause.
 */
public final class SimulatedClients {
    private static final int CONNECT_TIMEOUT_MS = 2_000;
    private static final int CLIENT_TIMEOUT_MS = 2_000;
    private static final int RESPONSE_TIMEOUT_MS = 7_000;

    private final InetSocketAddress relay;
    private final Duration lineInterval;
    private final Duration meanLifetime;
    private final AtomicInteger establishedCount = new AtomicInteger();
    private final AtomicLong servedCount = new AtomicLong();
    private final AtomicLong rejectedCount = new AtomicLong();
    private final AtomicLong failedCount = new AtomicLong();
    private final AtomicLong movedCount = new AtomicLong();
    private final AtomicLong brokenCount = new AtomicLong();
    private final Histogram echoMicros = new ConcurrentHistogram(3);
    private volatile boolean stopped;

    /**
     * Starts clients of the relay that send a line at this interval; the lifetimes of their
     * connections are exponentially distributed with this mean.
     */
    public SimulatedClients(
            InetSocketAddress relay, int count, Duration lineInterval, Duration meanLifetime) {
        this.relay = relay;
        this.lineInterval = lineInterval;
        this.meanLifetime = meanLifetime;
        for (int i = 0; i < count; i++) {
            int clientNumber = i;
            FakeBackend.startDaemon("client " + i, () -> runClient(clientNumber));
        }
    }

    private void runClient(int clientNumber) {
        Random random = ThreadLocalRandom.current();
        boolean reconnecting = false;
        try {
            Thread.sleep(random.nextInt(2_000));
            while (!stopped) {
                long pauseMillis = 80 + random.nextInt(400);
                try {
                    pauseMillis =
                            Math.max(
                                    pauseMillis, runConnection(clientNumber, random, reconnecting));
                } catch (IOException broken) {
                    brokenCount.incrementAndGet();
                }
                reconnecting = true;
                Thread.sleep(pauseMillis);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Runs one connection; returns the minimum pause in milliseconds before the next. */
    private long runConnection(int clientNumber, Random random, boolean reconnecting)
            throws IOException, InterruptedException {
        try (Socket socket = new Socket()) {
            socket.connect(relay, CONNECT_TIMEOUT_MS);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(CLIENT_TIMEOUT_MS + 500);
            BufferedReader in =
                    new BufferedReader(
                            new InputStreamReader(
                                    socket.getInputStream(), StandardCharsets.ISO_8859_1),
                            512);
            boolean statusReport = random.nextInt(100) < 79;
            sendLine(
                    socket,
                    "OPEN "
                            + Long.toHexString(random.nextLong())
                            + " c"
                            + clientNumber
                            + " c="
                            + (statusReport ? "status-report" : "session-check")
                            + ",t="
                            + (clientNumber % 2 == 0 ? "kitaden-charge" : "dosan-power")
                            + ",d="
                            + CLIENT_TIMEOUT_MS
                            + ",g=s"
                            + clientNumber / 10
                            + (reconnecting ? ",again=1" : ""));
            String answer = in.readLine();
            if (answer == null || !answer.startsWith("UP ")) {
                return countUnserved(answer);
            }
            servedCount.incrementAndGet();
            establishedCount.incrementAndGet();
            try {
                exchangeLines(socket, in, random);
            } finally {
                establishedCount.decrementAndGet();
            }
            return 0;
        }
    }

    /**
     * Counts an answer other than UP; returns the delay in milliseconds that BUSY asks for, or 0.
     */
    private long countUnserved(String answer) {
        if (answer != null && answer.startsWith("BUSY")) {
            rejectedCount.incrementAndGet();
            return answer.matches("BUSY \\d{1,6}") ? Long.parseLong(answer.substring(5)) : 0;
        }
        failedCount.incrementAndGet();
        return 0;
    }

    private void exchangeLines(Socket socket, BufferedReader in, Random random)
            throws IOException, InterruptedException {
        long end =
                System.nanoTime()
                        + (long) (meanLifetime.toNanos() * -Math.log(1 - random.nextDouble()));
        socket.setSoTimeout(RESPONSE_TIMEOUT_MS);
        while (!stopped && System.nanoTime() < end) {
            long sentAt = System.nanoTime();
            sendLine(socket, "STATUS " + sentAt);
            String line = in.readLine();
            if (line == null || line.equals("MOVE")) {
                (line == null ? brokenCount : movedCount).incrementAndGet();
                return;
            }
            echoMicros.recordValue((System.nanoTime() - sentAt) / 1_000);
            Thread.sleep(lineInterval.toMillis());
        }
    }

    private static void sendLine(Socket socket, String line) throws IOException {
        socket.getOutputStream().write((line + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Stops the clients: none of them connects again. */
    public void stop() {
        stopped = true;
    }

    /** The counters since the start as a row of numbers under {@link #ROW_HEADER}. */
    public String statusRow() {
        return String.format(
                "%8d %8d %8d %8d %8d %8d %9.2f",
                establishedCount.get(),
                servedCount.get(),
                rejectedCount.get(),
                failedCount.get(),
                movedCount.get(),
                brokenCount.get(),
                echoMicros.getValueAtPercentile(99) / 1e3);
    }

    /**
     * The column names of {@link #statusRow}. The last column is the 99th percentile of the time
     * from a line to its echo, in milliseconds.
     */
    public static final String ROW_HEADER =
            "standing   served  refused   failed    moved      cut  p99 in ms";

    /** The number of connections that are established now. */
    public int establishedCount() {
        return establishedCount.get();
    }

    /**
     * The number of connections that ended without MOVE, failed, or were refused by the operating
     * system.
     */
    public long brokenCount() {
        return brokenCount.get();
    }

    /** The number of connections that the relay ended with MOVE. */
    public long movedCount() {
        return movedCount.get();
    }
}

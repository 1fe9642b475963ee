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

/** Clients after the protocol: each asks, stays, says a line every so often, and comes again. */
public final class Clients {
    private static final int CONNECT_MS = 2_000;
    private static final int PATIENCE_MS = 2_000;
    private static final int SILENCE_MS = 7_000;

    private final InetSocketAddress relay;
    private final Duration between;
    private final Duration life;
    private final AtomicInteger standing = new AtomicInteger();
    private final AtomicLong served = new AtomicLong();
    private final AtomicLong refused = new AtomicLong();
    private final AtomicLong failed = new AtomicLong();
    private final AtomicLong moved = new AtomicLong();
    private final AtomicLong cut = new AtomicLong();
    private final Histogram echo = new ConcurrentHistogram(3);
    private volatile boolean over;

    /** So many clients of the relay, each open for about this life and speaking at this interval. */
    public Clients(InetSocketAddress relay, int count, Duration between, Duration life) {
        this.relay = relay;
        this.between = between;
        this.life = life;
        for (int i = 0; i < count; i++) {
            int number = i;
            Gateway.daemon("client " + i, () -> live(number));
        }
    }

    private void live(int number) {
        Random random = ThreadLocalRandom.current();
        boolean again = false;
        try {
            Thread.sleep(random.nextInt(2_000));
            while (!over) {
                long pause = 80 + random.nextInt(400);
                try {
                    pause = Math.max(pause, session(number, random, again));
                } catch (IOException broken) {
                    cut.incrementAndGet();
                }
                again = true;
                Thread.sleep(pause);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** One connection; returns how long to stay away at least. */
    private long session(int number, Random random, boolean again) throws IOException, InterruptedException {
        try (Socket socket = new Socket()) {
            socket.connect(relay, CONNECT_MS);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(PATIENCE_MS + 500);
            BufferedReader in = new BufferedReader(
                new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1), 512);
            boolean report = random.nextInt(100) < 79;
            say(socket, "OPEN " + Long.toHexString(random.nextLong()) + " c" + number + " c="
                + (report ? "status-report" : "session-check") + ",t="
                + (number % 2 == 0 ? "kitaden-charge" : "dosan-power") + ",d=" + PATIENCE_MS + ",g=s"
                + number / 10 + (again ? ",again=1" : ""));
            String answer = in.readLine();
            if (answer == null || !answer.startsWith("UP ")) {
                return turnedAway(answer);
            }
            served.incrementAndGet();
            standing.incrementAndGet();
            try {
                stay(socket, in, random);
            } finally {
                standing.decrementAndGet();
            }
            return 0;
        }
    }

    private long turnedAway(String answer) {
        if (answer != null && answer.startsWith("BUSY")) {
            refused.incrementAndGet();
            return answer.matches("BUSY \\d{1,6}") ? Long.parseLong(answer.substring(5)) : 0;
        }
        failed.incrementAndGet();
        return 0;
    }

    private void stay(Socket socket, BufferedReader in, Random random)
            throws IOException, InterruptedException {
        long until = System.nanoTime() + (long) (life.toNanos() * -Math.log(1 - random.nextDouble()));
        socket.setSoTimeout(SILENCE_MS);
        while (!over && System.nanoTime() < until) {
            long sent = System.nanoTime();
            say(socket, "STATUS " + sent);
            String line = in.readLine();
            if (line == null || line.equals("MOVE")) {
                (line == null ? cut : moved).incrementAndGet();
                return;
            }
            echo.recordValue((System.nanoTime() - sent) / 1_000);
            Thread.sleep(between.toMillis());
        }
    }

    private static void say(Socket socket, String line) throws IOException {
        socket.getOutputStream().write((line + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
    }

    /** No client comes again. */
    public void end() {
        over = true;
    }

    /** What they have met since the start, as a row of numbers under {@link #HEAD}. */
    public String row() {
        return String.format("%8d %8d %8d %8d %8d %8d %9.2f", standing.get(), served.get(), refused.get(),
            failed.get(), moved.get(), cut.get(), echo.getValueAtPercentile(99) / 1e3);
    }

    /** The names over {@link #row}; the last is the 99th percentile of a line and its echo, in ms. */
    public static final String HEAD = "standing   served  refused   failed    moved      cut  p99 in ms";

    /** How many stand now. */
    public int standing() {
        return standing.get();
    }

    /** How many connections ended without MOVE, were refused by the system, or broke. */
    public long cut() {
        return cut.get();
    }

    /** How many were told to move. */
    public long moved() {
        return moved.get();
    }
}

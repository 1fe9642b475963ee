package saltstage.lab.measure;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ThreadLocalRandom;
import org.HdrHistogram.Histogram;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import saltstage.lab.Home;
import saltstage.lab.fleet.Fleet;
import saltstage.lab.store.Report;

/** A relay killed outright in front of a fleet in trouble, started again with and without its store. */
@Command(name = "restart", mixinStandardHelpOptions = true, description = {
    "A deploy has replaced the two gateways that the platform's list names by six others, of which one is",
    "frozen, and discovery answers late.",
    "The relay is killed and started anew, with and without a store: what clients meet, second by second."}
        )
public final class RestartCommand implements Callable<Integer> {
    private static final int GATEWAYS = 8;
    private static final int PATIENCE_MS = 2_000;

    @Option(names = "--rounds", defaultValue = "5", description = "restarts of each kind (default 5)")
    private int rounds;

    @Option(names = "--seconds", defaultValue = "10", description = "watched after each start (default 10)")
    private int seconds;

    @Option(names = "--rate", defaultValue = "40", description = "new connections a second (default 40)")
    private int rate;

    @Option(names = "--late", defaultValue = "4000",
        description = "ms until discovery answers (default 4000)")
    private int late;

    private record Asked(int second, int millis, boolean served) { }

    @Override
    public Integer call() throws Exception {
        Report report = new Report("store-restart", "store", "second", "asked", "not served",
            "set-up p50 in ms", "set-up p99 in ms", "most in ms");
        for (boolean kept : new boolean[] {false, true}) {
            List<Asked> all = new ArrayList<>();
            for (int round = 0; round < rounds; round++) {
                all.addAll(round(kept));
            }
            for (int second = -1; second < seconds; second++) {
                row(report, kept, second, all);
            }
        }
        report.write(Home.measurements());
        return 0;
    }

    /** Second -1 is the time before the kill. */
    private static void row(Report report, boolean kept, int second, List<Asked> all) {
        Histogram times = new Histogram(3);
        long asked = 0;
        long unserved = 0;
        for (Asked one : all) {
            if (one.second() == second) {
                asked++;
                unserved += one.served() ? 0 : 1;
                if (one.served()) {
                    times.recordValue(one.millis());
                }
            }
        }
        report.row(kept ? "on" : "off", second < 0 ? "before" : second, asked, unserved,
            times.getValueAtPercentile(50), times.getValueAtPercentile(99), times.getMaxValue());
    }

    private List<Asked> round(boolean kept) throws Exception {
        Path dir = Files.createTempDirectory("saltstage-restart");
        Fleet fleet = new Fleet(GATEWAYS);
        fleet.writeFiles(dir,
            kept ? "store {\n  dir = \"" + dir.resolve("state") + "\"\n  every = \"500ms\"\n}\n"
            : "", 2);
        fleet.command("kill g0"); // the file that the relay starts from names these two and no other
        fleet.command("kill g1");
        fleet.command("stop g2");
        ExecutorService clients = Executors.newCachedThreadPool();
        Process relay = null;
        try {
            relay = start(dir, fleet);
            load(fleet, clients, 4, -2); // it learns
            List<Asked> all = new ArrayList<>(load(fleet, clients, 3, -1));
            relay.destroyForcibly().waitFor();
            fleet.discoveryLate(Duration.ofMillis(late));
            relay = start(dir, fleet);
            all.addAll(load(fleet, clients, seconds, 0));
            return all;
        } finally {
            clients.shutdownNow();
            if (relay != null) {
                relay.destroyForcibly().waitFor();
            }
            Home.delete(dir);
        }
    }

    private static Process start(Path dir, Fleet fleet) throws IOException, InterruptedException {
        Process relay = new ProcessBuilder(Home.relay().toString(), "serve", "--config",
            dir.resolve("config.json").toString(), "--settings", dir.resolve("saltstage.hcl").toString())
            .redirectError(dir.resolve("log").toFile()).start();
        Home.awaitPong(address(fleet), relay, Duration.ofSeconds(30));
        return relay;
    }

    private static InetSocketAddress address(Fleet fleet) {
        String[] at = fleet.listen().split(":");
        return new InetSocketAddress(at[0], Integer.parseInt(at[1]));
    }

    /** Asks at the rate for so long, whatever comes back; from second -2 and -1 all count as that second. */
    private List<Asked> load(Fleet fleet, ExecutorService clients, int forSeconds,
        int from) throws Exception {
        List<Future<Asked>> asked = new ArrayList<>();
        long start = System.nanoTime();
        for (int i = 0; i < forSeconds * rate; i++) {
            long due = start + i * 1_000_000_000L / rate;
            Thread.sleep(Math.max(0, (due - System.nanoTime()) / 1_000_000));
            int second = from < 0 ? from : i / rate;
            asked.add(clients.submit(() -> ask(address(fleet), second)));
        }
        List<Asked> all = new ArrayList<>();
        for (Future<Asked> one : asked) {
            all.add(one.get());
        }
        return all;
    }

    private static Asked ask(InetSocketAddress relay, int second) {
        long start = System.nanoTime();
        boolean served = false;
        int millis = 0;
        try (Socket socket = new Socket()) {
            socket.connect(relay, PATIENCE_MS);
            socket.setSoTimeout(PATIENCE_MS + 500);
            ThreadLocalRandom random = ThreadLocalRandom.current();
            socket.getOutputStream().write(("OPEN " + Long.toHexString(random.nextLong()) + " k"
                + random.nextInt(1_000) + " c=status-report,t=kitaden-charge,d=" + PATIENCE_MS + ",g=s"
                + random.nextInt(60) + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
            String answer = new BufferedReader(
                new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1)).readLine();
            millis = (int) ((System.nanoTime() - start) / 1_000_000);
            served = answer != null && answer.startsWith("UP ");
            Thread.sleep(served ? 500 : 0);
        } catch (IOException broken) {
            served = false;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return new Asked(second, millis, served);
    }
}

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
import saltstage.lab.Installation;
import saltstage.lab.fleet.FakeFleet;
import saltstage.lab.store.Report;

/**
 * Measures what clients experience after a relay is killed and restarted in front of a fleet in
 * trouble, with and without a store.
 */
@Command(
        name = "restart",
        mixinStandardHelpOptions = true,
        description = {
            "A deploy has replaced the two backends in the platform's list by six others,"
                    + " one of which is",
            "frozen, and discovery answers slowly.",
            "The relay is killed and restarted, with and without a store: reports served and failed"
                    + " requests second by second."
        })
public final class RestartCommand implements Callable<Integer> {
    private static final int BACKENDS = 8;
    private static final int CLIENT_TIMEOUT_MS = 2_000;

    @Option(
            names = "--rounds",
            defaultValue = "5",
            description = "restarts with and without a store, each (default 5)")
    private int rounds;

    @Option(
            names = "--seconds",
            defaultValue = "10",
            description = "seconds of requests after each restart (default 10)")
    private int seconds;

    @Option(
            names = "--rate",
            defaultValue = "40",
            description = "new connections a second (default 40)")
    private int rate;

    @Option(
            names = "--late",
            defaultValue = "4000",
            description = "delay of discovery's answers after the restart, in ms (default 4000)")
    private int late;

    private record RequestResult(int second, int millis, boolean served) {}

    @Override
    public Integer call() throws Exception {
        Report report =
                new Report(
                        "store-restart",
                        "store",
                        "second",
                        "asked",
                        "not served",
                        "set-up p50 in ms",
                        "set-up p99 in ms",
                        "most in ms");
        for (boolean withStore : new boolean[] {false, true}) {
            List<RequestResult> results = new ArrayList<>();
            for (int round = 0; round < rounds; round++) {
                results.addAll(runRound(withStore));
            }
            for (int second = -1; second < seconds; second++) {
                addRow(report, withStore, second, results);
            }
        }
        report.writeFiles(Installation.measurementsDirectory());
        return 0;
    }

    /** Adds the row of one second; second -1 is the time before the kill. */
    private static void addRow(
            Report report, boolean withStore, int second, List<RequestResult> results) {
        Histogram times = new Histogram(3);
        long requests = 0;
        long unserved = 0;
        for (RequestResult result : results) {
            if (result.second() == second) {
                requests++;
                unserved += result.served() ? 0 : 1;
                if (result.served()) {
                    times.recordValue(result.millis());
                }
            }
        }
        report.addRow(
                withStore ? "on" : "off",
                second < 0 ? "before" : second,
                requests,
                unserved,
                times.getValueAtPercentile(50),
                times.getValueAtPercentile(99),
                times.getMaxValue());
    }

    private List<RequestResult> runRound(boolean withStore) throws Exception {
        Path dir = Files.createTempDirectory("saltstage-restart");
        FakeFleet fleet = new FakeFleet(BACKENDS);
        fleet.writeFiles(
                dir,
                withStore
                        ? "store {\n  dir = \""
                                + dir.resolve("state")
                                + "\"\n  every = \"500ms\"\n}\n"
                        : "",
                2);
        fleet.runCommand("kill g0"); // config.json names only g0 and g1, which no longer exist
        fleet.runCommand("kill g1");
        fleet.runCommand("stop g2");
        ExecutorService clients = Executors.newCachedThreadPool();
        Process relay = null;
        try {
            relay = startRelay(dir, fleet);
            sendRequests(fleet, clients, 4, -2); // lets the relay learn the backends
            List<RequestResult> results = new ArrayList<>(sendRequests(fleet, clients, 3, -1));
            relay.destroyForcibly().waitFor();
            fleet.setDiscoveryDelay(Duration.ofMillis(late));
            relay = startRelay(dir, fleet);
            results.addAll(sendRequests(fleet, clients, seconds, 0));
            return results;
        } finally {
            clients.shutdownNow();
            if (relay != null) {
                relay.destroyForcibly().waitFor();
            }
            Installation.deleteRecursively(dir);
        }
    }

    private static Process startRelay(Path dir, FakeFleet fleet)
            throws IOException, InterruptedException {
        Process relay =
                new ProcessBuilder(
                                Installation.relayScript().toString(),
                                "serve",
                                "--config",
                                dir.resolve("config.json").toString(),
                                "--settings",
                                dir.resolve("saltstage.hcl").toString())
                        .redirectError(dir.resolve("log").toFile())
                        .start();
        Installation.awaitPong(relayAddress(fleet), relay, Duration.ofSeconds(30));
        return relay;
    }

    private static InetSocketAddress relayAddress(FakeFleet fleet) {
        String[] hostAndPort = fleet.listenAddress().split(":");
        return new InetSocketAddress(hostAndPort[0], Integer.parseInt(hostAndPort[1]));
    }

    /**
     * Sends requests at the configured rate for this many seconds, regardless of the answers.
     * Results are counted by second from 0 on; with a negative {@code firstSecond} all of them
     * count as that second.
     */
    private List<RequestResult> sendRequests(
            FakeFleet fleet, ExecutorService clients, int durationSeconds, int firstSecond)
            throws Exception {
        List<Future<RequestResult>> pending = new ArrayList<>();
        long start = System.nanoTime();
        for (int i = 0; i < durationSeconds * rate; i++) {
            long due = start + i * 1_000_000_000L / rate;
            Thread.sleep(Math.max(0, (due - System.nanoTime()) / 1_000_000));
            int second = firstSecond < 0 ? firstSecond : i / rate;
            pending.add(clients.submit(() -> sendRequest(relayAddress(fleet), second)));
        }
        List<RequestResult> results = new ArrayList<>();
        for (Future<RequestResult> result : pending) {
            results.add(result.get());
        }
        return results;
    }

    private static RequestResult sendRequest(InetSocketAddress relay, int second) {
        long start = System.nanoTime();
        boolean served = false;
        int millis = 0;
        try (Socket socket = new Socket()) {
            socket.connect(relay, CLIENT_TIMEOUT_MS);
            socket.setSoTimeout(CLIENT_TIMEOUT_MS + 500);
            ThreadLocalRandom random = ThreadLocalRandom.current();
            socket.getOutputStream()
                    .write(
                            ("OPEN "
                                            + Long.toHexString(random.nextLong())
                                            + " k"
                                            + random.nextInt(1_000)
                                            + " c=status-report,t=kitaden-charge,d="
                                            + CLIENT_TIMEOUT_MS
                                            + ",g=s"
                                            + random.nextInt(60)
                                            + "\r\n")
                                    .getBytes(StandardCharsets.ISO_8859_1));
            String answer =
                    new BufferedReader(
                                    new InputStreamReader(
                                            socket.getInputStream(), StandardCharsets.ISO_8859_1))
                            .readLine();
            millis = (int) ((System.nanoTime() - start) / 1_000_000);
            served = answer != null && answer.startsWith("UP ");
            Thread.sleep(served ? 500 : 0);
        } catch (IOException broken) {
            served = false;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return new RequestResult(second, millis, served);
    }
}

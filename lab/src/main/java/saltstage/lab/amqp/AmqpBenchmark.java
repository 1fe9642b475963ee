package saltstage.lab.amqp;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import saltstage.lab.Installation;
import saltstage.lab.fleet.FakeFleet;
import saltstage.lab.store.Report;

/** Compares the AMQP frontend of the relay with direct connections to the backends, in one run. */
@Command(
        name = "amqp",
        mixinStandardHelpOptions = true,
        description = {
            "Measures deliveries per second and latencies through a relay on one core and directly"
                    + " to the backends, at several",
            "numbers of links; then the bytes per idle link, the last new link after a drain, and"
                    + " the time that a killed",
            "backend costs. Writes tables and a chart to docs/measurements."
        })
public final class AmqpBenchmark implements Callable<Integer> {
    private static final int BACKENDS = 4;

    /** Deliveries sent in each round of the maximum rate measurement. */
    private static final double DELIVERIES_PER_ROUND = 120_000;

    /** A rate that no route can sustain, so that there is always another delivery due. */
    private static final double UNLIMITED_RATE_PER_SECOND = 1_000_000;

    private static final double WARM_UP_RATE_PER_SECOND = 60_000;

    @Option(
            names = "--links",
            split = ",",
            defaultValue = "1,100,5000",
            description = "numbers of links")
    private List<Integer> links;

    @Option(
            names = "--seconds",
            defaultValue = "4",
            description = "length of each measurement (default 4)")
    private double seconds;

    @Option(names = "--cpu", defaultValue = "0", description = "the relay's core (default 0)")
    private String cpu;

    @Option(
            names = "--others",
            defaultValue = "1-7",
            description = "cores of everything else (default 1-7)")
    private String others;

    @Option(
            names = "--heap",
            defaultValue = "512m",
            description = "the relay's heap (default 512m)")
    private String heap;

    @Option(
            names = "--warm",
            defaultValue = "30",
            description = {
                "seconds of load before the rates (default 30): the JIT compiler competes"
                        + " for the",
                "relay's only core until it has compiled the hot code"
            })
    private double warm;

    @Option(
            names = "--parts",
            split = ",",
            defaultValue = "rates,quiet,drain,kill",
            description = "the measurements to run (default ${DEFAULT-VALUE})")
    private List<String> parts;

    private Path dir;
    private FakeFleet fleet;
    private Process relay;

    @Override
    public Integer call() throws Exception {
        // The relay has its core to itself: all threads of this process, clients and backends, run
        // on the other cores.
        new ProcessBuilder("taskset", "-acp", others, Long.toString(ProcessHandle.current().pid()))
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                .start()
                .waitFor();
        dir = Files.createTempDirectory("saltstage-amqp");
        fleet = new FakeFleet(BACKENDS, true, 0);
        fleet.writeFiles(
                dir,
                "log {\n  level = \"warn\"\n}\n"
                        + fleet.operatorSettings(
                                "  links_per_connection = 100000\n"
                                        + "  links = 100000\n"
                                        + "  connections = 1000\n"
                                        + "  attaches_per_second = 100000\n"));
        relay = startRelay();
        try {
            Installation.awaitPong(
                    parseAddress(fleet.listenAddress()), relay, Duration.ofSeconds(30));
            for (String part : parts) {
                measurePart(part);
            }
        } finally {
            relay.destroy();
            if (!relay.waitFor(20, TimeUnit.SECONDS)) {
                relay.destroyForcibly().waitFor();
            }
            Installation.deleteRecursively(dir);
        }
        return 0;
    }

    private Process startRelay() throws IOException {
        return new ProcessBuilder(
                        "taskset",
                        "-c",
                        cpu,
                        "java",
                        "-Xms" + heap,
                        "-Xmx" + heap,
                        "-XX:+UseSerialGC",
                        "-jar",
                        Installation.relayJar().toString(),
                        "serve",
                        "--config",
                        dir.resolve("config.json").toString(),
                        "--settings",
                        dir.resolve("saltstage.hcl").toString())
                .redirectErrorStream(true)
                .redirectOutput(dir.resolve("log").toFile())
                .start();
    }

    private void measurePart(String part) throws IOException, InterruptedException {
        switch (part) {
            case "rates" -> measureRates();
            case "quiet" -> measureQuietLinks();
            case "drain" -> measureDrain();
            case "kill" -> measureKill();
            default ->
                    throw new IllegalArgumentException(
                            "unknown part '" + part + "': use rates, quiet, drain or kill");
        }
    }

    private List<InetSocketAddress> targetAddresses(boolean straight) {
        return straight
                ? fleet.amqpBackends().stream().map(FakeAmqpBackend::address).toList()
                : List.of(parseAddress(fleet.amqpListenAddress()));
    }

    private void measureRates() throws IOException, InterruptedException {
        warmUp();
        Report report =
                new Report(
                        "amqp-rates",
                        "links",
                        "way",
                        "most deliveries a second",
                        "at a rate of",
                        "p50 ms",
                        "p99 ms",
                        "p99.9 ms",
                        "worst ms");
        for (int linkCount : links) {
            double[] maxRates = new double[2];
            for (int route = 0; route < 2; route++) { // also warms up the JIT compiler
                maxRates[route] = measureMaxRate(route == 1, linkCount);
            }
            double halfRate = maxRates[0] / 2;
            for (int route = 0; route < 2; route++) {
                measureLatencies(report, linkCount, route, maxRates[route], halfRate);
            }
        }
        report.setBarChart(
                "AMQP deliveries a second, relay on one core",
                "links",
                "deliveries a second",
                1,
                0,
                2);
        report.writeFiles(Installation.measurementsDirectory());
    }

    /**
     * Measures latencies at a fixed rate, after a first run at the same rate that isn't counted.
     */
    private void measureLatencies(
            Report report, int linkCount, int route, double maxRate, double rate)
            throws InterruptedException {
        try (LoadGenerator load =
                new LoadGenerator(
                        true, targetAddresses(route == 1), linkCount, "half" + route + linkCount)) {
            load.run(rate, 3, false);
        }
        try (LoadGenerator load =
                new LoadGenerator(
                        true, targetAddresses(route == 1), linkCount, "rate" + route + linkCount)) {
            load.run(rate, seconds, false);
            var latencies = load.deliveryTracker().latencies();
            report.addRow(
                    linkCount,
                    route == 1 ? "straight" : "relay",
                    Math.round(maxRate),
                    Math.round(rate),
                    formatMillis(latencies.getValueAtPercentile(50)),
                    formatMillis(latencies.getValueAtPercentile(99)),
                    formatMillis(latencies.getValueAtPercentile(99.9)),
                    formatMillis(latencies.getMaxValue()));
        }
    }

    private void warmUp() throws InterruptedException {
        long start = System.nanoTime();
        for (int round = 0; System.nanoTime() - start < warm * 1e9; round++) {
            for (int route = 0; route < 2; route++) {
                try (LoadGenerator load =
                        new LoadGenerator(
                                true,
                                targetAddresses(route == 1),
                                100,
                                "warm" + route + "r" + round)) {
                    load.run(WARM_UP_RATE_PER_SECOND, 2, false);
                }
            }
        }
    }

    /**
     * Returns the maximum rate of three rounds: more deliveries are due than can be sent, so the
     * deliveries completed per second are the maximum.
     */
    private double measureMaxRate(boolean straight, int linkCount) throws InterruptedException {
        double maxRate = 0;
        for (int round = 0; round < 3; round++) {
            try (LoadGenerator load =
                    new LoadGenerator(
                            true,
                            targetAddresses(straight),
                            linkCount,
                            "most" + straight + linkCount + "r" + round)) {
                long start = System.nanoTime();
                load.run(
                        UNLIMITED_RATE_PER_SECOND,
                        DELIVERIES_PER_ROUND / UNLIMITED_RATE_PER_SECOND,
                        false);
                double elapsedSeconds = (System.nanoTime() - start) / 1e9;
                maxRate = Math.max(maxRate, load.deliveryTracker().sentCount() / elapsedSeconds);
            }
        }
        return maxRate;
    }

    private static String formatMillis(long nanos) {
        return String.format(Locale.ROOT, "%.2f", nanos / 1e6);
    }

    private void measureQuietLinks() throws IOException, InterruptedException {
        Report report = new Report("amqp-quiet", "quiet links", "heap in use KiB", "bytes a link");
        long initialHeapKib = liveHeapKib();
        report.addRow(0, initialHeapKib, "-");
        for (int linkCount : new int[] {2_000, 10_000}) {
            try (LoadGenerator load =
                    new LoadGenerator(
                            true, targetAddresses(false), linkCount, "quiet" + linkCount)) {
                long heapKib = liveHeapKib();
                report.addRow(linkCount, heapKib, (heapKib - initialHeapKib) * 1024 / linkCount);
            }
            Thread.sleep(3_000);
        }
        report.writeFiles(Installation.measurementsDirectory());
    }

    /**
     * Returns the size of the relay's live objects; the class histogram runs a collection first.
     */
    private long liveHeapKib() throws IOException, InterruptedException {
        Thread.sleep(1_000);
        Process jcmd =
                new ProcessBuilder("jcmd", Long.toString(relay.pid()), "GC.class_histogram")
                        .redirectErrorStream(true)
                        .start();
        List<String> lines = new String(jcmd.getInputStream().readAllBytes()).lines().toList();
        String[] totalFields = lines.get(lines.size() - 1).trim().split("\\s+");
        return Long.parseLong(totalFields[2]) / 1024;
    }

    private void measureDrain() throws IOException, InterruptedException {
        Report report =
                new Report(
                        "amqp-drain",
                        "round",
                        "links moved",
                        "last new link ms after the drain",
                        "all links away ms after the drain");
        for (int round = 0; round < 5; round++) {
            String backendId = "g" + round % BACKENDS;
            FakeAmqpBackend backend = fleet.amqpBackends().get(round % BACKENDS);
            try (LoadGenerator load =
                    new LoadGenerator(true, targetAddresses(false), 400, "drain" + round)) {
                Thread loadThread =
                        new Thread(
                                () -> {
                                    try {
                                        load.run(2_000, 3, false);
                                    } catch (InterruptedException e) {
                                        Thread.currentThread().interrupt();
                                    }
                                });
                loadThread.start();
                Thread.sleep(500);
                int linkCount = backend.linkCount();
                long drainMillis = System.currentTimeMillis();
                fleet.runCommand("drain " + backendId);
                long detachMillis = -1;
                while (detachMillis < 0 && System.currentTimeMillis() < drainMillis + 5_000) {
                    detachMillis =
                            backend.linkCount() == 0
                                    ? System.currentTimeMillis() - drainMillis
                                    : -1;
                    Thread.sleep(1);
                }
                loadThread.join();
                long attachMillis = backend.lastLinkMillis() - drainMillis;
                report.addRow(
                        round, linkCount, attachMillis < 0 ? "none" : attachMillis, detachMillis);
                fleet.runCommand("start " + backendId);
            }
        }
        report.writeFiles(Installation.measurementsDirectory());
    }

    private void measureKill() throws IOException, InterruptedException {
        Report report =
                new Report(
                        "amqp-kill",
                        "round",
                        "links lost",
                        "longest wait for an outcome ms",
                        "accepted",
                        "released or modified",
                        "no outcome");
        for (int round = 0; round < 5; round++) {
            String backendId = "g" + round % BACKENDS;
            FakeAmqpBackend backend = fleet.amqpBackends().get(round % BACKENDS);
            try (LoadGenerator load =
                    new LoadGenerator(true, targetAddresses(false), 100, "kill" + round)) {
                Thread killThread =
                        new Thread(
                                () -> {
                                    try {
                                        Thread.sleep(1_500);
                                        fleet.runCommand("kill " + backendId);
                                    } catch (InterruptedException | IOException e) {
                                        Thread.currentThread().interrupt();
                                    }
                                });
                int initialLinks = backend.linkCount();
                killThread.start();
                load.run(2_000, 4, false);
                killThread.join();
                var counts = load.deliveryTracker().outcomeCounts();
                report.addRow(
                        round,
                        initialLinks,
                        formatMillis(load.deliveryTracker().latencies().getMaxValue()),
                        counts.getOrDefault(DeliveryTracker.DeliveryOutcome.ACCEPTED, 0L),
                        counts.getOrDefault(DeliveryTracker.DeliveryOutcome.RELEASED, 0L)
                                + counts.getOrDefault(DeliveryTracker.DeliveryOutcome.MODIFIED, 0L),
                        counts.getOrDefault(DeliveryTracker.DeliveryOutcome.NOTHING, 0L)
                                + counts.getOrDefault(DeliveryTracker.DeliveryOutcome.WAITING, 0L));
                fleet.runCommand("start " + backendId);
                Thread.sleep(2_000);
            }
        }
        report.writeFiles(Installation.measurementsDirectory());
    }

    private static InetSocketAddress parseAddress(String text) {
        int colon = text.lastIndexOf(':');
        return new InetSocketAddress(
                text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }
}

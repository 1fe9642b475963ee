package saltstage.lab.measure;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import saltstage.lab.Installation;
import saltstage.lab.fleet.FakeFleet;

/** Measures the time from a relay's start to its first PONG, and its resident memory then. */
@Command(
        name = "startup",
        mixinStandardHelpOptions = true,
        description = {
            "Starts relays in turn, each pinned to one processor with the flags of production, and"
                    + " prints wall time",
            "and processor time until the first PONG and resident memory at that time, as minimum,"
                    + " median, maximum.",
            "On half a core the start takes twice the processor time."
        })
public final class StartupCommand implements Callable<Integer> {
    private static final long CLOCK_TICK_MS = 10; // /proc counts in hundredths of a second

    @Option(
            names = "--runs",
            defaultValue = "9",
            description = "measured runs of each jar (default 9)")
    private int runs;

    @Option(names = "--jvm", split = " ", description = "JVM flags (default: those of deploy/)")
    private List<String> jvm =
            List.of(
                    "-Xms24m",
                    "-Xmx48m",
                    "-Xss256k",
                    "-XX:+UseSerialGC",
                    "-XX:TieredStopAtLevel=1",
                    "-XX:-UsePerfData",
                    "-XX:MaxMetaspaceSize=32m",
                    "-XX:ReservedCodeCacheSize=16m");

    @Option(names = "--jars", split = ",", description = "jars to compare (default: the built one)")
    private List<Path> jars = List.of();

    @Option(
            names = "--flags",
            description =
                    "additional JVM flags for one jar; repeat the option once per jar, in order")
    private List<String> flags = List.of();

    @Option(
            names = "--store",
            description = "start with a store in which an earlier run has persisted a backend list")
    private boolean withStore;

    @Override
    public Integer call() throws IOException, InterruptedException {
        List<Path> comparedJars = jars.isEmpty() ? List.of(Installation.relayJar()) : jars;
        long[][][] figures = new long[comparedJars.size()][3][runs];
        for (int run = -1; run < runs; run++) { // run -1 warms up and is not recorded
            for (int i = 0; i < comparedJars.size(); i++) {
                long[] measured =
                        measureOnce(comparedJars.get(i), i < flags.size() ? flags.get(i) : "");
                for (int f = 0; run >= 0 && f < measured.length; f++) {
                    figures[i][f][run] = measured[f];
                }
            }
        }
        System.out.printf("%-10s %-22s %8s %8s %8s%n", "jar", "figure", "min", "median", "max");
        String[] names = {"wall until PONG, ms", "cpu until PONG, ms", "resident, KiB"};
        for (int i = 0; i < comparedJars.size(); i++) {
            for (int f = 0; f < names.length; f++) {
                long[] sorted = figures[i][f];
                Arrays.sort(sorted);
                System.out.printf(
                        "%-10s %-22s %8d %8d %8d%n",
                        (char) ('A' + i), names[f], sorted[0], sorted[runs / 2], sorted[runs - 1]);
            }
        }
        return 0;
    }

    private long[] measureOnce(Path jar, String extraFlags)
            throws IOException, InterruptedException {
        Path dir = Files.createTempDirectory("saltstage-startup");
        FakeFleet fleet = new FakeFleet(12);
        fleet.writeFiles(dir, "store {\n  dir = \"" + dir.resolve("state") + "\"\n}\n");
        List<String> command = relayCommand(jar, extraFlags, dir);
        if (withStore) {
            command.addAll(List.of("--settings", dir.resolve("saltstage.hcl").toString()));
            Process earlierRelay =
                    new ProcessBuilder(command)
                            .redirectErrorStream(true)
                            .redirectOutput(dir.resolve("log").toFile())
                            .start();
            Installation.awaitPong(relayAddress(fleet), earlierRelay, Duration.ofSeconds(30));
            Thread.sleep(1_000); // time for the relay to receive and persist the backend list
            earlierRelay.destroyForcibly().waitFor();
        }
        Process relay =
                new ProcessBuilder(command)
                        .redirectErrorStream(true)
                        .redirectOutput(dir.resolve("log").toFile())
                        .start();
        try {
            Duration wall =
                    Installation.awaitPong(relayAddress(fleet), relay, Duration.ofSeconds(30));
            Path proc = Path.of("/proc", Long.toString(relay.pid()));
            String stat = Files.readString(proc.resolve("stat"));
            String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
            long cpuMillis =
                    (Long.parseLong(fields[11]) + Long.parseLong(fields[12])) * CLOCK_TICK_MS;
            long residentKib =
                    Files.readAllLines(proc.resolve("status")).stream()
                            .filter(line -> line.startsWith("VmRSS:"))
                            .mapToLong(line -> Long.parseLong(line.replaceAll("\\D", "")))
                            .findFirst()
                            .orElse(0);
            return new long[] {wall.toMillis(), cpuMillis, residentKib};
        } finally {
            relay.destroyForcibly().waitFor(10, TimeUnit.SECONDS);
            Installation.deleteRecursively(dir);
        }
    }

    private List<String> relayCommand(Path jar, String extraFlags, Path dir) {
        List<String> command = new ArrayList<>(List.of("taskset", "-c", "1", "java"));
        command.addAll(jvm);
        if (!extraFlags.isBlank()) {
            command.addAll(List.of(extraFlags.trim().split(" ")));
        }
        command.addAll(
                List.of(
                        "-jar",
                        jar.toString(),
                        "serve",
                        "--config",
                        dir.resolve("config.json").toString()));
        return command;
    }

    private static InetSocketAddress relayAddress(FakeFleet fleet) {
        String[] hostAndPort = fleet.listenAddress().split(":");
        return new InetSocketAddress(hostAndPort[0], Integer.parseInt(hostAndPort[1]));
    }
}

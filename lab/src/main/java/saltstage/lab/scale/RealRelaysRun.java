package saltstage.lab.scale;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import saltstage.lab.scale.Topology.Zone;

/**
 * Checks that simulated relays cause the same control traffic as real relays, with three of each
 * behind one distributor.
 */
@Command(
        name = "real-relays",
        mixinStandardHelpOptions = true,
        description = "Compares bytes and requests of three real and three simulated relays.")
final class RealRelaysRun extends ScaleRun {
    private static final int RELAY_COUNT = 3;
    private static final String REAL_RELAY_LINKS = "real relays";
    private static final String SIMULATED_RELAY_LINKS = "hollow relays";
    private static final int MAX_SOCKETS = 4_096;
    private static final int HEAP_MEGABYTES = 160;
    private static final double FIFTY_FOLD_CHANGES_PER_SECOND =
            50 * CapacityTarget.CHANGES_PER_SECOND;
    private static final double MAX_DEVIATION = 0.1;
    private static final double SETTLE_SECONDS = 6;

    @Option(
            names = "--shards",
            defaultValue = "59000",
            description = "number of placed shards (default 59000)")
    private int shardCount;

    @Option(
            names = "--seconds",
            defaultValue = "20",
            description = "length of each span (default 20)")
    private double spanSeconds;

    private final List<RelayProcess> realRelays = new ArrayList<>();

    RealRelaysRun() {
        super("real-relays");
    }

    @Override
    boolean run(RunContext context) throws Exception {
        try (FakeLineBackends backends = new FakeLineBackends(context.transport());
                FleetEnvironment environment =
                        new FleetEnvironment(
                                context.folder(),
                                context.transport(),
                                context.seed(),
                                shardCount,
                                backends.port())) {
            List<String> sources =
                    environment.controlPlane().addRelaySources(SIMULATED_RELAY_LINKS, Zone.A1);
            try (SimulatedRelayHost simulated =
                    new SimulatedRelayHost(
                            0,
                            RELAY_COUNT,
                            Zone.A1.lowerCaseName(),
                            sources,
                            HEAP_MEGABYTES,
                            context.folder(),
                            new AppliedRevisionLog())) {
                simulated.start();
                simulated.awaitReady();
                startRealRelays(
                        context.folder(),
                        environment.controlPlane().addRelaySources(REAL_RELAY_LINKS, Zone.A1));
                sleepSeconds(SETTLE_SECONDS);
                return compare(context.file(), environment);
            } finally {
                closeRealRelays();
            }
        }
    }

    private void startRealRelays(Path folder, List<String> sources)
            throws IOException, InterruptedException {
        for (int i = 0; i < RELAY_COUNT; i++) {
            Path relayFolder = folder.resolve("real-" + i);
            String settings =
                    "configuration {\n  sources = [\""
                            + String.join("\", \"", sources)
                            + "\"]\n  zone = \"a1\"\n  name = \"real-"
                            + i
                            + "\"\n  dir = \""
                            + relayFolder.resolve("held")
                            + "\"\n}\n";
            InetSocketAddress unusedDiscovery =
                    new InetSocketAddress(InetAddress.getLoopbackAddress(), 9);
            realRelays.add(
                    new RelayProcess(relayFolder, unusedDiscovery, MAX_SOCKETS, true, settings));
        }
    }

    private void closeRealRelays() throws InterruptedException {
        for (RelayProcess relay : realRelays) {
            relay.close();
        }
    }

    private boolean compare(MeasurementFile file, FleetEnvironment environment) throws Exception {
        file.beginPoint(RELAY_COUNT);
        boolean quietMatches = measureSpan(file, environment, "quiet");
        SteadyChanges changes = environment.startChanges(FIFTY_FOLD_CHANGES_PER_SECOND);
        boolean changingMatches = measureSpan(file, environment, "changing");
        changes.stop();
        return quietMatches && changingMatches;
    }

    private boolean measureSpan(MeasurementFile file, FleetEnvironment environment, String name)
            throws Exception {
        ZoneLinks.Traffic realBefore = environment.links().traffic(REAL_RELAY_LINKS, zone -> true);
        ZoneLinks.Traffic simulatedBefore =
                environment.links().traffic(SIMULATED_RELAY_LINKS, zone -> true);
        double processorSecondsBefore = processorSeconds();
        sleepSeconds(spanSeconds);
        ZoneLinks.Traffic real =
                environment.links().traffic(REAL_RELAY_LINKS, zone -> true).since(realBefore);
        ZoneLinks.Traffic simulated =
                environment
                        .links()
                        .traffic(SIMULATED_RELAY_LINKS, zone -> true)
                        .since(simulatedBefore);
        file.addFigure(name + "_real_bytes_per_s", real.bytes() / spanSeconds / RELAY_COUNT);
        file.addFigure(name + "_hollow_bytes_per_s", simulated.bytes() / spanSeconds / RELAY_COUNT);
        file.addFigure(name + "_real_requests_per_s", real.requests() / spanSeconds / RELAY_COUNT);
        file.addFigure(
                name + "_hollow_requests_per_s", simulated.requests() / spanSeconds / RELAY_COUNT);
        file.addFigure(name + "_bytes_ratio", (double) simulated.bytes() / real.bytes());
        file.addFigure(name + "_requests_ratio", (double) simulated.requests() / real.requests());
        file.addFigure(
                name + "_real_processor_share",
                (processorSeconds() - processorSecondsBefore) / spanSeconds / RELAY_COUNT);
        file.addFigure(
                name + "_real_resident_mb", realRelays.get(0).statistics().residentMegabytes());
        return isWithinDeviation(simulated.bytes(), real.bytes())
                && isWithinDeviation(simulated.requests(), real.requests());
    }

    private static boolean isWithinDeviation(double simulated, double real) {
        return Math.abs(simulated / real - 1) <= MAX_DEVIATION;
    }

    private double processorSeconds() throws IOException {
        double sum = 0;
        for (RelayProcess relay : realRelays) {
            sum += relay.statistics().processorSeconds();
        }
        return sum;
    }
}

package saltstage.lab.scale;

import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

import saltstage.lab.scale.Topology.Zone;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Whether hollow relays cost what real ones do: three of each behind one distributor. */
@Command(
        name = "real-relays",
        mixinStandardHelpOptions = true,
        description = "Bytes and requests of three real relays against those of three hollow ones.")
final class RealRelaysRun extends ScaleRun {
    private static final int RELAYS = 3;
    private static final String REAL = "real relays";
    private static final String HOLLOW = "hollow relays";
    private static final int SOCKETS = 4_096;
    private static final int HEAP_MEGABYTES = 160;
    private static final double FIFTY_FOLD = 50 * Target.CHANGES_A_SECOND;
    private static final double AGREE = 0.1;
    private static final double SETTLE_SECONDS = 6;

    @Option(names = "--shards", defaultValue = "59000", description = "placed (default 59000)")
    private int shards;

    @Option(names = "--seconds", defaultValue = "20", description = "of each span (default 20)")
    private double span;

    private final List<RelayProcess> relays = new ArrayList<>();

    RealRelaysRun() {
        super("real-relays");
    }

    @Override
    boolean run(Stage stage) throws Exception {
        try (LineBackends backends = new LineBackends(stage.transport());
                FleetStage all =
                        new FleetStage(
                                stage.folder(),
                                stage.transport(),
                                stage.seed(),
                                shards,
                                backends.port())) {
            List<String> sources = all.control().sourcesOfRelays(HOLLOW, Zone.A1);
            try (HollowHost hollow =
                    new HollowHost(
                            0,
                            RELAYS,
                            Zone.A1.text(),
                            sources,
                            HEAP_MEGABYTES,
                            stage.folder(),
                            new InForceLog())) {
                hollow.start();
                hollow.awaitReady();
                startReal(stage.folder(), all.control().sourcesOfRelays(REAL, Zone.A1));
                seconds(SETTLE_SECONDS);
                return compare(stage.file(), all);
            } finally {
                closeAll();
            }
        }
    }

    private void startReal(Path folder, List<String> sources)
            throws IOException, InterruptedException {
        for (int i = 0; i < RELAYS; i++) {
            Path own = folder.resolve("real-" + i);
            String settings =
                    "configuration {\n  sources = [\""
                            + String.join("\", \"", sources)
                            + "\"]\n  zone = \"a1\"\n  name = \"real-"
                            + i
                            + "\"\n  dir = \""
                            + own.resolve("held")
                            + "\"\n}\n";
            InetSocketAddress nobody = new InetSocketAddress(InetAddress.getLoopbackAddress(), 9);
            relays.add(new RelayProcess(own, nobody, SOCKETS, true, settings));
        }
    }

    private void closeAll() throws InterruptedException {
        for (RelayProcess relay : relays) {
            relay.close();
        }
    }

    private boolean compare(MeasurementFile file, FleetStage all) throws Exception {
        file.begin(RELAYS);
        boolean quiet = span(file, all, "quiet");
        SteadyChanges changes = all.change(FIFTY_FOLD);
        boolean changing = span(file, all, "changing");
        changes.end();
        return quiet && changing;
    }

    private boolean span(MeasurementFile file, FleetStage all, String name) throws Exception {
        ZoneLinks.Traffic realBefore = all.links().traffic(REAL, zone -> true);
        ZoneLinks.Traffic hollowBefore = all.links().traffic(HOLLOW, zone -> true);
        double processorBefore = processorSeconds();
        seconds(span);
        ZoneLinks.Traffic real = all.links().traffic(REAL, zone -> true).since(realBefore);
        ZoneLinks.Traffic hollow = all.links().traffic(HOLLOW, zone -> true).since(hollowBefore);
        file.add(name + "_real_bytes_per_s", real.bytes() / span / RELAYS);
        file.add(name + "_hollow_bytes_per_s", hollow.bytes() / span / RELAYS);
        file.add(name + "_real_requests_per_s", real.requests() / span / RELAYS);
        file.add(name + "_hollow_requests_per_s", hollow.requests() / span / RELAYS);
        file.add(name + "_bytes_ratio", (double) hollow.bytes() / real.bytes());
        file.add(name + "_requests_ratio", (double) hollow.requests() / real.requests());
        file.add(
                name + "_real_processor_share",
                (processorSeconds() - processorBefore) / span / RELAYS);
        file.add(name + "_real_resident_mb", relays.get(0).figures().residentMegabytes());
        return agree(hollow.bytes(), real.bytes()) && agree(hollow.requests(), real.requests());
    }

    private static boolean agree(double hollow, double real) {
        return Math.abs(hollow / real - 1) <= AGREE;
    }

    private double processorSeconds() throws IOException {
        double sum = 0;
        for (RelayProcess relay : relays) {
            sum += relay.figures().processorSeconds();
        }
        return sum;
    }
}

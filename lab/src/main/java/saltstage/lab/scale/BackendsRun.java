package saltstage.lab.scale;

import java.time.Duration;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Measures what a relay needs as its backend list grows while its traffic stays the same. */
@Command(
        name = "backends",
        mixinStandardHelpOptions = true,
        description = "One real relay with a growing number of backends and the same clients.")
final class BackendsRun extends ScaleRun {
    /** The largest count is the one that operators require; the first ones are usual sizes. */
    static final int[] BACKEND_COUNTS = {60, 200, 800, 3_200};

    private static final int MAX_SOCKETS = 1_400;
    private static final double OPENS_PER_SECOND = 12;
    private static final int MAX_ESTABLISHED = 120;
    private static final double SETTLE_SECONDS = 3;

    @Option(
            names = "--seconds",
            defaultValue = "30",
            description = "seconds of traffic at each point (default 30)")
    private int span;

    BackendsRun() {
        super("backends");
    }

    @Override
    boolean run(RunContext stage) throws Exception {
        for (int backends : BACKEND_COUNTS) {
            stage.file().beginPoint(backends);
            measure(stage, backends);
        }
        return true;
    }

    private void measure(RunContext stage, int count) throws Exception {
        printProgress("backends: " + count);
        try (FakeLineBackends backends = new FakeLineBackends(stage.transport());
                LargeListDiscovery list =
                        new LargeListDiscovery(count, backends.port(), false, stage.seed());
                CountingProxy link =
                        new CountingProxy(stage.transport(), list.address(), Duration.ZERO);
                RelayProcess relay =
                        new RelayProcess(
                                stage.folder().resolve("backends-" + count),
                                link.address(),
                                MAX_SOCKETS)) {
            sleepSeconds(SETTLE_SECONDS);
            LineClients clients = new LineClients(stage.transport(), relay.listenAddress());
            int opened = runTraffic(list, clients);
            ProcessStatistics used = relay.statistics();
            MeasurementFile file = stage.file();
            file.addFigure("processor_seconds", used.processorSeconds());
            file.addFigure("resident_mb", used.residentMegabytes());
            file.addFigure("threads", used.threadCount());
            file.addFigure("descriptors", relay.openDescriptors());
            file.addFigure("connections_to_backends", backends.acceptedCount());
            file.addFigure("list_bytes", link.bytesFromTarget());
            file.addFigure("opened", opened);
            file.addFigure("share_up", (opened - clients.rejectedCount()) / (double) opened);
        }
    }

    /**
     * Opens connections at an even pace, closes those beyond {@link #MAX_ESTABLISHED} and changes
     * the list once a second. Returns the number of connections opened.
     */
    private int runTraffic(LargeListDiscovery list, LineClients clients) throws Exception {
        int opens = (int) (span * OPENS_PER_SECOND);
        for (int i = 0; i < opens; i++) {
            clients.open();
            clients.closeSome(Math.max(0, clients.establishedCount() - MAX_ESTABLISHED));
            if (i % (int) OPENS_PER_SECOND == 0) {
                list.changeEntry();
            }
            sleepSeconds(1 / OPENS_PER_SECOND);
        }
        sleepSeconds(SETTLE_SECONDS);
        return opens;
    }
}

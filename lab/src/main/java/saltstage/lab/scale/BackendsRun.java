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
    private int trafficSeconds;

    BackendsRun() {
        super("backends");
    }

    @Override
    boolean run(RunContext context) throws Exception {
        for (int backends : BACKEND_COUNTS) {
            context.file().beginPoint(backends);
            measure(context, backends);
        }
        return true;
    }

    private void measure(RunContext context, int count) throws Exception {
        printProgress("backends: " + count);
        try (FakeLineBackends backends = new FakeLineBackends(context.transport());
                LargeListDiscovery list =
                        new LargeListDiscovery(count, backends.port(), false, context.seed());
                CountingProxy proxy =
                        new CountingProxy(context.transport(), list.address(), Duration.ZERO);
                RelayProcess relay =
                        new RelayProcess(
                                context.folder().resolve("backends-" + count),
                                proxy.address(),
                                MAX_SOCKETS)) {
            sleepSeconds(SETTLE_SECONDS);
            LineClients clients = new LineClients(context.transport(), relay.listenAddress());
            int opened = runTraffic(list, clients);
            ProcessStatistics statistics = relay.statistics();
            MeasurementFile file = context.file();
            file.addFigure("processor_seconds", statistics.processorSeconds());
            file.addFigure("resident_mb", statistics.residentMegabytes());
            file.addFigure("threads", statistics.threadCount());
            file.addFigure("descriptors", relay.openDescriptors());
            file.addFigure("connections_to_backends", backends.acceptedCount());
            file.addFigure("list_bytes", proxy.bytesFromTarget());
            file.addFigure("opened", opened);
            file.addFigure("share_up", (opened - clients.rejectedCount()) / (double) opened);
        }
    }

    /**
     * Opens connections at an even pace, closes those beyond {@link #MAX_ESTABLISHED} and changes
     * the list once a second. Returns the number of connections opened.
     */
    private int runTraffic(LargeListDiscovery list, LineClients clients) throws Exception {
        int opens = (int) (trafficSeconds * OPENS_PER_SECOND);
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

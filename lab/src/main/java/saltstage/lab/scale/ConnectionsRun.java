package saltstage.lab.scale;

import java.time.Duration;
import org.HdrHistogram.Histogram;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Measures what established connections cost a relay: memory, threads, and processor time when idle
 * and per delivery.
 */
@Command(
        name = "connections",
        mixinStandardHelpOptions = true,
        description =
                "One real relay with a growing number of established connections to fake backends.")
final class ConnectionsRun extends ScaleRun {
    private static final int[] CONNECTION_COUNTS = {
        125, 250, 500, 1_000, 2_000, 3_000, 4_000, 8_000
    };

    /** The number of file descriptors that the machine allows one process. */
    private static final int MAX_SOCKETS = 20_000;

    private static final int MAX_OPENING = 16;
    private static final double SETTLE_SECONDS = 2;
    private static final double QUIET_SECONDS = 3;
    private static final double DELIVERY_SECONDS = 3;
    private static final int DELIVERIES_PER_SECOND = 1_000;

    /** A relay that establishes no further connection for this time has reached its limit. */
    private static final double STALL_TIMEOUT_SECONDS = 6;

    private static final double MIN_DELIVERED_SHARE = 0.95;

    @Option(
            names = "--most",
            defaultValue = "8000",
            description = "maximum number of connections (default 8000)")
    private int maxConnections;

    ConnectionsRun() {
        super("connections");
    }

    @Override
    boolean run(RunContext context) throws Exception {
        try (FakeLineBackends backends = new FakeLineBackends(context.transport());
                LargeListDiscovery list =
                        new LargeListDiscovery(8, backends.port(), false, context.seed());
                CountingProxy proxy =
                        new CountingProxy(context.transport(), list.address(), Duration.ZERO);
                RelayProcess relay =
                        new RelayProcess(context.folder(), proxy.address(), MAX_SOCKETS)) {
            LineClients clients = new LineClients(context.transport(), relay.listenAddress());
            sleepSeconds(SETTLE_SECONDS);
            measureQuiet(context.file(), relay, 0);
            for (int connections : CONNECTION_COUNTS) {
                if (connections > maxConnections
                        || !measure(context.file(), relay, backends, clients, connections)) {
                    break;
                }
            }
        }
        return true;
    }

    private static void measureQuiet(MeasurementFile file, RelayProcess relay, int connections)
            throws Exception {
        file.beginPoint(connections);
        ProcessStatistics before = relay.statistics();
        sleepSeconds(QUIET_SECONDS);
        ProcessStatistics after = relay.statistics();
        double used = after.processorSeconds() - before.processorSeconds();
        file.addFigure("resident_mb", after.residentMegabytes());
        file.addFigure("threads", after.threadCount());
        file.addFigure("quiet_processor_share", used / QUIET_SECONDS);
    }

    private static boolean measure(
            MeasurementFile file,
            RelayProcess relay,
            FakeLineBackends backends,
            LineClients clients,
            int connections)
            throws Exception {
        printProgress("connections: " + connections);
        int establishedBefore = clients.establishedCount();
        double processorSecondsBefore = relay.statistics().processorSeconds();
        long startNanos = System.nanoTime();
        boolean allEstablished = openConnections(relay, clients, connections);
        double setupSeconds = (System.nanoTime() - startNanos) / 1e9;
        if (!relay.isAlive() || !allEstablished) {
            file.beginPoint(connections);
            file.addFigure("reached", clients.establishedCount());
            file.addFigure("relay_alive", relay.isAlive() ? 1 : 0);
            file.addFigure("refused", clients.rejectedCount());
            file.addFigure("lost", clients.lostCount());
            return false;
        }
        double processorSeconds = relay.statistics().processorSeconds() - processorSecondsBefore;
        double opened = clients.establishedCount() - (double) establishedBefore;
        sleepSeconds(SETTLE_SECONDS);
        measureQuiet(file, relay, connections);
        Histogram setUps = clients.takeSetupMicros();
        file.addFigure("reached", clients.establishedCount());
        file.addFigure("set_ups_per_s", opened / setupSeconds);
        file.addFigure("set_up_processor_ms", processorSeconds * 1e3 / opened);
        file.addFigure("set_up_p99_ms", setUps.getValueAtPercentile(99) / 1e3);
        measureDeliveries(file, relay, backends, clients);
        return relay.isAlive();
    }

    /**
     * Opens connections until the given number is established, and opens another one for each that
     * was rejected. Returns false if the relay ends or stalls before that.
     */
    private static boolean openConnections(RelayProcess relay, LineClients clients, int connections)
            throws InterruptedException {
        int maxEstablished = clients.establishedCount();
        long lastIncreaseNanos = System.nanoTime();
        while (clients.establishedCount() < connections) {
            if (clients.establishedCount() > maxEstablished) {
                maxEstablished = clients.establishedCount();
                lastIncreaseNanos = System.nanoTime();
            }
            if (!relay.isAlive()
                    || System.nanoTime() - lastIncreaseNanos > STALL_TIMEOUT_SECONDS * 1e9) {
                return false;
            }
            int missing = connections - clients.establishedCount() - clients.openingCount();
            int room = MAX_OPENING - clients.openingCount();
            for (int i = 0; i < Math.min(missing, room); i++) {
                clients.open();
            }
            Thread.sleep(1);
        }
        return true;
    }

    private static void measureDeliveries(
            MeasurementFile file,
            RelayProcess relay,
            FakeLineBackends backends,
            LineClients clients)
            throws Exception {
        DeliveryGenerator deliveries = new DeliveryGenerator(backends, clients);
        DeliveryGenerator.Result result =
                deliveries.run(relay, DELIVERIES_PER_SECOND, DELIVERY_SECONDS);
        file.addFigure(
                "delivery_processor_us", result.processorSeconds() * 1e6 / result.delivered());
        file.addFigure("delivery_p50_ms", result.p50Ms());
        file.addFigure("delivery_p99_ms", result.p99Ms());
        file.addFigure(
                "delivered_share", result.delivered() / (DELIVERIES_PER_SECOND * DELIVERY_SECONDS));
        if (result.delivered() < MIN_DELIVERED_SHARE * DELIVERIES_PER_SECOND * DELIVERY_SECONDS) {
            printProgress("connections: only " + result.delivered() + " deliveries came");
        }
    }
}

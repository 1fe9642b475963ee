package saltstage.lab.scale;

import java.time.Duration;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Measures what deliveries cost a relay by their rate, and at which rate they become late. */
@Command(
        name = "deliveries",
        mixinStandardHelpOptions = true,
        description = "One real relay with established connections; deliveries at rising rates.")
final class DeliveriesRun extends ScaleRun {
    private static final int[] RATES_PER_SECOND = {
        250, 500, 1_000, 2_000, 4_000, 8_000, 16_000, 32_000
    };
    private static final int MAX_SOCKETS = 4_096;
    private static final double SETTLE_SECONDS = 2;
    private static final double MEASURED_SECONDS = 5;
    private static final int MAX_OPENING = 16;
    private static final double MIN_DELIVERED_SHARE = 0.9;

    @Option(
            names = "--connections",
            defaultValue = "500",
            description = "number of established connections (default 500)")
    private int connections;

    DeliveriesRun() {
        super("deliveries");
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
            while (clients.establishedCount() < connections) {
                if (clients.openingCount() < MAX_OPENING) {
                    clients.open();
                }
                Thread.sleep(1);
            }
            sleepSeconds(SETTLE_SECONDS);
            DeliveryGenerator deliveries = new DeliveryGenerator(backends, clients);
            deliveries.run(relay, RATES_PER_SECOND[2], SETTLE_SECONDS); // warms up the JIT compiler
            for (int rate : RATES_PER_SECOND) {
                if (!measure(context.file(), relay, deliveries, rate)) {
                    break;
                }
            }
        }
        return true;
    }

    private static boolean measure(
            MeasurementFile file, RelayProcess relay, DeliveryGenerator deliveries, int rate)
            throws Exception {
        printProgress("deliveries: " + rate + " a second");
        DeliveryGenerator.Result result = deliveries.run(relay, rate, MEASURED_SECONDS);
        double deliveredPerSecond = result.delivered() / MEASURED_SECONDS;
        file.beginPoint(deliveredPerSecond);
        file.addFigure("offered_per_s", rate);
        file.addFigure("processor_share", result.processorSeconds() / MEASURED_SECONDS);
        file.addFigure("p50_ms", result.p50Ms());
        file.addFigure("p99_ms", result.p99Ms());
        return deliveredPerSecond >= rate * MIN_DELIVERED_SHARE;
    }
}

package saltstage.lab.scale;

import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

import java.time.Duration;

/** What deliveries cost a relay, by their rate, and from which rate on they come late. */
@Command(
        name = "deliveries",
        mixinStandardHelpOptions = true,
        description = "One real relay with standing connections; deliveries at rising rates.")
final class DeliveriesRun extends ScaleRun {
    private static final int[] RATES = {250, 500, 1_000, 2_000, 4_000, 8_000, 16_000, 32_000};
    private static final int SOCKETS = 4_096;
    private static final double SETTLE_SECONDS = 2;
    private static final double SECONDS = 5;
    private static final int MOST_OPENING = 16;
    private static final double CARRIED = 0.9;

    @Option(names = "--connections", defaultValue = "500", description = "that stand (default 500)")
    private int connections;

    DeliveriesRun() {
        super("deliveries");
    }

    @Override
    boolean run(Stage stage) throws Exception {
        try (LineBackends backends = new LineBackends(stage.transport());
                ListStandIn list = new ListStandIn(8, backends.port(), false, stage.seed());
                CountingLink link =
                        new CountingLink(stage.transport(), list.address(), Duration.ZERO);
                RelayProcess relay = new RelayProcess(stage.folder(), link.address(), SOCKETS)) {
            LineClients clients = new LineClients(stage.transport(), relay.listen());
            while (clients.standing() < connections) {
                if (clients.opening() < MOST_OPENING) {
                    clients.open();
                }
                Thread.sleep(1);
            }
            seconds(SETTLE_SECONDS);
            Deliveries deliveries = new Deliveries(backends, clients);
            deliveries.run(relay, RATES[2], SETTLE_SECONDS); // compiles what is used most
            for (int rate : RATES) {
                if (!measure(stage.file(), relay, deliveries, rate)) {
                    break;
                }
            }
        }
        return true;
    }

    private static boolean measure(
            MeasurementFile file, RelayProcess relay, Deliveries deliveries, int rate)
            throws Exception {
        progress("deliveries: " + rate + " a second");
        Deliveries.Outcome outcome = deliveries.run(relay, rate, SECONDS);
        double carried = outcome.delivered() / SECONDS;
        file.begin(carried);
        file.add("offered_per_s", rate);
        file.add("processor_share", outcome.processorSeconds() / SECONDS);
        file.add("p50_ms", outcome.p50Ms());
        file.add("p99_ms", outcome.p99Ms());
        return carried >= rate * CARRIED;
    }
}

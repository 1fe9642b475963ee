package saltstage.lab.scale;

import org.HdrHistogram.Histogram;

import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

import java.time.Duration;

/**
 * What standing connections cost a relay: memory, threads, processor time when quiet and per
 * delivery.
 */
@Command(
        name = "connections",
        mixinStandardHelpOptions = true,
        description = "One real relay with ever more standing connections to stand-in gateways.")
final class ConnectionsRun extends ScaleRun {
    private static final int[] CONNECTIONS = {125, 250, 500, 1_000, 2_000, 3_000, 4_000, 8_000};

    /** As many descriptors as the machine gives one process here. */
    private static final int SOCKETS = 20_000;

    private static final int MOST_OPENING = 16;
    private static final double SETTLE_SECONDS = 2;
    private static final double QUIET_SECONDS = 3;
    private static final double DELIVERY_SECONDS = 3;
    private static final int DELIVERIES_A_SECOND = 1_000;

    /** Without one more connection for so long, the relay takes no more. */
    private static final double STALL_SECONDS = 6;

    private static final double DELIVERED = 0.95;

    @Option(
            names = "--most",
            defaultValue = "8000",
            description = "connections at the most (default 8000)")
    private int most;

    ConnectionsRun() {
        super("connections");
    }

    @Override
    boolean run(Stage stage) throws Exception {
        try (LineBackends backends = new LineBackends(stage.transport());
                ListStandIn list = new ListStandIn(8, backends.port(), false, stage.seed());
                CountingLink link =
                        new CountingLink(stage.transport(), list.address(), Duration.ZERO);
                RelayProcess relay = new RelayProcess(stage.folder(), link.address(), SOCKETS)) {
            LineClients clients = new LineClients(stage.transport(), relay.listen());
            seconds(SETTLE_SECONDS);
            quiet(stage.file(), relay, 0);
            for (int connections : CONNECTIONS) {
                if (connections > most
                        || !measure(stage.file(), relay, backends, clients, connections)) {
                    break;
                }
            }
        }
        return true;
    }

    private static void quiet(MeasurementFile file, RelayProcess relay, int connections)
            throws Exception {
        file.begin(connections);
        ProcessFigures before = relay.figures();
        seconds(QUIET_SECONDS);
        ProcessFigures after = relay.figures();
        double used = after.processorSeconds() - before.processorSeconds();
        file.add("resident_mb", after.residentMegabytes());
        file.add("threads", after.threads());
        file.add("quiet_processor_share", used / QUIET_SECONDS);
    }

    private static boolean measure(
            MeasurementFile file,
            RelayProcess relay,
            LineBackends backends,
            LineClients clients,
            int connections)
            throws Exception {
        progress("connections: " + connections);
        int had = clients.standing();
        double before = relay.figures().processorSeconds();
        long begun = System.nanoTime();
        boolean all = open(relay, clients, connections);
        double spent = (System.nanoTime() - begun) / 1e9;
        if (!relay.alive() || !all) {
            file.begin(connections);
            file.add("reached", clients.standing());
            file.add("relay_alive", relay.alive() ? 1 : 0);
            file.add("refused", clients.refused());
            file.add("lost", clients.lost());
            return false;
        }
        double used = relay.figures().processorSeconds() - before;
        double opened = clients.standing() - (double) had;
        seconds(SETTLE_SECONDS);
        quiet(file, relay, connections);
        Histogram setUps = clients.takeSetUps();
        file.add("reached", clients.standing());
        file.add("set_ups_per_s", opened / spent);
        file.add("set_up_processor_ms", used * 1e3 / opened);
        file.add("set_up_p99_ms", setUps.getValueAtPercentile(99) / 1e3);
        deliver(file, relay, backends, clients);
        return relay.alive();
    }

    /**
     * Opens until so many stand; a refusal is tried again. False where they do not come to stand in
     * time.
     */
    private static boolean open(RelayProcess relay, LineClients clients, int connections)
            throws InterruptedException {
        int most = clients.standing();
        long lastNewcomer = System.nanoTime();
        while (clients.standing() < connections) {
            if (clients.standing() > most) {
                most = clients.standing();
                lastNewcomer = System.nanoTime();
            }
            if (!relay.alive() || System.nanoTime() - lastNewcomer > STALL_SECONDS * 1e9) {
                return false;
            }
            int wanted = connections - clients.standing() - clients.opening();
            int room = MOST_OPENING - clients.opening();
            for (int i = 0; i < Math.min(wanted, room); i++) {
                clients.open();
            }
            Thread.sleep(1);
        }
        return true;
    }

    private static void deliver(
            MeasurementFile file, RelayProcess relay, LineBackends backends, LineClients clients)
            throws Exception {
        Deliveries deliveries = new Deliveries(backends, clients);
        Deliveries.Outcome outcome = deliveries.run(relay, DELIVERIES_A_SECOND, DELIVERY_SECONDS);
        file.add("delivery_processor_us", outcome.processorSeconds() * 1e6 / outcome.delivered());
        file.add("delivery_p50_ms", outcome.p50Ms());
        file.add("delivery_p99_ms", outcome.p99Ms());
        file.add("delivered_share", outcome.delivered() / (DELIVERIES_A_SECOND * DELIVERY_SECONDS));
        if (outcome.delivered() < DELIVERED * DELIVERIES_A_SECOND * DELIVERY_SECONDS) {
            progress("connections: only " + outcome.delivered() + " deliveries came");
        }
    }
}

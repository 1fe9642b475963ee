package saltstage.lab.scale;

import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

import java.time.Duration;

/** What a relay needs as its list grows while its traffic stays the same. */
@Command(
        name = "backends",
        mixinStandardHelpOptions = true,
        description = "One real relay before ever more backends, with the same clients.")
final class BackendsRun extends ScaleRun {
    /** The widest is what the operators name; the first ones are the usual sizes. */
    static final int[] BACKENDS = {60, 200, 800, 3_200};

    private static final int SOCKETS = 1_400;
    private static final double OPENS_A_SECOND = 12;
    private static final int STANDING = 120;
    private static final double SETTLE_SECONDS = 3;

    @Option(
            names = "--seconds",
            defaultValue = "30",
            description = "of traffic at each point (default 30)")
    private int span;

    BackendsRun() {
        super("backends");
    }

    @Override
    boolean run(Stage stage) throws Exception {
        for (int backends : BACKENDS) {
            stage.file().begin(backends);
            measure(stage, backends);
        }
        return true;
    }

    private void measure(Stage stage, int count) throws Exception {
        progress("backends: " + count);
        try (LineBackends backends = new LineBackends(stage.transport());
                ListStandIn list = new ListStandIn(count, backends.port(), false, stage.seed());
                CountingLink link =
                        new CountingLink(stage.transport(), list.address(), Duration.ZERO);
                RelayProcess relay =
                        new RelayProcess(
                                stage.folder().resolve("backends-" + count),
                                link.address(),
                                SOCKETS)) {
            seconds(SETTLE_SECONDS);
            LineClients clients = new LineClients(stage.transport(), relay.listen());
            int opened = traffic(list, clients);
            ProcessFigures used = relay.figures();
            MeasurementFile file = stage.file();
            file.add("processor_seconds", used.processorSeconds());
            file.add("resident_mb", used.residentMegabytes());
            file.add("threads", used.threads());
            file.add("descriptors", relay.descriptors());
            file.add("connections_to_backends", backends.accepted());
            file.add("list_bytes", link.bytesFromTarget());
            file.add("opened", opened);
            file.add("share_up", (opened - clients.refused()) / (double) opened);
        }
    }

    /** Opens connections at an even pace, ends the ones beyond a number, changes the list each second. */
    private int traffic(ListStandIn list, LineClients clients) throws Exception {
        int opens = (int) (span * OPENS_A_SECOND);
        for (int i = 0; i < opens; i++) {
            clients.open();
            clients.end(Math.max(0, clients.standing() - STANDING));
            if (i % (int) OPENS_A_SECOND == 0) {
                list.change();
            }
            seconds(1 / OPENS_A_SECOND);
        }
        seconds(SETTLE_SECONDS);
        return opens;
    }
}

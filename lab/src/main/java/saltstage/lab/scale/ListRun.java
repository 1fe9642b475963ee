package saltstage.lab.scale;

import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Locale;

/**
 * What a change of a list costs a relay today, told as the whole list or as the entry that changed.
 */
@Command(
        name = "list",
        mixinStandardHelpOptions = true,
        description =
                "One real relay behind a discovery whose list grows: bytes, processor time,"
                        + " memory.")
final class ListRun extends ScaleRun {
    private static final int[] ENTRIES = {90, 360, 1_440, 2_880, 5_760, 11_520, 23_040, 59_000};
    private static final int SOCKETS = 4_096;
    private static final int WARM_UP_CHANGES = 3;
    private static final double QUIET_SECONDS = 2;

    /** Between two changes: long enough for the relay to have taken the one before. */
    private static final double LEAST_GAP_SECONDS = 0.5;

    private static final double ENTRIES_A_SECOND = 20_000;
    private static final double FIRST_ENTRIES_A_SECOND = 8_000;
    private static final long LEAST_CHANGE_BYTES = 100;

    @Option(
            names = "--changes",
            defaultValue = "10",
            description = "measured at each point (default 10)")
    private int changes;

    /** How a change is told, and whether the relay asks the backends of its list for their load. */
    private enum Way {
        WHOLE(true, false),
        CHANGED(false, false),
        PROBING(false, true);

        private final boolean wholeList;
        private final boolean probes;

        Way(boolean wholeList, boolean probes) {
            this.wholeList = wholeList;
            this.probes = probes;
        }

        private String figure(String name) {
            return name().toLowerCase(Locale.ROOT) + "_" + name;
        }
    }

    ListRun() {
        super("list");
    }

    @Override
    boolean run(Stage stage) throws Exception {
        for (int entries : ENTRIES) {
            stage.file().begin(entries);
            Parallel.each(List.of(Way.values()), way -> measure(stage, entries, way));
        }
        return true;
    }

    private static double gap(int entries, Way way) {
        return way.wholeList
                ? Math.max(LEAST_GAP_SECONDS, entries / ENTRIES_A_SECOND)
                : LEAST_GAP_SECONDS;
    }

    private void measure(Stage stage, int entries, Way way) throws Exception {
        progress("list: " + entries + " entries, " + way);
        double gap = gap(entries, way);
        try (LineBackends backends = new LineBackends(stage.transport());
                ListStandIn list =
                        new ListStandIn(entries, backends.port(), way.wholeList, stage.seed());
                CountingLink link =
                        new CountingLink(stage.transport(), list.address(), Duration.ZERO);
                RelayProcess relay =
                        new RelayProcess(
                                stage.folder().resolve(way.name()),
                                link.address(),
                                SOCKETS,
                                way.probes)) {
            seconds(settle(entries));
            for (int i = 0; i < WARM_UP_CHANGES; i++) {
                list.change();
                seconds(gap);
            }
            MeasurementFile file = stage.file();
            boolean followed = followed(relay, link, list, settle(entries));
            file.add(way.figure("followed"), followed ? 1 : 0);
            if (followed) {
                changes(file, way, relay, link, list, gap);
            }
        }
    }

    /** Long enough for a first list to be taken, in seconds. */
    private static double settle(int entries) {
        return QUIET_SECONDS + entries / FIRST_ENTRIES_A_SECOND;
    }

    /**
     * Whether a change reaches the relay on the watch that it has: it does not ask for the list
     * anew.
     */
    private static boolean followed(
            RelayProcess relay, CountingLink link, ListStandIn list, double settle)
            throws IOException, InterruptedException {
        long asked = link.messagesToTarget();
        seconds(settle);
        long bytes = link.bytesFromTarget();
        list.change();
        seconds(settle);
        boolean arrived = link.bytesFromTarget() - bytes > LEAST_CHANGE_BYTES;
        return relay.alive() && arrived && link.messagesToTarget() == asked;
    }

    private void changes(
            MeasurementFile file,
            Way way,
            RelayProcess relay,
            CountingLink link,
            ListStandIn list,
            double gap)
            throws Exception {
        double quiet = relay.figures().processorSeconds();
        seconds(QUIET_SECONDS);
        double before = relay.figures().processorSeconds();
        long bytes = link.bytesFromTarget();
        long begun = System.nanoTime();
        for (int i = 0; i < changes; i++) {
            list.change();
            seconds(gap);
        }
        double spent = (System.nanoTime() - begun) / 1e9;
        ProcessFigures after = relay.figures();
        double quietShare = (before - quiet) / QUIET_SECONDS;
        file.add(way.figure("quiet_processor_share"), quietShare);
        file.add(way.figure("resident_mb"), after.residentMegabytes());
        if (!way.probes) {
            double forChanges = after.processorSeconds() - before - quietShare * spent;
            file.add(
                    way.figure("bytes_per_change"),
                    (link.bytesFromTarget() - bytes) / (double) changes);
            file.add(
                    way.figure("processor_ms_per_change"), Math.max(0, forChanges) * 1e3 / changes);
        }
    }
}

package saltstage.lab.scale;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Measures the cost of a change of the backend list to a relay, for changes sent as the full list
 * and as a delta with the changed entry.
 */
@Command(
        name = "list",
        mixinStandardHelpOptions = true,
        description =
                "One real relay and a discovery service with a growing list: bytes, processor"
                        + " time, memory.")
final class ListRun extends ScaleRun {
    private static final int[] ENTRY_COUNTS = {
        90, 360, 1_440, 2_880, 5_760, 11_520, 23_040, 59_000
    };
    private static final int MAX_SOCKETS = 4_096;
    private static final int WARM_UP_CHANGES = 3;
    private static final double QUIET_SECONDS = 2;

    /** Interval between two changes that lets the relay apply the first before the second. */
    private static final double MIN_CHANGE_INTERVAL_SECONDS = 0.5;

    private static final double ENTRIES_PER_SECOND = 20_000;
    private static final double FIRST_LIST_ENTRIES_PER_SECOND = 8_000;
    private static final long MIN_CHANGE_BYTES = 100;

    @Option(
            names = "--changes",
            defaultValue = "10",
            description = "changes measured at each point (default 10)")
    private int changes;

    /** How discovery sends a change, and whether the relay probes the listed backends' load. */
    private enum UpdateMode {
        WHOLE(true, false),
        CHANGED(false, false),
        PROBING(false, true);

        private final boolean sendsFullList;
        private final boolean probesBackends;

        UpdateMode(boolean wholeList, boolean probes) {
            this.sendsFullList = wholeList;
            this.probesBackends = probes;
        }

        private String figureName(String name) {
            return name().toLowerCase(Locale.ROOT) + "_" + name;
        }
    }

    ListRun() {
        super("list");
    }

    @Override
    boolean run(RunContext stage) throws Exception {
        for (int entries : ENTRY_COUNTS) {
            stage.file().beginPoint(entries);
            Parallel.forEach(List.of(UpdateMode.values()), way -> measure(stage, entries, way));
        }
        return true;
    }

    private static double changeIntervalSeconds(int entries, UpdateMode way) {
        return way.sendsFullList
                ? Math.max(MIN_CHANGE_INTERVAL_SECONDS, entries / ENTRIES_PER_SECOND)
                : MIN_CHANGE_INTERVAL_SECONDS;
    }

    private void measure(RunContext stage, int entries, UpdateMode way) throws Exception {
        printProgress("list: " + entries + " entries, " + way);
        double gap = changeIntervalSeconds(entries, way);
        try (FakeLineBackends backends = new FakeLineBackends(stage.transport());
                LargeListDiscovery list =
                        new LargeListDiscovery(
                                entries, backends.port(), way.sendsFullList, stage.seed());
                CountingProxy link =
                        new CountingProxy(stage.transport(), list.address(), Duration.ZERO);
                RelayProcess relay =
                        new RelayProcess(
                                stage.folder().resolve(way.name()),
                                link.address(),
                                MAX_SOCKETS,
                                way.probesBackends)) {
            sleepSeconds(settleSeconds(entries));
            for (int i = 0; i < WARM_UP_CHANGES; i++) {
                list.changeEntry();
                sleepSeconds(gap);
            }
            MeasurementFile file = stage.file();
            boolean followed = isFollowed(relay, link, list, settleSeconds(entries));
            file.addFigure(way.figureName("followed"), followed ? 1 : 0);
            if (followed) {
                measureChanges(file, way, relay, link, list, gap);
            }
        }
    }

    /** Seconds that suffice for the relay to apply its first list. */
    private static double settleSeconds(int entries) {
        return QUIET_SECONDS + entries / FIRST_LIST_ENTRIES_PER_SECOND;
    }

    /**
     * Returns whether a change reaches the relay over its open watch, without another request for
     * the list.
     */
    private static boolean isFollowed(
            RelayProcess relay, CountingProxy link, LargeListDiscovery list, double settle)
            throws IOException, InterruptedException {
        long asked = link.messagesToTarget();
        sleepSeconds(settle);
        long bytes = link.bytesFromTarget();
        list.changeEntry();
        sleepSeconds(settle);
        boolean arrived = link.bytesFromTarget() - bytes > MIN_CHANGE_BYTES;
        return relay.isAlive() && arrived && link.messagesToTarget() == asked;
    }

    private void measureChanges(
            MeasurementFile file,
            UpdateMode way,
            RelayProcess relay,
            CountingProxy link,
            LargeListDiscovery list,
            double gap)
            throws Exception {
        double quiet = relay.statistics().processorSeconds();
        sleepSeconds(QUIET_SECONDS);
        double before = relay.statistics().processorSeconds();
        long bytes = link.bytesFromTarget();
        long begun = System.nanoTime();
        for (int i = 0; i < changes; i++) {
            list.changeEntry();
            sleepSeconds(gap);
        }
        double spent = (System.nanoTime() - begun) / 1e9;
        ProcessStatistics after = relay.statistics();
        double quietShare = (before - quiet) / QUIET_SECONDS;
        file.addFigure(way.figureName("quiet_processor_share"), quietShare);
        file.addFigure(way.figureName("resident_mb"), after.residentMegabytes());
        if (!way.probesBackends) {
            double forChanges = after.processorSeconds() - before - quietShare * spent;
            file.addFigure(
                    way.figureName("bytes_per_change"),
                    (link.bytesFromTarget() - bytes) / (double) changes);
            file.addFigure(
                    way.figureName("processor_ms_per_change"),
                    Math.max(0, forChanges) * 1e3 / changes);
        }
    }
}

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

        UpdateMode(boolean sendsFullList, boolean probesBackends) {
            this.sendsFullList = sendsFullList;
            this.probesBackends = probesBackends;
        }

        private String figureName(String name) {
            return name().toLowerCase(Locale.ROOT) + "_" + name;
        }
    }

    ListRun() {
        super("list");
    }

    @Override
    boolean run(RunContext context) throws Exception {
        for (int entryCount : ENTRY_COUNTS) {
            context.file().beginPoint(entryCount);
            Parallel.forEach(
                    List.of(UpdateMode.values()), mode -> measure(context, entryCount, mode));
        }
        return true;
    }

    private static double changeIntervalSeconds(int entryCount, UpdateMode mode) {
        return mode.sendsFullList
                ? Math.max(MIN_CHANGE_INTERVAL_SECONDS, entryCount / ENTRIES_PER_SECOND)
                : MIN_CHANGE_INTERVAL_SECONDS;
    }

    private void measure(RunContext context, int entryCount, UpdateMode mode) throws Exception {
        printProgress("list: " + entryCount + " entries, " + mode);
        double intervalSeconds = changeIntervalSeconds(entryCount, mode);
        try (FakeLineBackends backends = new FakeLineBackends(context.transport());
                LargeListDiscovery discovery =
                        new LargeListDiscovery(
                                entryCount, backends.port(), mode.sendsFullList, context.seed());
                CountingProxy proxy =
                        new CountingProxy(context.transport(), discovery.address(), Duration.ZERO);
                RelayProcess relay =
                        new RelayProcess(
                                context.folder().resolve(mode.name()),
                                proxy.address(),
                                MAX_SOCKETS,
                                mode.probesBackends)) {
            sleepSeconds(settleSeconds(entryCount));
            for (int i = 0; i < WARM_UP_CHANGES; i++) {
                discovery.changeEntry();
                sleepSeconds(intervalSeconds);
            }
            MeasurementFile file = context.file();
            boolean followed = isFollowed(relay, proxy, discovery, settleSeconds(entryCount));
            file.addFigure(mode.figureName("followed"), followed ? 1 : 0);
            if (followed) {
                measureChanges(file, mode, relay, proxy, discovery, intervalSeconds);
            }
        }
    }

    /** Seconds that suffice for the relay to apply its first list. */
    private static double settleSeconds(int entryCount) {
        return QUIET_SECONDS + entryCount / FIRST_LIST_ENTRIES_PER_SECOND;
    }

    /**
     * Returns whether a change reaches the relay over its open watch, without another request for
     * the list.
     */
    private static boolean isFollowed(
            RelayProcess relay,
            CountingProxy proxy,
            LargeListDiscovery discovery,
            double settleSeconds)
            throws IOException, InterruptedException {
        long requestsBefore = proxy.messagesToTarget();
        sleepSeconds(settleSeconds);
        long bytesBefore = proxy.bytesFromTarget();
        discovery.changeEntry();
        sleepSeconds(settleSeconds);
        boolean arrived = proxy.bytesFromTarget() - bytesBefore > MIN_CHANGE_BYTES;
        return relay.isAlive() && arrived && proxy.messagesToTarget() == requestsBefore;
    }

    private void measureChanges(
            MeasurementFile file,
            UpdateMode mode,
            RelayProcess relay,
            CountingProxy proxy,
            LargeListDiscovery discovery,
            double intervalSeconds)
            throws Exception {
        double processorSecondsBeforeQuiet = relay.statistics().processorSeconds();
        sleepSeconds(QUIET_SECONDS);
        double processorSecondsBefore = relay.statistics().processorSeconds();
        long bytesBefore = proxy.bytesFromTarget();
        long startNanos = System.nanoTime();
        for (int i = 0; i < changes; i++) {
            discovery.changeEntry();
            sleepSeconds(intervalSeconds);
        }
        double elapsedSeconds = (System.nanoTime() - startNanos) / 1e9;
        ProcessStatistics after = relay.statistics();
        double quietShare = (processorSecondsBefore - processorSecondsBeforeQuiet) / QUIET_SECONDS;
        file.addFigure(mode.figureName("quiet_processor_share"), quietShare);
        file.addFigure(mode.figureName("resident_mb"), after.residentMegabytes());
        if (!mode.probesBackends) {
            double changeProcessorSeconds =
                    after.processorSeconds() - processorSecondsBefore - quietShare * elapsedSeconds;
            file.addFigure(
                    mode.figureName("bytes_per_change"),
                    (proxy.bytesFromTarget() - bytesBefore) / (double) changes);
            file.addFigure(
                    mode.figureName("processor_ms_per_change"),
                    Math.max(0, changeProcessorSeconds) * 1e3 / changes);
        }
    }
}

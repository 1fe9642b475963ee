package saltstage.lab.scale;

import java.io.IOException;
import java.util.Set;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import saltstage.lab.scale.Topology.Zone;

/** Measures real replicas and distributors with simulated relays up to the target's number. */
@Command(
        name = "fleet",
        mixinStandardHelpOptions = true,
        description =
                "Five replicas, four distributors and up to 780 simulated relays in four zones.")
final class FleetRun extends ScaleRun {
    /** Relays that each step adds to each zone; in total 48, 96, 192, 384 and 780 in four zones. */
    private static final int[] RELAYS_PER_ZONE_BY_STEP = {12, 12, 24, 48, 99};

    /**
     * Sizes of the two processes of zone A2 in the first step. The first is about one hundredth of
     * all relays.
     */
    private static final int[] SPLIT_HOST_SIZES = {8, 4};

    private static final double FIFTY_FOLD_CHANGES_PER_SECOND =
            50 * CapacityTarget.CHANGES_PER_SECOND;
    private static final double MAX_LEADER_GROWTH = 1.2;

    @Option(
            names = "--shards",
            defaultValue = "59000",
            description = "shards to place (default 59000)")
    private int shards;

    @Option(
            names = "--steps",
            defaultValue = "5",
            description = "steps of growth; 5 is all 780 relays (default 5)")
    private int steps;

    @Option(
            names = "--quiet",
            defaultValue = "6",
            description = "seconds without changes (default 6)")
    private double quietSeconds;

    @Option(
            names = "--changing",
            defaultValue = "6",
            description = "seconds with changes (default 6)")
    private double changingSeconds;

    FleetRun() {
        super("fleet");
    }

    @Override
    boolean run(RunContext context) throws Exception {
        long startNanos = System.nanoTime();
        try (FleetEnvironment environment =
                new FleetEnvironment(
                        context.folder(), context.transport(), context.seed(), shards)) {
            printProgress(
                    "fleet: "
                            + shards
                            + " shards after "
                            + (System.nanoTime() - startNanos) / 1_000_000
                            + " ms");
            for (int step = 0; step < steps; step++) {
                addStep(environment.fleet(), step);
                awaitReady(environment);
                measure(context.file(), environment, quietSeconds, changingSeconds);
            }
            return isLeaderUsageFlat(context.file());
        }
    }

    /** Starts the relays that a step adds. */
    static void addStep(SimulatedRelayFleet fleet, int step) throws IOException {
        for (Zone zone : Zone.values()) {
            boolean split = step == 0 && zone == Zone.A2;
            fleet.add(zone, split ? SPLIT_HOST_SIZES : new int[] {RELAYS_PER_ZONE_BY_STEP[step]});
        }
    }

    /** Waits until all started relays are ready, and prints how long that took. */
    static void awaitReady(FleetEnvironment environment) throws IOException, InterruptedException {
        long startNanos = System.nanoTime();
        environment.fleet().awaitReady();
        long millis = (System.nanoTime() - startNanos) / 1_000_000;
        printProgress(
                "fleet: " + environment.fleet().relayCount() + " relays after " + millis + " ms");
    }

    /** Adds a point with the usage of a period without changes and of a period with changes. */
    static void measure(
            MeasurementFile file,
            FleetEnvironment environment,
            double quietSeconds,
            double changingSeconds)
            throws Exception {
        int relays = environment.fleet().relayCount();
        file.beginPoint(relays);
        sleepSeconds(2);
        FleetResourceUsage before = FleetResourceUsage.measure(environment);
        sleepSeconds(quietSeconds);
        FleetResourceUsage.measure(environment).since(before).addTo(file, "quiet", relays);
        before = FleetResourceUsage.measure(environment);
        SteadyChanges changes = environment.startChanges(FIFTY_FOLD_CHANGES_PER_SECOND);
        sleepSeconds(changingSeconds);
        FleetResourceUsage.measure(environment).since(before).addTo(file, "changing", relays);
        changes.stop();
        Set<Integer> allRelays = environment.fleet().relaysIn(zone -> true);
        awaitApplied(environment, allRelays, changes);
        changes.propagationTimes(environment.fleet().revisionLog(), allRelays)
                .addTo(file, "changing");
        file.printPoint();
    }

    /** Waits until the relays have applied the last change; NaN if none or not within 30 s. */
    static double awaitApplied(
            FleetEnvironment environment, Set<Integer> relays, SteadyChanges changes)
            throws InterruptedException {
        var accepted = changes.acceptedRevisions();
        if (accepted.isEmpty()) {
            return Double.NaN;
        }
        var lastChange = accepted.get(accepted.size() - 1);
        return environment
                .fleet()
                .awaitApplied(relays, lastChange.revision(), lastChange.sentNanos(), 30);
    }

    /** Whether the leader's processor share with all relays is at most a fifth above the first. */
    private static boolean isLeaderUsageFlat(MeasurementFile file) {
        var shares = file.points("changing_leader_processor_share");
        boolean flat =
                shares.get(shares.size() - 1).value() <= MAX_LEADER_GROWTH * shares.get(0).value();
        printProgress("fleet: leader's processor time " + (flat ? "is flat" : "GROWS"));
        return flat;
    }
}

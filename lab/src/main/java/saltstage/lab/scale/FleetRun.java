package saltstage.lab.scale;

import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

import saltstage.lab.scale.Topology.Zone;

import java.io.IOException;
import java.util.Set;

/** Hollow relays up to the target's number behind real replicas and distributors. */
@Command(
        name = "fleet",
        mixinStandardHelpOptions = true,
        description = "Five replicas, four distributors and up to 780 hollow relays in four zones.")
final class FleetRun extends ScaleRun {
    /** How many relays each zone gets in addition; four zones: 48, 96, 192, 384, 780. */
    private static final int[] STEPS = {12, 12, 24, 48, 99};

    /** The first step of zone A2: the smaller process is one hundredth of all relays. */
    private static final int[] SMALL_HOSTS = {8, 4};

    private static final double FIFTY_FOLD = 50 * Target.CHANGES_A_SECOND;
    private static final double FLAT = 1.2;

    @Option(names = "--shards", defaultValue = "59000", description = "placed (default 59000)")
    private int shards;

    @Option(
            names = "--steps",
            defaultValue = "5",
            description = "of growth; 5 is all 780 (default 5)")
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
    boolean run(Stage stage) throws Exception {
        long begun = System.nanoTime();
        try (FleetStage all =
                new FleetStage(stage.folder(), stage.transport(), stage.seed(), shards)) {
            progress(
                    "fleet: "
                            + shards
                            + " shards after "
                            + (System.nanoTime() - begun) / 1_000_000
                            + " ms");
            for (int step = 0; step < steps; step++) {
                addStep(all.fleet(), step);
                awaitReady(all);
                measure(stage.file(), all, quietSeconds, changingSeconds);
            }
            return leaderIsFlat(stage.file());
        }
    }

    /** Starts the relays that a step adds. */
    static void addStep(HollowFleet fleet, int step) throws IOException {
        for (Zone zone : Zone.values()) {
            boolean split = step == 0 && zone == Zone.A2;
            fleet.add(zone, split ? SMALL_HOSTS : new int[] {STEPS[step]});
        }
    }

    static void awaitReady(FleetStage all) throws IOException, InterruptedException {
        long begun = System.nanoTime();
        all.fleet().awaitReady();
        long millis = (System.nanoTime() - begun) / 1_000_000;
        progress("fleet: " + all.fleet().size() + " relays after " + millis + " ms");
    }

    static void measure(
            MeasurementFile file, FleetStage all, double quietSeconds, double changingSeconds)
            throws Exception {
        int relays = all.fleet().size();
        file.begin(relays);
        seconds(2);
        FleetUse before = FleetUse.now(all);
        seconds(quietSeconds);
        FleetUse.now(all).since(before).addTo(file, "quiet", relays);
        before = FleetUse.now(all);
        SteadyChanges changes = all.change(FIFTY_FOLD);
        seconds(changingSeconds);
        FleetUse.now(all).since(before).addTo(file, "changing", relays);
        changes.end();
        Set<Integer> everywhere = all.fleet().relays(zone -> true);
        await(all, everywhere, changes);
        changes.times(all.fleet().log(), everywhere).addTo(file, "changing");
        file.printPoint();
    }

    static double await(FleetStage all, Set<Integer> relays, SteadyChanges changes)
            throws InterruptedException {
        var accepted = changes.accepted();
        if (accepted.isEmpty()) {
            return Double.NaN;
        }
        var last = accepted.get(accepted.size() - 1);
        return all.fleet().awaitInForce(relays, last.revision(), last.askedNanos(), 30);
    }

    /** Whether the leader takes no more with all relays than with the fewest, but for a fifth. */
    private static boolean leaderIsFlat(MeasurementFile file) {
        var shares = file.points("changing_leader_processor_share");
        boolean flat = shares.get(shares.size() - 1).value() <= FLAT * shares.get(0).value();
        progress("fleet: leader's processor time " + (flat ? "is flat" : "GROWS"));
        return flat;
    }
}

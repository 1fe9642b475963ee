package saltstage.lab.scale;

import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs the fleet events in sequence on an installation with all simulated relays. */
@Command(
        name = "fleet-events",
        mixinStandardHelpOptions = true,
        description =
                "Control processes and 780 simulated relays: kills, cuts and stops while changes"
                        + " continue.")
final class FleetEventsRun extends ScaleRun {
    /** Length of each of the two periods before the first event, without and with changes. */
    private static final double PERIOD_SECONDS = 6;

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

    FleetEventsRun() {
        super("fleet-events");
    }

    @Override
    boolean run(RunContext context) throws Exception {
        try (FleetEnvironment environment =
                new FleetEnvironment(
                        context.folder(), context.transport(), context.seed(), shards)) {
            for (int step = 0; step < steps; step++) {
                FleetRun.addStep(environment.fleet(), step);
            }
            FleetRun.awaitReady(environment);
            FleetRun.measure(context.file(), environment, PERIOD_SECONDS, PERIOD_SECONDS);
            return new FleetEvents(environment, context.file()).run();
        }
    }
}

package saltstage.lab.scale;

import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** All hollow relays, and one event after the other. */
@Command(
        name = "fleet-events",
        mixinStandardHelpOptions = true,
        description =
                "Control processes and 780 hollow relays: kills, cuts and stops while changes go"
                        + " on.")
final class FleetEventsRun extends ScaleRun {
    /** Of the spans without and with changes before the first event. */
    private static final double SPAN_SECONDS = 6;

    @Option(names = "--shards", defaultValue = "59000", description = "placed (default 59000)")
    private int shards;

    @Option(
            names = "--steps",
            defaultValue = "5",
            description = "of growth; 5 is all 780 (default 5)")
    private int steps;

    FleetEventsRun() {
        super("fleet-events");
    }

    @Override
    boolean run(RunContext stage) throws Exception {
        try (FleetEnvironment all =
                new FleetEnvironment(stage.folder(), stage.transport(), stage.seed(), shards)) {
            for (int step = 0; step < steps; step++) {
                FleetRun.addStep(all.fleet(), step);
            }
            FleetRun.awaitReady(all);
            FleetRun.measure(stage.file(), all, SPAN_SECONDS, SPAN_SECONDS);
            return new FleetEvents(all, stage.file()).run();
        }
    }
}

package saltstage.lab.scale;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
import java.util.stream.Collectors;

/** The table of fleet events: how long changes took to be applied during each event. */
final class EventTable {
    private static final String RUN_NAME = "fleet-events";

    /** Another run of the same setup, which was stopped after its first events. */
    private static final String OTHER_RUN_NAME = "fleet-events-other";

    private static final List<String> FIGURES =
            List.of(
                    "_changes",
                    "_unanswered_changes",
                    "_p50_s",
                    "_p99_s",
                    "_everywhere_median_s",
                    "_everywhere_most_s",
                    "_missing");
    private static final String NO_VALUE = "—";
    private static final String HEADER =
            "| event | changes | unanswered | p50 | p99 | everywhere, median | everywhere, most |"
                    + " never came | afterwards |\n"
                    + "| --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: | --- |\n";

    /**
     * A row of the table, for one event.
     *
     * @param name the event as the table names it
     * @param run the run that measured the event
     * @param prefix the prefix of the event's figures
     * @param recoveryFigure the figure of the recovery time in seconds, or null if there is none
     * @param recoveryCondition the condition that ends the recovery
     */
    private record Row(
            String name,
            String run,
            String prefix,
            String recoveryFigure,
            String recoveryCondition) {
        private static Row of(String name, String run, String prefix) {
            return new Row(name, run, prefix, null, "");
        }

        private static Row withRecovery(String name, String prefix, String condition) {
            return new Row(name, RUN_NAME, prefix, prefix + "_back_s", condition);
        }
    }

    private static final List<Row> ROWS =
            List.of(
                    Row.of("none", RUN_NAME, "none"),
                    Row.of("none, another play", OTHER_RUN_NAME, "none"),
                    Row.of("leader killed", RUN_NAME, "leader_killed"),
                    Row.of("leader killed, another play", OTHER_RUN_NAME, "leader_killed"),
                    Row.of("distributor killed", RUN_NAME, "distributor_killed"),
                    Row.of(
                            "distributor killed, another play",
                            OTHER_RUN_NAME,
                            "distributor_killed"),
                    Row.withRecovery(
                            "1% of relays stopped (the others)", "relays_stopped", "all current"),
                    Row.withRecovery(
                            "a zone killed (the others)", "zone_killed", "the zone current"),
                    Row.withRecovery("regions cut (region a)", "regions_cut", "region b current"),
                    Row.withRecovery(
                            "all nine restarted", "control_restarted", "next change everywhere"),
                    Row.withRecovery(
                            "relays away beyond the history",
                            "relays_away",
                            "current by snapshot"));

    private EventTable() {}

    /** Returns the table as Markdown. */
    static String of(MeasuredData data) {
        return HEADER
                + ROWS.stream().map(row -> tableRow(row, data)).collect(Collectors.joining("\n"));
    }

    private static String tableRow(Row row, MeasuredData data) {
        List<String> cells = new ArrayList<>(List.of(row.name()));
        for (String figure : FIGURES) {
            cells.add(formatFigure(data, row, row.prefix() + figure));
        }
        boolean hasRecovery = row.recoveryFigure() != null;
        cells.add(
                hasRecovery
                        ? row.recoveryCondition()
                                + " after "
                                + formatFigure(data, row, row.recoveryFigure())
                                + " s"
                        : NO_VALUE);
        return "| " + String.join(" | ", cells) + " |";
    }

    private static String formatFigure(MeasuredData data, Row row, String name) {
        OptionalDouble value = data.maxValue(row.run(), name);
        return value.isEmpty() || Double.isNaN(value.getAsDouble())
                ? NO_VALUE
                : FigureFormat.forPage(value.getAsDouble());
    }
}

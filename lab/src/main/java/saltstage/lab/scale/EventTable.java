package saltstage.lab.scale;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
import java.util.stream.Collectors;

/** The table of measured events: times until changes were in force while something happened. */
final class EventTable {
    private static final String RUN = "fleet-events";

    /** Another play of the same set-up, which was ended after its first events. */
    private static final String OTHER_PLAY = "fleet-events-other";

    private static final List<String> FIGURES =
            List.of(
                    "_changes",
                    "_unanswered_changes",
                    "_p50_s",
                    "_p99_s",
                    "_everywhere_median_s",
                    "_everywhere_most_s",
                    "_missing");
    private static final String NONE = "—";
    private static final String HEAD =
            "| event | changes | unanswered | p50 | p99 | everywhere, median | everywhere, most |"
                    + " never came | afterwards |\n"
                    + "| --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: | --- |\n";

    /**
     * An event.
     *
     * @param run the play that it is taken from
     * @param prefix of its figures
     * @param after the figure of what came afterwards, in seconds; null: none
     * @param meaning what was waited for
     */
    private record Row(String name, String run, String prefix, String after, String meaning) {
        private static Row of(String name, String run, String prefix) {
            return new Row(name, run, prefix, null, "");
        }

        private static Row thenBack(String name, String prefix, String meaning) {
            return new Row(name, RUN, prefix, prefix + "_back_s", meaning);
        }
    }

    private static final List<Row> ROWS =
            List.of(
                    Row.of("none", RUN, "none"),
                    Row.of("none, another play", OTHER_PLAY, "none"),
                    Row.of("leader killed", RUN, "leader_killed"),
                    Row.of("leader killed, another play", OTHER_PLAY, "leader_killed"),
                    Row.of("distributor killed", RUN, "distributor_killed"),
                    Row.of("distributor killed, another play", OTHER_PLAY, "distributor_killed"),
                    Row.thenBack(
                            "1% of relays stopped (the others)", "relays_stopped", "all current"),
                    Row.thenBack("a zone killed (the others)", "zone_killed", "the zone current"),
                    Row.thenBack("regions cut (region a)", "regions_cut", "region b current"),
                    Row.thenBack(
                            "all nine restarted", "control_restarted", "next change everywhere"),
                    Row.thenBack(
                            "relays away beyond the history",
                            "relays_away",
                            "current by snapshot"));

    private EventTable() {}

    /** The table. */
    static String of(MeasuredData data) {
        return HEAD + ROWS.stream().map(row -> line(row, data)).collect(Collectors.joining("\n"));
    }

    private static String line(Row row, MeasuredData data) {
        List<String> cells = new ArrayList<>(List.of(row.name()));
        for (String figure : FIGURES) {
            cells.add(figure(data, row, row.prefix() + figure));
        }
        boolean ends = row.after() != null;
        cells.add(ends ? row.meaning() + " after " + figure(data, row, row.after()) + " s" : NONE);
        return "| " + String.join(" | ", cells) + " |";
    }

    private static String figure(MeasuredData data, Row row, String name) {
        OptionalDouble value = data.most(row.run(), name);
        return value.isEmpty() || Double.isNaN(value.getAsDouble())
                ? NONE
                : Figures.page(value.getAsDouble());
    }
}

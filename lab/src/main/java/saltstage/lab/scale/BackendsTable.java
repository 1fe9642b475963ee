package saltstage.lab.scale;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.TreeMap;

/** The table of a relay's needs by number of backends, next to what the operators allow. */
final class BackendsTable {
    private static final String RUN_NAME = "backends";
    private static final String NOT_RUN = "not run";

    /** What the largest fleet may need: the usual fleet's need times a factor, plus an offset. */
    private record AllowedGrowth(double factor, double offset) {}

    /** The growth that the operators' page allows for 3,200 backends. */
    private static final Map<String, AllowedGrowth> ALLOWED_GROWTH =
            new TreeMap<>(
                    Map.of(
                            "processor_seconds", new AllowedGrowth(1.4, 0.02 + 0.12 * 3.2),
                            "resident_mb", new AllowedGrowth(1.5, 8 + 4 * 3.2),
                            "descriptors", new AllowedGrowth(2, 40),
                            "connections_to_backends", new AllowedGrowth(2.5, 40),
                            "list_bytes", new AllowedGrowth(2, 64_000 + 500_000 * 3.2)));

    private BackendsTable() {}

    /** Returns the table as Markdown. */
    static String of(MeasuredData data) {
        StringBuilder head = new StringBuilder("| figure |");
        StringBuilder rule = new StringBuilder("| --- |");
        for (int backends : BackendsRun.BACKEND_COUNTS) {
            head.append(' ').append(FigureFormat.forPage(backends)).append(" |");
            rule.append(" ---: |");
        }
        List<String> lines = new ArrayList<>();
        lines.add(head.append(" allowed at the widest, from 200 |").toString());
        lines.add(rule.append(" ---: |").toString());
        for (String figure :
                List.of(
                        "processor_seconds",
                        "resident_mb",
                        "descriptors",
                        "connections_to_backends",
                        "list_bytes",
                        "threads",
                        "share_up")) {
            lines.add(tableRow(data, figure));
        }
        return String.join("\n", lines);
    }

    private static String tableRow(MeasuredData data, String figure) {
        StringBuilder line = new StringBuilder("| " + figure.replace('_', ' ') + " |");
        for (int backends : BackendsRun.BACKEND_COUNTS) {
            line.append(' ')
                    .append(formatFigure(data.valueAt(RUN_NAME, figure, backends)))
                    .append(" |");
        }
        AllowedGrowth allowed = ALLOWED_GROWTH.get(figure);
        OptionalDouble usual = data.valueAt(RUN_NAME, figure, BackendsRun.BACKEND_COUNTS[1]);
        boolean bounded = allowed != null && usual.isPresent();
        String bound =
                bounded
                        ? FigureFormat.forPage(
                                allowed.factor * usual.getAsDouble() + allowed.offset)
                        : "";
        return line.append(' ').append(bound).append(" |").toString();
    }

    private static String formatFigure(OptionalDouble value) {
        return value.isEmpty() ? NOT_RUN : FigureFormat.forPage(value.getAsDouble());
    }
}

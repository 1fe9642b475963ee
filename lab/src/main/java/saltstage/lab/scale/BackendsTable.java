package saltstage.lab.scale;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.TreeMap;

/** The table of a relay's needs before ever more backends, beside what the operators allow. */
final class BackendsTable {
    private static final String RUN = "backends";
    private static final String NOT_RUN = "not run";

    /** What the widest fleet may take: a factor of the usual one and so much more. */
    private record Allowed(double factor, double more) {}

    /** For 3,200 backends, by the operators' page. */
    private static final Map<String, Allowed> ALLOWED =
            new TreeMap<>(
                    Map.of(
                            "processor_seconds", new Allowed(1.4, 0.02 + 0.12 * 3.2),
                            "resident_mb", new Allowed(1.5, 8 + 4 * 3.2),
                            "descriptors", new Allowed(2, 40),
                            "connections_to_backends", new Allowed(2.5, 40),
                            "list_bytes", new Allowed(2, 64_000 + 500_000 * 3.2)));

    private BackendsTable() {}

    /** The table. */
    static String of(MeasuredData data) {
        StringBuilder head = new StringBuilder("| figure |");
        StringBuilder rule = new StringBuilder("| --- |");
        for (int backends : BackendsRun.BACKENDS) {
            head.append(' ').append(Figures.page(backends)).append(" |");
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
            lines.add(line(data, figure));
        }
        return String.join("\n", lines);
    }

    private static String line(MeasuredData data, String figure) {
        StringBuilder line = new StringBuilder("| " + figure.replace('_', ' ') + " |");
        for (int backends : BackendsRun.BACKENDS) {
            line.append(' ').append(cell(data.at(RUN, figure, backends))).append(" |");
        }
        Allowed allowed = ALLOWED.get(figure);
        OptionalDouble usual = data.at(RUN, figure, BackendsRun.BACKENDS[1]);
        boolean bounded = allowed != null && usual.isPresent();
        String bound =
                bounded
                        ? Figures.page(allowed.factor * usual.getAsDouble() + allowed.more)
                        : "";
        return line.append(' ').append(bound).append(" |").toString();
    }

    private static String cell(OptionalDouble value) {
        return value.isEmpty() ? NOT_RUN : Figures.page(value.getAsDouble());
    }
}

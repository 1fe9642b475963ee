package saltstage.lab.scale;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.OptionalDouble;

/** The table of the capacity page that compares simulated relays with real relays. */
final class RealRelaysTable {
    private static final String RUN_NAME = "real-relays";
    private static final String NOT_RUN = "not run";

    private RealRelaysTable() {}

    /** Builds the table from the measurements of the real-relays run. */
    static String of(MeasuredData data) {
        List<String> lines =
                new ArrayList<>(
                        List.of(
                                "| span | bytes a second, real | hollow | hollow ÷ real | requests"
                                    + " a second, real | hollow | processor share, real | resident"
                                    + " MB, real |",
                                "| --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: |"));
        for (String span : List.of("quiet", "changing")) {
            String cells =
                    String.join(
                            " | ",
                            List.of(
                                    formatFigure(data, span, "real_bytes_per_s"),
                                    formatFigure(data, span, "hollow_bytes_per_s"),
                                    formatFigure(data, span, "bytes_ratio"),
                                    formatFigure(data, span, "real_requests_per_s"),
                                    formatFigure(data, span, "hollow_requests_per_s"),
                                    formatFigure(data, span, "real_processor_share"),
                                    formatFigure(data, span, "real_resident_mb")));
            lines.add("| " + span.toLowerCase(Locale.ROOT) + " | " + cells + " |");
        }
        return String.join("\n", lines);
    }

    private static String formatFigure(MeasuredData data, String span, String name) {
        OptionalDouble value = data.maxValue(RUN_NAME, span + "_" + name);
        return value.isEmpty() ? NOT_RUN : FigureFormat.forPage(value.getAsDouble());
    }
}

package saltstage.lab.scale;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** The tables of {@code docs/CAPACITY.md} and the CSV of fits, computed from measured data. */
final class CapacityTables {
    private static final String NONE = "—";
    private static final List<String> CSV_COLUMNS =
            List.of(
                    "role",
                    "run",
                    "figure",
                    "quantity",
                    "shape",
                    "points",
                    "least",
                    "most",
                    "intercept",
                    "intercept_low",
                    "intercept_high",
                    "slope",
                    "slope_low",
                    "slope_high",
                    "target",
                    "need",
                    "budget",
                    "headroom");

    private final List<Need.Result> results;

    /** Computes all rows. */
    CapacityTables(MeasuredData data) {
        results = Needs.all().stream().map(need -> need.result(data)).toList();
    }

    /** All rows by headroom, the worst first; those without a figure last. */
    String summary() {
        List<String> lines =
                new ArrayList<>(
                        List.of(
                                "| role | resource | need at target | budget or measured most |"
                                        + " headroom | basis | carried by |",
                                "| --- | --- | ---: | ---: | ---: | --- | --- |"));
        results.stream()
                .sorted(Comparator.comparingDouble(CapacityTables::rank))
                .forEach(result -> lines.add(summaryLine(result)));
        return String.join("\n", lines);
    }

    private static double rank(Need.Result result) {
        return Double.isNaN(result.headroom()) ? Double.MAX_VALUE : result.headroom();
    }

    private static String summaryLine(Need.Result result) {
        return cells(
                result.row().role(),
                result.row().resource(),
                figure(result.need()),
                figure(result.budget()),
                figure(result.headroom()),
                result.basis().word(),
                "`" + result.row().carrier() + "`");
    }

    /** Each line that was fitted, by role. */
    String fits() {
        List<String> lines =
                new ArrayList<>(
                        List.of(
                                "| role | figure | intercept [95%] | slope [95%] | measured range |"
                                        + " points | shape | target | beyond range |",
                                "| --- | --- | --- | --- | --- | ---: | --- | ---: | ---: |"));
        results.stream()
                .filter(result -> result.fit() != null)
                .forEach(result -> lines.add(fitLine(result)));
        return String.join("\n", lines);
    }

    private static String fitLine(Need.Result result) {
        Need.Line line = (Need.Line) result.row().source();
        LineFit fit = result.fit();
        boolean drawn = fit.shape() == LineFit.Shape.LINE || fit.shape() == LineFit.Shape.FLAT;
        return cells(
                result.row().role(),
                "`" + line.run() + ": " + line.figure() + "`",
                drawn ? interval(fit.intercept()) : NONE,
                drawn ? interval(fit.slope()) : NONE,
                Figures.page(fit.least())
                        + " to "
                        + Figures.page(fit.most())
                        + " "
                        + line.quantity(),
                Integer.toString(fit.points()),
                word(fit.shape()),
                Figures.page(line.target()),
                fit.most() == 0 ? NONE : "× " + Figures.page(line.target() / fit.most()));
    }

    /** The rows that are arithmetic. */
    String estimates() {
        List<String> lines =
                new ArrayList<>(
                        List.of(
                                "| role | resource | value | arithmetic |",
                                "| --- | --- | ---: | --- |"));
        for (Need.Result result : results) {
            if (result.row().source() instanceof Need.Estimate estimate) {
                lines.add(
                        cells(
                                result.row().role(),
                                result.row().resource(),
                                figure(result.need()),
                                estimate.arithmetic()));
            }
        }
        return String.join("\n", lines);
    }

    /** The CSV of all fits. */
    String fitsCsv() {
        StringBuilder text = new StringBuilder(String.join(",", CSV_COLUMNS) + "\n");
        results.stream()
                .filter(result -> result.fit() != null)
                .forEach(
                        result -> {
                            Need.Line line = (Need.Line) result.row().source();
                            LineFit fit = result.fit();
                            text.append(
                                            String.join(
                                                    ",",
                                                    result.row().role().replace(",", ";"),
                                                    line.run(),
                                                    line.figure(),
                                                    line.quantity(),
                                                    word(fit.shape()),
                                                    Integer.toString(fit.points()),
                                                    Figures.plain(fit.least()),
                                                    Figures.plain(fit.most()),
                                                    Figures.plain(fit.intercept().value()),
                                                    Figures.plain(fit.intercept().low()),
                                                    Figures.plain(fit.intercept().high()),
                                                    Figures.plain(fit.slope().value()),
                                                    Figures.plain(fit.slope().low()),
                                                    Figures.plain(fit.slope().high()),
                                                    Figures.plain(line.target()),
                                                    Figures.plain(result.need()),
                                                    Figures.plain(result.budget()),
                                                    Figures.plain(result.headroom())))
                                    .append('\n');
                        });
        return text.toString();
    }

    private static String word(LineFit.Shape shape) {
        return switch (shape) {
            case LINE -> "line";
            case FLAT -> "flat";
            case BENT -> "bends: no line";
            case TOO_FEW -> "too few points";
        };
    }

    private static String interval(LineFit.Interval interval) {
        return Figures.page(interval.value())
                + " ["
                + Figures.page(interval.low())
                + ", "
                + Figures.page(interval.high())
                + "]";
    }

    private static String figure(double value) {
        return Double.isNaN(value) || Double.isInfinite(value) ? NONE : Figures.page(value);
    }

    private static String cells(String... cells) {
        return "| " + String.join(" | ", cells) + " |";
    }
}

package saltstage.lab.scale;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** The tables of {@code docs/CAPACITY.md} and the CSV of fits, computed from measured data. */
final class CapacityTables {
    private static final String NO_VALUE = "—";
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

    private final List<CapacityRequirement.Result> results;

    /** Computes all rows from measured data. */
    CapacityTables(MeasuredData data) {
        results =
                CapacityRequirements.all().stream()
                        .map(requirement -> requirement.evaluate(data))
                        .toList();
    }

    /** Returns the table of all rows by headroom, lowest first; rows without a figure come last. */
    String summary() {
        List<String> lines =
                new ArrayList<>(
                        List.of(
                                "| role | resource | need at target | budget or measured most |"
                                        + " headroom | basis | carried by |",
                                "| --- | --- | ---: | ---: | ---: | --- | --- |"));
        results.stream()
                .sorted(Comparator.comparingDouble(CapacityTables::sortKey))
                .forEach(result -> lines.add(summaryLine(result)));
        return String.join("\n", lines);
    }

    private static double sortKey(CapacityRequirement.Result result) {
        return Double.isNaN(result.headroom()) ? Double.MAX_VALUE : result.headroom();
    }

    private static String summaryLine(CapacityRequirement.Result result) {
        return tableRow(
                result.requirement().role(),
                result.requirement().resource(),
                formatFigure(result.need()),
                formatFigure(result.budget()),
                formatFigure(result.headroom()),
                result.basis().text(),
                "`" + result.requirement().implementation() + "`");
    }

    /** Returns the table of all fitted lines, by role. */
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

    private static String fitLine(CapacityRequirement.Result result) {
        CapacityRequirement.Extrapolation line =
                (CapacityRequirement.Extrapolation) result.requirement().source();
        LineFit fit = result.fit();
        boolean hasLine = fit.shape() == LineFit.Shape.LINE || fit.shape() == LineFit.Shape.FLAT;
        return tableRow(
                result.requirement().role(),
                "`" + line.run() + ": " + line.figure() + "`",
                hasLine ? formatInterval(fit.intercept()) : NO_VALUE,
                hasLine ? formatInterval(fit.slope()) : NO_VALUE,
                FigureFormat.forPage(fit.minQuantity())
                        + " to "
                        + FigureFormat.forPage(fit.maxQuantity())
                        + " "
                        + line.quantity(),
                Integer.toString(fit.pointCount()),
                shapeText(fit.shape()),
                FigureFormat.forPage(line.targetQuantity()),
                fit.maxQuantity() == 0
                        ? NO_VALUE
                        : "× " + FigureFormat.forPage(line.targetQuantity() / fit.maxQuantity()));
    }

    /** Returns the table of the rows that are estimates. */
    String estimates() {
        List<String> lines =
                new ArrayList<>(
                        List.of(
                                "| role | resource | value | arithmetic |",
                                "| --- | --- | ---: | --- |"));
        for (CapacityRequirement.Result result : results) {
            if (result.requirement().source() instanceof CapacityRequirement.Estimate estimate) {
                lines.add(
                        tableRow(
                                result.requirement().role(),
                                result.requirement().resource(),
                                formatFigure(result.need()),
                                estimate.arithmetic()));
            }
        }
        return String.join("\n", lines);
    }

    /** Returns the CSV of all fits. */
    String fitsCsv() {
        StringBuilder text = new StringBuilder(String.join(",", CSV_COLUMNS) + "\n");
        results.stream()
                .filter(result -> result.fit() != null)
                .forEach(
                        result -> {
                            CapacityRequirement.Extrapolation line =
                                    (CapacityRequirement.Extrapolation)
                                            result.requirement().source();
                            LineFit fit = result.fit();
                            text.append(
                                            String.join(
                                                    ",",
                                                    result.requirement().role().replace(",", ";"),
                                                    line.run(),
                                                    line.figure(),
                                                    line.quantity(),
                                                    shapeText(fit.shape()),
                                                    Integer.toString(fit.pointCount()),
                                                    FigureFormat.forCsv(fit.minQuantity()),
                                                    FigureFormat.forCsv(fit.maxQuantity()),
                                                    FigureFormat.forCsv(fit.intercept().value()),
                                                    FigureFormat.forCsv(fit.intercept().low()),
                                                    FigureFormat.forCsv(fit.intercept().high()),
                                                    FigureFormat.forCsv(fit.slope().value()),
                                                    FigureFormat.forCsv(fit.slope().low()),
                                                    FigureFormat.forCsv(fit.slope().high()),
                                                    FigureFormat.forCsv(line.targetQuantity()),
                                                    FigureFormat.forCsv(result.need()),
                                                    FigureFormat.forCsv(result.budget()),
                                                    FigureFormat.forCsv(result.headroom())))
                                    .append('\n');
                        });
        return text.toString();
    }

    private static String shapeText(LineFit.Shape shape) {
        return switch (shape) {
            case LINE -> "line";
            case FLAT -> "flat";
            case CURVED -> "bends: no line";
            case TOO_FEW_POINTS -> "too few points";
        };
    }

    private static String formatInterval(LineFit.Interval interval) {
        return FigureFormat.forPage(interval.value())
                + " ["
                + FigureFormat.forPage(interval.low())
                + ", "
                + FigureFormat.forPage(interval.high())
                + "]";
    }

    private static String formatFigure(double value) {
        return Double.isNaN(value) || Double.isInfinite(value)
                ? NO_VALUE
                : FigureFormat.forPage(value);
    }

    private static String tableRow(String... cells) {
        return "| " + String.join(" | ", cells) + " |";
    }
}

package saltstage.lab.store;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.CategoryChart;
import org.knowm.xchart.CategoryChartBuilder;

/** A benchmark result that is written as CSV, as a Markdown table and optionally as a chart. */
public final class Report {
    private final String name;
    private final List<String> header;
    private final List<List<String>> rows = new ArrayList<>();
    private CategoryChart chart;

    /** Creates a report with the base name of its files and its column names. */
    public Report(String name, String... columns) {
        this.name = name;
        header = List.of(columns);
    }

    /** Adds a row and prints it. */
    public void addRow(Object... cells) {
        List<String> row = Arrays.stream(cells).map(String::valueOf).toList();
        rows.add(row);
        System.out.println(String.join("  ", row));
    }

    /**
     * Adds a bar chart of the rows so far: the bars show the value column, grouped by the category
     * column, with one colour for each value of the series column.
     */
    public void setBarChart(
            String title,
            String xTitle,
            String yTitle,
            int seriesColumn,
            int categoryColumn,
            int valueColumn) {
        chart =
                new CategoryChartBuilder()
                        .width(900)
                        .height(500)
                        .title(title)
                        .xAxisTitle(xTitle)
                        .yAxisTitle(yTitle)
                        .build();
        Map<String, Map<String, Double>> valuesBySeries = new LinkedHashMap<>();
        for (List<String> row : rows) {
            valuesBySeries
                    .computeIfAbsent(row.get(seriesColumn), key -> new LinkedHashMap<>())
                    .put(row.get(categoryColumn), Double.valueOf(row.get(valueColumn)));
        }
        valuesBySeries.forEach(
                (seriesName, values) ->
                        chart.addSeries(
                                seriesName,
                                new ArrayList<>(values.keySet()),
                                new ArrayList<>(values.values())));
    }

    /** Writes NAME.csv, NAME.table.md and, if there is a chart, NAME.png. */
    public void writeFiles(Path dir) throws IOException {
        Files.writeString(
                dir.resolve(name + ".csv"),
                String.join(",", header)
                        + "\n"
                        + rows.stream()
                                .map(row -> String.join(",", row) + "\n")
                                .collect(Collectors.joining()));
        StringBuilder table = new StringBuilder("| " + String.join(" | ", header) + " |\n|");
        header.forEach(column -> table.append(" --- |"));
        rows.forEach(row -> table.append("\n| ").append(String.join(" | ", row)).append(" |"));
        Files.writeString(dir.resolve(name + ".table.md"), table + "\n");
        if (chart != null) {
            BitmapEncoder.saveBitmap(
                    chart, dir.resolve(name + ".png").toString(), BitmapEncoder.BitmapFormat.PNG);
        }
    }
}

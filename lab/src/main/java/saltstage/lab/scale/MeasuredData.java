package saltstage.lab.scale;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.concurrent.ConcurrentHashMap;

/** The measurements of all runs, read from the CSV files in a folder and cached. */
final class MeasuredData {
    private final Path folder;
    private final Map<String, List<Measurement>> measurementsByRun = new ConcurrentHashMap<>();

    /** Reads the CSV files in this folder on first use. */
    MeasuredData(Path folder) {
        this.folder = folder;
    }

    /** The folder of the CSV files. */
    Path folder() {
        return folder;
    }

    private List<Measurement> measurementsOf(String run) {
        return measurementsByRun.computeIfAbsent(
                run,
                name -> {
                    try {
                        return MeasurementFile.read(folder, name);
                    } catch (IOException unreadable) {
                        throw new UncheckedIOException(unreadable);
                    }
                });
    }

    /** The points of a figure; empty if there is no CSV file of the run. */
    List<LineFit.Point> points(String run, String figure) {
        return measurementsOf(run).stream()
                .filter(row -> row.figure().equals(figure))
                .map(row -> new LineFit.Point(row.quantity(), row.value()))
                .toList();
    }

    /** The largest value of a figure, if it was measured. */
    OptionalDouble maxValue(String run, String figure) {
        return points(run, figure).stream().mapToDouble(LineFit.Point::value).max();
    }

    /** The largest quantity at which a figure reaches the minimum value. */
    OptionalDouble maxQuantity(String run, String figure, double minValue) {
        return points(run, figure).stream()
                .filter(point -> point.value() >= minValue)
                .mapToDouble(LineFit.Point::quantity)
                .max();
    }

    /** The value of a figure at exactly this quantity, if it was measured. */
    OptionalDouble valueAt(String run, String figure, double quantity) {
        return points(run, figure).stream()
                .filter(point -> point.quantity() == quantity)
                .mapToDouble(LineFit.Point::value)
                .findFirst();
    }
}

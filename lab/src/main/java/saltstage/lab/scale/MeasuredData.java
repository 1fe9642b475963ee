package saltstage.lab.scale;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.concurrent.ConcurrentHashMap;

/** The committed CSVs of all runs. */
final class MeasuredData {
    private final Path folder;
    private final Map<String, List<Measurement>> measurementsByRun = new ConcurrentHashMap<>();

    /** The CSVs in this folder. */
    MeasuredData(Path folder) {
        this.folder = folder;
    }

    /** The folder of the CSVs. */
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

    /** The points of a figure; none where the run was not made. */
    List<LineFit.Point> points(String run, String figure) {
        return measurementsOf(run).stream()
                .filter(row -> row.figure().equals(figure))
                .map(row -> new LineFit.Point(row.quantity(), row.value()))
                .toList();
    }

    /** The largest value of a figure. */
    OptionalDouble maxValue(String run, String figure) {
        return points(run, figure).stream().mapToDouble(LineFit.Point::value).max();
    }

    /** The largest quantity at which a figure has at least this value. */
    OptionalDouble maxQuantity(String run, String figure, double least) {
        return points(run, figure).stream()
                .filter(point -> point.value() >= least)
                .mapToDouble(LineFit.Point::quantity)
                .max();
    }

    /** The value of a figure at a quantity. */
    OptionalDouble valueAt(String run, String figure, double quantity) {
        return points(run, figure).stream()
                .filter(point -> point.quantity() == quantity)
                .mapToDouble(LineFit.Point::value)
                .findFirst();
    }
}

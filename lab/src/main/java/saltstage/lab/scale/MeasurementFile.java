package saltstage.lab.scale;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;

/**
 * The CSV file of a scale run, {@code scale-NAME.csv}. Each point is also printed to standard
 * output as one line of JSON.
 */
public final class MeasurementFile {
    private static final String CSV_HEADER = "seed,quantity,figure,value";
    private static final ObjectMapper JSON = new ObjectMapper();

    private final String run;
    private final long seed;
    private final List<Measurement> rows = new ArrayList<>();
    private ObjectNode point;

    /** Creates the file of a run without any points. */
    public MeasurementFile(String run, long seed) {
        this.run = run;
        this.seed = seed;
    }

    /** Begins the point of this quantity and prints the previous point. */
    public void beginPoint(double quantity) {
        printPoint();
        point = JSON.createObjectNode().put("run", run).put("seed", seed).put("quantity", quantity);
    }

    /** Adds a figure to the current point. */
    public synchronized void addFigure(String figure, double value) {
        rows.add(new Measurement(seed, point.get("quantity").asDouble(), figure, value));
        point.put(figure, value);
    }

    /** The points of a figure that were added so far. */
    List<LineFit.Point> points(String figure) {
        return rows.stream()
                .filter(row -> row.figure().equals(figure))
                .map(row -> new LineFit.Point(row.quantity(), row.value()))
                .toList();
    }

    /** Prints the current point, if there is one, as a line of JSON. */
    void printPoint() {
        if (point != null) {
            System.out.println(point);
            point = null;
        }
    }

    /** Writes the CSV file into the folder. */
    public void write(Path folder) throws IOException {
        printPoint();
        String lines =
                rows.stream().map(row -> row.toCsvLine() + "\n").collect(Collectors.joining());
        Files.writeString(csvFile(folder, run), CSV_HEADER + "\n" + lines);
    }

    private static Path csvFile(Path folder, String run) {
        return folder.resolve("scale-" + run + ".csv");
    }

    /** Reads the CSV file of a run; returns an empty list if the file does not exist. */
    static List<Measurement> read(Path folder, String run) throws IOException {
        Path file = csvFile(folder, run);
        if (!Files.exists(file)) {
            return List.of();
        }
        return Files.readAllLines(file).stream().skip(1).map(Measurement::parse).toList();
    }
}

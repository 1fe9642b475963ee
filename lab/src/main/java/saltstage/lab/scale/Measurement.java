package saltstage.lab.scale;

/**
 * One figure of a scale run, which is one line of its CSV file.
 *
 * @param seed seed of the run's random numbers
 * @param quantity value of the varied quantity, for example the number of established connections
 * @param figure name of the measured figure, with its unit
 * @param value the measured value
 */
public record Measurement(long seed, double quantity, String figure, double value) {
    private static final int COLUMN_COUNT = 4;

    /** Formats the measurement as a line of the CSV file. */
    String toCsvLine() {
        return seed
                + ","
                + FigureFormat.forCsv(quantity)
                + ","
                + figure
                + ","
                + FigureFormat.forCsv(value);
    }

    /** Parses a line of a CSV file. */
    static Measurement parse(String line) {
        String[] cells = line.split(",");
        if (cells.length != COLUMN_COUNT) {
            throw new IllegalArgumentException("not a measurement: " + line);
        }
        return new Measurement(
                Long.parseLong(cells[0]),
                Double.parseDouble(cells[1]),
                cells[2],
                Double.parseDouble(cells[3]));
    }
}

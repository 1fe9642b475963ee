package saltstage.lab.scale;

/**
 * One figure of a scale run: a line of its CSV.
 *
 * @param seed what the run drew its random numbers from
 * @param quantity what the run varied, for example how many connections stood
 * @param figure name of what was measured, with its unit
 * @param value the measured value
 */
public record Measurement(long seed, double quantity, String figure, double value) {
    private static final int COLUMN_COUNT = 4;

    /** The line as the CSV has it. */
    String toCsvLine() {
        return seed
                + ","
                + FigureFormat.forCsv(quantity)
                + ","
                + figure
                + ","
                + FigureFormat.forCsv(value);
    }

    /** Parses a line of a CSV. */
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

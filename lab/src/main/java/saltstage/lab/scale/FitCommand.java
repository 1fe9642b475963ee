package saltstage.lab.scale;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import saltstage.lab.Installation;

/** Computes the fits from the CSV files of all runs, and writes and prints them. */
@Command(
        name = "fit",
        mixinStandardHelpOptions = true,
        description = "Lines through the measured points: docs/measurements/scale-fits.csv.")
final class FitCommand implements Callable<Integer> {
    static final String FILE_NAME = "scale-fits.csv";

    @Override
    public Integer call() throws Exception {
        Path folder = Installation.measurementsDirectory();
        String csv = new CapacityTables(new MeasuredData(folder)).fitsCsv();
        Files.writeString(folder.resolve(FILE_NAME), csv);
        System.out.print(csv);
        return 0;
    }
}

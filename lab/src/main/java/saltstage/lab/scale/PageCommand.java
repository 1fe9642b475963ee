package saltstage.lab.scale;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import saltstage.lab.Installation;

/** Fills the tables of the capacity page from the CSV files of the scale runs. */
@Command(
        name = "page",
        mixinStandardHelpOptions = true,
        description = "Writes the generated tables of docs/CAPACITY.md.")
final class PageCommand implements Callable<Integer> {
    /** Path of the page relative to the repository root. */
    static final String PAGE_PATH = "docs/CAPACITY.md";

    @Override
    public Integer call() throws Exception {
        Path page = Installation.repositoryRoot().resolve(PAGE_PATH);
        MeasuredData data = new MeasuredData(Installation.measurementsDirectory());
        Files.writeString(
                page, CapacityPage.fillTables(Files.readString(page), CapacityPage.tables(data)));
        return 0;
    }
}

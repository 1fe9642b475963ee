package saltstage.lab.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import saltstage.lab.Installation;

/**
 * Guards against figures in the tables of the capacity page that do not follow from the committed
 * CSV files, for example after an edit by hand or a new measurement without a new page.
 */
class CapacityPageTest {
    private static final Path PAGE = Installation.repositoryRoot().resolve(PageCommand.PAGE_PATH);
    private static final Pattern TABLE_MARK = Pattern.compile("<!-- table:([a-z-]+) -->");

    @TempDir Path folder;

    private static Path measurementsDirectory() {
        return Installation.repositoryRoot().resolve("docs/measurements");
    }

    private static String fillTables(Path csvs) throws IOException {
        return CapacityPage.fillTables(
                Files.readString(PAGE), CapacityPage.tables(new MeasuredData(csvs)));
    }

    @Test
    void theTablesAreThoseOfTheCommittedCsvs() throws IOException {
        assertEquals(fillTables(measurementsDirectory()), Files.readString(PAGE));
    }

    @Test
    void theFitsAreThoseOfTheCommittedCsvs() throws IOException {
        String fits = new CapacityTables(new MeasuredData(measurementsDirectory())).fitsCsv();
        assertEquals(fits, Files.readString(measurementsDirectory().resolve(FitCommand.FILE_NAME)));
    }

    @Test
    void everyTableIsOnThePage() throws IOException {
        Matcher marks = TABLE_MARK.matcher(Files.readString(PAGE));
        Map<String, String> tables = CapacityPage.tables(new MeasuredData(measurementsDirectory()));
        long found = marks.results().filter(mark -> tables.containsKey(mark.group(1))).count();
        assertEquals(tables.size(), found);
    }

    @Test
    void aChangedDigitOnThePageIsFound() throws IOException {
        String page = Files.readString(PAGE);
        int table = page.indexOf("<!-- table:summary -->");
        Matcher digit = Pattern.compile("(?<=\\| )[0-9]").matcher(page);
        assertTrue(digit.find(table));
        char other = page.charAt(digit.start()) == '9' ? '8' : '9';
        String changed = page.substring(0, digit.start()) + other + page.substring(digit.end());
        Map<String, String> tables = CapacityPage.tables(new MeasuredData(measurementsDirectory()));
        assertNotEquals(CapacityPage.fillTables(changed, tables), changed);
    }

    @Test
    void aChangedDigitInACsvIsFound() throws IOException {
        try (Stream<Path> csvs = Files.list(measurementsDirectory())) {
            for (Path csv :
                    csvs.filter(file -> file.getFileName().toString().startsWith("scale-"))
                            .toList()) {
                Files.copy(csv, folder.resolve(csv.getFileName()));
            }
        }
        Path changed = folder.resolve("scale-connections.csv");
        String text = Files.readString(changed);
        Files.writeString(changed, text.replaceFirst("resident_mb,\\d", "resident_mb,9"));
        assertNotEquals(Files.readString(PAGE), fillTables(folder));
        assertTrue(text.contains("resident_mb,"));
    }
}

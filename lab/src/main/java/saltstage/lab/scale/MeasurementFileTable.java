package saltstage.lab.scale;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * The table of the CSV files from which a page was computed. It lists their digests, so that a
 * change of any file makes the page differ.
 */
final class MeasurementFileTable {
    private static final int SHOWN_DIGEST_DIGITS = 16;

    private MeasurementFileTable() {}

    /** Builds the table of all CSV files of scale runs in this folder. */
    static String of(Path folder) {
        try (Stream<Path> files = Files.list(folder)) {
            List<Path> csvs =
                    files.filter(MeasurementFileTable::isMeasurementFile).sorted().toList();
            return "| file | figures | SHA-256 begins with |\n| --- | ---: | --- |\n"
                    + csvs.stream()
                            .map(MeasurementFileTable::tableRow)
                            .collect(Collectors.joining("\n"));
        } catch (IOException unreadable) {
            throw new UncheckedIOException(unreadable);
        }
    }

    private static boolean isMeasurementFile(Path file) {
        String name = file.getFileName().toString();
        return name.matches("scale-[a-z-]+\\.csv") && !name.equals(FitCommand.FILE_NAME);
    }

    private static String tableRow(Path file) {
        try {
            byte[] content = Files.readAllBytes(file);
            String digest =
                    HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(content));
            long figures = Files.readAllLines(file).size() - 1L;
            return "| `"
                    + file.getFileName()
                    + "` | "
                    + figures
                    + " | "
                    + digest.substring(0, SHOWN_DIGEST_DIGITS)
                    + " |";
        } catch (IOException unreadable) {
            throw new UncheckedIOException(unreadable);
        } catch (NoSuchAlgorithmException impossible) {
            throw new IllegalStateException(impossible);
        }
    }
}

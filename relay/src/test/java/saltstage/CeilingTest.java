package saltstage;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;

class CeilingTest {
    private static final Path LOGIC = Path.of("src/main/java/saltstage/Logic.java");

    @Test
    void logicStaysWithinItsCeiling() throws IOException {
        long lines = Files.readAllLines(LOGIC).stream().filter(l -> !l.isBlank()).count();
        assertTrue(lines <= 650, lines + " non-blank lines in Logic.java");
    }

    @Test
    void firstLinesPointToApi() throws IOException {
        List<String> lines = Files.readAllLines(LOGIC);
        assertTrue(lines.get(0).contains("Api.java"), lines.get(0));
    }
}

package saltstage;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/**
 * Guards against dependency cycles between packages: a package may import only those that are
 * listed for it here.
 */
class PackagesTest {
    private static final Path ROOT = Path.of("src/main/java/saltstage");
    private static final Pattern IMPORT =
            Pattern.compile("import (?:static )?saltstage\\.([a-z]+)\\.");
    private static final Map<String, Set<String>> ALLOWED =
            Map.ofEntries(
                    Map.entry("store", Set.of()),
                    Map.entry("log", Set.of()),
                    Map.entry("net", Set.of()),
                    Map.entry("wire", Set.of()),
                    Map.entry("metrics", Set.of()),
                    Map.entry("admin", Set.of("log")),
                    Map.entry("handover", Set.of("log")),
                    Map.entry("config", Set.of("wire", "log")),
                    Map.entry("session", Set.of("wire")),
                    Map.entry("configuration", Set.of("wire", "store")),
                    Map.entry("sim", Set.of("config", "wire")),
                    Map.entry("persistence", Set.of("store", "config", "log", "wire")),
                    Map.entry("stage", Set.of("session", "metrics", "wire", "config", "log")),
                    Map.entry("amqp", Set.of("net", "stage", "session", "wire", "config", "log")));

    @Test
    void packagesImportOnlyWhatIsAllowedForThem() throws IOException {
        int[] importCount = new int[1];
        try (Stream<Path> files = Files.walk(ROOT)) {
            for (Path file : files.filter(path -> path.toString().endsWith(".java")).toList()) {
                String ownPackage =
                        ROOT.relativize(file).getNameCount() == 1
                                ? ""
                                : ROOT.relativize(file).getName(0).toString();
                if (ownPackage.equals("lifecycle")) {
                    continue; // the top layer: it may import every package, and none may import it
                }
                Matcher imports = IMPORT.matcher(Files.readString(file));
                while (imports.find()) {
                    importCount[0]++;
                    assertTrue(
                            ownPackage.equals(imports.group(1))
                                    || ALLOWED.getOrDefault(ownPackage, Set.of())
                                            .contains(imports.group(1)),
                            file + " imports " + imports.group(1));
                }
            }
        }
        assertTrue(importCount[0] > 50, "imports found: " + importCount[0]);
    }
}

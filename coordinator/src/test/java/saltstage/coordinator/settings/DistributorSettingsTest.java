package saltstage.coordinator.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import saltstage.wire.MalformedException;

/** Tests the blocks {@code distributor} of the settings file. */
class DistributorSettingsTest {
    private static final String GROUP_BLOCK =
            "coordinator {\n  group = \"g\"\n  member \"r1\" {\n    peers = \"127.0.0.1:7101\"\n"
                    + "    clients = \"127.0.0.1:7201\"\n  }\n}\n";
    private static final String DISTRIBUTOR_BLOCK =
            "distributor \"d-a1\" {\n  zone = \"a1\"\n  clients = \"127.0.0.1:7301\"\n"
                    + "  sources = [\"127.0.0.1:7201\"]\n}\n";

    private static CoordinatorSettings parse(String text) throws MalformedException {
        return CoordinatorSettings.parse("f.hcl", text);
    }

    @Test
    void distributorIsReadFromTheGroupsFile() throws Exception {
        DistributorSettings settings =
                parse(GROUP_BLOCK + DISTRIBUTOR_BLOCK).distributorSettings("d-a1");
        assertEquals("a1", settings.zone());
        assertEquals(7301, settings.listenAddress().getPort());
        assertEquals(1, settings.sourceAddresses().size());
        assertEquals(Path.of("distributor-data", "d-a1"), settings.dir());
        assertThrows(
                MalformedException.class, () -> parse(GROUP_BLOCK).distributorSettings("d-a1"));
    }

    @Test
    void exampleFileIsValid() throws Exception {
        Path shipped = Path.of("..", "deploy", "coordinator.hcl");
        assertEquals(
                3,
                CoordinatorSettings.read(shipped)
                        .distributorSettings("d-a2")
                        .sourceAddresses()
                        .size());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "zone = \"a1\"                   | zone = \"a 1\"           | zone",
                "clients = \"127.0.0.1:7301\"    | clients = \"localhost\"  | clients",
                "sources = [\"127.0.0.1:7201\"]  | sources = []             | sources",
                "sources = [\"127.0.0.1:7201\"]  | sources = [\"nowhere\"]  | sources",
                "zone = \"a1\"                   | zones = \"a1\"           | zone",
                "distributor \"d-a1\"            | distributor              | name",
            })
    void errorNamesFileAndSetting(String original, String replacement, String expected) {
        String text = GROUP_BLOCK + DISTRIBUTOR_BLOCK.replace(original.trim(), replacement.trim());
        MalformedException exception = assertThrows(MalformedException.class, () -> parse(text));
        assertTrue(exception.getMessage().contains(expected.trim()), exception.getMessage());
        assertTrue(exception.getMessage().startsWith("f.hcl:"), exception.getMessage());
    }
}

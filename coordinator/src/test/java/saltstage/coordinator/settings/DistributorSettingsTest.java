package saltstage.coordinator.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import saltstage.wire.MalformedException;

/** Blocks {@code distributor} of the settings file. */
class DistributorSettingsTest {
    private static final String GROUP =
            "coordinator {\n  group = \"g\"\n  member \"r1\" {\n    peers = \"127.0.0.1:7101\"\n"
                    + "    clients = \"127.0.0.1:7201\"\n  }\n}\n";
    private static final String DISTRIBUTOR =
            "distributor \"d-a1\" {\n  zone = \"a1\"\n  clients = \"127.0.0.1:7301\"\n"
                    + "  sources = [\"127.0.0.1:7201\"]\n}\n";

    private static CoordinatorSettings read(String text) throws MalformedException {
        return CoordinatorSettings.of("f.hcl", text);
    }

    @Test
    void distributorStandsBesideTheGroup() throws Exception {
        DistributorSettings read = read(GROUP + DISTRIBUTOR).distributor("d-a1");
        assertEquals("a1", read.zone());
        assertEquals(7301, read.clients().getPort());
        assertEquals(1, read.sources().size());
        assertEquals(Path.of("distributor-data", "d-a1"), read.dir());
        assertThrows(MalformedException.class, () -> read(GROUP).distributor("d-a1"));
    }

    @Test
    void shippedFileShowsBoth() throws Exception {
        Path shipped = Path.of("..", "deploy", "coordinator.hcl");
        assertEquals(3, CoordinatorSettings.read(shipped).distributor("d-a2").sources().size());
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
    void whatIsWrongIsNamed(String sound, String wrong, String named) {
        String text = GROUP + DISTRIBUTOR.replace(sound.trim(), wrong.trim());
        MalformedException refused = assertThrows(MalformedException.class, () -> read(text));
        assertTrue(refused.getMessage().contains(named.trim()), refused.getMessage());
        assertTrue(refused.getMessage().startsWith("f.hcl:"), refused.getMessage());
    }
}

package saltstage.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import saltstage.log.LogSetup;
import saltstage.wire.MalformedException;

/**
 * Checks that every setting of the operator's file takes effect, and that nothing in the file is
 * silently ignored.
 */
class OperatorSettingsTest {
    @Test
    void readsGivenSettingsAndDefaultsTheRest() throws MalformedException {
        OperatorSettings settings =
                OperatorSettings.parse(
                        "f.hcl",
                        "# note\n"
                                + "log {\n"
                                + "  format = \"json\" // x\n"
                                + "}\n"
                                + "store {\n"
                                + "  dir = \"/d \\\" e\" /* y */\n"
                                + "  segment = \"64KiB\"\n"
                                + "  learnt_for = \"24h\"\n"
                                + "}\n");
        assertEquals(LogSetup.Format.JSON, settings.logging().format());
        assertEquals(OperatorSettings.Level.INFO, settings.logging().level());
        OperatorSettings.PersistenceSettings persistence = settings.persistence().orElseThrow();
        assertEquals(Path.of("/d \" e"), persistence.dir());
        assertEquals(64 << 10, persistence.segmentBytes());
        assertEquals(Duration.ofDays(1), persistence.maxLearnedStateAge());
        assertEquals(50, persistence.maxConfigurations());
        assertTrue(OperatorSettings.parse("f.hcl", "").persistence().isEmpty());
    }

    @Test
    void readsConfigurationSources() throws MalformedException {
        assertTrue(OperatorSettings.defaults().follower().isEmpty());
        OperatorSettings.FollowerSettings follower =
                OperatorSettings.parse(
                                "f.hcl",
                                "configuration {\n"
                                        + "  sources = [\"127.0.0.1:7300\", \"127.0.0.2:7300\"]\n"
                                        + "  dir = \"/d\"\n"
                                        + "}\n")
                        .follower()
                        .orElseThrow();
        assertEquals(
                new OperatorSettings.FollowerSettings(
                        java.util.List.of("127.0.0.1:7300", "127.0.0.2:7300"),
                        "",
                        "",
                        Path.of("/d")),
                follower);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            value = {
                "log { colour = 1 }                   | f.hcl:1: log: unknown attribute 'colour'",
                "log {}^^lag {}                       | f.hcl:3: lag: unknown block 'lag'",
                "log {^ format = \"xml\"^}            | f.hcl:2: log: 'format' takes one of [text,"
                        + " json]",
                "log {^ format = 3^}                  | f.hcl:2: log: 'format' takes a text",
                "log {}^log {}                        | f.hcl:2: log: 'log' is given twice",
                "log \"a\" {}                         | f.hcl:1: log: 'log' takes no label",
                "log {^ level = \"info\"^ level = \"warn\"^} | f.hcl:3: log: 'level' is given"
                        + " twice",
                "store {^}                            | f.hcl:1: store: 'dir' is missing",
                "store {^ dir = \"d\"^ configurations = 1^} "
                        + "| f.hcl:3: store: 'configurations' takes a whole number from 2 to 10000",
                "store {^ dir = \"d\"^ configurations = 2.5^} "
                        + "| f.hcl:3: store: 'configurations' takes a whole number from 2 to 10000",
                "log {^ level = \"info\"              | f.hcl:1: 'log' cannot stand here",
                "log {^}^}                            | f.hcl:3: '}' cannot stand here",
                "amqp {^ listen = \"127.0.0.1:1\"^} | f.hcl:1: amqp: nobody may come in: name"
                        + " 'secrets' or 'anonymous_tenant'",
                "amqp {^ listen = \"here\"^ anonymous_tenant = \"t\"^} | f.hcl:2: amqp: 'listen'"
                        + " takes an address in figures with a port, such as \"127.0.0.1:5672\"",
                "amqp {^ anonymous_tenant = \"t\"^} | f.hcl:1: amqp: 'listen' is missing",
                "amqp {^ listen = \"127.0.0.1:1\"^ anonymous_tenant = \"t\"^ frame = \"1MiB\"^} |"
                        + " f.hcl:1: amqp: 'link_bytes' must hold at least four frames of 'frame'",
                "amqp {^ listen = \"127.0.0.1:1\"^ anonymous_tenant = \"t\"^ speed = 1^} | f.hcl:4:"
                        + " amqp: unknown attribute 'speed'",
                "configuration {^ dir = \"d\"^}       | f.hcl:1: configuration: 'sources' is"
                        + " missing",
                "configuration {^ sources = [\"127.0.0.1:1\"]^} | f.hcl:1: configuration: 'dir' is"
                        + " missing",
                "configuration {^ dir = \"d\"^ sources = [\"here:1\"]^} | f.hcl:3: configuration:"
                        + " 'sources' takes addresses in figures with a port, such as"
                        + " \"127.0.0.1:7300\"",
                "configuration {^ dir = \"d\"^ sources = [\"127.0.0.1:1\"]^ zone = \"a b\"^} |"
                    + " f.hcl:4: configuration: 'zone' takes up to 60 letters, digits, '.', '_' and"
                    + " '-'",
                "configuration {^ dir = \"d\"^ sources = [\"127.0.0.1:1\"]^ name = \"a b\"^} |"
                    + " f.hcl:4: configuration: 'name' takes up to 160 visible ASCII characters",
                "@@                                   | f.hcl:1: '@' cannot stand here",
                "^= 3                                 | f.hcl:2: '=' cannot stand here",
                "log {^ level = file(\"x\")^}         | f.hcl:2: 'level' takes plain values only:"
                        + " texts, numbers, true, false, lists",
                "log {^ level = \"${x}\"^}            | f.hcl:2: 'level' takes plain values only:"
                        + " texts, numbers, true, false, lists",
                "log {^ level = 5m^}                  | f.hcl:2: 'level' has no plain value",
                "log {^ level = ^}                    | f.hcl:2: 'level' has no plain value",
                "log {^ level = \"info^}              | f.hcl:2: not HCL"
            })
    void reportsFileLineAndName(String text, String message) {
        MalformedException exception =
                assertThrows(
                        MalformedException.class,
                        () -> OperatorSettings.parse("f.hcl", text.replace('^', '\n')));
        assertEquals(message, exception.getMessage());
    }

    @Test
    void durationsAndSizesHaveBounds() {
        for (String invalid :
                new String[] {
                    "every = \"1ms\"",
                    "every = \"2 s\"",
                    "every = 2",
                    "segment = \"1KiB\"",
                    "segment = \"9999999GiB\"",
                    "compaction_rate = \"-1\""
                }) {
            MalformedException exception =
                    assertThrows(
                            MalformedException.class,
                            () ->
                                    OperatorSettings.parse(
                                            "f", "store {\n dir = \"d\"\n " + invalid + "\n}\n"));
            assertTrue(
                    exception
                            .getMessage()
                            .startsWith("f:3: store: '" + invalid.split(" ")[0] + "' takes "),
                    exception.getMessage());
        }
    }

    @Test
    void exampleFileIsValid() throws Exception {
        Path example = Path.of("..", "deploy", "saltstage.hcl");
        assertTrue(OperatorSettings.read(example).persistence().isEmpty());
        String uncommented =
                Files.readString(example)
                        .replaceAll("(?m)^# (?=store|amqp|configuration \\{|  |\\})", "");
        assertEquals(
                "/var/lib/saltstage",
                OperatorSettings.parse("example", uncommented)
                        .persistence()
                        .orElseThrow()
                        .dir()
                        .toString());
        assertEquals(
                5672,
                OperatorSettings.parse("example", uncommented)
                        .amqp()
                        .orElseThrow()
                        .listenAddress()
                        .getPort());
        assertTrue(OperatorSettings.read(example).follower().isEmpty());
        assertEquals(
                2,
                OperatorSettings.parse("example", uncommented)
                        .follower()
                        .orElseThrow()
                        .sources()
                        .size());
    }
}

package saltstage.amqp;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Arrays;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.apache.qpid.protonj2.types.Symbol;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import saltstage.Api;
import saltstage.config.Configuration;
import saltstage.config.OperatorSettings;
import saltstage.session.RequestAttributes;
import saltstage.wire.MalformedException;

/** The parts of the front that decide without I/O: frames, addresses, users. */
class PartsTest {
    private static final byte[] HEADER = {'A', 'M', 'Q', 'P', 0, 1, 0, 0};

    @Property(tries = 500)
    void framesComeOutWholeHoweverTheyComeIn(@ForAll long seed) {
        Random random = new Random(seed);
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.writeBytes(HEADER);
        for (int i = 0; i < 5; i++) {
            byte[] frame = new byte[8 + random.nextInt(100)];
            random.nextBytes(frame);
            frame[0] = 0;
            frame[1] = 0;
            frame[2] = 0;
            frame[3] = (byte) frame.length;
            all.writeBytes(frame);
        }
        byte[] bytes = all.toByteArray();
        Frames frames = new Frames(200);
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        for (int at = 0; at < bytes.length;) {
            int piece = Math.min(bytes.length - at, 1 + random.nextInt(60));
            byte[] came = Arrays.copyOfRange(bytes, at, at + piece);
            at += piece;
            out.writeBytes(frames.cut(came));
            assertEquals(at, out.size() + frames.waiting());
        }
        assertArrayEquals(bytes, out.toByteArray());
        assertEquals(0, frames.waiting());
    }

    @Test
    void whatCanBeNoFrameIsNotGathered() {
        for (byte[] bad : new byte[][] {{0, 0, 0, 7, 2, 0, 0, 0}, {0x7f, 0, 0, 0, 2, 0, 0, 0},
            "GET / HTTP".getBytes(StandardCharsets.ISO_8859_1)}) {
            Frames frames = new Frames(200);
            assertEquals(bad.length, frames.cut(bad).length);
            assertEquals(0, frames.waiting());
        }
    }

    private static Mapping mapping(String more) throws MalformedException {
        Configuration config = Configuration.parse(("{'listen':'127.0.0.1:1','discovery':'127.0.0.1:1',"
            + "'seed':'1','limits':{'sockets':256},'known':{'rev':0,'all':true,'targets':[]},'settings':{"
            + "'Realms':[{'Name':'one'},{'Name':'two'}],'Services':["
            + "{'Name':'a','Aim':500000,'GiveUp':2000000,'Effect':'retryable'},"
            + "{'Name':'b','Aim':800000,'GiveUp':3200000,'Effect':'fragile'}]}}").replace('\'', '"'));
        return new Mapping(config, OperatorSettings.parse("f", "amqp {\n listen = \"127.0.0.1:1\"\n"
            + " anonymous_tenant = \"two\"\n" + more + "}\n").amqp().orElseThrow());
    }

    private static Mapping.Asked asked(String address, String user, Map<Symbol, Object> properties) {
        return new Mapping.Asked(address, "container", "link", user, properties);
    }

    @Test
    void addressUserAndNamesAreARequestsTerms() throws Exception {
        Mapping.Mapped plain = mapping("").map(asked("a", null, null), "n1", false);
        assertEquals(new RequestAttributes("n1", 0, 1, "container\nlink", null, Api.NONE, false),
            plain.terms());
        assertEquals(Duration.ofSeconds(2), plain.patience());
        assertTrue(plain.repeatable());
        Mapping.Mapped grouped = mapping("").map(asked("b/station-7/x", "one", null), "n2", true);
        assertEquals(new RequestAttributes("n2", 1, 0, "container\nlink", "station-7/x", Api.NONE, true),
            grouped.terms());
        assertFalse(grouped.repeatable());
    }

    @Test
    void propertiesThatTheOperatorNamesGoBeforeThem() throws Exception {
        Mapping named =
            mapping(" key_property = \"k\"\n group_property = \"g\"\n deadline_property = \"d\"\n");
        Mapping.Mapped mapped = named.map(asked("b/x", null, Map.of(Symbol.valueOf("k"), "key",
            Symbol.valueOf("g"), "group", Symbol.valueOf("d"), 700)), "n", false);
        assertEquals(new RequestAttributes("n", 1, 1, "key", "group", Api.NONE, false), mapped.terms());
        assertEquals(Duration.ofMillis(700), mapped.patience());
        assertEquals("amqp:not-found",
            refusal(named, asked("b", null, Map.of(Symbol.valueOf("d"), "soon"))));
        assertEquals(Duration.ofMillis(3_200),
            named.map(asked("b", null, Map.of(Symbol.valueOf("d"), 99_999)), "n", false).patience());
    }

    private static String refusal(Mapping mapping, Mapping.Asked asked) {
        return assertThrows(Mapping.Unmapped.class, () -> mapping.map(asked, "n", false)).condition()
            .getCondition().toString();
    }

    @Test
    void whatTheSettingsDoNotKnowIsNotFound() throws Exception {
        assertEquals("amqp:not-found", refusal(mapping(""), asked("c", null, null)));
        assertEquals("amqp:not-found", refusal(mapping(""), asked("a", "three", null)));
        assertEquals("amqp:not-found", refusal(mapping(""), asked("a/", null, null)));
        assertEquals("amqp:not-found", refusal(mapping(""), asked("a/two words", null, null)));
        assertEquals("amqp:not-implemented", refusal(mapping(""), asked(null, null, null)));
    }

    @Test
    void secretsFitTheirUserOnlyAndBadFilesAreRefusedByLine(@TempDir Path dir) throws Exception {
        Path file = dir.resolve("secrets");
        Files.writeString(file, "# users\n\none:with:colon\n");
        Secrets secrets = Secrets.read(file);
        assertTrue(secrets.fits("one", "with:colon".getBytes(StandardCharsets.UTF_8)));
        assertFalse(secrets.fits("one", "with".getBytes(StandardCharsets.UTF_8)));
        assertFalse(secrets.fits("two", "nobody has this one".getBytes(StandardCharsets.UTF_8)));
        for (String bad : new String[] {"one:a\none:b\n", "x\n", "one:a\n:b\n", "one:a\nb:\n"}) {
            Files.writeString(file, bad);
            String said = assertThrows(MalformedException.class, () -> Secrets.read(file)).getMessage();
            assertTrue(said.startsWith(file + ":"), said);
        }
        assertThrows(MalformedException.class, () -> Secrets.read(dir.resolve("missing")));
    }

    @Test
    void backendsFullnessIsToldFromItsFaults() {
        assertEquals(Api.Outcome.FULL, BackendLink.outcome(Errors.limit("x")));
        assertEquals(Api.Outcome.ERROR, BackendLink.outcome(Errors.failed("x")));
        assertEquals(Api.Outcome.ERROR, BackendLink.outcome(null));
    }
}

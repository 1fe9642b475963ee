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

/** Tests the parts of the AMQP frontend without I/O: splitting frames, mapping attaches, checking secrets. */
class AmqpComponentsTest {
    private static final byte[] PROTOCOL_HEADER = {'A', 'M', 'Q', 'P', 0, 1, 0, 0};

    @Property(tries = 500)
    void framesComeOutWholeHoweverTheyAreSplit(@ForAll long seed) {
        Random random = new Random(seed);
        ByteArrayOutputStream stream = new ByteArrayOutputStream();
        stream.writeBytes(PROTOCOL_HEADER);
        for (int i = 0; i < 5; i++) {
            byte[] frame = new byte[8 + random.nextInt(100)];
            random.nextBytes(frame);
            frame[0] = 0;
            frame[1] = 0;
            frame[2] = 0;
            frame[3] = (byte) frame.length;
            stream.writeBytes(frame);
        }
        byte[] bytes = stream.toByteArray();
        FrameSplitter frames = new FrameSplitter(200);
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        for (int offset = 0; offset < bytes.length;) {
            int length = Math.min(bytes.length - offset, 1 + random.nextInt(60));
            byte[] piece = Arrays.copyOfRange(bytes, offset, offset + length);
            offset += length;
            frames.add(piece);
            out.writeBytes(frames.takeWholeFrames(Integer.MAX_VALUE));
            assertEquals(offset, out.size() + frames.bufferedBytes());
        }
        assertArrayEquals(bytes, out.toByteArray());
        assertEquals(0, frames.bufferedBytes());
    }

    @Test
    void invalidFrameIsNotBuffered() {
        for (byte[] invalid : new byte[][] {{0, 0, 0, 7, 2, 0, 0, 0}, {0x7f, 0, 0, 0, 2, 0, 0, 0},
            "GET / HTTP".getBytes(StandardCharsets.ISO_8859_1)}) {
            FrameSplitter frames = new FrameSplitter(200);
            frames.add(invalid);
            assertEquals(invalid.length, frames.takeWholeFrames(Integer.MAX_VALUE).length);
            assertEquals(0, frames.bufferedBytes());
        }
    }

    private static AttachMapper attachMapper(String amqpSettings) throws MalformedException {
        Configuration config = Configuration.parse(("{'listen':'127.0.0.1:1','discovery':'127.0.0.1:1',"
            + "'seed':'1','limits':{'sockets':256},'known':{'rev':0,'all':true,'targets':[]},'settings':{"
            + "'Realms':[{'Name':'one'},{'Name':'two'}],'Services':["
            + "{'Name':'a','Aim':500000,'GiveUp':2000000,'Effect':'retryable'},"
            + "{'Name':'b','Aim':800000,'GiveUp':3200000,'Effect':'fragile'}]}}").replace('\'', '"'));
        return new AttachMapper(config, OperatorSettings.parse("f", "amqp {\n listen = \"127.0.0.1:1\"\n"
            + " anonymous_tenant = \"two\"\n" + amqpSettings + "}\n").amqp().orElseThrow());
    }

    private static AttachMapper.AttachRequest attachRequest(String address, String user,
            Map<Symbol, Object> properties) {
        return new AttachMapper.AttachRequest(address, "container", "link", user, properties);
    }

    @Test
    void addressUserAndNamesBecomeRequestAttributes() throws Exception {
        AttachMapper.MappedRequest plain = attachMapper("").map(attachRequest("a", null, null), "n1", false);
        assertEquals(new RequestAttributes("n1", 0, 1, "container\nlink", null, Api.NONE, false),
            plain.attributes());
        assertEquals(Duration.ofSeconds(2), plain.clientTimeout());
        assertTrue(plain.idempotent());
        AttachMapper.MappedRequest grouped =
            attachMapper("").map(attachRequest("b/station-7/x", "one", null), "n2", true);
        assertEquals(new RequestAttributes("n2", 1, 0, "container\nlink", "station-7/x", Api.NONE, true),
            grouped.attributes());
        assertFalse(grouped.idempotent());
    }

    @Test
    void configuredLinkPropertiesTakePrecedence() throws Exception {
        AttachMapper mapper =
            attachMapper(" key_property = \"k\"\n group_property = \"g\"\n deadline_property = \"d\"\n");
        AttachMapper.MappedRequest mapped = mapper.map(attachRequest("b/x", null,
            Map.of(Symbol.valueOf("k"), "key", Symbol.valueOf("g"), "group", Symbol.valueOf("d"), 700)),
            "n", false);
        assertEquals(new RequestAttributes("n", 1, 1, "key", "group", Api.NONE, false), mapped.attributes());
        assertEquals(Duration.ofMillis(700), mapped.clientTimeout());
        assertEquals("amqp:not-found",
            rejectionCondition(mapper, attachRequest("b", null, Map.of(Symbol.valueOf("d"), "soon"))));
        assertEquals(Duration.ofMillis(3_200),
            mapper.map(attachRequest("b", null, Map.of(Symbol.valueOf("d"), 99_999)), "n", false)
                .clientTimeout());
    }

    private static String rejectionCondition(AttachMapper mapper, AttachMapper.AttachRequest attachRequest) {
        return assertThrows(AttachMapper.AttachRejectedException.class,
                () -> mapper.map(attachRequest, "n", false))
            .condition().getCondition().toString();
    }

    @Test
    void invalidAddressOrUserIsRejected() throws Exception {
        assertEquals("amqp:not-found", rejectionCondition(attachMapper(""), attachRequest("c", null, null)));
        assertEquals("amqp:not-found",
            rejectionCondition(attachMapper(""), attachRequest("a", "three", null)));
        assertEquals("amqp:not-found", rejectionCondition(attachMapper(""), attachRequest("a/", null, null)));
        assertEquals("amqp:not-found",
            rejectionCondition(attachMapper(""), attachRequest("a/two words", null, null)));
        assertEquals("amqp:not-implemented",
            rejectionCondition(attachMapper(""), attachRequest(null, null, null)));
    }

    @Test
    void secretsMatchOnlyTheirUserAndBadFilesAreReportedByLine(@TempDir Path dir) throws Exception {
        Path file = dir.resolve("secrets");
        Files.writeString(file, "# users\n\none:with:colon\n");
        UserSecrets secrets = UserSecrets.read(file);
        assertTrue(secrets.matches("one", "with:colon".getBytes(StandardCharsets.UTF_8)));
        assertFalse(secrets.matches("one", "with".getBytes(StandardCharsets.UTF_8)));
        assertFalse(secrets.matches("two", "nobody has this one".getBytes(StandardCharsets.UTF_8)));
        for (String invalid : new String[] {"one:a\none:b\n", "x\n", "one:a\n:b\n", "one:a\nb:\n"}) {
            Files.writeString(file, invalid);
            String message =
                assertThrows(MalformedException.class, () -> UserSecrets.read(file)).getMessage();
            assertTrue(message.startsWith(file + ":"), message);
        }
        assertThrows(MalformedException.class, () -> UserSecrets.read(dir.resolve("missing")));
    }

    @Test
    void overloadIsDistinguishedFromOtherErrors() {
        assertEquals(Api.Outcome.FULL, BackendLink.outcomeOf(ErrorConditions.limitExceeded("x")));
        assertEquals(Api.Outcome.ERROR, BackendLink.outcomeOf(ErrorConditions.failed("x")));
        assertEquals(Api.Outcome.ERROR, BackendLink.outcomeOf(null));
    }
}

package saltstage.wire;

import static org.junit.Assert.assertArrayEquals;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertNull;
import static org.junit.Assert.assertThrows;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import org.junit.Test;

/** Checks that the parsers reject malformed input and that the line reader loses no bytes. */
public class ParserTest {
    private static final String OPEN = "OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=chat,t=acme,d=2000,x=1";

    private static String parseError(String line) {
        return assertThrows(MalformedException.class, () -> OpenRequest.parse(line)).getMessage();
    }

    @Test
    public void rewritesOnlyTheClientTimeout() throws MalformedException {
        assertEquals(OPEN.replace("2000", "350"),
            OpenRequest.parse(OPEN).withClientTimeout(Duration.ofMillis(350)));
    }

    @Test
    public void malformedOpenRequestsAreReported() {
        assertEquals("not an OPEN line", parseError("GET / HTTP/1.1"));
        assertEquals("OPEN takes an id, a key and a list of values", parseError("OPEN a b"));
        assertEquals("bad id or key", parseError("OPEN a\u0001 b c=chat"));
        assertEquals("bad field", parseError(OPEN + ","));
        assertEquals("field given twice", parseError(OPEN + ",d=3"));
        for (String invalid : new String[] {"soon", "-1", "", "NaN", "1e9", "0x1p3", "9f", "9".repeat(13)}) {
            assertEquals("field d is not a number, or out of range",
                parseError(OPEN.replace("2000", invalid)));
        }
        assertEquals("field d is missing", parseError(OPEN.replace("d=2000,", "")));
        assertEquals("field h is out of range", parseError(OPEN + ",h=9999999999"));
    }

    @Test
    public void jsonIsStrictAndBounded() throws MalformedException {
        assertEquals(List.of(1.5, "a\n\u00e9", true),
            Json.parseObject("{\"a\":[1.5,\"a\\n\\u00e9\",true]}").get("a"));
        String[] invalidTexts = {"", "{", "[]", "{\"a\":01}", "{\"a\":tru}", "{\"a\":1,}", "{\"a\":\"\\x\"}",
            "{} x", "{\"a\":" + "[".repeat(40) + "]".repeat(40) + "}"};
        for (String invalid : invalidTexts) {
            assertThrows(invalid, MalformedException.class, () -> Json.parseObject(invalid));
        }
    }

    @Test
    public void backendListRejectsInvalidAddressAndState() {
        for (String invalid : new String[] {"10.0.0.256:1", "example.org:80", "10.0.0.1", "10.0.0.1:70000"}) {
            assertThrows(invalid, MalformedException.class, () -> BackendList.parseAddress(invalid));
        }
        assertThrows(MalformedException.class, () -> BackendList.parse(Json.parseObject(
            "{\"rev\":1,\"all\":true,"
            + "\"targets\":[{\"uid\":\"a\",\"endpoint\":\"10.0.0.1:1\",\"state\":\"odd\"}]}")));
    }

    @Test
    public void readsWholeLinesAndBoundsOverlongOnes() throws Exception {
        try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                Socket client = new Socket(listener.getInetAddress(), listener.getLocalPort());
                Socket accepted = listener.accept()) {
            LineReader reader = new LineReader(accepted, new byte[0]);
            client.getOutputStream().write("one\r\ntwo\r\nth".getBytes(StandardCharsets.US_ASCII));
            assertEquals("one\r\n", text(reader.readLine()));
            assertEquals("two\r\n", text(reader.readLine()));
            assertThrows(SocketTimeoutException.class, () -> reader.readLine(Duration.ofMillis(30)));
            client.getOutputStream().write("ree\r\n".getBytes(StandardCharsets.US_ASCII));
            assertEquals("three\r\n", text(reader.readLine()));
            byte[] overlong = "x".repeat(5_000).getBytes(StandardCharsets.US_ASCII);
            client.getOutputStream().write(overlong);
            client.shutdownOutput();
            byte[] first = reader.readLine();
            assertEquals("length of a bounded piece", LineReader.MAX_LINE_BYTES + 2, first.length);
            assertArrayEquals(new byte[] {'x', 'x'}, new byte[] {first[0], first[4097]});
            assertEquals(5_000 - first.length, reader.readLine().length);
            assertNull(reader.readLine());
        }
    }

    private static String text(byte[] piece) {
        return new String(piece, StandardCharsets.US_ASCII);
    }
}

package saltstage.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * A discovery service that is slow must be heard in the end; one that tells nothing must be left in
 * time.
 */
@Timeout(60)
class DiscoveryClientTest {
    private static final Duration SILENCE = Duration.ofMillis(300);

    /** Far more than silence may take here, and far less than for ever. */
    private static final Duration SOON = Duration.ofSeconds(20);

    private static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final String EMPTY = "{\"rev\":7,\"all\":true,\"targets\":[]}";

    private ServerSocket listener;
    private DiscoveryClient client;
    private final List<HostList> heard = new ArrayList<>();

    /** What the service does with a call. */
    private interface Script {
        void play(Socket call) throws IOException, InterruptedException;
    }

    @BeforeEach
    void listen() throws IOException {
        listener = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
        client = new DiscoveryClient((InetSocketAddress) listener.getLocalSocketAddress(), SILENCE);
    }

    @AfterEach
    void close() throws IOException {
        listener.close();
    }

    private void serve(Script script) {
        Thread service =
                new Thread(
                        () -> {
                            while (!listener.isClosed()) {
                                try (Socket call = listener.accept()) {
                                    script.play(call);
                                } catch (IOException
                                        | InterruptedException hungUp) { // the next call comes
                                    continue;
                                }
                            }
                        });
        service.setDaemon(true);
        service.start();
    }

    private static void say(Socket call, String text) throws IOException {
        call.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private static void chunk(Socket call, String text) throws IOException {
        say(call, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
    }

    /** The watch ends by what it must, soon; returns how long that took. */
    private Duration ends(Class<? extends Exception> by) {
        long start = System.nanoTime();
        assertThrows(by, () -> client.watch(0, heard::add));
        Duration took = Duration.ofNanos(System.nanoTime() - start);
        assertTrue(took.compareTo(SOON) < 0, "took " + took);
        return took;
    }

    @Test
    void firstCallWaitsForAServiceThatAnswersLate() {
        serve(
                call -> {
                    Thread.sleep(2 * SILENCE.toMillis());
                    say(call, HEAD);
                    chunk(call, EMPTY + "\n");
                    Thread.sleep(2 * SILENCE.toMillis());
                });
        ends(SocketTimeoutException.class);
        assertEquals(7, heard.get(0).rev());
    }

    @Test
    void serviceThatNeverAnswersIsLeft() {
        serve(call -> call.getInputStream().transferTo(java.io.OutputStream.nullOutputStream()));
        assertTrue(ends(SocketTimeoutException.class).compareTo(SILENCE) > 0);
        assertTrue(heard.isEmpty());
    }

    @Test
    void watchThatTricklesBytesButTellsNothingIsLeft() {
        serve(
                call -> {
                    say(call, HEAD);
                    chunk(call, EMPTY + "\n");
                    for (int i = 0;
                            !call.isClosed();
                            i++) { // half an object, for ever; lines within it are no sign
                        chunk(call, i == 0 ? "{" : i % 3 == 0 ? "\n" : " ");
                        Thread.sleep(20);
                    }
                });
        ends(SocketTimeoutException.class);
        assertEquals(1, heard.size());
    }

    @Test
    void headThatTricklesIsLeft() {
        serve(
                call -> {
                    say(call, "HTTP/1.1 200 OK\r\n");
                    while (!call.isClosed()) {
                        say(call, "X: y\r\n");
                        Thread.sleep(40);
                    }
                });
        ends(SocketTimeoutException.class);
    }

    @Test
    void emptyLinesKeepAWatchThatHasNothingToTell() {
        serve(
                call -> {
                    say(call, HEAD);
                    for (int i = 0; i < 20; i++) {
                        chunk(call, "\n");
                        Thread.sleep(50);
                    }
                    chunk(call, EMPTY + "\n");
                    say(call, "0\r\n\r\n");
                    call.close();
                });
        assertTrue(ends(IOException.class).compareTo(SILENCE) > 0);
        assertEquals(1, heard.size(), "a second of empty lines is no silence");
    }

    @Test
    void indentedListsAndSeveralOnALineAreHeard() {
        serve(
                call -> {
                    say(call, HEAD);
                    chunk(
                            call,
                            "  {\n  \"rev\": 3,\r\n\t\"all\": true,\n  \"targets\": [\n  ]\n}\n\n");
                    chunk(call, "{\"rev\":4,\"all\":false,\"targets\":[]}" + EMPTY + "\n");
                    call.close();
                });
        ends(IOException.class);
        assertEquals(List.of(3L, 4L, 7L), heard.stream().map(HostList::rev).toList());
    }

    @Test
    void bracesAndQuotesInTextsDoNotEndAnObject() throws MalformedException {
        ObjectSplitter splitter = new ObjectSplitter(100);
        List<String> found = new ArrayList<>();
        String text = "{\"a}\":\"\\\"}{\\\\\",\"b\":{}}";
        for (char c : (text + " \n" + text).toCharArray()) {
            String object = splitter.take(c);
            if (object != null) {
                found.add(object);
            }
        }
        assertEquals(List.of(text, text), found);
        assertTrue(splitter.between());
        assertThrows(MalformedException.class, () -> splitter.take('x'));
        assertThrows(
                MalformedException.class,
                () -> {
                    for (int i = 0; i < 102; i++) {
                        splitter.take(i == 0 ? '{' : ' ');
                    }
                });
    }

    @Test
    void whatIsNoWatchEndsTheCallAtOnce() {
        for (String answer :
                new String[] {
                    "HTTP/1.1 503 Service Unavailable\r\n\r\n",
                    HEAD + "5\r\nnever",
                    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
                    "rubbish\r\n\r\n",
                    HEAD + "zz\r\n",
                    HEAD + "3\r\n{]}\r\n",
                    ""
                }) {
            serveOnce(answer);
            assertThrows(Exception.class, () -> client.watch(0, heard::add), answer);
        }
        assertTrue(heard.isEmpty());
    }

    private void serveOnce(String answer) {
        Thread service =
                new Thread(
                        () -> {
                            try (Socket call = listener.accept()) {
                                call.setSoLinger(true, 1);
                                say(call, answer);
                            } catch (IOException closed) {
                                return;
                            }
                        });
        service.setDaemon(true);
        service.start();
    }
}

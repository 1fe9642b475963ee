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
 * Guards against two faults of a watch: giving up a discovery service that only responds late, and
 * waiting without end for one that sends nothing useful.
 */
@Timeout(60)
class DiscoveryClientTest {
    private static final Duration SILENCE_TIMEOUT = Duration.ofMillis(300);

    /** Well above the silence timeout, so that only a watch that hangs exceeds it. */
    private static final Duration MAX_WATCH_DURATION = Duration.ofSeconds(20);

    private static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final String EMPTY_LIST = "{\"rev\":7,\"all\":true,\"targets\":[]}";

    private ServerSocket serverSocket;
    private DiscoveryClient client;
    private final List<BackendList> receivedLists = new ArrayList<>();

    /** The behavior of the discovery service on one connection. */
    private interface CallHandler {
        void handle(Socket socket) throws IOException, InterruptedException;
    }

    @BeforeEach
    void listen() throws IOException {
        serverSocket = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
        client =
                new DiscoveryClient(
                        (InetSocketAddress) serverSocket.getLocalSocketAddress(), SILENCE_TIMEOUT);
    }

    @AfterEach
    void close() throws IOException {
        serverSocket.close();
    }

    private void serve(CallHandler handler) {
        Thread service =
                new Thread(
                        () -> {
                            while (!serverSocket.isClosed()) {
                                try (Socket socket = serverSocket.accept()) {
                                    handler.handle(socket);
                                } catch (IOException | InterruptedException hungUp) {
                                    // The client closed the connection; accept the next one.
                                    continue;
                                }
                            }
                        });
        service.setDaemon(true);
        service.start();
    }

    private static void send(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private static void sendChunk(Socket socket, String text) throws IOException {
        send(socket, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
    }

    /** Asserts that the watch soon ends with this exception; returns how long it ran. */
    private Duration assertWatchEndsWith(Class<? extends Exception> exception) {
        long start = System.nanoTime();
        assertThrows(exception, () -> client.watch(0, receivedLists::add));
        Duration elapsed = Duration.ofNanos(System.nanoTime() - start);
        assertTrue(elapsed.compareTo(MAX_WATCH_DURATION) < 0, "took " + elapsed);
        return elapsed;
    }

    @Test
    void firstCallWaitsForAServiceThatAnswersLate() {
        serve(
                socket -> {
                    Thread.sleep(2 * SILENCE_TIMEOUT.toMillis());
                    send(socket, HEAD);
                    sendChunk(socket, EMPTY_LIST + "\n");
                    Thread.sleep(2 * SILENCE_TIMEOUT.toMillis());
                });
        assertWatchEndsWith(SocketTimeoutException.class);
        assertEquals(7, receivedLists.get(0).revision());
    }

    @Test
    void watchEndsWhenServiceNeverAnswers() {
        serve(
                socket ->
                        socket.getInputStream()
                                .transferTo(java.io.OutputStream.nullOutputStream()));
        assertTrue(
                assertWatchEndsWith(SocketTimeoutException.class).compareTo(SILENCE_TIMEOUT) > 0);
        assertTrue(receivedLists.isEmpty());
    }

    @Test
    void watchEndsWhenOnlyPartOfAnObjectTricklesIn() {
        serve(
                socket -> {
                    send(socket, HEAD);
                    sendChunk(socket, EMPTY_LIST + "\n");
                    for (int i = 0; !socket.isClosed(); i++) {
                        // Only spaces and line breaks within a partial object follow.
                        sendChunk(socket, i == 0 ? "{" : i % 3 == 0 ? "\n" : " ");
                        Thread.sleep(20);
                    }
                });
        assertWatchEndsWith(SocketTimeoutException.class);
        assertEquals(1, receivedLists.size());
    }

    @Test
    void watchEndsWhenResponseHeadTricklesIn() {
        serve(
                socket -> {
                    send(socket, "HTTP/1.1 200 OK\r\n");
                    while (!socket.isClosed()) {
                        send(socket, "X: y\r\n");
                        Thread.sleep(40);
                    }
                });
        assertWatchEndsWith(SocketTimeoutException.class);
    }

    @Test
    void emptyLinesKeepIdleWatchOpen() {
        serve(
                socket -> {
                    send(socket, HEAD);
                    for (int i = 0; i < 20; i++) {
                        sendChunk(socket, "\n");
                        Thread.sleep(50);
                    }
                    sendChunk(socket, EMPTY_LIST + "\n");
                    send(socket, "0\r\n\r\n");
                    socket.close();
                });
        assertTrue(assertWatchEndsWith(IOException.class).compareTo(SILENCE_TIMEOUT) > 0);
        assertEquals(1, receivedLists.size(), "empty lines must keep the watch open");
    }

    @Test
    void acceptsIndentedListsAndSeveralOnOneLine() {
        serve(
                socket -> {
                    send(socket, HEAD);
                    sendChunk(
                            socket,
                            "  {\n  \"rev\": 3,\r\n\t\"all\": true,\n  \"targets\": [\n  ]\n}\n\n");
                    sendChunk(
                            socket, "{\"rev\":4,\"all\":false,\"targets\":[]}" + EMPTY_LIST + "\n");
                    socket.close();
                });
        assertWatchEndsWith(IOException.class);
        assertEquals(
                List.of(3L, 4L, 7L), receivedLists.stream().map(BackendList::revision).toList());
    }

    @Test
    void bracesAndQuotesInTextsDoNotEndAnObject() throws MalformedException {
        JsonObjectSplitter splitter = new JsonObjectSplitter(100);
        List<String> found = new ArrayList<>();
        String text = "{\"a}\":\"\\\"}{\\\\\",\"b\":{}}";
        for (char c : (text + " \n" + text).toCharArray()) {
            String object = splitter.accept(c);
            if (object != null) {
                found.add(object);
            }
        }
        assertEquals(List.of(text, text), found);
        assertTrue(splitter.isBetweenObjects());
        assertThrows(MalformedException.class, () -> splitter.accept('x'));
        assertThrows(
                MalformedException.class,
                () -> {
                    for (int i = 0; i < 102; i++) {
                        splitter.accept(i == 0 ? '{' : ' ');
                    }
                });
    }

    @Test
    void invalidResponseEndsWatchAtOnce() {
        for (String response :
                new String[] {
                    "HTTP/1.1 503 Service Unavailable\r\n\r\n",
                    HEAD + "5\r\nnever",
                    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
                    "rubbish\r\n\r\n",
                    HEAD + "zz\r\n",
                    HEAD + "3\r\n{]}\r\n",
                    ""
                }) {
            serveOnce(response);
            assertThrows(Exception.class, () -> client.watch(0, receivedLists::add), response);
        }
        assertTrue(receivedLists.isEmpty());
    }

    private void serveOnce(String response) {
        Thread service =
                new Thread(
                        () -> {
                            try (Socket socket = serverSocket.accept()) {
                                socket.setSoLinger(true, 1);
                                send(socket, response);
                            } catch (IOException closed) {
                                return;
                            }
                        });
        service.setDaemon(true);
        service.start();
    }
}

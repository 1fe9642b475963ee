package saltstage.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * The transport against plain sockets: bounds, half-closes, resets and faults, on both kinds of
 * loops.
 */
class NettyTransportTest {
    private static final InetSocketAddress ANY =
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    private static final Connection.Bounds BOUNDS = new Connection.Bounds(16 << 10, 256 << 10);

    private final BlockingQueue<String> told = new LinkedBlockingQueue<>();
    private final BlockingQueue<Connection> connections = new LinkedBlockingQueue<>();
    private NettyTransport transport;

    private NettyTransport transport(boolean epoll) {
        transport =
                new NettyTransport(
                        1, epoll, (where, fault) -> told.add("fault " + fault.getMessage()));
        return transport;
    }

    @AfterEach
    void close() {
        transport.close();
    }

    private class Telling implements Handler {
        @Override
        public void received(Connection on, ByteBuffer bytes) {
            told.add("received " + StandardCharsets.US_ASCII.decode(bytes));
        }

        @Override
        public void inputEnded(Connection on) {
            told.add("inputEnded");
        }

        @Override
        public void writable(Connection on, boolean now) {
            told.add("writable " + now);
        }

        @Override
        public void closed(Connection on, Connection.Cause why) {
            told.add("closed " + why);
        }
    }

    private Socket client(Handler handler) throws Exception {
        Transport.Listener listener =
                transport.listen(
                        ANY,
                        16,
                        BOUNDS,
                        connection -> {
                            connections.add(connection);
                            return handler;
                        });
        Socket socket = new Socket();
        socket.setReceiveBufferSize(8 << 10);
        socket.connect(listener.address());
        socket.setSoTimeout(30_000);
        return socket;
    }

    private String next() throws InterruptedException {
        return told.poll(30, TimeUnit.SECONDS);
    }

    private Connection accepted() throws InterruptedException {
        return connections.poll(30, TimeUnit.SECONDS);
    }

    private static ByteBuffer text(String text) {
        return ByteBuffer.wrap(text.getBytes(StandardCharsets.US_ASCII));
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void carriesBytesAndHalfClosesBothWays(boolean epoll) throws Exception {
        transport(epoll);
        try (Socket socket = client(new Telling())) {
            Connection connection = accepted();
            socket.getOutputStream().write("ask".getBytes(StandardCharsets.US_ASCII));
            assertEquals("received ask", next());
            socket.shutdownOutput();
            assertEquals("inputEnded", next());
            connection
                    .loop()
                    .run(
                            () -> {
                                connection.write(text("answer after the end"));
                                connection.endOutput();
                                connection.write(text("never sent"));
                            });
            assertEquals(
                    "answer after the end",
                    new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII));
            assertEquals("closed ENDED", next());
        }
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aPeerThatTakesNothingIsToldAndBounded(boolean epoll) throws Exception {
        transport(epoll);
        try (Socket socket = client(new Telling())) {
            Connection connection = accepted();
            CompletableFuture<Long> most = new CompletableFuture<>();
            connection
                    .loop()
                    .run(
                            () -> {
                                long highest = 0;
                                for (int i = 0; i < 100_000; i++) {
                                    connection.write(ByteBuffer.allocate(1_024));
                                    highest = Math.max(highest, connection.unsent());
                                }
                                most.complete(highest);
                            });
            assertEquals("writable false", next());
            assertTrue(most.get(30, TimeUnit.SECONDS) <= BOUNDS.most(), "unsent " + most.get());
            assertEquals("closed OVERFLOW", next());
        }
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void itIsWritableAgainWhenThePeerHasTakenHalf(boolean epoll) throws Exception {
        transport(epoll);
        try (Socket socket = client(new Telling())) {
            Connection connection = accepted();
            CompletableFuture<Integer> written = new CompletableFuture<>();
            connection
                    .loop()
                    .run(
                            () -> {
                                int bytes = 0;
                                for (; connection.unsent() <= BOUNDS.soft(); bytes += 1_024) {
                                    connection.write(ByteBuffer.allocate(1_024));
                                }
                                written.complete(bytes);
                            });
            assertEquals("writable false", next());
            socket.getInputStream().readNBytes(written.get(30, TimeUnit.SECONDS));
            assertEquals("writable true", next());
        }
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void whatIsNotReadWaitsAtTheSender(boolean epoll) throws Exception {
        transport(epoll);
        try (Socket socket = client(new Telling())) {
            Connection connection = accepted();
            CompletableFuture<Void> paused = new CompletableFuture<>();
            connection
                    .loop()
                    .run(
                            () -> {
                                connection.reading(false);
                                paused.complete(null);
                            });
            paused.get(30, TimeUnit.SECONDS);
            socket.getOutputStream().write('x');
            assertEquals(null, told.poll(200, TimeUnit.MILLISECONDS));
            connection.loop().run(() -> connection.reading(true));
            assertEquals("received x", next());
        }
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aResetIsToldAsOneAndOnce(boolean epoll) throws Exception {
        transport(epoll);
        Socket socket = client(new Telling());
        assertNotNull(accepted());
        socket.setSoLinger(true, 0);
        socket.close();
        assertEquals("closed RESET", next());
        assertEquals(null, told.poll(100, TimeUnit.MILLISECONDS));
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aHandlerThatThrowsCostsItsConnectionAndNoOther(boolean epoll) throws Exception {
        transport(epoll);
        Socket bad =
                client(
                        new Telling() {
                            @Override
                            public void received(Connection on, ByteBuffer bytes) {
                                throw new IllegalStateException("broken handler");
                            }
                        });
        try (Socket good = client(new Telling())) {
            bad.getOutputStream().write('x');
            assertEquals("fault broken handler", next());
            assertEquals("closed FAULT", next());
            good.getOutputStream().write('y');
            assertEquals("received y", next());
        } finally {
            bad.close();
        }
    }

    private Transport.Connecting telling() {
        return new Transport.Connecting() {
            @Override
            public Handler connected(Connection connection) {
                told.add("connected");
                connection.write(text("hello"));
                return new Telling();
            }

            @Override
            public void failed(IOException why) {
                told.add("failed");
            }
        };
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void connectsOrSaysThatItCouldNot(boolean epoll) throws Exception {
        transport(epoll);
        Loop loop = transport.loops().get(0);
        InetSocketAddress address;
        try (ServerSocket server = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            address = (InetSocketAddress) server.getLocalSocketAddress();
            transport.connect(loop, address, Duration.ofSeconds(5), BOUNDS, telling());
            assertEquals("connected", next());
            try (Socket accepted = server.accept()) {
                assertEquals(
                        "hello",
                        new String(
                                accepted.getInputStream().readNBytes(5),
                                StandardCharsets.US_ASCII));
            }
            assertEquals("inputEnded", next());
        }
        transport.connect(loop, address, Duration.ofSeconds(5), BOUNDS, telling());
        assertEquals("failed", next());
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void timersComeInOrderOnTheLoopAndCanBeCancelled(boolean epoll) throws Exception {
        transport(epoll);
        Loop loop = transport.loops().get(0);
        List<Loop.Timer> timers = new ArrayList<>();
        loop.run(
                () -> {
                    loop.after(Duration.ofMillis(60), () -> told.add("late " + loop.isCurrent()));
                    loop.after(Duration.ofMillis(10), () -> told.add("soon " + loop.isCurrent()));
                    timers.add(loop.after(Duration.ofMillis(30), () -> told.add("never")));
                    assertTrue(timers.get(0).cancel());
                    assertFalse(timers.get(0).cancel());
                    told.add("now");
                });
        assertEquals("now", next());
        assertEquals("soon true", next());
        assertEquals("late true", next());
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void whoIsNotAcceptedIsReset(boolean epoll) throws Exception {
        transport(epoll);
        Transport.Listener listener = transport.listen(ANY, 16, BOUNDS, connection -> null);
        try (Socket socket = new Socket()) {
            socket.connect(listener.address());
            socket.setSoTimeout(30_000);
            int read = -1;
            try {
                read = socket.getInputStream().read();
            } catch (IOException reset) {
                told.add("reset");
            }
            assertEquals(-1, read);
            assertEquals("reset", next());
        }
    }
}

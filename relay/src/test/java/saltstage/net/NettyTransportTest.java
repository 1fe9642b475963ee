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
 * Tests the transport against plain sockets, with the selector and the epoll loops: write limits,
 * half-closes, resets and handler faults.
 */
class NettyTransportTest {
    private static final InetSocketAddress ANY_PORT =
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    private static final Connection.WriteLimits WRITE_LIMITS =
            new Connection.WriteLimits(16 << 10, 256 << 10);

    private final BlockingQueue<String> events = new LinkedBlockingQueue<>();
    private final BlockingQueue<Connection> connections = new LinkedBlockingQueue<>();
    private NettyTransport transport;

    private NettyTransport startTransport(boolean epoll) {
        transport =
                new NettyTransport(
                        1, epoll, (where, fault) -> events.add("fault " + fault.getMessage()));
        return transport;
    }

    @AfterEach
    void close() {
        transport.close();
    }

    private class RecordingHandler implements ConnectionHandler {
        @Override
        public void received(Connection connection, ByteBuffer bytes) {
            events.add("received " + StandardCharsets.US_ASCII.decode(bytes));
        }

        @Override
        public void inputEnded(Connection connection) {
            events.add("inputEnded");
        }

        @Override
        public void writabilityChanged(Connection connection, boolean writable) {
            events.add("writable " + writable);
        }

        @Override
        public void closed(Connection connection, Connection.Cause cause) {
            events.add("closed " + cause);
        }
    }

    private Socket connectClient(ConnectionHandler handler) throws Exception {
        Transport.Listener listener =
                transport.listen(
                        ANY_PORT,
                        16,
                        WRITE_LIMITS,
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

    private String nextEvent() throws InterruptedException {
        return events.poll(30, TimeUnit.SECONDS);
    }

    private Connection nextAccepted() throws InterruptedException {
        return connections.poll(30, TimeUnit.SECONDS);
    }

    private static ByteBuffer ascii(String text) {
        return ByteBuffer.wrap(text.getBytes(StandardCharsets.US_ASCII));
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void carriesBytesAndHalfClosesBothWays(boolean epoll) throws Exception {
        startTransport(epoll);
        try (Socket socket = connectClient(new RecordingHandler())) {
            Connection connection = nextAccepted();
            socket.getOutputStream().write("ask".getBytes(StandardCharsets.US_ASCII));
            assertEquals("received ask", nextEvent());
            socket.shutdownOutput();
            assertEquals("inputEnded", nextEvent());
            connection
                    .loop()
                    .execute(
                            () -> {
                                connection.write(ascii("answer after the end"));
                                connection.shutdownOutput();
                                connection.write(ascii("never sent"));
                            });
            assertEquals(
                    "answer after the end",
                    new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII));
            assertEquals("closed ENDED", nextEvent());
        }
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void unsentBytesAreBoundedWhenRemoteDoesNotRead(boolean epoll) throws Exception {
        startTransport(epoll);
        try (Socket socket = connectClient(new RecordingHandler())) {
            Connection connection = nextAccepted();
            CompletableFuture<Long> highestUnsent = new CompletableFuture<>();
            connection
                    .loop()
                    .execute(
                            () -> {
                                long highest = 0;
                                for (int i = 0; i < 100_000; i++) {
                                    connection.write(ByteBuffer.allocate(1_024));
                                    highest = Math.max(highest, connection.unsentBytes());
                                }
                                highestUnsent.complete(highest);
                            });
            assertEquals("writable false", nextEvent());
            assertTrue(
                    highestUnsent.get(30, TimeUnit.SECONDS) <= WRITE_LIMITS.maxBytes(),
                    "unsent " + highestUnsent.get());
            assertEquals("closed OVERFLOW", nextEvent());
        }
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void becomesWritableAgainAfterRemoteReadsHalf(boolean epoll) throws Exception {
        startTransport(epoll);
        try (Socket socket = connectClient(new RecordingHandler())) {
            Connection connection = nextAccepted();
            CompletableFuture<Integer> written = new CompletableFuture<>();
            connection
                    .loop()
                    .execute(
                            () -> {
                                int bytes = 0;
                                for (;
                                        connection.unsentBytes() <= WRITE_LIMITS.softBytes();
                                        bytes += 1_024) {
                                    connection.write(ByteBuffer.allocate(1_024));
                                }
                                written.complete(bytes);
                            });
            assertEquals("writable false", nextEvent());
            socket.getInputStream().readNBytes(written.get(30, TimeUnit.SECONDS));
            assertEquals("writable true", nextEvent());
        }
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void deliversNothingWhileReadingIsOff(boolean epoll) throws Exception {
        startTransport(epoll);
        try (Socket socket = connectClient(new RecordingHandler())) {
            Connection connection = nextAccepted();
            CompletableFuture<Void> paused = new CompletableFuture<>();
            connection
                    .loop()
                    .execute(
                            () -> {
                                connection.setReading(false);
                                paused.complete(null);
                            });
            paused.get(30, TimeUnit.SECONDS);
            socket.getOutputStream().write('x');
            assertEquals(null, events.poll(200, TimeUnit.MILLISECONDS));
            connection.loop().execute(() -> connection.setReading(true));
            assertEquals("received x", nextEvent());
        }
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void reportsResetExactlyOnce(boolean epoll) throws Exception {
        startTransport(epoll);
        Socket socket = connectClient(new RecordingHandler());
        assertNotNull(nextAccepted());
        socket.setSoLinger(true, 0);
        socket.close();
        assertEquals("closed RESET", nextEvent());
        assertEquals(null, events.poll(100, TimeUnit.MILLISECONDS));
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void throwingHandlerClosesOnlyItsOwnConnection(boolean epoll) throws Exception {
        startTransport(epoll);
        Socket faulty =
                connectClient(
                        new RecordingHandler() {
                            @Override
                            public void received(Connection connection, ByteBuffer bytes) {
                                throw new IllegalStateException("broken handler");
                            }
                        });
        try (Socket healthy = connectClient(new RecordingHandler())) {
            faulty.getOutputStream().write('x');
            assertEquals("fault broken handler", nextEvent());
            assertEquals("closed FAULT", nextEvent());
            healthy.getOutputStream().write('y');
            assertEquals("received y", nextEvent());
        } finally {
            faulty.close();
        }
    }

    private Transport.ConnectListener recordingConnectListener() {
        return new Transport.ConnectListener() {
            @Override
            public ConnectionHandler connected(Connection connection) {
                events.add("connected");
                connection.write(ascii("hello"));
                return new RecordingHandler();
            }

            @Override
            public void failed(IOException cause) {
                events.add("failed");
            }
        };
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void reportsConnectSuccessAndFailure(boolean epoll) throws Exception {
        startTransport(epoll);
        Loop loop = transport.loops().get(0);
        InetSocketAddress address;
        try (ServerSocket server = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            address = (InetSocketAddress) server.getLocalSocketAddress();
            transport.connect(
                    loop, address, Duration.ofSeconds(5), WRITE_LIMITS, recordingConnectListener());
            assertEquals("connected", nextEvent());
            try (Socket accepted = server.accept()) {
                assertEquals(
                        "hello",
                        new String(
                                accepted.getInputStream().readNBytes(5),
                                StandardCharsets.US_ASCII));
            }
            assertEquals("inputEnded", nextEvent());
        }
        transport.connect(
                loop, address, Duration.ofSeconds(5), WRITE_LIMITS, recordingConnectListener());
        assertEquals("failed", nextEvent());
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void timersFireInOrderOnTheLoopAndCanBeCancelled(boolean epoll) throws Exception {
        startTransport(epoll);
        Loop loop = transport.loops().get(0);
        List<Loop.Timer> timers = new ArrayList<>();
        loop.execute(
                () -> {
                    loop.schedule(
                            Duration.ofMillis(60),
                            () -> events.add("late " + loop.isCurrentThread()));
                    loop.schedule(
                            Duration.ofMillis(10),
                            () -> events.add("soon " + loop.isCurrentThread()));
                    timers.add(loop.schedule(Duration.ofMillis(30), () -> events.add("never")));
                    assertTrue(timers.get(0).cancel());
                    assertFalse(timers.get(0).cancel());
                    events.add("now");
                });
        assertEquals("now", nextEvent());
        assertEquals("soon true", nextEvent());
        assertEquals("late true", nextEvent());
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void unacceptedConnectionIsReset(boolean epoll) throws Exception {
        startTransport(epoll);
        Transport.Listener listener =
                transport.listen(ANY_PORT, 16, WRITE_LIMITS, connection -> null);
        try (Socket socket = new Socket()) {
            socket.connect(listener.address());
            socket.setSoTimeout(30_000);
            int read = -1;
            try {
                read = socket.getInputStream().read();
            } catch (IOException reset) {
                events.add("reset");
            }
            assertEquals(-1, read);
            assertEquals("reset", nextEvent());
        }
    }
}

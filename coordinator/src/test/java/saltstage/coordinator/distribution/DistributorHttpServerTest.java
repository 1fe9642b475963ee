package saltstage.coordinator.distribution;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import saltstage.configuration.ConfigurationJson;
import saltstage.configuration.ConfigurationView;
import saltstage.configuration.EntryKey;
import saltstage.configuration.EntryValue;
import saltstage.configuration.Mutation;
import saltstage.coordinator.group.GroupCodec;

/**
 * Tests the HTTP server with many followers on real sockets: a reader that stalls must not delay
 * the others, and a closed connection must not leave its request waiting.
 */
@Timeout(value = 1, unit = TimeUnit.MINUTES)
class DistributorHttpServerTest {
    private static final int FOLLOWERS = 800;
    private static final int READ_TIMEOUT_MS = 20_000;

    private final ConfigurationView writer = new ConfigurationView();
    private final DistributorHandler handler =
            new DistributorHandler("d-a1", "a1", writer, () -> System.nanoTime() / 1_000_000);
    private final List<Socket> sockets = new ArrayList<>();
    private DistributorHttpServer server;

    @BeforeEach
    void startServer() throws IOException {
        InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        server = new DistributorHttpServer(any, handler);
    }

    @AfterEach
    void close() throws IOException {
        for (Socket socket : sockets) {
            socket.close();
        }
        server.close();
    }

    private Socket connect() throws IOException {
        return connect(new Socket());
    }

    private Socket connect(Socket socket) throws IOException {
        socket.connect(server.address());
        socket.setSoTimeout(READ_TIMEOUT_MS);
        sockets.add(socket);
        return socket;
    }

    private static void sendGet(Socket socket, String path) throws IOException {
        String request = "GET /v1/configuration/" + path + " HTTP/1.1\r\nHost: d\r\n\r\n";
        socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
    }

    private void pollChanges(Socket socket, String follower) throws IOException {
        String digest = ConfigurationJson.formatDigest(writer.digest());
        sendGet(
                socket,
                "changes?after="
                        + writer.revision()
                        + "&digest="
                        + digest
                        + "&follower="
                        + follower
                        + "&zone=a1&waitMs=20000");
    }

    private static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                throw new IOException("closed after '" + line + "'");
            }
            line.append((char) next);
        }
        return line.toString().trim();
    }

    private static String readBody(Socket socket) throws IOException {
        InputStream in = socket.getInputStream();
        assertEquals("HTTP/1.1 200 OK", readLine(in));
        int length = 0;
        for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
            if (line.startsWith("content-length: ")) {
                length = Integer.parseInt(line.substring("content-length: ".length()));
            }
        }
        return new String(in.readNBytes(length), StandardCharsets.UTF_8);
    }

    private void applyChange(int mutations, int length) {
        List<Mutation> settings = new ArrayList<>();
        for (int i = 0; i < mutations; i++) {
            EntryKey key = EntryKey.parse("setting/name-" + i);
            settings.add(new Mutation(key, new EntryValue.Setting("x".repeat(length))));
        }
        handler.applyChanges(List.of(writer.accept(settings)));
    }

    private int waitingRequests() throws IOException {
        byte[] status = handler.handle("/v1/configuration/status", "test").join().body();
        return GroupCodec.jsonMapper().readTree(status).path("waiting").asInt();
    }

    private void awaitWaiting(int expected) throws IOException, InterruptedException {
        while (waitingRequests() != expected) {
            Thread.sleep(5);
        }
    }

    @Test
    void changeReachesHundredsOfWaitingFollowersOnOneThread() throws Exception {
        for (int i = 0; i < FOLLOWERS; i++) {
            pollChanges(connect(), "relay-" + i);
        }
        awaitWaiting(FOLLOWERS);
        applyChange(1, 10);
        for (Socket socket : sockets) {
            assertEquals(1, ConfigurationJson.parseChanges(readBody(socket)).revision());
        }
        assertEquals(0, waitingRequests());
    }

    @Test
    void stalledReaderIsDisconnectedWithoutDelayingOthers() throws Exception {
        Socket stalled = new Socket();
        stalled.setReceiveBufferSize(4 << 10);
        connect(stalled);
        Socket reader = connect();
        pollChanges(stalled, "stuck");
        pollChanges(reader, "reader");
        awaitWaiting(2);
        applyChange(500, 2_000); // 1 MB: far more than the socket buffers hold
        assertEquals(
                500,
                ConfigurationJson.parseChanges(readBody(reader))
                        .changes()
                        .get(0)
                        .mutations()
                        .size());
        Thread.sleep(FollowerConnection.WRITE_TIMEOUT.plusSeconds(1).toMillis());
        // Only the bytes in the socket buffers are left to read.
        int receivedBytes = stalled.getInputStream().readAllBytes().length;
        assertTrue(receivedBytes < 900_000, receivedBytes + " bytes");
    }

    @Test
    void disconnectedFollowerIsNoLongerWaiting() throws Exception {
        Socket socket = connect();
        pollChanges(socket, "relay-1");
        awaitWaiting(1);
        socket.close();
        awaitWaiting(0);
    }
}

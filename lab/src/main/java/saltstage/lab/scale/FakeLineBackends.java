package saltstage.lab.scale;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;
import saltstage.net.Connection;
import saltstage.net.ConnectionHandler;
import saltstage.net.Transport;

/**
 * Fake backends without a limit on clients, listening on one port of every loopback address. They
 * accept OPEN, answer probes, echo other lines, and deliver lines that contain the time of sending
 * to their clients.
 */
final class FakeLineBackends implements AutoCloseable {
    private static final int BACKLOG = 4_096;
    private static final Connection.WriteLimits WRITE_LIMITS =
            new Connection.WriteLimits(1 << 18, 4 << 20);

    private final Transport.Listener listener;
    private final List<Connection> established = new CopyOnWriteArrayList<>();
    private final AtomicLong lastSessionNumber = new AtomicLong();
    private final AtomicLong acceptedCount = new AtomicLong();

    FakeLineBackends(Transport transport) throws IOException {
        listener =
                transport.listen(
                        new InetSocketAddress("0.0.0.0", 0),
                        BACKLOG,
                        WRITE_LIMITS,
                        LineConnectionHandler::new);
    }

    int port() {
        return listener.address().getPort();
    }

    /** The number of accepted connections, for requests and for probes. */
    long acceptedCount() {
        return acceptedCount.get();
    }

    /** The number of connections that have sent OPEN and are still open. */
    int establishedCount() {
        return established.size();
    }

    /** Sends one line to the client at this index modulo the number of clients. */
    void deliver(long index) {
        int clientCount = established.size();
        if (clientCount == 0) {
            return;
        }
        Connection client = established.get((int) (index % clientCount));
        client.loop()
                .execute(() -> sendLine(client, LineClients.DELIVERY_PREFIX + System.nanoTime()));
    }

    private static void sendLine(Connection client, String line) {
        client.write(ByteBuffer.wrap((line + "\r\n").getBytes(StandardCharsets.US_ASCII)));
    }

    @Override
    public void close() {
        listener.close();
    }

    private final class LineConnectionHandler implements ConnectionHandler {
        private final Connection connection;
        private final StringBuilder partialLine = new StringBuilder();

        LineConnectionHandler(Connection connection) {
            this.connection = connection;
            acceptedCount.incrementAndGet();
        }

        @Override
        public void received(Connection source, ByteBuffer bytes) {
            while (bytes.hasRemaining()) {
                char c = (char) bytes.get();
                if (c == '\n') {
                    lineReceived(partialLine.toString().trim());
                    partialLine.setLength(0);
                } else {
                    partialLine.append(c);
                }
            }
        }

        private void lineReceived(String text) {
            if (text.startsWith("OPEN ")) {
                established.add(connection);
                sendLine(connection, "UP s-" + lastSessionNumber.incrementAndGet());
            } else if (text.equals("STATS")) {
                sendLine(connection, "PONG x0=0.10,queue=0");
            } else {
                sendLine(connection, text.equals("PING") ? "PONG" : text);
            }
        }

        @Override
        public void inputEnded(Connection source) {
            source.close();
        }

        @Override
        public void closed(Connection source, Connection.Cause cause) {
            established.remove(connection);
        }
    }
}

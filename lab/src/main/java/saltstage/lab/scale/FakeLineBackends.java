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

    int establishedCount() {
        return established.size();
    }

    /** Sends one line to the client at this index modulo the number of clients. */
    void deliver(long place) {
        int size = established.size();
        if (size == 0) {
            return;
        }
        Connection to = established.get((int) (place % size));
        to.loop().execute(() -> sendLine(to, LineClients.DELIVERY_PREFIX + System.nanoTime()));
    }

    private static void sendLine(Connection to, String line) {
        to.write(ByteBuffer.wrap((line + "\r\n").getBytes(StandardCharsets.US_ASCII)));
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
        public void received(Connection on, ByteBuffer bytes) {
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
        public void inputEnded(Connection on) {
            on.close();
        }

        @Override
        public void closed(Connection on, Connection.Cause why) {
            established.remove(connection);
        }
    }
}

package saltstage.lab.scale;

import saltstage.net.Connection;
import saltstage.net.ConnectionHandler;
import saltstage.net.Transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Stand-in gateways with room for all who come, at every address of loopback and one port. They
 * take OPEN, answer probes, echo other lines, and deliver lines to their clients that hold the time
 * of sending.
 */
final class LineBackends implements AutoCloseable {
    private static final int BACKLOG = 4_096;
    private static final Connection.WriteLimits BOUNDS = new Connection.WriteLimits(1 << 18, 4 << 20);

    private final Transport.Listener listener;
    private final List<Connection> standing = new CopyOnWriteArrayList<>();
    private final AtomicLong names = new AtomicLong();
    private final AtomicLong accepted = new AtomicLong();

    LineBackends(Transport transport) throws IOException {
        listener =
                transport.listen(new InetSocketAddress("0.0.0.0", 0), BACKLOG, BOUNDS, Side::new);
    }

    int port() {
        return listener.address().getPort();
    }

    /** How many connections were made, for requests and for probes. */
    long accepted() {
        return accepted.get();
    }

    int standing() {
        return standing.size();
    }

    /** Sends one line to a client, picked by its place modulo how many there are. */
    void deliver(long place) {
        int size = standing.size();
        if (size == 0) {
            return;
        }
        Connection to = standing.get((int) (place % size));
        to.loop().execute(() -> say(to, LineClients.DELIVERY + System.nanoTime()));
    }

    private static void say(Connection to, String line) {
        to.write(ByteBuffer.wrap((line + "\r\n").getBytes(StandardCharsets.US_ASCII)));
    }

    @Override
    public void close() {
        listener.close();
    }

    private final class Side implements ConnectionHandler {
        private final Connection connection;
        private final StringBuilder line = new StringBuilder();

        Side(Connection connection) {
            this.connection = connection;
            accepted.incrementAndGet();
        }

        @Override
        public void received(Connection on, ByteBuffer bytes) {
            while (bytes.hasRemaining()) {
                char c = (char) bytes.get();
                if (c == '\n') {
                    heard(line.toString().trim());
                    line.setLength(0);
                } else {
                    line.append(c);
                }
            }
        }

        private void heard(String text) {
            if (text.startsWith("OPEN ")) {
                standing.add(connection);
                say(connection, "UP s-" + names.incrementAndGet());
            } else if (text.equals("STATS")) {
                say(connection, "PONG x0=0.10,queue=0");
            } else {
                say(connection, text.equals("PING") ? "PONG" : text);
            }
        }

        @Override
        public void inputEnded(Connection on) {
            on.close();
        }

        @Override
        public void closed(Connection on, Connection.Cause why) {
            standing.remove(connection);
        }
    }
}

package saltstage.process;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;

/**
 * Simulates any number of backends in one thread. The backend list gives each its own uid, and all
 * share one address. Every request is established at once, probes report a light load, and lines
 * are echoed.
 */
final class FakeBackendFleet implements AutoCloseable {
    final AtomicInteger probeCount = new AtomicInteger();
    final AtomicInteger probeConnectionCount = new AtomicInteger();
    final AtomicInteger requestCount = new AtomicInteger();
    private final int size;
    private final ServerSocketChannel listener = ServerSocketChannel.open();
    private final Selector selector = Selector.open();

    /** The backend side of a connection. */
    private static final class Connection {
        private final StringBuilder unread = new StringBuilder();
        private boolean probed;
    }

    FakeBackendFleet(int size) throws IOException {
        this.size = size;
        listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 4096);
        listener.configureBlocking(false);
        listener.register(selector, SelectionKey.OP_ACCEPT);
        Thread loop = new Thread(this::serve, "fake backend fleet");
        loop.setDaemon(true);
        loop.start();
    }

    static String uid(int index) {
        return "s-" + index;
    }

    /** Returns the full backend list as JSON. */
    String list(int rev) throws IOException {
        String endpoint = "127.0.0.1:" + ((InetSocketAddress) listener.getLocalAddress()).getPort();
        return RelayTestEnvironment.backendList(
                rev,
                true,
                IntStream.range(0, size)
                        .mapToObj(i -> RelayTestEnvironment.backendEntry(uid(i), endpoint, "ready"))
                        .toArray(String[]::new));
    }

    private void serve() {
        try {
            while (selector.isOpen()) {
                selector.select(this::serve);
            }
        } catch (IOException | java.nio.channels.ClosedSelectorException closed) {
            return;
        }
    }

    private void serve(SelectionKey key) {
        try {
            if (key.isAcceptable()) {
                SocketChannel accepted = listener.accept();
                if (accepted != null) {
                    accepted.configureBlocking(false);
                    accepted.register(selector, SelectionKey.OP_READ, new Connection());
                }
            } else {
                read((SocketChannel) key.channel(), (Connection) key.attachment());
            }
        } catch (IOException ended) {
            key.cancel();
        }
    }

    private void read(SocketChannel channel, Connection connection) throws IOException {
        ByteBuffer bytes = ByteBuffer.allocate(4096);
        if (channel.read(bytes) < 0) {
            channel.close();
            return;
        }
        connection.unread.append(
                new String(bytes.array(), 0, bytes.position(), StandardCharsets.ISO_8859_1));
        for (int end = connection.unread.indexOf("\n");
                end >= 0;
                end = connection.unread.indexOf("\n")) {
            String line = connection.unread.substring(0, end).trim();
            connection.unread.delete(0, end + 1);
            channel.write(
                    ByteBuffer.wrap(
                            (answer(connection, line) + "\r\n")
                                    .getBytes(StandardCharsets.ISO_8859_1)));
        }
    }

    private String answer(Connection connection, String line) {
        if (line.equals("STATS")) {
            probeCount.incrementAndGet();
            if (!connection.probed) {
                connection.probed = true;
                probeConnectionCount.incrementAndGet();
            }
            return "PONG x0=0.3,queue=0";
        }
        if (line.startsWith("OPEN ")) {
            requestCount.incrementAndGet();
            return "UP r1";
        }
        return line;
    }

    @Override
    public void close() throws IOException {
        for (SelectionKey key : selector.keys()) {
            key.channel().close();
        }
        selector.close();
    }
}

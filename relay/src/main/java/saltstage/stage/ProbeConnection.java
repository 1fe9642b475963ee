package saltstage.stage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Arrays;
import saltstage.memory.Peer;
import saltstage.wire.LineReader;

/**
 * A connection over which one backend is asked for its load, again and again; none of its calls
 * blocks.
 */
final class ProbeConnection {
    private static final byte[] QUESTION = "STATS\r\n".getBytes(StandardCharsets.US_ASCII);
    private static final int FIRST_SIZE = 128;

    private final Peer peer;
    private final SocketChannel channel;
    private final SelectionKey key;
    private ByteBuffer received = ByteBuffer.allocate(FIRST_SIZE);
    private boolean connected;
    private boolean asked;
    private boolean answeredBefore;
    private long deadline;

    /** Begins to connect; the question is sent as soon as the connection is up. */
    ProbeConnection(Peer peer, Selector selector, Duration limit) throws IOException {
        this.peer = peer;
        channel = SocketChannel.open();
        try {
            channel.configureBlocking(false);
            channel.socket().setTcpNoDelay(true);
            key = channel.register(selector, SelectionKey.OP_CONNECT, this);
            deadline = System.nanoTime() + limit.toNanos();
            asked = true;
            if (channel.connect(peer.entry().endpoint())) {
                connected(limit);
            }
        } catch (IOException | RuntimeException refused) {
            channel.close();
            throw refused;
        }
    }

    Peer peer() {
        return peer;
    }

    /** Whether an answer is awaited. */
    boolean isAsked() {
        return asked;
    }

    /**
     * Whether it has brought an answer before: its end then may only mean that it was idle for too
     * long.
     */
    boolean hasAnsweredBefore() {
        return answeredBefore;
    }

    /** Nanoseconds until the answer that is awaited is overdue. */
    long nanosLeft() {
        return deadline - System.nanoTime();
    }

    /** Asks on a connection that is up and awaits nothing. */
    void ask(Duration limit) throws IOException {
        asked = true;
        deadline = System.nanoTime() + limit.toNanos();
        NonBlocking.writeWhole(channel, QUESTION);
    }

    private void connected(Duration limit) throws IOException {
        connected = true;
        key.interestOps(SelectionKey.OP_READ);
        ask(limit);
    }

    /**
     * Goes on with what has come about; returns the line that answers, or null where it is still
     * awaited.
     *
     * @throws EndedException where the backend has ended the connection without an answer
     */
    byte[] advance(Duration limit) throws IOException {
        if (!connected) {
            if (channel.finishConnect()) {
                connected(limit);
            }
            return null;
        }
        int read = channel.read(received);
        if (read < 0 && received.position() == 0) {
            throw new EndedException();
        }
        boolean whole = read > 0 && received.get(received.position() - 1) == '\n';
        if (read < 0 || whole || received.position() > LineReader.MOST) {
            byte[] line = Arrays.copyOf(received.array(), received.position());
            received.clear();
            asked = false;
            answeredBefore = true;
            return line;
        }
        if (!received.hasRemaining()) {
            received = ByteBuffer.allocate(2 * received.capacity()).put(received.flip());
        }
        return null;
    }

    void close() {
        try {
            channel.close();
        } catch (IOException ended) { // the backend was first
            return;
        }
    }

    /** The backend has ended the connection. */
    static final class EndedException extends IOException {
        private static final long serialVersionUID = 1;
    }
}

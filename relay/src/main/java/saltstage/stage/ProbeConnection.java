package saltstage.stage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Arrays;
import saltstage.session.Backend;
import saltstage.wire.LineReader;

/**
 * A connection over which one backend is probed for its load repeatedly; none of its methods
 * blocks.
 */
final class ProbeConnection {
    private static final byte[] STATS_LINE = "STATS\r\n".getBytes(StandardCharsets.US_ASCII);
    private static final int INITIAL_BUFFER_BYTES = 128;

    private final Backend backend;
    private final SocketChannel channel;
    private final SelectionKey key;
    private ByteBuffer received = ByteBuffer.allocate(INITIAL_BUFFER_BYTES);
    private boolean connected;
    private boolean awaitingAnswer;
    private boolean answeredBefore;
    private long deadlineNanos;

    /** Starts connecting; the probe is sent as soon as the connection is up. */
    ProbeConnection(Backend backend, Selector selector, Duration timeout) throws IOException {
        this.backend = backend;
        channel = SocketChannel.open();
        try {
            channel.configureBlocking(false);
            channel.socket().setTcpNoDelay(true);
            key = channel.register(selector, SelectionKey.OP_CONNECT, this);
            deadlineNanos = System.nanoTime() + timeout.toNanos();
            awaitingAnswer = true;
            if (channel.connect(backend.entry().endpoint())) {
                handleConnected(timeout);
            }
        } catch (IOException | RuntimeException e) {
            channel.close();
            throw e;
        }
    }

    Backend backend() {
        return backend;
    }

    /** Returns whether an answer is awaited. */
    boolean isAwaitingAnswer() {
        return awaitingAnswer;
    }

    /**
     * Returns whether this connection has carried an answer before. If so, the backend may have
     * closed it only because it was idle for too long.
     */
    boolean hasAnsweredBefore() {
        return answeredBefore;
    }

    /** Returns the nanoseconds until the awaited answer is overdue. */
    long remainingNanos() {
        return deadlineNanos - System.nanoTime();
    }

    /** Sends a probe on a connection that is up and awaits no answer. */
    void sendProbe(Duration timeout) throws IOException {
        awaitingAnswer = true;
        deadlineNanos = System.nanoTime() + timeout.toNanos();
        NonBlockingWrites.writeFully(channel, STATS_LINE);
    }

    private void handleConnected(Duration timeout) throws IOException {
        connected = true;
        key.interestOps(SelectionKey.OP_READ);
        sendProbe(timeout);
    }

    /**
     * Handles a readiness event of the channel; returns the answer line, or null if it is still
     * awaited.
     *
     * @throws ConnectionClosedException if the backend has closed the connection without an answer
     */
    byte[] handleReady(Duration timeout) throws IOException {
        if (!connected) {
            if (channel.finishConnect()) {
                handleConnected(timeout);
            }
            return null;
        }
        int bytesRead = channel.read(received);
        if (bytesRead < 0 && received.position() == 0) {
            throw new ConnectionClosedException();
        }
        boolean completeLine = bytesRead > 0 && received.get(received.position() - 1) == '\n';
        if (bytesRead < 0 || completeLine || received.position() > LineReader.MAX_LINE_BYTES) {
            byte[] line = Arrays.copyOf(received.array(), received.position());
            received.clear();
            awaitingAnswer = false;
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
        } catch (IOException e) { // the backend closed it first
            return;
        }
    }

    /** Thrown when the backend has closed the connection without an answer. */
    static final class ConnectionClosedException extends IOException {
        private static final long serialVersionUID = 1;
    }
}

package saltstage.stage;

import java.io.IOException;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import saltstage.wire.LineReader;

/**
 * A connection that has no request: one that has not asked yet, or one that was answered and may
 * hang up.
 */
final class PendingClient {
    private static final int INITIAL_BUFFER_BYTES = 256;
    private static final int MAX_TERMINATED_LINE_BYTES = LineReader.MAX_LINE_BYTES + 2;

    private final SocketChannel channel;
    private final SocketAddress remote;
    private byte[] received = new byte[INITIAL_BUFFER_BYTES];
    private int length;
    private boolean inputEnded;
    private boolean answered;
    private int ignoredBytes;
    private long deadlineNanos;

    PendingClient(SocketChannel channel) throws IOException {
        this.channel = channel;
        remote = channel.getRemoteAddress();
    }

    SocketChannel channel() {
        return channel;
    }

    /** Who it is, for the log. */
    String remote() {
        return String.valueOf(remote);
    }

    /** When it has waited, or lingered, long enough; by {@link System#nanoTime}. */
    long deadlineNanos() {
        return deadlineNanos;
    }

    void setDeadlineNanos(long at) {
        deadlineNanos = at;
    }

    /** Whether it has its answer: what it sends from then on is ignored. */
    boolean isAnswered() {
        return answered;
    }

    void markAnswered() {
        answered = true;
    }

    /** Reads what has come; false where nothing more will. */
    boolean read(ByteBuffer scratch) throws IOException {
        scratch.clear();
        int read = channel.read(scratch);
        inputEnded |= read < 0;
        if (answered) {
            ignoredBytes += Math.max(0, read);
        } else if (read > 0) {
            if (length + read > received.length) {
                received = Arrays.copyOf(received, Math.max(2 * received.length, length + read));
            }
            System.arraycopy(scratch.array(), 0, received, length, read);
            length += read;
        }
        return !inputEnded;
    }

    /** How many bytes have come since it was answered. */
    int ignoredBytes() {
        return ignoredBytes;
    }

    /**
     * Takes its first line with its end, or null where that has not come. A piece without an end is
     * a part of an overlong line, or what came before the end of input.
     */
    byte[] takeLine() {
        for (int i = 0; i < length; i++) {
            if (received[i] == '\n') {
                return takeBytes(i + 1);
            }
        }
        if (length >= MAX_TERMINATED_LINE_BYTES) {
            return takeBytes(MAX_TERMINATED_LINE_BYTES);
        }
        return inputEnded && length > 0 ? takeBytes(length) : null;
    }

    /** Takes what came behind the line. */
    byte[] takeRemaining() {
        return takeBytes(length);
    }

    /** Whether it has begun a line, or says more than one. */
    boolean hasBufferedInput() {
        return length > 0;
    }

    private byte[] takeBytes(int to) {
        byte[] piece = Arrays.copyOf(received, to);
        System.arraycopy(received, to, received, 0, length - to);
        length -= to;
        return piece;
    }

    /**
     * Writes a line whole; there is room for it on a connection that carried next to none before.
     */
    void send(String line) throws IOException {
        NonBlockingWrites.writeFully(
                channel, (line + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
    }

    /**
     * Half-close: a close over unread bytes would reset the connection and take the answer with it.
     */
    void endSending() throws IOException {
        channel.shutdownOutput();
    }

    void close() {
        try {
            channel.close();
        } catch (IOException ended) { // the other side was first
            return;
        }
    }
}

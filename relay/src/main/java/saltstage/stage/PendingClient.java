package saltstage.stage;

import java.io.IOException;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import saltstage.wire.LineReader;

/**
 * A connection without a request: either its request has not arrived yet, or it was answered and
 * the client may close it.
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

    /** Returns the client's address, for the log. */
    String remote() {
        return String.valueOf(remote);
    }

    /**
     * Returns when the wait for the first line or the linger time ends, on the clock of {@link
     * System#nanoTime}.
     */
    long deadlineNanos() {
        return deadlineNanos;
    }

    void setDeadlineNanos(long newDeadlineNanos) {
        deadlineNanos = newDeadlineNanos;
    }

    /** Returns whether the client has been answered; its input is ignored from then on. */
    boolean isAnswered() {
        return answered;
    }

    void markAnswered() {
        answered = true;
    }

    /** Reads the available input; returns false at the end of input. */
    boolean read(ByteBuffer buffer) throws IOException {
        buffer.clear();
        int bytesRead = channel.read(buffer);
        inputEnded |= bytesRead < 0;
        if (answered) {
            ignoredBytes += Math.max(0, bytesRead);
        } else if (bytesRead > 0) {
            if (length + bytesRead > received.length) {
                received =
                        Arrays.copyOf(received, Math.max(2 * received.length, length + bytesRead));
            }
            System.arraycopy(buffer.array(), 0, received, length, bytesRead);
            length += bytesRead;
        }
        return !inputEnded;
    }

    /** Returns the number of bytes received since the answer. */
    int ignoredBytes() {
        return ignoredBytes;
    }

    /**
     * Takes the first line with its terminator, or returns null if it is not complete. A piece
     * without a terminator is a part of an overlong line, or the input before the end of the
     * stream.
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

    /** Takes the input that followed the line. */
    byte[] takeRemaining() {
        return takeBytes(length);
    }

    /** Returns whether there is buffered input: a partial line, or input beyond the first line. */
    boolean hasBufferedInput() {
        return length > 0;
    }

    private byte[] takeBytes(int count) {
        byte[] piece = Arrays.copyOf(received, count);
        System.arraycopy(received, count, received, 0, length - count);
        length -= count;
        return piece;
    }

    /**
     * Writes a complete line. The socket buffer has room for it, as the connection has carried next
     * to nothing before.
     */
    void send(String line) throws IOException {
        NonBlockingWrites.writeFully(
                channel, (line + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
    }

    /**
     * Shuts down the output only. Closing the connection with unread input would reset it, and the
     * answer could be lost.
     */
    void endSending() throws IOException {
        channel.shutdownOutput();
    }

    void close() {
        try {
            channel.close();
        } catch (IOException e) { // the client closed it first
            return;
        }
    }
}

package saltstage.wire;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.time.Duration;
import java.util.Arrays;

/**
 * Reads lines of bounded length from a socket. Bytes received after a line stay buffered for the
 * next call.
 */
public final class LineReader {
    /** The longest line, without its CRLF. */
    public static final int MAX_LINE_BYTES = 4096;

    private static final int MAX_LINE_BYTES_WITH_END = MAX_LINE_BYTES + 2;

    /** Small, because most lines are short and a relay holds many readers. */
    private static final int INITIAL_BUFFER_BYTES = 512;

    private final Socket socket;
    private final InputStream in;
    private byte[] buffer;
    private int start;
    private volatile int end;
    private boolean endOfInput;

    /**
     * Creates a reader of the socket's input that begins with these bytes, which were read before.
     */
    public LineReader(Socket socket, byte[] alreadyRead) throws IOException {
        this.socket = socket;
        in = socket.getInputStream();
        buffer = Arrays.copyOf(alreadyRead, Math.max(INITIAL_BUFFER_BYTES, alreadyRead.length));
        end = alreadyRead.length;
    }

    /** Reads the next piece without a timeout; see {@link #readLine(Duration)}. */
    public byte[] readLine() throws IOException {
        return readLine(null);
    }

    /**
     * Reads the next line with its line end. A piece without a line end is a part of an overlong
     * line, or the rest before the end of input. Returns null at the end of input. The timeout
     * applies to the whole line, so single bytes do not extend it.
     */
    public byte[] readLine(Duration timeout) throws IOException {
        long deadlineNs = timeout == null ? 0 : System.nanoTime() + timeout.toNanos();
        int scanned = start;
        while (true) {
            for (; scanned < end; scanned++) {
                if (buffer[scanned] == '\n') {
                    return consume(scanned + 1);
                }
            }
            if (end - start >= MAX_LINE_BYTES_WITH_END) {
                return consume(start + MAX_LINE_BYTES_WITH_END);
            }
            if (endOfInput) {
                return end > start ? consume(end) : null;
            }
            scanned -= start;
            makeRoom();
            socket.setSoTimeout(timeout == null ? 0 : millisUntil(deadlineNs));
            int read = in.read(buffer, end, buffer.length - end);
            endOfInput = read < 0;
            end += Math.max(0, read);
        }
    }

    /** Whether bytes are buffered that no call has returned yet. */
    public boolean hasPartialLine() {
        return end > 0;
    }

    /**
     * Whether more input has arrived; the bytes stay buffered for the next read. Waits for up to
     * one millisecond, the shortest read timeout of a socket.
     */
    public boolean hasMoreInput() throws IOException {
        if (!hasPartialLine() && !endOfInput) {
            socket.setSoTimeout(1);
            try {
                int read = in.read(buffer, 0, buffer.length);
                endOfInput = read < 0;
                end = Math.max(0, read);
            } catch (SocketTimeoutException noInput) {
                return false;
            }
        }
        return hasPartialLine();
    }

    /** Whether the end of input has been reached. */
    public boolean isEndOfInput() {
        return endOfInput;
    }

    private static int millisUntil(long deadlineNs) throws SocketTimeoutException {
        long leftMillis = (deadlineNs - System.nanoTime() + 999_999) / 1_000_000;
        if (leftMillis <= 0) {
            throw new SocketTimeoutException("no whole line in time");
        }
        return (int) Math.min(leftMillis, Integer.MAX_VALUE);
    }

    private byte[] consume(int pieceEnd) {
        byte[] piece = Arrays.copyOfRange(buffer, start, pieceEnd);
        start = pieceEnd;
        if (start == end) {
            start = 0;
            end = 0;
        }
        return piece;
    }

    private void makeRoom() {
        System.arraycopy(buffer, start, buffer, 0, end - start);
        end -= start;
        start = 0;
        if (end == buffer.length) {
            buffer = Arrays.copyOf(buffer, Math.min(2 * buffer.length, MAX_LINE_BYTES_WITH_END));
        }
    }
}

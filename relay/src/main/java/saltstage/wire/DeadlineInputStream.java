package saltstage.wire;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.time.Duration;

/**
 * The input of a socket with a deadline that only {@link #extendDeadline} moves. With a timeout for
 * each read, a sender that trickles single bytes could block the reader forever without sending
 * anything useful. Bytes that arrived before the deadline can still be read after it.
 */
final class DeadlineInputStream extends InputStream {
    private final Socket socket;
    private final InputStream in;
    private long deadline;

    DeadlineInputStream(Socket socket, Duration initialTimeout) throws IOException {
        this.socket = socket;
        in = socket.getInputStream();
        extendDeadline(initialTimeout);
    }

    /** Sets the deadline to this long from now. */
    void extendDeadline(Duration timeout) {
        deadline = System.nanoTime() + timeout.toNanos();
    }

    private void applyDeadline() throws IOException {
        long leftMillis = (deadline - System.nanoTime()) / 1_000_000;
        if (leftMillis <= 0 && in.available() == 0) {
            throw new SocketTimeoutException("Read timed out");
        }
        socket.setSoTimeout((int) Math.max(1, leftMillis));
    }

    @Override
    public int read() throws IOException {
        applyDeadline();
        return in.read();
    }

    @Override
    public int read(byte[] buffer, int offset, int length) throws IOException {
        applyDeadline();
        return in.read(buffer, offset, length);
    }

    @Override
    public int available() throws IOException {
        return in.available();
    }
}

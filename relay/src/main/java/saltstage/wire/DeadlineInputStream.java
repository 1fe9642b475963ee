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

    DeadlineInputStream(Socket socket, Duration first) throws IOException {
        this.socket = socket;
        in = socket.getInputStream();
        extendDeadline(first);
    }

    /** Sets the deadline to this long from now. */
    void extendDeadline(Duration span) {
        deadline = System.nanoTime() + span.toNanos();
    }

    private void applyDeadline() throws IOException {
        long left = (deadline - System.nanoTime()) / 1_000_000;
        if (left <= 0 && in.available() == 0) {
            throw new SocketTimeoutException("Read timed out");
        }
        socket.setSoTimeout((int) Math.max(1, left));
    }

    @Override
    public int read() throws IOException {
        applyDeadline();
        return in.read();
    }

    @Override
    public int read(byte[] into, int from, int most) throws IOException {
        applyDeadline();
        return in.read(into, from, most);
    }

    @Override
    public int available() throws IOException {
        return in.available();
    }
}

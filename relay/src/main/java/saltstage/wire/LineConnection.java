package saltstage.wire;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;

/** A TCP connection that carries lines; either side of the relay. Ending it twice does no harm. */
public class LineConnection implements BackendConnection {
    private final Socket socket;
    private final LineReader lines;

    /** Wraps a connected socket. */
    public LineConnection(Socket socket) throws IOException {
        socket.setTcpNoDelay(true);
        this.socket = socket;
        lines = new LineReader(socket);
    }

    /** Connects within the limit; every failure to do so is an IOException. */
    public static LineConnection open(InetSocketAddress to, Duration limit) throws IOException {
        return open(new Socket(), to, limit);
    }

    /** Connects this socket within the limit; closed meanwhile, it fails at once. */
    public static LineConnection open(Socket socket, InetSocketAddress to, Duration limit)
            throws IOException {
        try {
            socket.connect(to, (int) Math.max(1, limit.toMillis()));
            return new LineConnection(socket);
        } catch (IOException | RuntimeException e) {
            socket.close();
            throw e;
        }
    }

    /** The bytes that come in. */
    public LineReader lines() {
        return lines;
    }

    /** Whether something has come that no thread has read yet. */
    public boolean hasUnread() {
        try {
            return socket.getInputStream().available() > 0;
        } catch (IOException ended) {
            return false;
        }
    }

    /**
     * Ends politely what was answered: half-closes and reads away what still comes, since a close with unread
     * input resets the connection and may take the answer with it. Who sends on and on is cut off: to read
     * it all would cost the one core more than an honest client ever does.
     */
    public void endAnswered(Duration most, int mostBytes) {
        endSending();
        long until = System.nanoTime() + most.toNanos();
        byte[] ignored = new byte[4096];
        try {
            int read = 0;
            for (int bytes = 0; read >= 0 && bytes < mostBytes; bytes += read) {
                long left = (until - System.nanoTime()) / 1_000_000;
                if (left <= 0) {
                    break;
                }
                socket.setSoTimeout((int) left);
                read = socket.getInputStream().read(ignored);
            }
        } catch (IOException over) { // reset, or silent to the end: nothing more to wait for
            return;
        } finally {
            close();
        }
    }

    /** Who is at the other end, for the log. */
    public String remote() {
        return String.valueOf(socket.getRemoteSocketAddress());
    }

    /** Writes a line, adding its end. */
    public void send(String line) throws IOException {
        send((line + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Writes the bytes as they are. */
    public void send(byte[] piece) throws IOException {
        socket.getOutputStream().write(piece);
    }

    /** Half-close: nothing more will be sent. */
    public void endSending() {
        quietly(socket::shutdownOutput);
    }

    /** Makes a reader that waits for more see the end of input. */
    public void endReading() {
        quietly(socket::shutdownInput);
    }

    /** Closes at once and lets the other side see a reset. */
    public void reset() {
        quietly(() -> socket.setSoLinger(true, 0));
        close();
    }

    /** Closes both directions. */
    @Override
    public void close() {
        quietly(socket::close);
    }

    /** Closes a socket, whatever it is doing. */
    public static void close(Socket socket) {
        quietly(socket::close);
    }

    private interface Step {
        void run() throws IOException;
    }

    private static void quietly(Step step) {
        try {
            step.run();
        } catch (IOException alreadyEnded) { // the other side or another thread was first: nothing to do
            return;
        }
    }
}

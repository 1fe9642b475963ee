package saltstage.wire;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;

/** A TCP connection that carries lines; either side of the relay. Ending it twice does no harm. */
public class LineConnection {
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
        Socket socket = new Socket();
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
    public void close() {
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

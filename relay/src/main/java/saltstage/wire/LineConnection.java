package saltstage.wire;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.time.Duration;

/** A TCP connection that carries lines; either side of the relay. Ending it twice does no harm. */
public class LineConnection implements BackendConnection {
    private final Socket socket;
    private final LineReader reader;

    /** Wraps a connected socket. */
    public LineConnection(Socket socket) throws IOException {
        this(socket, new byte[0]);
    }

    /** Wraps a connected socket of which these bytes have been read already. */
    public LineConnection(Socket socket, byte[] read) throws IOException {
        socket.setTcpNoDelay(true);
        this.socket = socket;
        reader = new LineReader(socket, read);
    }

    /** Connects within the limit; every failure to do so is an IOException. */
    public static LineConnection connect(InetSocketAddress to, Duration limit) throws IOException {
        return connect(new Socket(), to, limit);
    }

    /** Connects this socket within the limit; closed meanwhile, it fails at once. */
    public static LineConnection connect(Socket socket, InetSocketAddress to, Duration limit)
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
    public LineReader reader() {
        return reader;
    }

    /** The channel of an accepted connection. */
    public SocketChannel channel() {
        return socket.getChannel();
    }

    /** Who is at the other end, for the log. */
    public String remoteAddress() {
        return String.valueOf(socket.getRemoteSocketAddress());
    }

    /** Writes a line, adding its end. */
    public void sendLine(String line) throws IOException {
        send((line + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Writes the bytes as they are. */
    public void send(byte[] piece) throws IOException {
        socket.getOutputStream().write(piece);
    }

    /** Half-close: nothing more will be sent. */
    public void shutdownOutput() {
        runQuietly(socket::shutdownOutput);
    }

    /** Makes a reader that waits for more see the end of input. */
    public void shutdownInput() {
        runQuietly(socket::shutdownInput);
    }

    /** Closes at once and lets the other side see a reset. */
    public void reset() {
        runQuietly(() -> socket.setSoLinger(true, 0));
        close();
    }

    /** Closes both directions. */
    @Override
    public void close() {
        runQuietly(socket::close);
    }

    /** Closes a socket, whatever it is doing. */
    public static void close(Socket socket) {
        runQuietly(socket::close);
    }

    private interface IoAction {
        void run() throws IOException;
    }

    private static void runQuietly(IoAction step) {
        try {
            step.run();
        } catch (
                IOException
                        alreadyEnded) { // the other side or another thread was first: nothing to do
            return;
        }
    }
}

package saltstage.wire;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.time.Duration;

/**
 * A TCP connection that carries lines, to a client or to a backend. It may be closed more than
 * once.
 */
public class LineConnection implements BackendConnection {
    private final Socket socket;
    private final LineReader reader;

    /** Wraps a connected socket. */
    public LineConnection(Socket socket) throws IOException {
        this(socket, new byte[0]);
    }

    /** Wraps a connected socket from which these bytes have been read already. */
    public LineConnection(Socket socket, byte[] alreadyRead) throws IOException {
        socket.setTcpNoDelay(true);
        this.socket = socket;
        reader = new LineReader(socket, alreadyRead);
    }

    /** Connects within the timeout; every failure to connect is an IOException. */
    public static LineConnection connect(InetSocketAddress address, Duration timeout)
            throws IOException {
        return connect(new Socket(), address, timeout);
    }

    /**
     * Connects this socket within the timeout. Closing the socket meanwhile makes the call fail
     * immediately.
     */
    public static LineConnection connect(Socket socket, InetSocketAddress address, Duration timeout)
            throws IOException {
        try {
            socket.connect(address, (int) Math.max(1, timeout.toMillis()));
            return new LineConnection(socket);
        } catch (IOException | RuntimeException e) {
            socket.close();
            throw e;
        }
    }

    /** The reader of the incoming lines. */
    public LineReader reader() {
        return reader;
    }

    /** The channel of an accepted connection. */
    public SocketChannel channel() {
        return socket.getChannel();
    }

    /** The address of the other end, for the log. */
    public String remoteAddress() {
        return String.valueOf(socket.getRemoteSocketAddress());
    }

    /** Writes a line and adds its CRLF. */
    public void sendLine(String line) throws IOException {
        send((line + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Writes the bytes as they are. */
    public void send(byte[] piece) throws IOException {
        socket.getOutputStream().write(piece);
    }

    /** Half-closes the connection: nothing more will be sent. */
    public void shutdownOutput() {
        runQuietly(socket::shutdownOutput);
    }

    /** Makes a waiting reader see the end of input. */
    public void shutdownInput() {
        runQuietly(socket::shutdownInput);
    }

    /** Closes immediately; the other side sees a reset. */
    public void reset() {
        runQuietly(() -> socket.setSoLinger(true, 0));
        close();
    }

    /** Closes both directions. */
    @Override
    public void close() {
        runQuietly(socket::close);
    }

    /** Closes a socket, even while it connects or reads. */
    public static void close(Socket socket) {
        runQuietly(socket::close);
    }

    private interface IoAction {
        void run() throws IOException;
    }

    private static void runQuietly(IoAction action) {
        try {
            action.run();
        } catch (IOException alreadyClosed) {
            // The other side or another thread has closed the socket.
            return;
        }
    }
}

package saltstage.lab.trial;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;

/**
 * A TCP proxy between two processes that can inject faults. Each direction may be silent (data is
 * held back while connections stay open), delayed, slow, or cut after a number of bytes. New
 * connections may be reset and open connections dropped.
 */
final class FaultProxy implements AutoCloseable {
    private static final int CONNECT_TIMEOUT_MS = 500;
    private static final int TRICKLE_BYTES = 64;

    /** The fault of one direction. */
    record DirectionFault(boolean silent, int maxDelayMs, boolean trickle, long cutAfterBytes) {
        static final DirectionFault CLEAR = new DirectionFault(false, 0, false, Long.MAX_VALUE);
        static final DirectionFault SILENT = new DirectionFault(true, 0, false, Long.MAX_VALUE);
    }

    private final ServerSocket listener;
    private final InetSocketAddress target;
    private final Set<Socket> openSockets = ConcurrentHashMap.newKeySet();
    private volatile DirectionFault toTargetFault = DirectionFault.CLEAR;
    private volatile DirectionFault fromTargetFault = DirectionFault.CLEAR;
    private volatile boolean rejecting;

    FaultProxy(InetSocketAddress target) throws IOException {
        this.target = target;
        listener = new ServerSocket(0, 64, InetAddress.getLoopbackAddress());
        startDaemon(this::acceptAll);
    }

    InetSocketAddress address() {
        return (InetSocketAddress) listener.getLocalSocketAddress();
    }

    /** Sets the faults of both directions. */
    void setFaults(DirectionFault toTarget, DirectionFault fromTarget) {
        toTargetFault = toTarget;
        fromTargetFault = fromTarget;
    }

    /** Sets whether new connections are reset immediately. */
    void setRejecting(boolean enabled) {
        rejecting = enabled;
    }

    /** Closes all open connections. */
    void dropConnections() {
        openSockets.forEach(FaultProxy::closeQuietly);
    }

    /** Removes all faults. Data held back in a silent direction is then forwarded. */
    void heal() {
        rejecting = false;
        setFaults(DirectionFault.CLEAR, DirectionFault.CLEAR);
    }

    private static void startDaemon(Runnable task) {
        Thread thread = new Thread(task, "proxy");
        thread.setDaemon(true);
        thread.start();
    }

    private static void closeQuietly(Socket socket) {
        try {
            socket.close();
        } catch (IOException closed) {
            return;
        }
    }

    private void acceptAll() {
        while (!listener.isClosed()) {
            try {
                Socket connection = listener.accept();
                if (rejecting) {
                    connection.setSoLinger(true, 0);
                    connection.close();
                } else {
                    startDaemon(() -> forward(connection));
                }
            } catch (IOException closed) {
                return;
            }
        }
    }

    private void forward(Socket from) {
        Socket to = new Socket();
        openSockets.add(from);
        openSockets.add(to);
        try {
            from.setTcpNoDelay(true);
            to.setTcpNoDelay(true);
            to.connect(target, CONNECT_TIMEOUT_MS);
            startDaemon(() -> copyBytes(to, from, false));
            copyBytes(from, to, true);
        } catch (IOException unreachable) {
            closeQuietly(from);
        } finally {
            closeQuietly(to);
            openSockets.remove(from);
            openSockets.remove(to);
        }
    }

    private DirectionFault directionFault(boolean toTarget) {
        return toTarget ? toTargetFault : fromTargetFault;
    }

    private void copyBytes(Socket from, Socket to, boolean toTarget) {
        byte[] buffer = new byte[16 << 10];
        long forwardedBytes = 0;
        try (Socket source = from;
                Socket sink = to) {
            InputStream in = source.getInputStream();
            OutputStream out = sink.getOutputStream();
            for (int length = in.read(buffer); length >= 0; length = in.read(buffer)) {
                for (int offset = 0; offset < length; ) {
                    while (directionFault(toTarget).silent()
                            && !source.isClosed()
                            && !sink.isClosed()) {
                        Thread.sleep(5);
                    }
                    DirectionFault fault = directionFault(toTarget);
                    int pieceLength =
                            fault.trickle()
                                    ? Math.min(TRICKLE_BYTES, length - offset)
                                    : length - offset;
                    if (fault.maxDelayMs() > 0 || fault.trickle()) {
                        Thread.sleep(
                                1
                                        + (fault.maxDelayMs() == 0
                                                ? 0
                                                : ThreadLocalRandom.current()
                                                        .nextInt(fault.maxDelayMs())));
                    }
                    if (forwardedBytes + pieceLength > fault.cutAfterBytes()) {
                        out.write(
                                buffer,
                                offset,
                                (int) Math.max(0, fault.cutAfterBytes() - forwardedBytes));
                        return;
                    }
                    out.write(buffer, offset, pieceLength);
                    forwardedBytes += pieceLength;
                    offset += pieceLength;
                }
            }
        } catch (IOException | InterruptedException ended) {
            return;
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
        dropConnections();
    }
}

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
 * A link between two processes, with faults: each direction may be silent (what is sent waits, connections
 * stay open), late, slow, or cut after some bytes; connections may be refused or dropped.
 */
final class FaultProxy implements AutoCloseable {
    private static final int CONNECT_MS = 500;
    private static final int SLOW_BYTES = 64;

    /** What one direction does with what is sent. */
    record Way(boolean silent, int lateMs, boolean trickle, long cutAfter) {
        static final Way CLEAR = new Way(false, 0, false, Long.MAX_VALUE);
        static final Way SILENT = new Way(true, 0, false, Long.MAX_VALUE);
    }

    private final ServerSocket listener;
    private final InetSocketAddress target;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private volatile Way there = Way.CLEAR;
    private volatile Way back = Way.CLEAR;
    private volatile boolean refusing;

    FaultProxy(InetSocketAddress target) throws IOException {
        this.target = target;
        listener = new ServerSocket(0, 64, InetAddress.getLoopbackAddress());
        daemon(this::accept);
    }

    InetSocketAddress address() {
        return (InetSocketAddress) listener.getLocalSocketAddress();
    }

    /** Sets both directions. */
    void ways(Way toTarget, Way fromTarget) {
        there = toTarget;
        back = fromTarget;
    }

    /** New connections are reset at once. */
    void refuse(boolean yes) {
        refusing = yes;
    }

    /** Breaks all connections that are open. */
    void drop() {
        open.forEach(FaultProxy::shut);
    }

    /** As if nothing had been. What waited in a silent direction is sent on. */
    void heal() {
        refusing = false;
        ways(Way.CLEAR, Way.CLEAR);
    }

    private static void daemon(Runnable work) {
        Thread thread = new Thread(work, "proxy");
        thread.setDaemon(true);
        thread.start();
    }

    private static void shut(Socket socket) {
        try {
            socket.close();
        } catch (IOException closed) {
            return;
        }
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket from = listener.accept();
                if (refusing) {
                    from.setSoLinger(true, 0);
                    from.close();
                } else {
                    daemon(() -> carry(from));
                }
            } catch (IOException closed) {
                return;
            }
        }
    }

    private void carry(Socket from) {
        Socket to = new Socket();
        open.add(from);
        open.add(to);
        try {
            from.setTcpNoDelay(true);
            to.setTcpNoDelay(true);
            to.connect(target, CONNECT_MS);
            daemon(() -> pump(to, from, false));
            pump(from, to, true);
        } catch (IOException unreachable) {
            shut(from);
        } finally {
            shut(to);
            open.remove(from);
            open.remove(to);
        }
    }

    private Way way(boolean toTarget) {
        return toTarget ? there : back;
    }

    private void pump(Socket from, Socket to, boolean toTarget) {
        byte[] buffer = new byte[16 << 10];
        long carried = 0;
        try (Socket source = from; Socket sink = to) {
            InputStream in = source.getInputStream();
            OutputStream out = sink.getOutputStream();
            for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
                for (int at = 0; at < n;) {
                    while (way(toTarget).silent() && !source.isClosed() && !sink.isClosed()) {
                        Thread.sleep(5);
                    }
                    Way now = way(toTarget);
                    int piece = now.trickle() ? Math.min(SLOW_BYTES, n - at) : n - at;
                    if (now.lateMs() > 0 || now.trickle()) {
                        Thread.sleep(1 + (now.lateMs() == 0 ? 0
                            : ThreadLocalRandom.current().nextInt(now.lateMs())));
                    }
                    if (carried + piece > now.cutAfter()) {
                        out.write(buffer, at, (int) Math.max(0, now.cutAfter() - carried));
                        return;
                    }
                    out.write(buffer, at, piece);
                    carried += piece;
                    at += piece;
                }
            }
        } catch (IOException | InterruptedException over) {
            return;
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
        drop();
    }
}

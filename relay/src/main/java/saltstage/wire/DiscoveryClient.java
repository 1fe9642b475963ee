package saltstage.wire;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Locale;

/**
 * Watches the discovery service over HTTP/1.1: one request with a chunked response of JSON objects,
 * and an empty line between them as a heartbeat. A watch that delivers neither an object nor an
 * empty line within the silence timeout is broken, whatever else it sends.
 */
public final class DiscoveryClient {
    /**
     * Discovery sends an empty line every 2 s. Changes that a silent watch misses are taken as
     * known to the relay 6 s after the silence began, so this timeout, the load balancer's first
     * retry pause, one failed call and the next pause must fit into 6 s.
     */
    public static final Duration SILENCE_TIMEOUT = Duration.ofMillis(2_500);

    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);

    /**
     * The first response may take this many times the silence timeout, because a service that
     * handles its calls one after the other answers late.
     */
    private static final int FIRST_RESPONSE_TIMEOUT_FACTOR = 4;

    private static final int MAX_HEAD_BYTES = 16 << 10;
    private static final int MAX_OBJECT_CHARS = 4 << 20;

    private final InetSocketAddress address;
    private final Duration silenceTimeout;
    private Socket watchSocket;
    private boolean stopped;

    /** Creates a client of the discovery service at this address. */
    public DiscoveryClient(InetSocketAddress address) {
        this(address, SILENCE_TIMEOUT);
    }

    /** Creates a client that ends a watch after this much silence. */
    DiscoveryClient(InetSocketAddress address, Duration silenceTimeout) {
        this.address = address;
        this.silenceTimeout = silenceTimeout;
    }

    /** Receives the messages of a watch. */
    public interface Listener {
        /** Called for each full list and each delta. */
        void listReceived(BackendList list);
    }

    /**
     * Ends the current watch, even while it is connecting, and makes every later watch fail
     * immediately.
     */
    public synchronized void stop() {
        stopped = true;
        if (watchSocket != null) {
            try {
                watchSocket.close();
            } catch (IOException alreadyClosed) {
                return;
            }
        }
    }

    private synchronized Socket openSocket() throws IOException {
        if (stopped) {
            throw new IOException("stopped");
        }
        watchSocket = new Socket();
        return watchSocket;
    }

    /**
     * Watches the changes after a revision. The method never returns normally: the exception says
     * why the watch ended.
     */
    public void watch(long afterRevision, Listener listener)
            throws IOException, MalformedException {
        try (Socket socket = openSocket()) {
            socket.setTcpNoDelay(true);
            socket.connect(address, (int) CONNECT_TIMEOUT.toMillis());
            String request =
                    "GET /discovery/hosts?watch=1&after="
                            + afterRevision
                            + " HTTP/1.1\r\nHost: "
                            + address.getAddress().getHostAddress()
                            + ":"
                            + address.getPort()
                            + "\r\nAccept: application/json\r\n\r\n";
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            DeadlineInputStream deadlineInput =
                    new DeadlineInputStream(
                            socket, silenceTimeout.multipliedBy(FIRST_RESPONSE_TIMEOUT_FACTOR));
            InputStream in = new BufferedInputStream(deadlineInput, 4096);
            readHead(in);
            deadlineInput.extendDeadline(silenceTimeout);
            ChunkedInputStream body = new ChunkedInputStream(in);
            JsonObjectSplitter objects = new JsonObjectSplitter(MAX_OBJECT_CHARS);
            for (int c = body.read(); c >= 0; c = body.read()) {
                String object = objects.accept((char) c);
                if (object != null) {
                    listener.listReceived(BackendList.parse(Json.parseObject(object)));
                }
                // A partial object, or a line break within one, does not show that the service is
                // alive.
                if (objects.isBetweenObjects() && c == '\n') {
                    deadlineInput.extendDeadline(silenceTimeout);
                }
            }
            throw new IOException("discovery ended the watch");
        }
    }

    private static void readHead(InputStream in) throws IOException, MalformedException {
        int[] budget = {MAX_HEAD_BYTES};
        String status = readHeadLine(in, budget);
        if (!status.matches("HTTP/1\\.1 \\d{3}( .*)?")) {
            throw new MalformedException("discovery: bad status line");
        }
        if (!status.startsWith("200", 9)) {
            throw new IOException("discovery answered " + status.substring(9, 12));
        }
        boolean chunked = false;
        for (String line = readHeadLine(in, budget);
                !line.isEmpty();
                line = readHeadLine(in, budget)) {
            String lower = line.toLowerCase(Locale.ROOT);
            chunked |= lower.startsWith("transfer-encoding:") && lower.endsWith("chunked");
        }
        if (!chunked) {
            throw new MalformedException("discovery: the answer to a watch is not chunked");
        }
    }

    private static String readHeadLine(InputStream in, int[] budget)
            throws IOException, MalformedException {
        StringBuilder line = new StringBuilder();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                throw new IOException("discovery closed the connection");
            }
            if (--budget[0] < 0) {
                throw new MalformedException("discovery: head too long");
            }
            line.append((char) c);
        }
        int n = line.length();
        return n > 0 && line.charAt(n - 1) == '\r' ? line.substring(0, n - 1) : line.toString();
    }
}

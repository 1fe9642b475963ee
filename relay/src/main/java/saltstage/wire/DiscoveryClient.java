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
 * Discovery's watch over HTTP/1.1: one call, a chunked answer of JSON objects, an empty line now
 * and then between them. A watch that brings neither for a while is broken, whatever else it sends.
 */
public final class DiscoveryClient {
    /**
     * An empty line comes every 2 s. What a silent watch misses counts as told 6 s after its
     * silence: this, the module's first pause, one call in vain and the next pause have to fit in.
     */
    public static final Duration SILENCE_TIMEOUT = Duration.ofMillis(2_500);

    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);

    /**
     * Times the silence that a first answer may take: a service that works through calls in turn is
     * slow.
     */
    private static final int FIRST_RESPONSE_TIMEOUT_FACTOR = 4;

    private static final int MAX_HEAD_BYTES = 16 << 10;
    private static final int MAX_OBJECT_CHARS = 4 << 20;

    private final InetSocketAddress address;
    private final Duration silenceTimeout;
    private Socket watchSocket;
    private boolean stopped;

    /** A client of the service at this address. */
    public DiscoveryClient(InetSocketAddress address) {
        this(address, SILENCE_TIMEOUT);
    }

    /** A client that takes so much silence for the end of a watch. */
    DiscoveryClient(InetSocketAddress address, Duration silence) {
        this.address = address;
        this.silenceTimeout = silence;
    }

    /** Takes what a watch brings. */
    public interface Listener {
        /** A list or a change of it. */
        void listReceived(BackendList list);
    }

    /** Ends the watch, also one that is still connecting, and every later one at once. */
    public synchronized void stop() {
        stopped = true;
        if (watchSocket != null) {
            try {
                watchSocket.close();
            } catch (IOException ended) { // it ended by itself: that is all that is wanted
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
     * Watches the changes after a version; it ends by an exception that says why, and by nothing
     * else.
     */
    public void watch(long after, Listener listener) throws IOException, MalformedException {
        try (Socket socket = openSocket()) {
            socket.setTcpNoDelay(true);
            socket.connect(address, (int) CONNECT_TIMEOUT.toMillis());
            String request =
                    "GET /discovery/hosts?watch=1&after="
                            + after
                            + " HTTP/1.1\r\nHost: "
                            + address.getAddress().getHostAddress()
                            + ":"
                            + address.getPort()
                            + "\r\nAccept: application/json\r\n\r\n";
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            DeadlineInputStream timed =
                    new DeadlineInputStream(
                            socket, silenceTimeout.multipliedBy(FIRST_RESPONSE_TIMEOUT_FACTOR));
            InputStream in = new BufferedInputStream(timed, 4096);
            readHead(in);
            timed.extendDeadline(silenceTimeout);
            ChunkedInputStream body = new ChunkedInputStream(in);
            JsonObjectSplitter objects = new JsonObjectSplitter(MAX_OBJECT_CHARS);
            for (int c = body.read(); c >= 0; c = body.read()) {
                String object = objects.accept((char) c);
                if (object != null) {
                    listener.listReceived(BackendList.parse(Json.parseObject(object)));
                }
                if (objects.isBetweenObjects()
                        && c == '\n') { // half an object, or a line in it, is no sign of life
                    timed.extendDeadline(silenceTimeout);
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

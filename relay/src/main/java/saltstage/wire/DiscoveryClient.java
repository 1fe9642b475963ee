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
    public static final Duration SILENCE = Duration.ofMillis(2_500);

    private static final Duration CONNECT = Duration.ofSeconds(1);

    /**
     * Times the silence that a first answer may take: a service that works through calls in turn is
     * slow.
     */
    private static final int PATIENCE = 4;

    private static final int MOST_HEAD = 16 << 10;
    private static final int MOST_LINE = 4 << 20;

    private final InetSocketAddress address;
    private final Duration silence;
    private Socket call;
    private boolean stopped;

    /** A client of the service at this address. */
    public DiscoveryClient(InetSocketAddress address) {
        this(address, SILENCE);
    }

    /** A client that takes so much silence for the end of a watch. */
    DiscoveryClient(InetSocketAddress address, Duration silence) {
        this.address = address;
        this.silence = silence;
    }

    /** Takes what a watch brings. */
    public interface Listener {
        /** A list or a change of it. */
        void heard(HostList list);
    }

    /** Ends the watch, also one that is still connecting, and every later one at once. */
    public synchronized void stop() {
        stopped = true;
        if (call != null) {
            try {
                call.close();
            } catch (IOException ended) { // it ended by itself: that is all that is wanted
                return;
            }
        }
    }

    private synchronized Socket begin() throws IOException {
        if (stopped) {
            throw new IOException("stopped");
        }
        call = new Socket();
        return call;
    }

    /**
     * Watches the changes after a version; it ends by an exception that says why, and by nothing
     * else.
     */
    public void watch(long after, Listener listener) throws IOException, MalformedException {
        try (Socket socket = begin()) {
            socket.setTcpNoDelay(true);
            socket.connect(address, (int) CONNECT.toMillis());
            String request =
                    "GET /discovery/hosts?watch=1&after="
                            + after
                            + " HTTP/1.1\r\nHost: "
                            + address.getAddress().getHostAddress()
                            + ":"
                            + address.getPort()
                            + "\r\nAccept: application/json\r\n\r\n";
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            DeadlineInput timed = new DeadlineInput(socket, silence.multipliedBy(PATIENCE));
            InputStream in = new BufferedInputStream(timed, 4096);
            readHead(in);
            timed.until(silence);
            ChunkedInput body = new ChunkedInput(in);
            ObjectSplitter objects = new ObjectSplitter(MOST_LINE);
            for (int c = body.read(); c >= 0; c = body.read()) {
                String object = objects.take((char) c);
                if (object != null) {
                    listener.heard(HostList.of(Json.object(object)));
                }
                if (objects.between()
                        && c == '\n') { // half an object, or a line in it, is no sign of life
                    timed.until(silence);
                }
            }
            throw new IOException("discovery ended the watch");
        }
    }

    private static void readHead(InputStream in) throws IOException, MalformedException {
        int[] budget = {MOST_HEAD};
        String status = headLine(in, budget);
        if (!status.matches("HTTP/1\\.1 \\d{3}( .*)?")) {
            throw new MalformedException("discovery: bad status line");
        }
        if (!status.startsWith("200", 9)) {
            throw new IOException("discovery answered " + status.substring(9, 12));
        }
        boolean chunked = false;
        for (String line = headLine(in, budget); !line.isEmpty(); line = headLine(in, budget)) {
            String lower = line.toLowerCase(Locale.ROOT);
            chunked |= lower.startsWith("transfer-encoding:") && lower.endsWith("chunked");
        }
        if (!chunked) {
            throw new MalformedException("discovery: the answer to a watch is not chunked");
        }
    }

    private static String headLine(InputStream in, int[] budget)
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

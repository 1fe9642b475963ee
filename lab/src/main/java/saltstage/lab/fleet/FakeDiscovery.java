package saltstage.lab.fleet;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.stream.Collectors;

/**
 * A fake discovery service over HTTP: it serves the full backend list, and watches that deliver
 * each change.
 */
public final class FakeDiscovery {
    private static final long EMPTY_LINE_INTERVAL_MS = 2_000;

    private final List<FakeBackend> backends;
    private final ServerSocket listener;
    private long revision = 1;
    private String lastChange = "";
    private volatile Duration answerDelay = Duration.ZERO;

    /** Starts a discovery service for these backends on a free loopback port. */
    public FakeDiscovery(List<FakeBackend> backends) throws IOException {
        this.backends = backends;
        listener = new ServerSocket(0, 64, InetAddress.getLoopbackAddress());
        FakeBackend.startDaemon("discovery", this::acceptAll);
    }

    private void acceptAll() {
        try {
            while (true) {
                Socket socket = listener.accept();
                FakeBackend.startDaemon("discovery call", () -> serve(socket));
            }
        } catch (IOException closed) {
            return;
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            BufferedReader in =
                    new BufferedReader(
                            new InputStreamReader(
                                    socket.getInputStream(), StandardCharsets.ISO_8859_1));
            String request = in.readLine();
            for (String line = request; line != null && !line.isEmpty(); ) {
                line = in.readLine();
            }
            Thread.sleep(answerDelay.toMillis());
            if (request == null || !request.startsWith("GET /discovery/hosts")) {
                send(socket, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
            } else if (request.contains("watch=1")) {
                send(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                sendChanges(socket);
            } else {
                String list = fullList();
                send(
                        socket,
                        "HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list);
            }
        } catch (IOException disconnected) { // the relay closed the connection
            return;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Sends the full list, then each change as a chunk: a delta after one new revision, the full
     * list after several, and an empty line every two seconds without a change.
     */
    private void sendChanges(Socket socket) throws IOException, InterruptedException {
        String update = fullList();
        long sentRevision = revision();
        while (true) {
            send(socket, Integer.toHexString(update.length() + 1) + "\r\n" + update + "\n\r\n");
            synchronized (this) {
                if (revision == sentRevision) {
                    wait(EMPTY_LINE_INTERVAL_MS);
                }
                update =
                        revision == sentRevision
                                ? ""
                                : revision == sentRevision + 1 ? lastChange : fullList();
                sentRevision = revision;
            }
        }
    }

    private static void send(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private synchronized long revision() {
        return revision;
    }

    /** Publishes a change of this backend to all watches as a new revision. */
    public synchronized void backendChanged(FakeBackend backend) {
        revision++;
        lastChange =
                "{\"rev\":"
                        + revision
                        + ",\"all\":false,\"targets\":["
                        + backend.listEntry()
                        + "]}";
        notifyAll();
    }

    /** The full backend list as JSON; dead backends are left out. */
    public String fullList() {
        return fullList(backends.size());
    }

    /** The full backend list as JSON, restricted to the first {@code count} backends. */
    synchronized String fullList(int count) {
        return "{\"rev\":"
                + revision
                + ",\"all\":true,\"targets\":["
                + backends.stream()
                        .limit(count)
                        .filter(backend -> backend.state() != FakeBackend.State.DEAD)
                        .map(FakeBackend::listEntry)
                        .collect(Collectors.joining(","))
                + "]}";
    }

    /** Delays the answer to each later call by this time. */
    void setAnswerDelay(Duration delay) {
        answerDelay = delay;
    }

    /** The address that the service listens on, as IP:PORT for the relay's configuration. */
    public String address() {
        return listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
    }
}

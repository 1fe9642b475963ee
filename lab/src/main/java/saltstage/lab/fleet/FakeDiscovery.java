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

/** A stand-in for discovery: the whole list on demand, and watches that tell each change. */
public final class FakeDiscovery {
    private static final long EMPTY_LINE_INTERVAL_MS = 2_000;

    private final List<FakeBackend> backends;
    private final ServerSocket listener;
    private long revision = 1;
    private String lastChange = "";
    private volatile Duration answerDelay = Duration.ZERO;

    /** Discovery of these gateways, listening on a free port of loopback. */
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
        } catch (IOException disconnected) { // the relay ended the call
            return;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

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

    /** Something has changed at this gateway: all watches are told. */
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

    /** The whole list as discovery tells it; dead gateways are not in it. */
    public String fullList() {
        return fullList(backends.size());
    }

    /** The list as it was when there were only the first so many. */
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

    /** From now on each call is answered that much later. */
    void setAnswerDelay(Duration delay) {
        answerDelay = delay;
    }

    /** Where it listens, as the configuration has it. */
    public String address() {
        return listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
    }
}

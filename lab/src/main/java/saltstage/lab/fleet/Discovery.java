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
public final class Discovery {
    private static final long EMPTY_LINE_MS = 2_000;

    private final List<Gateway> gateways;
    private final ServerSocket listener;
    private long rev = 1;
    private String change = "";
    private volatile Duration late = Duration.ZERO;

    /** Discovery of these gateways, listening on a free port of loopback. */
    public Discovery(List<Gateway> gateways) throws IOException {
        this.gateways = gateways;
        listener = new ServerSocket(0, 64, InetAddress.getLoopbackAddress());
        Gateway.daemon("discovery", this::acceptAll);
    }

    private void acceptAll() {
        try {
            while (true) {
                Socket socket = listener.accept();
                Gateway.daemon("discovery call", () -> serve(socket));
            }
        } catch (IOException closed) {
            return;
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            BufferedReader in = new BufferedReader(
                new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
            String request = in.readLine();
            for (String line = request; line != null && !line.isEmpty();) {
                line = in.readLine();
            }
            Thread.sleep(late.toMillis());
            if (request == null || !request.startsWith("GET /discovery/hosts")) {
                say(socket, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
            } else if (request.contains("watch=1")) {
                say(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                watch(socket);
            } else {
                String list = list();
                say(socket, "HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list);
            }
        } catch (IOException gone) { // the relay ended the call
            return;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void watch(Socket socket) throws IOException, InterruptedException {
        String told = list();
        long last = rev();
        while (true) {
            say(socket, Integer.toHexString(told.length() + 1) + "\r\n" + told + "\n\r\n");
            synchronized (this) {
                if (rev == last) {
                    wait(EMPTY_LINE_MS);
                }
                told = rev == last ? "" : rev == last + 1 ? change : list();
                last = rev;
            }
        }
    }

    private static void say(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private synchronized long rev() {
        return rev;
    }

    /** Something has changed at this gateway: all watches are told. */
    public synchronized void changed(Gateway gateway) {
        rev++;
        change = "{\"rev\":" + rev + ",\"all\":false,\"targets\":[" + gateway.entry() + "]}";
        notifyAll();
    }

    /** The whole list as discovery tells it; dead gateways are not in it. */
    public String list() {
        return list(gateways.size());
    }

    /** The list as it was when there were only the first so many. */
    synchronized String list(int first) {
        return "{\"rev\":" + rev + ",\"all\":true,\"targets\":["
            + gateways.stream().limit(first).filter(g -> g.state() != Gateway.State.DEAD).map(Gateway::entry)
                .collect(Collectors.joining(",")) + "]}";
    }

    /** From now on each call is answered that much later. */
    void late(Duration by) {
        late = by;
    }

    /** Where it listens, as the configuration has it. */
    public String address() {
        return listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
    }
}

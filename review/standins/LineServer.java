import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** A sound backend of the line protocol: answers OPEN with UP and each further line with a line. */
final class LineServer {
    /** A first line that reached this backend. */
    record Opened(double at, String line) {}

    final String name;
    private final Journal journal;
    private final ServerSocket server;
    private final AtomicInteger receipts = new AtomicInteger();
    private final List<Opened> opened = new ArrayList<>();

    LineServer(String name, Journal journal) throws IOException {
        this.name = name;
        this.journal = journal;
        server = new ServerSocket(0, 512, InetAddress.getLoopbackAddress());
        daemon(this::acceptAll);
    }

    static void daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    int port() {
        return server.getLocalPort();
    }

    synchronized List<Opened> opened() {
        return List.copyOf(opened);
    }

    private void acceptAll() {
        while (true) {
            try {
                Socket socket = server.accept();
                daemon(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            BufferedReader in =
                new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
            OutputStream out = socket.getOutputStream();
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                if (line.startsWith("OPEN ")) {
                    synchronized (this) {
                        opened.add(new Opened(journal.seconds(), line));
                    }
                    journal.line("%s got %s", name, line);
                    send(out, "UP " + name + "-" + receipts.incrementAndGet());
                } else if (line.equals("PING") || line.equals("STATS")) {
                    send(out, "NO");
                } else {
                    send(out, "SAME " + line);
                }
            }
        } catch (IOException e) {
            return; // the relay has reset the connection
        }
    }

    private static void send(OutputStream out, String line) throws IOException {
        out.write((line + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
    }
}

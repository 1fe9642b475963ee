import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Clients of the line protocol that open sessions at a steady rate, each for some seconds. */
final class LineClients {
    private final Journal journal;
    private final int port;
    private final String serviceClass;
    private final String tenant;
    private final double sessionSeconds;
    private final AtomicInteger ids = new AtomicInteger();
    private final Map<String, Integer> answers = new TreeMap<>();
    private volatile boolean stopped;

    LineClients(Journal journal, int port, String serviceClass, String tenant, double sessionSeconds) {
        this.journal = journal;
        this.port = port;
        this.serviceClass = serviceClass;
        this.tenant = tenant;
        this.sessionSeconds = sessionSeconds;
    }

    /** Opens a session each so many milliseconds until stopped. */
    void start(int everyMillis) {
        LineServer.daemon(() -> {
            while (!stopped) {
                int id = ids.incrementAndGet();
                LineServer.daemon(() -> session(id));
                pause(everyMillis);
            }
        });
    }

    void stop() {
        stopped = true;
    }

    synchronized Map<String, Integer> answers() {
        return new TreeMap<>(answers);
    }

    private static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void session(int number) {
        String id = String.format("c%015x", number);
        String answer;
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 2000);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(4000);
            BufferedReader in =
                new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
            String line = String.format("OPEN %s k%015x c=%s,t=%s,d=2000,g=m%015x", id, number, serviceClass, tenant,
                number);
            socket.getOutputStream().write((line + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
            answer = String.valueOf(in.readLine());
            journal.line("client %s answered %s", id, answer);
            long end = System.nanoTime() + (long) (sessionSeconds * 1e9);
            while (answer.startsWith("UP") && System.nanoTime() < end) {
                socket.getOutputStream().write("HELLO\r\n".getBytes(StandardCharsets.ISO_8859_1));
                String reply = in.readLine();
                if (reply == null || reply.equals("MOVE")) {
                    journal.line("client %s: %s", id, reply == null ? "ended" : "MOVE");
                    break;
                }
                pause(Math.min(2000, Math.max(1, (end - System.nanoTime()) / 1_000_000)));
            }
        } catch (IOException e) {
            answer = "no answer: " + e.getMessage();
            journal.line("client %s %s", id, answer);
        }
        synchronized (this) {
            answers.merge(answer.split(" ")[0], 1, Integer::sum);
        }
    }
}

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Small stand-ins of the review's cases. Every address is a loopback address. */
public final class StandIn {
    private StandIn() {}

    public static void main(String[] args) throws Exception {
        switch (args[0]) {
            case "ports" -> ports(Integer.parseInt(args[1]));
            case "backends" -> backends(Path.of(args[1]), List.of(args).subList(2, args.length));
            case "clients" ->
                    clients(
                            address(args[1]),
                            Integer.parseInt(args[2]),
                            Integer.parseInt(args[3]),
                            Path.of(args[4]));
            default -> throw new IllegalArgumentException(args[0]);
        }
    }

    static InetSocketAddress address(String text) throws IOException {
        int colon = text.lastIndexOf(':');
        return new InetSocketAddress(
                InetAddress.getByName(text.substring(0, colon)),
                Integer.parseInt(text.substring(colon + 1)));
    }

    /** Prints free ports of 127.0.0.1, all different. */
    private static void ports(int count) throws IOException {
        List<ServerSocket> sockets = new ArrayList<>();
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < count; i++) {
            ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
            sockets.add(socket);
            text.append(socket.getLocalPort()).append(' ');
        }
        for (ServerSocket socket : sockets) {
            socket.close();
        }
        System.out.println(text.toString().trim());
    }

    static Thread start(String name, IoAction action) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                action.run();
                            } catch (IOException | InterruptedException ended) {
                                return;
                            }
                        },
                        name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    interface IoAction {
        void run() throws IOException, InterruptedException;
    }

    private static synchronized void log(PrintStream out, String line) {
        out.println(System.currentTimeMillis() + " " + line);
        out.flush();
    }

    /** Backends, each NAME=ADDRESS: they serve every request and answer every line at once. */
    private static void backends(Path logFile, List<String> names) throws Exception {
        PrintStream log = new PrintStream(Files.newOutputStream(logFile));
        for (String name : names) {
            String[] parts = name.split("=");
            ServerSocket server = new ServerSocket();
            server.setReuseAddress(true);
            server.bind(address(parts[1]), 256);
            AtomicInteger sessions = new AtomicInteger();
            start(
                    "accept",
                    () -> {
                        while (true) {
                            Socket connection = server.accept();
                            start("serve", () -> serve(parts[0], connection, log, sessions));
                        }
                    });
        }
        System.out.println("ready");
        Thread.sleep(Long.MAX_VALUE);
    }

    private static void serve(
            String name, Socket connection, PrintStream log, AtomicInteger sessions)
            throws IOException {
        boolean up = false;
        try (connection) {
            connection.setTcpNoDelay(true);
            BufferedReader in =
                    new BufferedReader(
                            new InputStreamReader(
                                    connection.getInputStream(), StandardCharsets.ISO_8859_1));
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                String answer;
                if (up) {
                    answer = line;
                } else if (line.equals("PING")) {
                    answer = "PONG";
                } else if (line.equals("STATS")) {
                    // Each session takes a two-hundredth of what a backend can do.
                    answer = String.format(Locale.ROOT, "PONG x0=%.3f,queue=0", sessions.get() / 200.0);
                } else if (line.startsWith("OPEN ")) {
                    up = true;
                    sessions.incrementAndGet();
                    String id = line.split(" ")[1];
                    log(log, "run " + name + " " + id);
                    answer = "UP " + name + "-" + id;
                } else {
                    answer = "SYNTAX";
                }
                connection
                        .getOutputStream()
                        .write((answer + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
            }
        } finally {
            if (up) {
                sessions.decrementAndGet();
            }
        }
    }

    /** Clients: each opens one session, waits for the answer, holds it for a second and leaves. */
    private static void clients(InetSocketAddress relay, int intervalMs, int seconds, Path logFile)
            throws Exception {
        PrintStream log = new PrintStream(Files.newOutputStream(logFile));
        Map<Thread, Boolean> threads = new ConcurrentHashMap<>();
        long end = System.currentTimeMillis() + seconds * 1_000L;
        for (int i = 0; System.currentTimeMillis() < end; i++) {
            String id = String.format("%016x", 0x5a17000000000000L + i);
            String key = String.format("%016x", (i + 1) * 0x9e3779b97f4a7c15L);
            threads.put(start("client", () -> client(relay, id, key, log)), true);
            Thread.sleep(intervalMs);
        }
        for (Thread thread : threads.keySet()) {
            thread.join(4_000);
        }
    }

    private static void client(InetSocketAddress relay, String id, String key, PrintStream log)
            throws IOException, InterruptedException {
        try (Socket socket = new Socket()) {
            socket.connect(relay, 1_000);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(4_000);
            log(log, "sent " + id);
            String line =
                    "OPEN " + id + " " + key + " c=status-report,t=kitaden-charge,d=2000,g=" + key;
            socket.getOutputStream()
                    .write((line + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
            BufferedReader in =
                    new BufferedReader(
                            new InputStreamReader(
                                    socket.getInputStream(), StandardCharsets.ISO_8859_1));
            log(log, "answered " + id + " " + in.readLine());
            Thread.sleep(1_000);
        } catch (IOException failed) {
            log(log, "broken " + id + " " + failed.getMessage());
        }
    }
}

package saltstage.configuration.follower;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** An HTTP source on a real socket that responds to each request as its script defines. */
public final class ScriptedSource implements AutoCloseable {
    /** Defines how a source handles a request. */
    public interface Script {
        /** Writes a response or none; if it throws an exception, the connection is reset. */
        void respond(Map<String, String> query, OutputStream out) throws Exception;
    }

    private final ServerSocket serverSocket =
            new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private final List<Socket> openSockets = new CopyOnWriteArrayList<>();
    private final AtomicLong byteCount = new AtomicLong();
    private final AtomicLong requestCount = new AtomicLong();
    private volatile Script script;

    public ScriptedSource(Script script) throws IOException {
        this.script = script;
        startThread(this::acceptConnections);
    }

    /** Writes a complete response with this body. */
    public static void writeResponse(OutputStream out, int status, String body) throws IOException {
        byte[] bodyBytes = body.getBytes(StandardCharsets.UTF_8);
        String head =
                "HTTP/1.1 " + status + " -\r\nContent-Length: " + bodyBytes.length + "\r\n\r\n";
        out.write((head + body).getBytes(StandardCharsets.UTF_8));
    }

    public void setScript(Script next) {
        script = next;
    }

    public String address() {
        return "127.0.0.1:" + serverSocket.getLocalPort();
    }

    URI uri() {
        return FollowerOptions.sourceUri(address());
    }

    /** The number of bytes of all requests and responses. */
    long byteCount() {
        return byteCount.get();
    }

    long requestCount() {
        return requestCount.get();
    }

    private static void startThread(Runnable task) {
        Thread thread = new Thread(task, "source");
        thread.setDaemon(true);
        thread.start();
    }

    private void acceptConnections() {
        try {
            while (true) {
                Socket socket = serverSocket.accept();
                openSockets.add(socket);
                startThread(() -> serve(socket));
            }
        } catch (IOException closed) {
            openSockets.forEach(ScriptedSource::reset);
        }
    }

    private void serve(Socket socket) {
        try {
            BufferedReader in =
                    new BufferedReader(
                            new InputStreamReader(
                                    socket.getInputStream(), StandardCharsets.ISO_8859_1));
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                String query = line.replaceAll("^GET [^?]*\\?| HTTP/1.1$", "");
                String path = line.replaceAll("^GET |[?].*$", "");
                for (; !line.isEmpty(); line = in.readLine()) {
                    byteCount.addAndGet(line.length() + 2);
                }
                byteCount.addAndGet(2);
                requestCount.incrementAndGet();
                script.respond(parseQuery("path=" + path + "&" + query), countingOutput(socket));
            }
        } catch (Exception failed) { // the script's failure resets the connection
            reset(socket);
        }
    }

    private OutputStream countingOutput(Socket socket) throws IOException {
        OutputStream out = socket.getOutputStream();
        return new OutputStream() {
            @Override
            public void write(int value) throws IOException {
                write(new byte[] {(byte) value}, 0, 1);
            }

            @Override
            public void write(byte[] buffer, int offset, int length) throws IOException {
                byteCount.addAndGet(length);
                out.write(buffer, offset, length);
            }
        };
    }

    private static Map<String, String> parseQuery(String query) {
        return Stream.of(query.split("&"))
                .map(pair -> pair.split("=", 2))
                .collect(Collectors.toMap(pair -> pair[0], pair -> pair[1]));
    }

    private static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException ignored) {
            return;
        }
    }

    @Override
    public void close() throws IOException {
        serverSocket.close();
        openSockets.forEach(ScriptedSource::reset);
    }
}

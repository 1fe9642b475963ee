import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Discovery with one list that does not change: the whole list first, then an empty line each 2 s. */
final class DiscoveryServer {
    private final ServerSocket server;
    private final String list;

    DiscoveryServer(int revision, String targets) throws IOException {
        list = "{\"rev\":" + revision + ",\"all\":true,\"targets\":[" + targets + "]}\n";
        server = new ServerSocket(0, 64, InetAddress.getLoopbackAddress());
        LineServer.daemon(() -> {
            while (true) {
                try {
                    Socket socket = server.accept();
                    LineServer.daemon(() -> serve(socket));
                } catch (IOException e) {
                    return;
                }
            }
        });
    }

    int port() {
        return server.getLocalPort();
    }

    private void serve(Socket socket) {
        try (socket) {
            BufferedReader in =
                new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
            String request = in.readLine();
            for (String line = request; line != null && !line.isEmpty(); line = in.readLine()) {
                continue;
            }
            OutputStream out = socket.getOutputStream();
            if (request == null || !request.contains("watch=1")) {
                out.write(("HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list)
                    .getBytes(StandardCharsets.US_ASCII));
                return;
            }
            out.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            chunk(out, list);
            while (true) {
                Thread.sleep(2000);
                chunk(out, "\n");
            }
        } catch (IOException | InterruptedException e) {
            return;
        }
    }

    private static void chunk(OutputStream out, String text) throws IOException {
        out.write((Integer.toHexString(text.length()) + "\r\n" + text + "\r\n").getBytes(StandardCharsets.US_ASCII));
    }
}

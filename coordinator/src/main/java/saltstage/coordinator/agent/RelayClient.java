package saltstage.coordinator.agent;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;

/** RelayClient to relays, as operators make them, and looks at nodes, as relays take them. */
final class RelayClient {
    private static final Duration TIMEOUT = Duration.ofMillis(1_500);

    private RelayClient() {}

    /** One line there, one line back; null where none came in time. */
    private static String exchange(InetSocketAddress address, String line) {
        try (Socket socket = new Socket()) {
            socket.connect(address, (int) TIMEOUT.toMillis());
            socket.setSoTimeout((int) TIMEOUT.toMillis());
            socket.getOutputStream().write((line + "\r\n").getBytes(StandardCharsets.US_ASCII));
            return new BufferedReader(
                            new InputStreamReader(
                                    socket.getInputStream(), StandardCharsets.US_ASCII))
                    .readLine();
        } catch (IOException e) {
            return null;
        }
    }

    /** Whether a relay has said that nothing more goes to a node, or that it is used again. */
    static boolean setSuspended(InetSocketAddress relay, boolean suspend, String node) {
        String answer = exchange(relay, (suspend ? "SUSPEND " : "RESTORE ") + node);
        return answer != null && answer.startsWith("done");
    }

    /** Whether a node answers. */
    static boolean isAnswering(InetSocketAddress node) {
        return "PONG".equals(exchange(node, "PING"));
    }
}

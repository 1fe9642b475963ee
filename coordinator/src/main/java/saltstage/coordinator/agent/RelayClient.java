package saltstage.coordinator.agent;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;

/** Makes operator calls to relays, and pings nodes the way that relays do. */
final class RelayClient {
    private static final Duration TIMEOUT = Duration.ofMillis(1_500);

    private RelayClient() {}

    /** Sends one line and returns the first line of the response, or null if it fails. */
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

    /** Suspends or restores a node on a relay; true if the relay has confirmed it. */
    static boolean setSuspended(InetSocketAddress relay, boolean suspend, String node) {
        String answer = exchange(relay, (suspend ? "SUSPEND " : "RESTORE ") + node);
        return answer != null && answer.startsWith("done");
    }

    /** Whether the node answers a ping. */
    static boolean isAnswering(InetSocketAddress node) {
        return "PONG".equals(exchange(node, "PING"));
    }
}

package saltstage.lab.trial;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;

/**
 * Simulates the relays and nodes of one region for an agent: the relays take operator calls and the
 * nodes answer PING. It records which nodes are suspended and when they were restored,
 * independently of the state of the group.
 */
final class FakeRegion implements AutoCloseable {
    private final String name;
    private final Map<String, InetSocketAddress> nodes = new LinkedHashMap<>();
    private final long warmUpMs;
    private final List<InetSocketAddress> realRelays;
    private final List<Set<String>> suspendedNodesByRelay = new ArrayList<>();
    private final List<ServerSocket> relayListeners = new ArrayList<>();
    private final List<ServerSocket> nodeListeners = new ArrayList<>();
    private final Map<String, Long> restoredAtNanos = new LinkedHashMap<>();
    private final Set<String> downNodes = new HashSet<>();
    private final Set<Integer> downRelays = new HashSet<>();
    private int suspensionCount;

    /** Creates a region whose relays and nodes are all simulated. */
    FakeRegion(String name, int nodeCount, int relayCount, long warmUpMs) throws IOException {
        this(name, warmUpMs, List.of());
        for (int i = 1; i <= nodeCount; i++) {
            String node = name + i;
            ServerSocket listener =
                    listen(line -> isDown(node) ? null : line.equals("PING") ? "PONG" : "NO");
            nodeListeners.add(listener);
            nodes.put(node, (InetSocketAddress) listener.getLocalSocketAddress());
        }
        startRelays(relayCount);
    }

    /**
     * Creates a region with existing nodes and relays. The simulated relays forward operator calls
     * to the real ones and record them.
     */
    FakeRegion(
            String name,
            Map<String, InetSocketAddress> nodes,
            List<InetSocketAddress> realRelays,
            long warmUpMs)
            throws IOException {
        this(name, warmUpMs, realRelays);
        this.nodes.putAll(nodes);
        startRelays(realRelays.size());
    }

    private FakeRegion(String name, long warmUpMs, List<InetSocketAddress> realRelays) {
        this.name = name;
        this.warmUpMs = warmUpMs;
        this.realRelays = realRelays;
    }

    private void startRelays(int count) throws IOException {
        for (int i = 0; i < count; i++) {
            int relay = i;
            suspendedNodesByRelay.add(new HashSet<>());
            relayListeners.add(listen(line -> handleCall(relay, line)));
        }
    }

    /** Forwards a call to the real relay and returns its answer; without real relays, "done". */
    private String forwardToRealRelay(int relay, String line) {
        if (realRelays.isEmpty()) {
            return "done";
        }
        try (Socket connection = new Socket()) {
            connection.connect(realRelays.get(relay), 1_000);
            connection.setSoTimeout(1_400);
            connection.getOutputStream().write((line + "\r\n").getBytes(StandardCharsets.US_ASCII));
            return new BufferedReader(
                            new InputStreamReader(
                                    connection.getInputStream(), StandardCharsets.US_ASCII))
                    .readLine();
        } catch (IOException unreachable) {
            return null;
        }
    }

    private static ServerSocket listen(Function<String, String> handler) throws IOException {
        ServerSocket listener = new ServerSocket(0, 64, InetAddress.getLoopbackAddress());
        Thread thread =
                new Thread(
                        () -> {
                            while (!listener.isClosed()) {
                                try (Socket connection = listener.accept()) {
                                    connection.setSoTimeout(1_000);
                                    String line =
                                            new BufferedReader(
                                                            new InputStreamReader(
                                                                    connection.getInputStream(),
                                                                    StandardCharsets.US_ASCII))
                                                    .readLine();
                                    String answer = line == null ? null : handler.apply(line);
                                    if (answer != null) {
                                        connection
                                                .getOutputStream()
                                                .write(
                                                        (answer + "\r\n")
                                                                .getBytes(
                                                                        StandardCharsets.US_ASCII));
                                    }
                                } catch (IOException failed) {
                                    continue;
                                }
                            }
                        },
                        "fake-region");
        thread.setDaemon(true);
        thread.start();
        return listener;
    }

    private synchronized boolean isDown(String node) {
        return downNodes.contains(node);
    }

    private String handleCall(int relay, String line) {
        String[] words = line.split(" ");
        synchronized (this) {
            if (downRelays.contains(relay)) {
                return null;
            }
        }
        if (words.length != 2 || !nodes.containsKey(words[1])) {
            return "error no such call";
        }
        // A suspension is recorded before forwarding: the relay may act even if its answer is lost.
        if (words[0].equals("SUSPEND")) {
            recordCall(relay, words);
        }
        String answer = forwardToRealRelay(relay, line);
        if (answer != null && answer.startsWith("done")) {
            recordCall(relay, words);
        }
        return answer;
    }

    private synchronized void recordCall(int relay, String[] words) {
        boolean wasSuspended = isSuspended(words[1]);
        if (words[0].equals("SUSPEND")) {
            suspendedNodesByRelay.get(relay).add(words[1]);
            suspensionCount += wasSuspended ? 0 : 1;
        } else {
            suspendedNodesByRelay.get(relay).remove(words[1]);
            if (wasSuspended && !isSuspended(words[1])) {
                restoredAtNanos.put(words[1], System.nanoTime());
            }
        }
    }

    private boolean isSuspended(String node) {
        return suspendedNodesByRelay.stream().anyMatch(set -> set.contains(node));
    }

    /**
     * Returns the current capacity of the region, 1000 for each node. Suspended nodes count as 0
     * and restored nodes warm up gradually; with {@code includeOutages}, nodes that are down count
     * as 0 too.
     */
    synchronized long capacity(boolean includeOutages) {
        long total = 0;
        for (String node : nodes.keySet()) {
            long restoredNanos = restoredAtNanos.getOrDefault(node, 0L);
            long warmingMs = (System.nanoTime() - restoredNanos) / 1_000_000;
            long nodeCapacity =
                    restoredNanos == 0 || warmingMs >= warmUpMs
                            ? 1_000
                            : 310 + 690 * warmingMs / warmUpMs;
            total +=
                    isSuspended(node) || includeOutages && downNodes.contains(node)
                            ? 0
                            : nodeCapacity;
        }
        return total;
    }

    /** Returns how often a node was suspended. */
    synchronized int suspensionCount() {
        return suspensionCount;
    }

    /** Returns whether no node is suspended. */
    synchronized boolean hasNoSuspendedNode() {
        return nodes.keySet().stream().noneMatch(this::isSuspended);
    }

    /** Stops or restarts the answers of a node. */
    synchronized void setNodeDown(String node, boolean down) {
        if (down) {
            downNodes.add(node);
        } else {
            downNodes.remove(node);
        }
    }

    /** Stops or restarts the answers of a relay to operator calls. */
    synchronized void setRelayDown(int relay, boolean down) {
        if (down) {
            downRelays.add(relay);
        } else {
            downRelays.remove(relay);
        }
    }

    /** Writes the settings file of the region's agent and returns its path. */
    Path writeAgentSettings(Path dir) throws IOException {
        StringBuilder text = new StringBuilder("agent \"" + name + "\" {\n");
        for (int i = 0; i < relayListeners.size(); i++) {
            text.append("  relay \"n")
                    .append(i)
                    .append("\" {\n    admin = \"127.0.0.1:")
                    .append(relayListeners.get(i).getLocalPort())
                    .append("\"\n  }\n");
        }
        nodes.forEach(
                (node, address) ->
                        text.append("  node \"")
                                .append(node)
                                .append("\" {\n    at = \"")
                                .append(address.getAddress().getHostAddress())
                                .append(':')
                                .append(address.getPort())
                                .append("\"\n  }\n"));
        return Files.writeString(dir.resolve("agent-" + name + ".hcl"), text + "}\n");
    }

    /** Returns the settings block of the region for the fleet settings. */
    String fleetSettings() {
        StringBuilder text = new StringBuilder("  region \"" + name + "\" {\n");
        nodes.keySet()
                .forEach(
                        node ->
                                text.append("    node \"")
                                        .append(node)
                                        .append("\" {\n      capacity = 1\n    }\n"));
        return text + "  }\n";
    }

    String name() {
        return name;
    }

    List<String> nodeNames() {
        return List.copyOf(nodes.keySet());
    }

    /** Returns the nodes that are suspended at any relay. */
    synchronized List<String> suspendedNodes() {
        return nodes.keySet().stream().filter(this::isSuspended).toList();
    }

    @Override
    public void close() throws IOException {
        for (ServerSocket relay : relayListeners) {
            relay.close();
        }
        for (ServerSocket node : nodeListeners) {
            node.close();
        }
    }
}

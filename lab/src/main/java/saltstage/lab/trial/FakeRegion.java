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
    FakeRegion(String name, int nodeCount, int relayCount, long warmMs) throws IOException {
        this(name, warmMs, List.of());
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
            List<InetSocketAddress> behind,
            long warmMs)
            throws IOException {
        this(name, warmMs, behind);
        this.nodes.putAll(nodes);
        startRelays(behind.size());
    }

    private FakeRegion(String name, long warmMs, List<InetSocketAddress> behind) {
        this.name = name;
        this.warmUpMs = warmMs;
        this.realRelays = behind;
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
        try (Socket there = new Socket()) {
            there.connect(realRelays.get(relay), 1_000);
            there.setSoTimeout(1_400);
            there.getOutputStream().write((line + "\r\n").getBytes(StandardCharsets.US_ASCII));
            return new BufferedReader(
                            new InputStreamReader(
                                    there.getInputStream(), StandardCharsets.US_ASCII))
                    .readLine();
        } catch (IOException silent) {
            return null;
        }
    }

    private static ServerSocket listen(Function<String, String> answers) throws IOException {
        ServerSocket listener = new ServerSocket(0, 64, InetAddress.getLoopbackAddress());
        Thread thread =
                new Thread(
                        () -> {
                            while (!listener.isClosed()) {
                                try (Socket from = listener.accept()) {
                                    from.setSoTimeout(1_000);
                                    String line =
                                            new BufferedReader(
                                                            new InputStreamReader(
                                                                    from.getInputStream(),
                                                                    StandardCharsets.US_ASCII))
                                                    .readLine();
                                    String answer = line == null ? null : answers.apply(line);
                                    if (answer != null) {
                                        from.getOutputStream()
                                                .write(
                                                        (answer + "\r\n")
                                                                .getBytes(
                                                                        StandardCharsets.US_ASCII));
                                    }
                                } catch (IOException next) {
                                    continue;
                                }
                            }
                        },
                        "stand-in");
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
        boolean was = isSuspended(words[1]);
        if (words[0].equals("SUSPEND")) {
            suspendedNodesByRelay.get(relay).add(words[1]);
            suspensionCount += was ? 0 : 1;
        } else {
            suspendedNodesByRelay.get(relay).remove(words[1]);
            if (was && !isSuspended(words[1])) {
                restoredAtNanos.put(words[1], System.nanoTime());
            }
        }
    }

    private boolean isSuspended(String node) {
        return suspendedNodesByRelay.stream().anyMatch(set -> set.contains(node));
    }

    /**
     * Returns the current capacity of the region, 1000 for each node. Suspended nodes count as 0
     * and restored nodes warm up gradually; with {@code outages}, nodes that are down count as 0
     * too.
     */
    synchronized long capacity(boolean outages) {
        long sum = 0;
        for (String node : nodes.keySet()) {
            long back = restoredAtNanos.getOrDefault(node, 0L);
            long since = (System.nanoTime() - back) / 1_000_000;
            long warm = back == 0 || since >= warmUpMs ? 1_000 : 310 + 690 * since / warmUpMs;
            sum += isSuspended(node) || outages && downNodes.contains(node) ? 0 : warm;
        }
        return sum;
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
    synchronized void setNodeDown(String node, boolean yes) {
        if (yes) {
            downNodes.add(node);
        } else {
            downNodes.remove(node);
        }
    }

    /** Stops or restarts the answers of a relay to operator calls. */
    synchronized void setRelayDown(int relay, boolean yes) {
        if (yes) {
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
                (node, at) ->
                        text.append("  node \"")
                                .append(node)
                                .append("\" {\n    at = \"")
                                .append(at.getAddress().getHostAddress())
                                .append(':')
                                .append(at.getPort())
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

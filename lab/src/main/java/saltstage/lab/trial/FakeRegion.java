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
 * The relays and nodes of one region, as an agent meets them: relays take operators' calls, nodes
 * answer PING. It knows what is out and since when it is back, whatever the group believes.
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

    /** A region of which all is made here. */
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
     * One whose nodes and relays are there already: it stands before the relays and sees what they
     * are told.
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

    /** What the relay behind says; what no relay stands behind is done. */
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
        if (words[0].equals("SUSPEND")) {
            recordCall(relay, words); // from the asking on: whether it was heard is not known
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

    /** What the region can do now, of 1000 a node; with windows alone, or with outages too. */
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

    /** How often a node was taken out. */
    synchronized int suspensionCount() {
        return suspensionCount;
    }

    /** Whether nothing is out. */
    synchronized boolean hasNoSuspendedNode() {
        return nodes.keySet().stream().noneMatch(this::isSuspended);
    }

    /** A node that is dead, or is there again. */
    synchronized void setNodeDown(String node, boolean yes) {
        if (yes) {
            downNodes.add(node);
        } else {
            downNodes.remove(node);
        }
    }

    /** A relay that is away; when it comes back it has forgotten what was suspended. */
    synchronized void setRelayDown(int relay, boolean yes) {
        if (yes) {
            downRelays.add(relay);
        } else {
            downRelays.remove(relay);
        }
    }

    /** The agent's settings. */
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

    /** Its part of the agreement. */
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

    /** Those that take nothing new now. */
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

package saltstage.lab.trial;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
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
 * The relays and nodes of one region, as an agent meets them: relays take operators' calls, nodes answer
 * PING. It knows what is out and since when it is back, whatever the group believes.
 */
final class StandInRegion implements AutoCloseable {
    private final String name;
    private final List<String> nodes;
    private final long warmMs;
    private final List<Set<String>> suspended = new ArrayList<>();
    private final List<ServerSocket> relays = new ArrayList<>();
    private final Map<String, ServerSocket> listeners = new LinkedHashMap<>();
    private final Map<String, Long> backSince = new LinkedHashMap<>();
    private final Set<String> down = new HashSet<>();
    private final Set<Integer> relaysDown = new HashSet<>();
    private int begun;

    StandInRegion(String name, int nodeCount, int relayCount, long warmMs) throws IOException {
        this.name = name;
        this.warmMs = warmMs;
        nodes = new ArrayList<>();
        for (int i = 1; i <= nodeCount; i++) {
            String node = name + i;
            nodes.add(node);
            listeners.put(node, listen(line -> isDown(node) ? null : line.equals("PING") ? "PONG" : "NO"));
        }
        for (int i = 0; i < relayCount; i++) {
            int relay = i;
            suspended.add(new HashSet<>());
            relays.add(listen(line -> call(relay, line)));
        }
    }

    private static ServerSocket listen(Function<String, String> answers) throws IOException {
        ServerSocket listener = new ServerSocket(0, 64, InetAddress.getLoopbackAddress());
        Thread thread = new Thread(() -> {
            while (!listener.isClosed()) {
                try (Socket from = listener.accept()) {
                    from.setSoTimeout(1_000);
                    String line = new BufferedReader(new InputStreamReader(from.getInputStream(),
                        StandardCharsets.US_ASCII)).readLine();
                    String answer = line == null ? null : answers.apply(line);
                    if (answer != null) {
                        from.getOutputStream().write((answer + "\r\n").getBytes(StandardCharsets.US_ASCII));
                    }
                } catch (IOException next) {
                    continue;
                }
            }
        }, "stand-in");
        thread.setDaemon(true);
        thread.start();
        return listener;
    }

    private synchronized boolean isDown(String node) {
        return down.contains(node);
    }

    private synchronized String call(int relay, String line) {
        String[] words = line.split(" ");
        if (relaysDown.contains(relay)) {
            return null;
        }
        if (words.length != 2 || !nodes.contains(words[1])) {
            return "error no such call";
        }
        boolean was = out(words[1]);
        if (words[0].equals("SUSPEND")) {
            suspended.get(relay).add(words[1]);
            begun += was ? 0 : 1;
        } else {
            suspended.get(relay).remove(words[1]);
            if (was && !out(words[1])) {
                backSince.put(words[1], System.nanoTime());
            }
        }
        return "done";
    }

    private boolean out(String node) {
        return suspended.stream().anyMatch(set -> set.contains(node));
    }

    /** What the region can do now, of 1000 a node; with windows alone, or with outages too. */
    synchronized long capacity(boolean outages) {
        long sum = 0;
        for (String node : nodes) {
            long back = backSince.getOrDefault(node, 0L);
            long since = (System.nanoTime() - back) / 1_000_000;
            long warm = back == 0 || since >= warmMs ? 1_000 : 310 + 690 * since / warmMs;
            sum += out(node) || outages && down.contains(node) ? 0 : warm;
        }
        return sum;
    }

    /** How often a node was taken out. */
    synchronized int begun() {
        return begun;
    }

    /** Whether nothing is out. */
    synchronized boolean whole() {
        return nodes.stream().noneMatch(this::out);
    }

    /** A node that is dead, or is there again. */
    synchronized void dead(String node, boolean yes) {
        if (yes) {
            down.add(node);
        } else {
            down.remove(node);
        }
    }

    /** A relay that is away; when it comes back it has forgotten what was suspended. */
    synchronized void relayAway(int relay, boolean yes) {
        if (yes) {
            relaysDown.add(relay);
        } else {
            relaysDown.remove(relay);
        }
    }

    /** The agent's settings. */
    Path settings(Path dir) throws IOException {
        StringBuilder text = new StringBuilder("agent \"" + name + "\" {\n");
        for (int i = 0; i < relays.size(); i++) {
            text.append("  relay \"n").append(i).append("\" {\n    admin = \"127.0.0.1:")
                .append(relays.get(i).getLocalPort()).append("\"\n  }\n");
        }
        listeners.forEach((node, at) -> text.append("  node \"").append(node)
            .append("\" {\n    at = \"127.0.0.1:").append(at.getLocalPort()).append("\"\n  }\n"));
        return Files.writeString(dir.resolve("agent-" + name + ".hcl"), text + "}\n");
    }

    /** Its part of the agreement. */
    String fleet() {
        StringBuilder text = new StringBuilder("  region \"" + name + "\" {\n");
        nodes.forEach(node -> text.append("    node \"").append(node)
            .append("\" {\n      capacity = 1\n    }\n"));
        return text + "  }\n";
    }

    String name() {
        return name;
    }

    List<String> nodes() {
        return nodes;
    }

    @Override
    public void close() throws IOException {
        for (ServerSocket relay : relays) {
            relay.close();
        }
        for (ServerSocket node : listeners.values()) {
            node.close();
        }
    }
}

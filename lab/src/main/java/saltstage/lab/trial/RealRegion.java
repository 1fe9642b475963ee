package saltstage.lab.trial;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import saltstage.lab.Home;
import saltstage.lab.fleet.Clients;
import saltstage.lab.fleet.Fleet;
import saltstage.lab.fleet.Gateway;

/** A region with a real relay in a process of its own, stand-in gateways, and clients that come and stay. */
final class RealRegion implements AutoCloseable {
    private final Fleet fleet;
    private final Proc relay;
    private final Clients clients;
    private final StandInRegion seen;
    private final Map<String, Gateway> gateways = new LinkedHashMap<>();

    RealRegion(String name, Path under, int size, int clientCount, long warmMs)
            throws IOException, InterruptedException {
        Path dir = Files.createDirectories(under.resolve("region-" + name));
        Path tmp = Files.createDirectories(dir.resolve("tmp"));
        fleet = new Fleet(size);
        fleet.writeFiles(dir, "log {\n  level = \"info\"\n}\n");
        InetSocketAddress admin = new InetSocketAddress(InetAddress.getLoopbackAddress(), freePort());
        relay = Proc.relay("relay-" + name, dir, Map.of("GW_ADMIN", "127.0.0.1:" + admin.getPort(), "TMPDIR",
            tmp.toString()), List.of("serve", "--config", dir.resolve("config.json").toString(), "--settings",
            dir.resolve("saltstage.hcl").toString())).start();
        String[] at = fleet.listen().split(":");
        InetSocketAddress listen = new InetSocketAddress(at[0], Integer.parseInt(at[1]));
        Home.awaitPong(listen, relay.process(), Duration.ofSeconds(30));
        clients = new Clients(listen, clientCount, Duration.ofMillis(300), Duration.ofSeconds(60));
        Map<String, InetSocketAddress> nodes = new LinkedHashMap<>();
        fleet.gateways().forEach(gateway -> {
            nodes.put(gateway.uid(), gateway.address());
            gateways.put(gateway.uid(), gateway);
        });
        seen = new StandInRegion(name, nodes, List.of(admin), warmMs);
    }

    private static int freePort() throws IOException {
        try (ServerSocket any = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return any.getLocalPort();
        }
    }

    /** What stands before its relay. */
    StandInRegion seen() {
        return seen;
    }

    /** The relay's process. */
    Proc relay() {
        return relay;
    }

    /** The clients. */
    Clients clients() {
        return clients;
    }

    /** Connections that stand at a node. */
    int standing(String node) {
        return gateways.get(node).standing();
    }

    @Override
    public void close() throws IOException, InterruptedException {
        clients.end();
        relay.close();
        seen.close();
        for (Gateway gateway : gateways.values()) {
            gateway.kill();
        }
    }
}

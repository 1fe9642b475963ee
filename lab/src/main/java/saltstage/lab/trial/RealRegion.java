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
import saltstage.lab.Installation;
import saltstage.lab.fleet.FakeBackend;
import saltstage.lab.fleet.FakeFleet;
import saltstage.lab.fleet.SimulatedClients;

/**
 * A region with a real relay in a process of its own, simulated backends, and simulated clients
 * that keep their connections open.
 */
final class RealRegion implements AutoCloseable {
    private final FakeFleet fleet;
    private final TrialProcess relay;
    private final SimulatedClients clients;
    private final FakeRegion fakeRegion;
    private final Map<String, FakeBackend> backends = new LinkedHashMap<>();

    RealRegion(String name, Path under, int size, int clientCount, long warmMs)
            throws IOException, InterruptedException {
        Path dir = Files.createDirectories(under.resolve("region-" + name));
        Path tmp = Files.createDirectories(dir.resolve("tmp"));
        fleet = new FakeFleet(size);
        fleet.writeFiles(dir, "log {\n  level = \"info\"\n}\n");
        InetSocketAddress admin =
                new InetSocketAddress(InetAddress.getLoopbackAddress(), freePort());
        relay =
                TrialProcess.relay(
                                "relay-" + name,
                                dir,
                                Map.of(
                                        "GW_ADMIN",
                                        "127.0.0.1:" + admin.getPort(),
                                        "TMPDIR",
                                        tmp.toString()),
                                List.of(
                                        "serve",
                                        "--config",
                                        dir.resolve("config.json").toString(),
                                        "--settings",
                                        dir.resolve("saltstage.hcl").toString()))
                        .start();
        String[] at = fleet.listenAddress().split(":");
        InetSocketAddress listen = new InetSocketAddress(at[0], Integer.parseInt(at[1]));
        Installation.awaitPong(listen, relay.process(), Duration.ofSeconds(30));
        clients =
                new SimulatedClients(
                        listen, clientCount, Duration.ofMillis(300), Duration.ofSeconds(60));
        Map<String, InetSocketAddress> nodes = new LinkedHashMap<>();
        fleet.backends()
                .forEach(
                        gateway -> {
                            nodes.put(gateway.uid(), gateway.address());
                            backends.put(gateway.uid(), gateway);
                        });
        fakeRegion = new FakeRegion(name, nodes, List.of(admin), warmMs);
    }

    private static int freePort() throws IOException {
        try (ServerSocket any = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return any.getLocalPort();
        }
    }

    /** Returns the simulated region that forwards operator calls to the relay and records them. */
    FakeRegion fakeRegion() {
        return fakeRegion;
    }

    /** Returns the process of the relay. */
    TrialProcess relay() {
        return relay;
    }

    /** Returns the simulated clients. */
    SimulatedClients clients() {
        return clients;
    }

    /** Returns the number of established connections at a node. */
    int establishedCount(String node) {
        return backends.get(node).establishedCount();
    }

    @Override
    public void close() throws IOException, InterruptedException {
        clients.stop();
        relay.close();
        fakeRegion.close();
        for (FakeBackend gateway : backends.values()) {
            gateway.kill();
        }
    }
}

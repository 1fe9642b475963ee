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

    RealRegion(String name, Path parentDir, int backendCount, int clientCount, long warmUpMs)
            throws IOException, InterruptedException {
        Path dir = Files.createDirectories(parentDir.resolve("region-" + name));
        Path tempDir = Files.createDirectories(dir.resolve("tmp"));
        fleet = new FakeFleet(backendCount);
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
                                        tempDir.toString()),
                                List.of(
                                        "serve",
                                        "--config",
                                        dir.resolve("config.json").toString(),
                                        "--settings",
                                        dir.resolve("saltstage.hcl").toString()))
                        .start();
        String[] hostAndPort = fleet.listenAddress().split(":");
        InetSocketAddress listen =
                new InetSocketAddress(hostAndPort[0], Integer.parseInt(hostAndPort[1]));
        Installation.awaitPong(listen, relay.process(), Duration.ofSeconds(30));
        clients =
                new SimulatedClients(
                        listen, clientCount, Duration.ofMillis(300), Duration.ofSeconds(60));
        Map<String, InetSocketAddress> nodes = new LinkedHashMap<>();
        fleet.backends()
                .forEach(
                        backend -> {
                            nodes.put(backend.uid(), backend.address());
                            backends.put(backend.uid(), backend);
                        });
        fakeRegion = new FakeRegion(name, nodes, List.of(admin), warmUpMs);
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
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
        for (FakeBackend backend : backends.values()) {
            backend.kill();
        }
    }
}

package saltstage.lab.trial;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import saltstage.coordinator.client.GroupClient;
import saltstage.coordinator.client.Ticker;

/**
 * Two distributors of a group, each in a zone of its own, and one process with followers for each
 * zone. The links between distributors and replicas, and between followers and distributors, pass
 * through proxies that can inject faults.
 */
final class ConfigurationFleet implements AutoCloseable {
    private static final List<String> ZONES = List.of("a1", "a2");

    private final GroupUnderTest group;
    private final ConfigurationObserver observer;
    private final int followersPerZone;
    private final Map<String, InetSocketAddress> distributorAddresses = new LinkedHashMap<>();
    private final Map<String, TrialProcess> distributors = new LinkedHashMap<>();
    private final Map<String, TrialProcess> followers = new LinkedHashMap<>();

    /** The links from each process to its sources, the preferred source first. */
    private final Map<String, List<FaultProxy>> links = new LinkedHashMap<>();

    ConfigurationFleet(
            Path dir, GroupUnderTest group, ConfigurationObserver observer, int followersPerZone)
            throws IOException {
        this.group = group;
        this.observer = observer;
        this.followersPerZone = followersPerZone;
        for (String zone : ZONES) {
            distributorAddresses.put("d-" + zone, freeAddress());
        }
        Path settings = writeSettings(dir);
        for (String zone : ZONES) {
            String distributor = "d-" + zone;
            distributors.put(distributor, newDistributorProcess(dir, settings, distributor));
            followers.put("f-" + zone, newFollowerProcess(dir, zone));
        }
    }

    private static InetSocketAddress freeAddress() throws IOException {
        try (ServerSocket socket =
                new ServerSocket(0, 1, java.net.InetAddress.getLoopbackAddress())) {
            return (InetSocketAddress) socket.getLocalSocketAddress();
        }
    }

    private static String formatAddress(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    private static String proxyAddress(FaultProxy link) {
        return "127.0.0.1:" + link.address().getPort();
    }

    private Path writeSettings(Path dir) throws IOException {
        StringBuilder text =
                new StringBuilder(Files.readString(group.settingsFile(group.names().get(0))));
        for (String zone : ZONES) {
            String name = "d-" + zone;
            List<FaultProxy> toReplicas = new ArrayList<>();
            for (String replica : rotated(group.clientAddresses(), ZONES.indexOf(zone))) {
                String[] parts = replica.split(":");
                toReplicas.add(
                        new FaultProxy(
                                new InetSocketAddress(parts[0], Integer.parseInt(parts[1]))));
            }
            links.put(name, toReplicas);
            List<String> sources =
                    toReplicas.stream().map(link -> "\"" + proxyAddress(link) + "\"").toList();
            text.append("distributor \"" + name + "\" {\n  zone = \"" + zone + "\"\n")
                    .append(
                            "  clients = \""
                                    + formatAddress(distributorAddresses.get(name))
                                    + "\"\n")
                    .append("  sources = [" + String.join(", ", sources) + "]\n")
                    .append("  dir = \"" + dir.resolve("distributors") + "\"\n}\n");
        }
        Path settings = dir.resolve("distributors.hcl");
        Files.writeString(settings, text);
        return settings;
    }

    private static <T> List<T> rotated(Collection<T> items, int distance) {
        List<T> rotated = new ArrayList<>(items);
        java.util.Collections.rotate(rotated, -distance);
        return rotated;
    }

    private static TrialProcess newDistributorProcess(Path dir, Path settings, String name) {
        return TrialProcess.coordinator(
                name,
                TrialProcess.coordinatorJar(),
                dir,
                List.of("distributor", "serve", "--settings", settings.toString(), "--name", name));
    }

    private TrialProcess newFollowerProcess(Path dir, String zone) throws IOException {
        String name = "f-" + zone;
        List<FaultProxy> toDistributors = new ArrayList<>();
        for (InetSocketAddress address :
                rotated(distributorAddresses.values(), ZONES.indexOf(zone))) {
            toDistributors.add(new FaultProxy(address));
        }
        links.put(name, toDistributors);
        List<String> sources =
                toDistributors.stream().map(ConfigurationFleet::proxyAddress).toList();
        return TrialProcess.lab(
                name,
                dir,
                List.of(
                        "trial-followers",
                        "--name",
                        name,
                        "--zone",
                        zone,
                        "--count",
                        Integer.toString(followersPerZone),
                        "--dir",
                        dir.resolve("followers").toString(),
                        "--sources",
                        String.join(",", sources),
                        "--witness",
                        Integer.toString(observer.address().getPort())));
    }

    /** Starts all processes and waits until each follower has reported its first revision. */
    void start(Duration within) throws IOException, InterruptedException {
        for (TrialProcess distributor : distributors.values()) {
            distributor.start();
        }
        for (String name : distributors.keySet()) {
            status(name, within);
        }
        for (TrialProcess process : followers.values()) {
            process.start();
        }
        if (!observer.awaitRevision(0, followerCount(), within.toMillis())) {
            throw new IOException("not all followers have started");
        }
    }

    int followerCount() {
        return ZONES.size() * followersPerZone;
    }

    TrialProcess distributor(String name) {
        return distributors.get(name);
    }

    TrialProcess followers(String name) {
        return followers.get(name);
    }

    List<String> distributorNames() {
        return List.copyOf(distributors.keySet());
    }

    List<String> followerNames() {
        return List.copyOf(followers.keySet());
    }

    /** Returns the links of a distributor to the replicas, or of followers to the distributors. */
    List<FaultProxy> links(String processName) {
        return links.get(processName);
    }

    /** Fetches the status that a distributor reports. */
    JsonNode status(String distributor, Duration within) throws IOException, InterruptedException {
        String address = formatAddress(distributorAddresses.get(distributor));
        return new GroupClient(List.of(address), Ticker.SYSTEM)
                .get("/v1/configuration/status", within);
    }

    /** Restarts or resumes all stopped processes and removes the faults of all links. */
    void heal() throws IOException, InterruptedException {
        links.values().forEach(processLinks -> processLinks.forEach(FaultProxy::heal));
        for (TrialProcess process : processes()) {
            process.resume();
            if (!process.isAlive()) {
                process.start();
            }
        }
    }

    private List<TrialProcess> processes() {
        List<TrialProcess> processes = new ArrayList<>(distributors.values());
        processes.addAll(followers.values());
        return processes;
    }

    @Override
    public void close() throws IOException, InterruptedException {
        for (TrialProcess process : processes()) {
            process.close();
        }
        for (List<FaultProxy> processLinks : links.values()) {
            for (FaultProxy link : processLinks) {
                link.close();
            }
        }
    }
}

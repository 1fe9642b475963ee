package saltstage.lab.scale;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import saltstage.coordinator.client.GroupClient;
import saltstage.coordinator.client.Ticker;
import saltstage.coordinator.group.GroupCodec;
import saltstage.coordinator.model.Command;
import saltstage.lab.scale.Topology.Zone;
import saltstage.lab.trial.TrialProcess;

/**
 * The nine control processes: five replicas and a distributor in each zone, each reached by the
 * others over links with the delay between their zones.
 */
final class ControlPlane implements AutoCloseable {
    /** Use of links: requests of relays to distributors. */
    static final String RELAY_LINKS = "relays";

    /** Use of links: requests and reports of distributors to replicas. */
    static final String DISTRIBUTOR_LINKS = "distributors";

    /** Use of links: traffic between replicas. */
    static final String REPLICA_LINKS = "replicas";

    private static final int PEER_PORT = 7_101;
    private static final int CLIENT_PORT = 7_201;
    private static final int REPLICA_HEAP_MEGABYTES = 256;
    private static final int DISTRIBUTOR_HEAP_MEGABYTES = 256;
    private static final Duration STATUS_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration REJECTION_TIMEOUT = Duration.ofSeconds(4);
    private static final int HTTP_OK = 200;
    private static final Duration LEADER_TIMEOUT = Duration.ofSeconds(30);

    private final Path folder;
    private final ZoneLinks links;
    private final Map<String, Zone> replicaZones = new LinkedHashMap<>();
    private final Map<String, String> replicaHosts = new LinkedHashMap<>();
    private final Map<String, ChildProcess> replicas = new LinkedHashMap<>();
    private final Map<Zone, ChildProcess> distributors = new EnumMap<>(Zone.class);
    private final Map<Zone, String> distributorHosts = new EnumMap<>(Zone.class);

    /** Prepares links, settings files and processes, and starts none of the processes. */
    ControlPlane(Path folder, ZoneLinks links) throws IOException {
        this.folder = folder;
        this.links = links;
        // Not derived from the run's seed: the addresses of concurrent runs must not collide.
        ThreadLocalRandom random = ThreadLocalRandom.current();
        String addressPrefix = "127." + random.nextInt(1, 255) + "." + random.nextInt(255) + ".";
        for (int i = 0; i < Topology.REPLICA_ZONES.size(); i++) {
            replicaZones.put("r" + (i + 1), Topology.REPLICA_ZONES.get(i));
            replicaHosts.put("r" + (i + 1), addressPrefix + (i + 1));
        }
        for (Zone zone : Zone.values()) {
            distributorHosts.put(zone, addressPrefix + (100 + zone.ordinal()));
        }
        for (String name : replicaHosts.keySet()) {
            prepareReplica(name);
        }
        for (Zone zone : Zone.values()) {
            prepareDistributor(zone);
        }
    }

    private void prepareReplica(String name) throws IOException {
        StringBuilder text = new StringBuilder(groupSettings());
        for (String other : replicaHosts.keySet()) {
            if (!other.equals(name)) {
                String address =
                        links.addLink(
                                REPLICA_LINKS,
                                replicaZones.get(name),
                                replicaZones.get(other),
                                new InetSocketAddress(replicaHosts.get(other), PEER_PORT));
                text.append("  reach \"" + other + "\" {\n    at = \"" + address + "\"\n  }\n");
            }
        }
        Path settings = Files.writeString(folder.resolve(name + ".hcl"), text + "}\n");
        replicas.put(
                name,
                coordinatorProcess(
                        name,
                        REPLICA_HEAP_MEGABYTES,
                        List.of(
                                "cluster",
                                "serve",
                                "--settings",
                                settings.toString(),
                                "--name",
                                name)));
    }

    private String groupSettings() {
        StringBuilder text =
                new StringBuilder(
                        "coordinator {\n  group = \"scale\"\n  dir = \""
                                + folder.resolve("replicas")
                                + "\"\n");
        replicaHosts.forEach(
                (name, host) ->
                        text.append(
                                "  member \""
                                        + name
                                        + "\" {\n    peers = \""
                                        + host
                                        + ":"
                                        + PEER_PORT
                                        + "\"\n    clients = \""
                                        + host
                                        + ":"
                                        + CLIENT_PORT
                                        + "\"\n  }\n"));
        return text.toString();
    }

    private void prepareDistributor(Zone zone) throws IOException {
        String name = "d-" + zone.lowerCaseName();
        List<String> settingsBlock =
                List.of(
                        "distributor \"" + name + "\" {",
                        "  zone = \"" + zone.lowerCaseName() + "\"",
                        "  clients = \"" + distributorHosts.get(zone) + ":" + CLIENT_PORT + "\"",
                        "  sources = [\""
                                + String.join("\", \"", addDistributorSources(zone))
                                + "\"]",
                        "  dir = \"" + folder.resolve("distributors") + "\"",
                        "}");
        String text = groupSettings() + "}\n" + String.join("\n", settingsBlock) + "\n";
        Path settings = Files.writeString(folder.resolve(name + ".hcl"), text);
        List<String> arguments =
                List.of("distributor", "serve", "--settings", settings.toString(), "--name", name);
        distributors.put(zone, coordinatorProcess(name, DISTRIBUTOR_HEAP_MEGABYTES, arguments));
    }

    private List<String> addDistributorSources(Zone zone) throws IOException {
        List<String> sources = new ArrayList<>();
        for (Zone preferred : zone.zonesByPreference()) {
            for (String replica : replicasIn(preferred)) {
                InetSocketAddress target =
                        new InetSocketAddress(replicaHosts.get(replica), CLIENT_PORT);
                sources.add(links.addLink(DISTRIBUTOR_LINKS, zone, preferred, target));
            }
        }
        return sources;
    }

    private List<String> replicasIn(Zone zone) {
        return replicaZones.keySet().stream()
                .filter(name -> replicaZones.get(name) == zone)
                .toList();
    }

    private ChildProcess coordinatorProcess(
            String name, int heapMegabytes, List<String> arguments) {
        return ChildProcess.ofJar(
                name, TrialProcess.coordinatorJar(), heapMegabytes, folder, arguments);
    }

    /** Starts all nine processes, the distributors after a leader has been elected. */
    void start() throws IOException, InterruptedException {
        for (ChildProcess replica : replicas.values()) {
            replica.start();
        }
        leader();
        for (ChildProcess distributor : distributors.values()) {
            distributor.start();
        }
    }

    /**
     * Adds links from a zone's relays to all distributors. Returns the addresses of the links, the
     * preferred one first.
     */
    List<String> addRelaySources(Zone zone) throws IOException {
        return addRelaySources(RELAY_LINKS, zone);
    }

    /** Adds such links, whose traffic is counted under another use. */
    List<String> addRelaySources(String use, Zone zone) throws IOException {
        List<String> sources = new ArrayList<>();
        for (Zone preferred : zone.zonesByPreference()) {
            sources.add(
                    links.addLink(
                            use,
                            zone,
                            preferred,
                            new InetSocketAddress(distributorHosts.get(preferred), CLIENT_PORT)));
        }
        return sources;
    }

    /** Returns a client as an operator has it, without a delay to any replica. */
    GroupClient client() {
        return new GroupClient(replicaAddresses(), Ticker.SYSTEM);
    }

    /** Whether each replica in a zone's region rejects a command or does not answer it in time. */
    boolean isRejectingChanges(Zone zone, Command command) throws InterruptedException {
        ObjectNode body =
                GroupCodec.jsonMapper().createObjectNode().put("client", "outsider").put("seq", 1);
        body.set("command", GroupCodec.jsonMapper().valueToTree(command));
        HttpClient http = HttpClient.newHttpClient();
        for (String name : replicaHosts.keySet()) {
            if (replicaZones.get(name).isInSameRegionAs(zone)
                    && isAccepted(http, replicaHosts.get(name), body)) {
                return false;
            }
        }
        return true;
    }

    private static boolean isAccepted(HttpClient http, String host, ObjectNode body)
            throws InterruptedException {
        URI uri = URI.create("http://" + host + ":" + CLIENT_PORT + "/v1/do");
        HttpRequest request =
                HttpRequest.newBuilder(uri)
                        .timeout(REJECTION_TIMEOUT)
                        .POST(HttpRequest.BodyPublishers.ofString(body.toString()))
                        .build();
        try {
            return http.send(request, HttpResponse.BodyHandlers.discarding()).statusCode()
                    == HTTP_OK;
        } catch (IOException unanswered) {
            return false;
        }
    }

    private List<String> replicaAddresses() {
        return replicaHosts.values().stream().map(host -> host + ":" + CLIENT_PORT).toList();
    }

    /** Returns the leader's name after waiting for a leader that a majority follows. */
    String leader() throws IOException, InterruptedException {
        client().get("/v1/leases?limit=1", LEADER_TIMEOUT);
        for (String name : replicaHosts.keySet()) {
            if (replicas.get(name).isAlive() && isLeader(name)) {
                return name;
            }
        }
        throw new IOException("no replica reports that it is the leader");
    }

    private boolean isLeader(String name) throws IOException, InterruptedException {
        try {
            GroupClient replicaClient =
                    new GroupClient(
                            List.of(replicaHosts.get(name) + ":" + CLIENT_PORT), Ticker.SYSTEM);
            JsonNode status = replicaClient.get("/v1/status", STATUS_TIMEOUT);
            return status.path("role").asText().equals("leader");
        } catch (GroupClient.GroupUnreachableException unreachable) {
            return false;
        }
    }

    /** Returns the process of the replica with this name. */
    ChildProcess replica(String name) {
        return replicas.get(name);
    }

    /** Returns the process of a zone's distributor. */
    ChildProcess distributor(Zone zone) {
        return distributors.get(zone);
    }

    /** Kills a zone's replicas and its distributor. */
    void killZone(Zone zone) throws InterruptedException {
        for (Map.Entry<String, ChildProcess> replica : replicas.entrySet()) {
            if (replicaZones.get(replica.getKey()) == zone) {
                replica.getValue().kill();
            }
        }
        distributors.get(zone).kill();
    }

    /** Starts the processes that are not running. */
    void startStopped() throws IOException {
        for (ChildProcess replica : replicas.values()) {
            if (!replica.isAlive()) {
                replica.start();
            }
        }
        for (ChildProcess distributor : distributors.values()) {
            if (!distributor.isAlive()) {
                distributor.start();
            }
        }
    }

    /** Kills all nine processes. */
    void killAll() throws InterruptedException {
        for (ChildProcess process : allProcesses()) {
            process.kill();
        }
    }

    private List<ChildProcess> allProcesses() {
        List<ChildProcess> all = new ArrayList<>(replicas.values());
        all.addAll(distributors.values());
        return all;
    }

    @Override
    public void close() throws InterruptedException {
        for (ChildProcess process : allProcesses()) {
            process.close();
        }
    }
}

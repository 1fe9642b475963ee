package saltstage.lab.trial;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import saltstage.coordinator.client.GroupClient;
import saltstage.coordinator.client.Ticker;

/**
 * The replicas of a group as processes. Each direction between two replicas has a proxy that can
 * inject faults, and so has the client address of each replica.
 */
public final class GroupUnderTest implements AutoCloseable {
    private static final int PEER_PORT = 7_101;
    private static final int CLIENT_PORT = 7_201;

    private final Path dir;
    private final List<String> names = new ArrayList<>();
    private final Map<String, String> hosts = new LinkedHashMap<>();
    private final Map<String, TrialProcess> processes = new LinkedHashMap<>();

    /** The links between replicas, by source and then by destination. */
    private final Map<String, Map<String, FaultProxy>> replicaLinks = new LinkedHashMap<>();

    private final Map<String, FaultProxy> clientLinks = new LinkedHashMap<>();

    /**
     * Creates the replicas without starting them. Each replica runs the jar at its position in the
     * list, or the last jar if the list is shorter.
     *
     * @param extraSettings settings added to those of each replica
     */
    public GroupUnderTest(Path dir, int replicas, List<Path> jars, String extraSettings)
            throws IOException {
        this.dir = dir;
        ThreadLocalRandom random = ThreadLocalRandom.current();
        // Random loopback addresses avoid conflicts with other groups on this machine.
        for (int i = 1; i <= replicas; i++) {
            names.add("r" + i);
            hosts.put(
                    "r" + i, "127." + random.nextInt(1, 255) + "." + random.nextInt(255) + "." + i);
        }
        for (String from : names) {
            Map<String, FaultProxy> linksFromReplica = new LinkedHashMap<>();
            for (String to : names) {
                if (!from.equals(to)) {
                    linksFromReplica.put(
                            to, new FaultProxy(new InetSocketAddress(hosts.get(to), PEER_PORT)));
                }
            }
            replicaLinks.put(from, linksFromReplica);
            clientLinks.put(
                    from, new FaultProxy(new InetSocketAddress(hosts.get(from), CLIENT_PORT)));
        }
        for (int i = 0; i < replicas; i++) {
            writeSettings(names.get(i), extraSettings);
            Path jar = jars.get(Math.min(i, jars.size() - 1));
            processes.put(
                    names.get(i),
                    TrialProcess.coordinator(
                            names.get(i),
                            jar,
                            dir,
                            List.of(
                                    "cluster",
                                    "serve",
                                    "--settings",
                                    settingsFile(names.get(i)).toString(),
                                    "--name",
                                    names.get(i))));
        }
    }

    /** Replaces the additional settings of a replica; they apply from its next start. */
    public void setExtraSettings(String name, String extraSettings) throws IOException {
        writeSettings(name, extraSettings);
    }

    /** Creates a process that joins the group under a new name and address. */
    TrialProcess newJoiningProcess(String name) {
        String host = hosts.get(names.get(0)).replaceAll("[0-9]+$", "200");
        return TrialProcess.coordinator(
                name,
                TrialProcess.coordinatorJar(),
                dir,
                List.of(
                        "cluster",
                        "serve",
                        "--settings",
                        settingsFile(names.get(0)).toString(),
                        "--name",
                        name,
                        "--join",
                        host + ":" + PEER_PORT + "," + host + ":" + CLIENT_PORT));
    }

    private void writeSettings(String name, String extraSettings) throws IOException {
        StringBuilder text =
                new StringBuilder(
                        "coordinator {\n  group = \"trial\"\n  dir = \""
                                + dir.resolve("data")
                                + "\"\n"
                                + extraSettings);
        hosts.forEach(
                (other, host) ->
                        text.append(
                                "  member \""
                                        + other
                                        + "\" {\n    peers = \""
                                        + host
                                        + ":"
                                        + PEER_PORT
                                        + "\"\n    clients = \""
                                        + host
                                        + ":"
                                        + CLIENT_PORT
                                        + "\"\n  }\n"));
        replicaLinks
                .get(name)
                .forEach(
                        (other, link) ->
                                text.append(
                                        "  reach \""
                                                + other
                                                + "\" {\n    at = \"127.0.0.1:"
                                                + link.address().getPort()
                                                + "\"\n  }\n"));
        Files.writeString(settingsFile(name), text + "}\n");
    }

    /** Returns the settings file of a replica. */
    public Path settingsFile(String name) {
        return dir.resolve(name + ".hcl");
    }

    /** Starts all replicas. */
    public GroupUnderTest start() throws IOException {
        for (TrialProcess process : processes.values()) {
            process.start();
        }
        return this;
    }

    /** Returns the names of the replicas. */
    public List<String> names() {
        return names;
    }

    /** Returns the process id of a running replica. */
    public long pid(String name) {
        return processes.get(name).pid();
    }

    TrialProcess process(String name) {
        return processes.get(name);
    }

    FaultProxy replicaLink(String from, String to) {
        return replicaLinks.get(from).get(to);
    }

    FaultProxy clientLink(String name) {
        return clientLinks.get(name);
    }

    /** Returns the client addresses of the replicas, without proxies. */
    public List<String> clientAddresses() {
        return hosts.values().stream().map(host -> host + ":" + CLIENT_PORT).toList();
    }

    /** Returns the client addresses of the replicas through the proxies that can inject faults. */
    public List<String> clientLinkAddresses() {
        return clientLinks.values().stream()
                .map(link -> "127.0.0.1:" + link.address().getPort())
                .toList();
    }

    /** Returns a client that connects to the replicas without proxies. */
    public GroupClient client() {
        return new GroupClient(clientAddresses(), Ticker.SYSTEM);
    }

    /** Waits for a leader that a majority confirms, and returns its name. */
    public String leader(Duration within) throws IOException, InterruptedException {
        JsonNode leases =
                client().get("/v1/leases?limit=1", within); // only a confirmed leader answers
        for (String name : names) {
            if (processes.get(name).isAlive() && !processes.get(name).isPaused()) {
                try {
                    JsonNode status =
                            new GroupClient(
                                            List.of(hosts.get(name) + ":" + CLIENT_PORT),
                                            Ticker.SYSTEM)
                                    .get("/v1/status", Duration.ofSeconds(2));
                    if (status.path("role").asText().equals("leader")) {
                        return name;
                    }
                } catch (GroupClient.GroupUnreachableException unreachable) {
                    continue;
                }
            }
        }
        throw new IOException("no replica reports to be leader, but a leader answered " + leases);
    }

    /** Restarts or resumes all stopped replicas and removes the faults of all links. */
    void heal() throws IOException, InterruptedException {
        replicaLinks
                .values()
                .forEach(linksFromReplica -> linksFromReplica.values().forEach(FaultProxy::heal));
        clientLinks.values().forEach(FaultProxy::heal);
        for (TrialProcess process : processes.values()) {
            process.resume();
            if (!process.isAlive()) {
                process.start();
            }
        }
    }

    @Override
    public void close() throws IOException, InterruptedException {
        for (TrialProcess process : processes.values()) {
            process.close();
        }
        for (Map<String, FaultProxy> linksFromReplica : replicaLinks.values()) {
            for (FaultProxy link : linksFromReplica.values()) {
                link.close();
            }
        }
        for (FaultProxy link : clientLinks.values()) {
            link.close();
        }
    }
}

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

/** The replicas of a group as processes, with a faulty link for each direction between two of them. */
public final class GroupUnderTest implements AutoCloseable {
    private static final int PEERS = 7_101;
    private static final int CLIENTS = 7_201;

    private final Path dir;
    private final List<String> names = new ArrayList<>();
    private final Map<String, String> hosts = new LinkedHashMap<>();
    private final Map<String, Proc> procs = new LinkedHashMap<>();
    /** From one, to another: its link there. */
    private final Map<String, Map<String, FaultProxy>> links = new LinkedHashMap<>();
    private final Map<String, FaultProxy> doors = new LinkedHashMap<>();

    /**
     * So many replicas, each of the jar at its place (the last goes on for the rest), with these
     * settings.
     */
    public GroupUnderTest(Path dir, int replicas, List<Path> jars, String more) throws IOException {
        this.dir = dir;
        ThreadLocalRandom drawn = ThreadLocalRandom.current();
        for (int i = 1; i <= replicas; i++) { // loopback has room for addresses that nobody else uses
            names.add("r" + i);
            hosts.put("r" + i, "127." + drawn.nextInt(1, 255) + "." + drawn.nextInt(255) + "." + i);
        }
        for (String from : names) {
            Map<String, FaultProxy> mine = new LinkedHashMap<>();
            for (String to : names) {
                if (!from.equals(to)) {
                    mine.put(to, new FaultProxy(new InetSocketAddress(hosts.get(to), PEERS)));
                }
            }
            links.put(from, mine);
            doors.put(from, new FaultProxy(new InetSocketAddress(hosts.get(from), CLIENTS)));
        }
        for (int i = 0; i < replicas; i++) {
            write(names.get(i), more);
            Path jar = jars.get(Math.min(i, jars.size() - 1));
            procs.put(names.get(i), Proc.coordinator(names.get(i), jar, dir, List.of("cluster", "serve",
                "--settings", settings(names.get(i)).toString(), "--name", names.get(i))));
        }
    }

    /** Other settings for one, from its next start on. */
    public void more(String name, String more) throws IOException {
        write(name, more);
    }

    /** A process that joins the group under a new name, on an address of its own. */
    Proc joining(String name) {
        String host = hosts.get(names.get(0)).replaceAll("[0-9]+$", "200");
        return Proc.coordinator(name, Proc.builtJar(), dir, List.of("cluster", "serve", "--settings",
            settings(names.get(0)).toString(), "--name", name, "--join",
            host + ":" + PEERS + "," + host + ":" + CLIENTS));
    }

    private void write(String name, String more) throws IOException {
        StringBuilder text = new StringBuilder("coordinator {\n  group = \"trial\"\n  dir = \""
            + dir.resolve("data") + "\"\n" + more);
        hosts.forEach((other, host) -> text.append("  member \"" + other + "\" {\n    peers = \"" + host + ":"
            + PEERS + "\"\n    clients = \"" + host + ":" + CLIENTS + "\"\n  }\n"));
        links.get(name).forEach((other, link) -> text.append("  reach \"" + other
            + "\" {\n    at = \"127.0.0.1:" + link.address().getPort() + "\"\n  }\n"));
        Files.writeString(settings(name), text + "}\n");
    }

    /** The settings of one. */
    public Path settings(String name) {
        return dir.resolve(name + ".hcl");
    }

    /** Starts all. */
    public GroupUnderTest start() throws IOException {
        for (Proc proc : procs.values()) {
            proc.start();
        }
        return this;
    }

    /** Their names. */
    public List<String> names() {
        return names;
    }

    /** The process id of a replica that runs. */
    public long pid(String name) {
        return procs.get(name).pid();
    }

    Proc proc(String name) {
        return procs.get(name);
    }

    FaultProxy link(String from, String to) {
        return links.get(from).get(to);
    }

    FaultProxy door(String name) {
        return doors.get(name);
    }

    /** Where replicas take calls, straight. */
    public List<String> places() {
        return hosts.values().stream().map(host -> host + ":" + CLIENTS).toList();
    }

    /** Where they take calls, through links that can be faulty. */
    public List<String> doors() {
        return doors.values().stream().map(door -> "127.0.0.1:" + door.address().getPort()).toList();
    }

    /** A client, straight. */
    public GroupClient client() {
        return new GroupClient(places(), Ticker.SYSTEM);
    }

    /** Who leads, as a majority would have it; waits for one. */
    public String leader(Duration within) throws IOException, InterruptedException {
        JsonNode any = client().get("/v1/leases?limit=1", within); // answered by a leader that is one
        for (String name : names) {
            if (procs.get(name).alive() && !procs.get(name).paused()) {
                try {
                    JsonNode status = new GroupClient(List.of(hosts.get(name) + ":" + CLIENTS), Ticker.SYSTEM)
                        .get("/v1/status", Duration.ofSeconds(2));
                    if (status.path("role").asText().equals("leader")) {
                        return name;
                    }
                } catch (GroupClient.GroupUnreachableException gone) {
                    continue;
                }
            }
        }
        throw new IOException("no leader, though somebody answered " + any);
    }

    /** Everything runs and every link is clear again. */
    void heal() throws IOException, InterruptedException {
        links.values().forEach(mine -> mine.values().forEach(FaultProxy::heal));
        doors.values().forEach(FaultProxy::heal);
        for (Proc proc : procs.values()) {
            proc.goOn();
            if (!proc.alive()) {
                proc.start();
            }
        }
    }

    @Override
    public void close() throws IOException, InterruptedException {
        for (Proc proc : procs.values()) {
            proc.close();
        }
        for (Map<String, FaultProxy> mine : links.values()) {
            for (FaultProxy link : mine.values()) {
                link.close();
            }
        }
        for (FaultProxy door : doors.values()) {
            door.close();
        }
    }
}

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Three replicas and a relay that follows them. One replica is cut off from the other two; the relay reaches all
 * three. A change of the configuration is acknowledged meanwhile. The backends tell which configuration is served.
 */
final class StaleConfiguration {
    /** FLEET: a change counts as told at the latest 6 s after it was there; the project's own pages say 9 s. */
    private static final double TOLD_AFTER = 9.0;

    /** DrainGrace of the settings, and the 0.05 s by which every limit is longer on sockets. */
    private static final double GRACE = 1.0 + 0.05;

    private static final double CUT_SECONDS = 25;
    private static final List<String> NAMES = List.of("r1", "r2", "r3");

    private StaleConfiguration() {}

    public static void main(String[] arguments) throws Exception {
        Path root = Path.of(arguments[0]);
        Path folder = Path.of(arguments[1]);
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int exitCode = 2;
        try (Journal journal = new Journal(Path.of(arguments[2])); Programs programs = new Programs(root, journal)) {
            exitCode = new StaleConfiguration().run(journal, programs, folder, trouble);
        } catch (Exception failure) {
            failure.printStackTrace();
        }
        System.exit(exitCode);
    }

    private int run(Journal journal, Programs programs, Path folder, boolean trouble) throws Exception {
        Map<String, Integer> peers = new HashMap<>();
        Map<String, Integer> clients = new HashMap<>();
        for (String name : NAMES) {
            peers.put(name, Programs.freePort());
            clients.put(name, Programs.freePort());
        }
        Map<String, Path> settings = new HashMap<>();
        Map<String, List<CutProxy>> linksOf = new HashMap<>();
        NAMES.forEach(name -> linksOf.put(name, new ArrayList<>()));
        for (String name : NAMES) {
            StringBuilder reach = new StringBuilder();
            for (String other : NAMES) {
                if (!other.equals(name)) {
                    CutProxy link = new CutProxy(peers.get(other));
                    linksOf.get(name).add(link);
                    linksOf.get(other).add(link);
                    reach.append("  reach \"").append(other).append("\" { at = \"127.0.0.1:").append(link.port())
                        .append("\" }\n");
                }
            }
            settings.put(name, write(folder.resolve(name + ".hcl"), group(folder, peers, clients, reach.toString())));
        }
        Path operator = write(folder.resolve("operator.hcl"), group(folder, peers, clients, ""));
        String command = programs.root.resolve("bin/saltstage").toString();
        for (String name : NAMES) {
            programs.start("replica " + name,
                List.of(command, "cluster", "serve", "--settings", settings.get(name).toString(), "--name", name),
                Map.of(), folder.resolve(name + ".log"), false);
        }
        List<LineServer> servers = new ArrayList<>();
        List<String> put = new ArrayList<>(List.of(command, "config", "put"));
        for (String name : List.of("g1", "g2", "g3")) {
            servers.add(new LineServer(name, journal));
            put.addAll(List.of("backend/" + name, entry(servers.get(servers.size() - 1), "READY")));
        }
        put.addAll(List.of("--settings", operator.toString()));
        if (!succeeds(programs, "operator: put backends", put, folder, 30)) {
            journal.say("the group did not accept its first configuration");
            return 2;
        }
        String leader = leader(clients);
        if (leader == null) {
            journal.say("no leader was named");
            return 2;
        }
        String victim = NAMES.stream().filter(name -> !name.equals(leader)).findFirst().orElseThrow();
        journal.line("%s leads, %s will be cut off", leader, victim);
        int clientPort = Programs.freePort();
        int adminPort = Programs.freePort();
        List<String> sources = new ArrayList<>(List.of("\"127.0.0.1:" + clients.get(victim) + "\""));
        NAMES.stream().filter(name -> !name.equals(victim))
            .forEach(name -> sources.add("\"127.0.0.1:" + clients.get(name) + "\""));
        Path config = write(folder.resolve("config.json"), SiteConfig.json("127.0.0.1:" + clientPort,
            "127.0.0.1:" + Programs.freePort(), "", 0, "on_request"));
        Path relaySettings = write(folder.resolve("relay.hcl"), "configuration {\n  sources = ["
            + String.join(", ", sources) + "]\n  zone = \"kita-dc\"\n  dir = \"" + folder.resolve("n1-configuration")
            + "\"\n}\n");
        Path shared = Files.createDirectory(folder.resolve("tmp"));
        Process relay = programs.relay("relay", "--settings " + relaySettings,
            Map.of("GW_NAME", "n1", "GW_CONFIG", config.toString(), "GW_ADMIN", "127.0.0.1:" + adminPort, "TMPDIR",
                shared.toString()),
            folder.resolve("relay.log"), false);
        for (int i = 0; i < 200 && !Programs.call(adminPort, "STATUS").startsWith("done"); i++) {
            Thread.sleep(50);
        }
        LineClients sessions = new LineClients(journal, clientPort, "status-report", "kitaden-charge", 3);
        sessions.start(100);
        Thread.sleep(3000);
        if (trouble) {
            journal.line("cut: %s and the two others reach each other no more", victim);
            linksOf.get(victim).forEach(link -> link.setCut(true));
        }
        double cutAt = journal.seconds();
        Thread.sleep(2000);
        LineServer drained = servers.get(0);
        if (!succeeds(programs, "operator: put backend/g1 DRAINING", List.of(command, "config", "put", "backend/g1",
            entry(drained, "DRAINING"), "--settings", operator.toString()), folder, 12)) {
            journal.say("the group did not acknowledge the change");
            return 2;
        }
        double acknowledged = journal.seconds();
        journal.line("the change is acknowledged");
        while (journal.seconds() < cutAt + CUT_SECONDS) {
            for (String name : NAMES) {
                journal.line("%s serves %s", name, get(clients.get(name), "/v1/configuration/snapshot?revision=0"));
            }
            Thread.sleep(4000);
        }
        double end = journal.seconds();
        if (trouble) {
            journal.line("the cut is over");
            linksOf.get(victim).forEach(link -> link.setCut(false));
        }
        Thread.sleep(3000);
        sessions.stop();
        journal.line("relay's log: %s", Files.readString(folder.resolve("relay.log")).lines()
            .filter(line -> line.contains("configuration")).toList());
        double bound = acknowledged + TOLD_AFTER + GRACE;
        List<LineServer.Opened> late =
            drained.opened().stream().filter(open -> open.at() > bound && open.at() <= end).toList();
        long before = drained.opened().stream().filter(open -> open.at() <= acknowledged).count();
        journal.say("g1 draining was acknowledged at %.2f s; the bound for new work there is %.2f s", acknowledged,
            bound);
        journal.say("requests at g1: %d before the change, %d after the bound and before the cut's end%s", before,
            late.size(),
            late.isEmpty() ? "" : String.format(", the last %.2f s after it", late.get(late.size() - 1).at() - bound));
        journal.say("answers to clients: %s", sessions.answers());
        if (before == 0 || !relay.isAlive()) {
            journal.say("the backend was not in use before the change, or the relay ended: nothing was tested");
            return 2;
        }
        journal.say(late.isEmpty() ? "held" : "BROKEN: stale configuration was served");
        return late.isEmpty() ? 0 : 1;
    }

    private static Path write(Path file, String text) throws Exception {
        return Files.writeString(file, text);
    }

    private static String group(Path folder, Map<String, Integer> peers, Map<String, Integer> clients, String reach) {
        StringBuilder text = new StringBuilder("coordinator {\n  group = \"review\"\n  dir = \""
            + folder.resolve("coordinator") + "\"\n");
        for (String name : NAMES) {
            text.append("  member \"").append(name).append("\" {\n    peers = \"127.0.0.1:").append(peers.get(name))
                .append("\"\n    clients = \"127.0.0.1:").append(clients.get(name)).append("\"\n  }\n");
        }
        return text.append(reach).append("}\n").toString();
    }

    private static String entry(LineServer server, String state) {
        return "address=127.0.0.1:" + server.port() + ",zone=kita-dc,cell=0,state=" + state + ",weight=1";
    }

    /** Repeats a command until it has succeeded, for some seconds. */
    private static boolean succeeds(Programs programs, String name, List<String> command, Path folder, int seconds)
            throws Exception {
        long end = System.nanoTime() + seconds * 1_000_000_000L;
        while (System.nanoTime() < end) {
            if (programs.run(name, command, Map.of(), folder.resolve("command.log"), seconds) == 0) {
                return true;
            }
            Thread.sleep(500);
        }
        return false;
    }

    private static String get(int port, String path) {
        try {
            HttpResponse<String> response = HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(1)).build().send(
                HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path)).timeout(Duration.ofSeconds(2))
                    .build(),
                HttpResponse.BodyHandlers.ofString());
            return response.statusCode() + " " + response.body();
        } catch (Exception failure) {
            return "nothing: " + failure;
        }
    }

    private static String leader(Map<String, Integer> clients) throws Exception {
        for (int i = 0; i < 20; i++) {
            for (String name : NAMES) {
                String status = get(clients.get(name), "/v1/status");
                if (status.startsWith("200") && status.toUpperCase().contains("\"LEADER\"")
                        && status.contains("\"role\"")) {
                    String role = status.replaceAll("(?s).*\"role\"\\s*:\\s*\"([^\"]*)\".*", "$1");
                    if (role.equalsIgnoreCase("leader")) {
                        return name;
                    }
                }
            }
            Thread.sleep(500);
        }
        return null;
    }
}

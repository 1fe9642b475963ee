import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A relay that follows the shared configuration is replaced while it serves. During the replacement one backend is
 * set to draining. The backends tell when new work still reaches that backend.
 */
final class UpgradeWithConfiguration {
    /** DAYS: what is told becomes binding 2 s after the new process has said yes. */
    private static final double BINDING_AFTER_YES = 2.0;

    /** DrainGrace of the settings, and the 0.05 s by which every limit is longer on sockets. */
    private static final double GRACE = 1.0 + 0.05;

    private static final String DRAINED = "g1";

    private UpgradeWithConfiguration() {}

    public static void main(String[] arguments) throws Exception {
        Path root = Path.of(arguments[0]);
        Path folder = Path.of(arguments[1]);
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int exitCode = 2;
        try (Journal journal = new Journal(Path.of(arguments[2])); Programs programs = new Programs(root, journal)) {
            exitCode = run(journal, programs, folder, trouble);
        } catch (Exception failure) {
            failure.printStackTrace();
        }
        System.exit(exitCode);
    }

    private static int run(Journal journal, Programs programs, Path folder, boolean trouble) throws Exception {
        int clientPort = Integer.parseInt(System.getenv("LISTEN_PORT"));
        List<LineServer> servers = new ArrayList<>();
        List<String> puts = new ArrayList<>();
        for (String name : List.of("g1", "g2", "g3")) {
            LineServer server = new LineServer(name, journal);
            servers.add(server);
            puts.add(put(server, "READY"));
        }
        ConfigurationSource source = new ConfigurationSource(journal);
        source.accept("{\"mutations\":[" + String.join(",", puts) + "]}");
        Path config = folder.resolve("config.json");
        Files.writeString(config, SiteConfig.json("127.0.0.1:" + clientPort, "127.0.0.1:" + Programs.freePort(), "", 0,
            "on_request"));
        Path settings = folder.resolve("settings.hcl");
        Files.writeString(settings, "configuration {\n  sources = [\"127.0.0.1:" + source.port()
            + "\"]\n  zone = \"kita-dc\"\n  dir = \"" + folder.resolve("n1-configuration") + "\"\n}\n");
        Path shared = Files.createDirectory(folder.resolve("tmp"));
        int oldAdmin = Programs.freePort();
        Process old = programs.relay("relay (old process)", "--settings " + settings,
            environment(config, oldAdmin, shared), folder.resolve("old.log"), true);
        if (!awaitReady(old, oldAdmin, 15)) {
            journal.say("the relay was not ready: %s", Files.readString(folder.resolve("old.log")));
            return 2;
        }
        LineClients clients = new LineClients(journal, clientPort, "status-report", "kitaden-charge", 3);
        clients.start(100);
        Thread.sleep(3000);
        double yes = journal.seconds();
        Process next = null;
        double begun = journal.seconds();
        if (trouble) {
            int newAdmin = Programs.freePort();
            next = programs.relay("relay (new process)", "--settings " + settings,
                environment(config, newAdmin, shared), folder.resolve("new.log"), true);
            if (!awaitReady(next, newAdmin, 6)) {
                journal.say("the new process did not say yes within 6 s");
                return 2;
            }
            yes = journal.seconds();
            journal.line("the new process has said yes");
        }
        Thread.sleep(300);
        LineServer drained = servers.get(0);
        long revision = source.accept("{\"mutations\":[" + put(drained, "DRAINING") + "]}");
        double accepted = journal.seconds();
        while (source.confirmedAt(revision) < 0 && journal.seconds() < accepted + 5) {
            Thread.sleep(10);
        }
        double told = source.confirmedAt(revision);
        if (told < 0) {
            journal.say("no process of the relay confirmed revision %d within 5 s", revision);
            return 2;
        }
        journal.line("the relay has confirmed revision %d", revision);
        if (trouble) {
            Thread.sleep((long) Math.max(0, (begun + 6 - journal.seconds()) * 1000));
            journal.line("SIGTERM to the old process");
            old.destroy();
            if (!Programs.waitFor(old, 3.2 + 0.7)) {
                journal.line("SIGKILL to the old process");
                old.destroyForcibly();
            }
            journal.line("the old process has ended");
            if (!next.isAlive()) {
                journal.say("the new process ended by itself");
                return 2;
            }
        } else {
            Thread.sleep(9000);
        }
        Thread.sleep(6000);
        clients.stop();
        double bound = Math.max(told, yes + BINDING_AFTER_YES) + GRACE;
        List<LineServer.Opened> late = drained.opened().stream().filter(open -> open.at() > bound).toList();
        long before = drained.opened().stream().filter(open -> open.at() <= accepted).count();
        journal.say("%s was told as draining at %.2f s; nothing new may reach it after %.2f s", DRAINED, told, bound);
        journal.say("requests at %s: %d before the change, %d after the bound%s", DRAINED, before, late.size(),
            late.isEmpty() ? "" : String.format(", the last %.2f s after it", late.get(late.size() - 1).at() - bound));
        journal.say("answers to clients: %s", clients.answers());
        if (before == 0 || !clients.answers().containsKey("UP")) {
            journal.say("the backend was not in use before the change: nothing was tested");
            return 2;
        }
        journal.say(late.isEmpty() ? "held" : "BROKEN: new work was sent to a draining backend");
        return late.isEmpty() ? 0 : 1;
    }

    private static String put(LineServer server, String state) {
        return "{\"key\":\"backend/" + server.name + "\",\"backend\":{\"address\":\"127.0.0.1:" + server.port()
            + "\",\"zone\":\"kita-dc\",\"cell\":0,\"state\":\"" + state + "\",\"weight\":1,\"startedAtMs\":0}}";
    }

    private static Map<String, String> environment(Path config, int adminPort, Path shared) {
        Map<String, String> environment = new HashMap<>();
        environment.put("GW_NAME", "n1");
        environment.put("GW_CONFIG", config.toString());
        environment.put("GW_LISTEN_FD", "0");
        environment.put("GW_ADMIN", "127.0.0.1:" + adminPort);
        environment.put("TMPDIR", shared.toString());
        return environment;
    }

    private static boolean awaitReady(Process process, int adminPort, double seconds) throws InterruptedException {
        long end = System.nanoTime() + (long) (seconds * 1e9);
        while (System.nanoTime() < end && process.isAlive()) {
            if (Programs.call(adminPort, "STATUS").startsWith("done")) {
                return true;
            }
            Thread.sleep(50);
        }
        return false;
    }
}

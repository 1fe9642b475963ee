import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;

/** Back offices send batches of station events over AMQP at a steady rate. Half of the backends hang for a while. */
final class AmqpHang {
    private static final int SERVERS = 4;
    private static final int HANGING = 2;
    private static final double HANG_SECONDS = 6;

    private AmqpHang() {}

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
        int clients = 60;
        int bytes = 64_000;
        int millis = 250;
        List<AmqpServer> servers = new ArrayList<>();
        List<String> targets = new ArrayList<>();
        for (int i = 1; i <= SERVERS; i++) {
            AmqpServer server = new AmqpServer();
            servers.add(server);
            targets.add("{\"uid\":\"g" + i + "\",\"endpoint\":\"127.0.0.1:" + server.port()
                + "\",\"az\":\"kita-dc\",\"model\":\"std-6\",\"pod_group\":0,\"state\":\"ready\","
                + "\"capacity_hint\":1.0,\"boot_ms\":0}");
        }
        DiscoveryServer discovery = new DiscoveryServer(1, String.join(",", targets));
        int linePort = Programs.freePort();
        int amqpPort = Programs.freePort();
        int adminPort = Programs.freePort();
        Path config = Files.writeString(folder.resolve("config.json"), SiteConfig.json("127.0.0.1:" + linePort,
            "127.0.0.1:" + discovery.port(), String.join(",", targets), 1, "on_request"));
        Path settings = Files.writeString(folder.resolve("settings.hcl"), "amqp {\n  listen = \"127.0.0.1:" + amqpPort
            + "\"\n  backend_port = 0\n  anonymous_tenant = \"kitaden-charge\"\n}\n");
        Process relay = programs.relay("relay", "--settings " + settings,
            Map.of("GW_NAME", "n1", "GW_CONFIG", config.toString(), "GW_ADMIN", "127.0.0.1:" + adminPort, "TMPDIR",
                Files.createDirectory(folder.resolve("tmp")).toString()),
            folder.resolve("relay.log"), false);
        for (int i = 0; i < 200 && !Programs.call(adminPort, "STATUS").startsWith("done"); i++) {
            Thread.sleep(50);
        }
        List<AmqpSender> senders = new ArrayList<>();
        for (int i = 0; i < clients; i++) {
            AmqpSender sender = new AmqpSender("office-" + i, journal, amqpPort);
            senders.add(sender);
            if (!sender.attach(10)) {
                journal.say("%s could not attach", sender.name);
                return 2;
            }
            Thread.sleep(100);
        }
        journal.line("%d clients are attached", clients);
        byte[] message = message(bytes);
        boolean[] stopped = {false};
        for (AmqpSender sender : senders) {
            LineServer.daemon(() -> sendSteadily(sender, message, millis, stopped));
        }
        Thread.sleep(6000);
        tell(journal, "before", senders, servers);
        if (trouble) {
            journal.line("%d of %d backends hang", HANGING, SERVERS);
            servers.subList(0, HANGING).forEach(server -> server.setHanging(true));
        }
        Thread.sleep((long) (HANG_SECONDS * 1000));
        tell(journal, "after 6 s", senders, servers);
        if (trouble) {
            journal.line("the backends go on");
            servers.subList(0, HANGING).forEach(server -> server.setHanging(false));
        }
        Thread.sleep(3000);
        stopped[0] = true;
        Thread.sleep(13_000); // the relay gives each delivery an outcome within 10 s
        tell(journal, "at the end", senders, servers);
        int none = 0;
        int twice = 0;
        int reset = 0;
        for (AmqpSender sender : senders) {
            int open = sender.withOutcomes(0);
            none += open;
            twice += sender.sent() - open - sender.withOutcomes(1);
            reset += sender.end().isEmpty() ? 0 : 1;
            if (open > 0 || !sender.end().isEmpty()) {
                journal.line("%s: %d sent whole, %d without an outcome; %s", sender.name, sender.sent(), open,
                    sender.end().isEmpty() ? "connected" : "ended by the relay: " + sender.end());
            }
        }
        Files.readString(folder.resolve("relay.log")).lines()
            .filter(line -> line.contains("ERROR") || line.contains("amqp.backend") || line.contains("totals"))
            .limit(40).forEach(line -> journal.line("relay's log: %s", line));
        journal.say("%d deliveries without an outcome, %d with two; %d of %d links ended by the relay", none, twice,
            reset, clients);
        if (!relay.isAlive()) {
            journal.say("the relay has ended with %d", relay.exitValue());
        }
        boolean broken = none > 0 || twice > 0 || !relay.isAlive();
        journal.say(broken ? "BROKEN: deliveries that the relay took have no final answer" : "held");
        return broken ? 1 : 0;
    }

    private static void tell(Journal journal, String when, List<AmqpSender> senders, List<AmqpServer> servers) {
        journal.line("%s: sent %d, without outcome %d, accepted by the backends %s", when,
            senders.stream().mapToInt(AmqpSender::sent).sum(),
            senders.stream().mapToInt(sender -> sender.withOutcomes(0)).sum(),
            servers.stream().map(server -> server.accepted.get()).toList());
    }

    private static void sendSteadily(AmqpSender sender, byte[] message, int millis, boolean[] stopped) {
        try {
            long due = System.nanoTime();
            while (!stopped[0] && sender.send(message)) {
                due = Math.max(due + millis * 1_000_000L, System.nanoTime() - 1_000_000_000L);
                Thread.sleep(Math.max(0, (due - System.nanoTime()) / 1_000_000));
            }
        } catch (InterruptedException e) {
            return;
        }
    }

    /** A message with one data section. */
    private static byte[] message(int bytes) {
        byte[] message = new byte[bytes + 8];
        Arrays.fill(message, (byte) 'e');
        message[0] = 0;
        message[1] = 0x53;
        message[2] = 0x75;
        message[3] = (byte) 0xb0;
        message[4] = (byte) (bytes >> 24);
        message[5] = (byte) (bytes >> 16);
        message[6] = (byte) (bytes >> 8);
        message[7] = (byte) bytes;
        return message;
    }
}

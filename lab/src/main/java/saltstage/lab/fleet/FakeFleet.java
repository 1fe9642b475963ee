package saltstage.lab.fleet;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import saltstage.lab.amqp.DuplicateDeliveryDetector;
import saltstage.lab.amqp.FakeAmqpBackend;
import saltstage.net.NettyTransport;
import saltstage.net.Transport;

/**
 * Stand-in gateways with their discovery, and the files with which a relay serves in front of them.
 */
public final class FakeFleet {
    private static final int MAX_SOCKETS = 4096;

    private final List<FakeBackend> backends = new ArrayList<>();
    private final List<FakeAmqpBackend> amqpBackends = new ArrayList<>();
    private final DuplicateDeliveryDetector duplicateDetector = new DuplicateDeliveryDetector();
    private final FakeDiscovery discovery;
    private final String listenAddress;
    private String amqpListenAddress;
    private int amqpBackendPort;
    private ServerSocket statusListener;

    /** So many gateways, g0, g1 and so on, that speak lines. */
    public FakeFleet(int size) throws IOException {
        this(size, false, 0);
    }

    /**
     * So many gateways, each at a loopback address of its own; with amqp they speak that too, all
     * at one port, and the relay is to listen for it at this port, or at any where that is 0.
     */
    public FakeFleet(int size, boolean speakAmqp, int relayPort) throws IOException {
        for (int i = 0; i < size; i++) {
            byte[] own = {127, 0, (byte) (1 + i / 250), (byte) (1 + i % 250)};
            backends.add(new FakeBackend("g" + i, "a", InetAddress.getByAddress(own)));
        }
        discovery = new FakeDiscovery(backends);
        listenAddress = "127.0.0.1:" + freePort();
        if (speakAmqp) {
            Transport transport =
                    new NettyTransport(
                            2,
                            true,
                            (where, fault) ->
                                    System.err.println("fault in " + where + ": " + fault));
            amqpBackendPort = freePort();
            for (FakeBackend lines : backends) {
                amqpBackends.add(
                        new FakeAmqpBackend(
                                lines.uid(),
                                transport,
                                new InetSocketAddress(
                                        lines.address().getAddress(), amqpBackendPort),
                                duplicateDetector));
            }
            amqpListenAddress = "127.0.0.1:" + (relayPort == 0 ? freePort() : relayPort);
        }
    }

    private static int freePort() throws IOException {
        try (ServerSocket any = new ServerSocket(0, 1, InetAddress.getByAddress(new byte[4]))) {
            return any.getLocalPort();
        }
    }

    /** Where the relay is to listen for AMQP, or null. */
    public String amqpListenAddress() {
        return amqpListenAddress;
    }

    /** The AMQP sides of the gateways, in order. */
    public List<FakeAmqpBackend> amqpBackends() {
        return List.copyOf(amqpBackends);
    }

    /** What was out at two gateways at once. */
    public DuplicateDeliveryDetector duplicateDetector() {
        return duplicateDetector;
    }

    /** The operator's settings that go with this fleet; lines may be added to its block amqp. */
    public String operatorSettings(String more) {
        return amqpBackends.isEmpty()
                ? ""
                : "amqp {\n  listen = \""
                        + amqpListenAddress
                        + "\"\n  backend_port = "
                        + amqpBackendPort
                        + "\n  anonymous_tenant = \"kitaden-charge\"\n"
                        + more
                        + "}\n";
    }

    /** Where the relay is to listen. */
    public String listenAddress() {
        return listenAddress;
    }

    /** The gateways, in order. */
    public List<FakeBackend> backends() {
        return List.copyOf(backends);
    }

    /** From now on discovery answers each call that much later. */
    public void setDiscoveryDelay(Duration by) {
        discovery.setAnswerDelay(by);
    }

    /** Writes config.json and saltstage.hcl into the folder; settings lines go into the latter. */
    public void writeFiles(Path dir, String settings) throws IOException {
        writeFiles(dir, settings, backends.size());
    }

    /** The same, with a list of known backends from when there were only the first so many. */
    public void writeFiles(Path dir, String settings, int known) throws IOException {
        Files.createDirectories(dir);
        Files.writeString(dir.resolve("config.json"), relayConfiguration(known));
        Files.writeString(dir.resolve("saltstage.hcl"), settings);
        Files.writeString(
                dir.resolve("fleet.json"), new ObjectMapper().writeValueAsString(addresses()));
    }

    /** Where all is that a load tool has to know. */
    private Map<String, Object> addresses() throws IOException {
        Map<String, Object> all = new LinkedHashMap<>();
        all.put("lines", listenAddress);
        if (!amqpBackends.isEmpty()) {
            all.put("amqp", amqpListenAddress);
            all.put(
                    "amqp_gateways",
                    amqpBackends.stream()
                            .map(
                                    g ->
                                            g.address().getAddress().getHostAddress()
                                                    + ":"
                                                    + g.address().getPort())
                            .toList());
        }
        all.put(
                "lines_gateways",
                backends.stream()
                        .map(
                                g ->
                                        g.address().getAddress().getHostAddress()
                                                + ":"
                                                + g.address().getPort())
                        .toList());
        if (statusListener == null) {
            statusListener = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
            FakeBackend.startDaemon("status", this::serveStatus);
        }
        all.put("status", "127.0.0.1:" + statusListener.getLocalPort());
        return all;
    }

    /** One line of status to whoever connects. */
    private void serveStatus() {
        while (true) {
            try (Socket asker = statusListener.accept()) {
                asker.getOutputStream()
                        .write((statusJson() + "\n").getBytes(StandardCharsets.UTF_8));
            } catch (IOException gone) { // who asked has left: the next one may not
                continue;
            }
        }
    }

    private String relayConfiguration(int known) {
        return ("{'name':'relay','listen':'"
                        + listenAddress
                        + "','discovery':'"
                        + discovery.address()
                        + "','seed':'"
                        + Long.toHexString(System.nanoTime())
                        + "','limits':{'cores':1.0,'memory_mb':192,"
                        + "'sockets':"
                        + MAX_SOCKETS
                        + "},'known':"
                        + discovery.fullList(known)
                        + ",'settings':{"
                        + "'Discovery':'on_request','FleetSize':1,'Zone':0,'Zones':['a'],"
                        + "'Limits':{'MaxAttempts':6,'ConnectTimeout':250000,'RetryAfter':true,"
                        + "'MaxRetryAfter':1500000,"
                        + "'Probes':true},'Report':{'Fields':['x0','queue'],'How':'probe'},"
                        + "'FamilyInfo':{'MessageAim':[60000.0,50000.0]},"
                        + "'Safety':{'DrainGrace':1000000,'AskEvery':6000000,'ColdFrom':0.31,'Cold':8700000,"
                        + "'TipMultiple':3.0,'Fall':3000000},"
                        + "'Realms':[{'Name':'kitaden-charge'},{'Name':'dosan-power'}],'Services':["
                        + "{'Name':'status-report','Aim':500000,'GiveUp':2000000,'Effect':'retryable'},"
                        + "{'Name':'session-check','Aim':800000,'GiveUp':3200000,'Effect':'retryable'}]}}")
                .replace('\'', '"');
    }

    /** Does what a line says; the answer is one line, or null for the end. */
    public String runCommand(String line) throws IOException {
        String[] words = line.trim().split("\\s+");
        switch (words[0]) {
            case "":
                return "";
            case "quit":
                return null;
            case "status":
                return statusJson();
            case "row":
                return statusRow();
            default:
                break;
        }
        if (line.trim().matches("late \\d{1,6}")) {
            setDiscoveryDelay(Duration.ofMillis(Long.parseLong(words[1])));
            return "ok discovery answers " + words[1] + " ms late";
        }
        FakeBackend named =
                words.length < 2
                        ? null
                        : backends.stream()
                                .filter(g -> g.uid().equals(words[1]))
                                .findFirst()
                                .orElse(null);
        boolean figure = List.of("slow", "reject", "feed").contains(words[0]);
        if (named == null || words.length != (figure ? 3 : 2)) {
            return "error: say drain|kill|stop|start|tear G, slow G MS, reject G PERCENT, feed G"
                    + " MESSAGES, late MS, status or quit; G is one of g0 to g"
                    + (backends.size() - 1);
        }
        return applyToBackend(words, named);
    }

    private String applyToBackend(String[] words, FakeBackend named) throws IOException {
        if (words.length == 3 && !words[2].matches("\\d{1,6}")) {
            return "error: not a number: " + words[2];
        }
        FakeAmqpBackend second =
                amqpBackends.isEmpty() ? null : amqpBackends.get(backends.indexOf(named));
        switch (words[0]) {
            case "drain" -> named.drain();
            case "kill" -> named.kill();
            case "stop" -> named.freeze();
            case "start" -> named.start();
            case "slow" -> named.setAnswerDelay(Duration.ofMillis(Long.parseLong(words[2])));
            case "reject", "feed", "tear" -> {
                if (second == null) {
                    return "error: the gateways speak lines only";
                }
            }
            default -> {
                return "error: unknown command " + words[0];
            }
        }
        if (second != null) {
            applyToAmqpBackend(words, second);
        }
        if (List.of("drain", "kill", "start").contains(words[0])) {
            discovery.backendChanged(named);
        }
        return "ok " + named.uid() + " " + named.state().name().toLowerCase(Locale.ROOT);
    }

    private static void applyToAmqpBackend(String[] words, FakeAmqpBackend second)
            throws IOException {
        switch (words[0]) {
            case "drain" -> second.drain();
            case "kill" -> second.kill();
            case "stop" -> second.freeze();
            case "start" -> second.start();
            case "tear" -> second.resetWithinFrame();
            case "slow" -> second.setOutcomeDelay(Duration.ofMillis(Long.parseLong(words[2])));
            case "reject" -> second.setRejectPercent(Integer.parseInt(words[2]));
            default -> second.setMessagesPerLink(Integer.parseInt(words[2]));
        }
    }

    /** One line of JSON for scripts. */
    private String statusJson() throws IOException {
        Map<String, Object> all = new LinkedHashMap<>();
        for (int i = 0; i < backends.size(); i++) {
            FakeBackend lines = backends.get(i);
            Map<String, Object> one = new LinkedHashMap<>();
            one.put("state", lines.state().name().toLowerCase(Locale.ROOT));
            one.put("standing", lines.establishedCount());
            one.put("served", lines.servedCount());
            if (!amqpBackends.isEmpty()) {
                FakeAmqpBackend second = amqpBackends.get(i);
                one.put("links", second.linkCount());
                one.put("accepted", second.acceptedIds());
                one.put("outcomes", second.outcomeCounts());
                one.put("told", second.receivedOutcomeCounts());
                one.put("last_link_ms", second.lastLinkMillis());
            }
            all.put(lines.uid(), one);
        }
        all.put("second_copies", duplicateDetector.duplicateCount());
        return new ObjectMapper().writeValueAsString(all);
    }

    /** A short line for people. */
    private String statusRow() {
        StringBuilder told = new StringBuilder();
        for (FakeBackend g : backends) {
            told.append(g.uid())
                    .append('=')
                    .append(g.state().name().toLowerCase(Locale.ROOT))
                    .append(':')
                    .append(g.establishedCount())
                    .append(' ');
        }
        return told.toString().trim();
    }
}

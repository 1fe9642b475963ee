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
 * Fake backends with a fake discovery service, and the configuration files for a relay in front of
 * them.
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

    /** Starts backends named g0, g1 and so on that speak the line protocol only. */
    public FakeFleet(int size) throws IOException {
        this(size, false, 0);
    }

    /**
     * Starts backends, each at its own loopback address. With {@code speakAmqp} they also speak
     * AMQP, all on one port number, and the relay is configured to listen for AMQP on {@code
     * relayAmqpPort}, or on a free port if that is 0.
     */
    public FakeFleet(int size, boolean speakAmqp, int relayAmqpPort) throws IOException {
        for (int i = 0; i < size; i++) {
            byte[] ipAddress = {127, 0, (byte) (1 + i / 250), (byte) (1 + i % 250)};
            backends.add(new FakeBackend("g" + i, "a", InetAddress.getByAddress(ipAddress)));
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
            for (FakeBackend backend : backends) {
                amqpBackends.add(
                        new FakeAmqpBackend(
                                backend.uid(),
                                transport,
                                new InetSocketAddress(
                                        backend.address().getAddress(), amqpBackendPort),
                                duplicateDetector));
            }
            amqpListenAddress = "127.0.0.1:" + (relayAmqpPort == 0 ? freePort() : relayAmqpPort);
        }
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByAddress(new byte[4]))) {
            return socket.getLocalPort();
        }
    }

    /** The address that the relay is to listen on for AMQP, or null without AMQP. */
    public String amqpListenAddress() {
        return amqpListenAddress;
    }

    /** The AMQP backends in the order of {@link #backends}; empty without AMQP. */
    public List<FakeAmqpBackend> amqpBackends() {
        return List.copyOf(amqpBackends);
    }

    /** Detects deliveries that were outstanding at two backends at once. */
    public DuplicateDeliveryDetector duplicateDetector() {
        return duplicateDetector;
    }

    /**
     * The operator settings for this fleet: a block amqp, with these extra lines in it, or an empty
     * text without AMQP.
     */
    public String operatorSettings(String extraLines) {
        return amqpBackends.isEmpty()
                ? ""
                : "amqp {\n  listen = \""
                        + amqpListenAddress
                        + "\"\n  backend_port = "
                        + amqpBackendPort
                        + "\n  anonymous_tenant = \"kitaden-charge\"\n"
                        + extraLines
                        + "}\n";
    }

    /** The address that the relay is to listen on for the line protocol. */
    public String listenAddress() {
        return listenAddress;
    }

    /** The line backends in the order of their names. */
    public List<FakeBackend> backends() {
        return List.copyOf(backends);
    }

    /** Makes discovery delay the answer to each later call by this time. */
    public void setDiscoveryDelay(Duration delay) {
        discovery.setAnswerDelay(delay);
    }

    /**
     * Writes config.json, saltstage.hcl with these settings, and fleet.json with the addresses of
     * the fleet into the folder.
     */
    public void writeFiles(Path dir, String settings) throws IOException {
        writeFiles(dir, settings, backends.size());
    }

    /** Writes the same files, with only the first {@code knownBackends} backends in config.json. */
    public void writeFiles(Path dir, String settings, int knownBackends) throws IOException {
        Files.createDirectories(dir);
        Files.writeString(dir.resolve("config.json"), relayConfiguration(knownBackends));
        Files.writeString(dir.resolve("saltstage.hcl"), settings);
        Files.writeString(
                dir.resolve("fleet.json"), new ObjectMapper().writeValueAsString(addresses()));
    }

    /** The content of fleet.json: the addresses that load generators need. */
    private Map<String, Object> addresses() throws IOException {
        Map<String, Object> json = new LinkedHashMap<>();
        json.put("lines", listenAddress);
        if (!amqpBackends.isEmpty()) {
            json.put("amqp", amqpListenAddress);
            json.put(
                    "amqp_gateways",
                    amqpBackends.stream()
                            .map(
                                    backend ->
                                            backend.address().getAddress().getHostAddress()
                                                    + ":"
                                                    + backend.address().getPort())
                            .toList());
        }
        json.put(
                "lines_gateways",
                backends.stream()
                        .map(
                                backend ->
                                        backend.address().getAddress().getHostAddress()
                                                + ":"
                                                + backend.address().getPort())
                        .toList());
        if (statusListener == null) {
            statusListener = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
            FakeBackend.startDaemon("status", this::serveStatus);
        }
        json.put("status", "127.0.0.1:" + statusListener.getLocalPort());
        return json;
    }

    /** Sends one line of status JSON to each connection. */
    private void serveStatus() {
        while (true) {
            try (Socket client = statusListener.accept()) {
                client.getOutputStream()
                        .write((statusJson() + "\n").getBytes(StandardCharsets.UTF_8));
            } catch (IOException disconnected) { // this client has left; the next one may stay
                continue;
            }
        }
    }

    private String relayConfiguration(int knownBackends) {
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
                        + discovery.fullList(knownBackends)
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

    /** Runs a command line; returns a one-line answer, or null for quit. */
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
        FakeBackend backend =
                words.length < 2
                        ? null
                        : backends.stream()
                                .filter(candidate -> candidate.uid().equals(words[1]))
                                .findFirst()
                                .orElse(null);
        boolean takesNumber = List.of("slow", "reject", "feed").contains(words[0]);
        if (backend == null || words.length != (takesNumber ? 3 : 2)) {
            return "error: say drain|kill|stop|start|tear G, slow G MS, reject G PERCENT, feed G"
                    + " MESSAGES, late MS, status or quit; G is one of g0 to g"
                    + (backends.size() - 1);
        }
        return applyToBackend(words, backend);
    }

    private String applyToBackend(String[] words, FakeBackend backend) throws IOException {
        if (words.length == 3 && !words[2].matches("\\d{1,6}")) {
            return "error: not a number: " + words[2];
        }
        FakeAmqpBackend amqpBackend =
                amqpBackends.isEmpty() ? null : amqpBackends.get(backends.indexOf(backend));
        switch (words[0]) {
            case "drain" -> backend.drain();
            case "kill" -> backend.kill();
            case "stop" -> backend.freeze();
            case "start" -> backend.start();
            case "slow" -> backend.setAnswerDelay(Duration.ofMillis(Long.parseLong(words[2])));
            case "reject", "feed", "tear" -> {
                if (amqpBackend == null) {
                    return "error: the gateways speak lines only";
                }
            }
            default -> {
                return "error: unknown command " + words[0];
            }
        }
        if (amqpBackend != null) {
            applyToAmqpBackend(words, amqpBackend);
        }
        if (List.of("drain", "kill", "start").contains(words[0])) {
            discovery.backendChanged(backend);
        }
        return "ok " + backend.uid() + " " + backend.state().name().toLowerCase(Locale.ROOT);
    }

    private static void applyToAmqpBackend(String[] words, FakeAmqpBackend amqpBackend)
            throws IOException {
        switch (words[0]) {
            case "drain" -> amqpBackend.drain();
            case "kill" -> amqpBackend.kill();
            case "stop" -> amqpBackend.freeze();
            case "start" -> amqpBackend.start();
            case "tear" -> amqpBackend.resetWithinFrame();
            case "slow" -> amqpBackend.setOutcomeDelay(Duration.ofMillis(Long.parseLong(words[2])));
            case "reject" -> amqpBackend.setRejectPercent(Integer.parseInt(words[2]));
            default -> amqpBackend.setMessagesPerLink(Integer.parseInt(words[2]));
        }
    }

    /** The state and counters of each backend as one line of JSON, for scripts. */
    private String statusJson() throws IOException {
        Map<String, Object> json = new LinkedHashMap<>();
        for (int i = 0; i < backends.size(); i++) {
            FakeBackend backend = backends.get(i);
            Map<String, Object> entry = new LinkedHashMap<>();
            entry.put("state", backend.state().name().toLowerCase(Locale.ROOT));
            entry.put("standing", backend.establishedCount());
            entry.put("served", backend.servedCount());
            if (!amqpBackends.isEmpty()) {
                FakeAmqpBackend amqpBackend = amqpBackends.get(i);
                entry.put("links", amqpBackend.linkCount());
                entry.put("accepted", amqpBackend.acceptedIds());
                entry.put("outcomes", amqpBackend.outcomeCounts());
                entry.put("told", amqpBackend.receivedOutcomeCounts());
                entry.put("last_link_ms", amqpBackend.lastLinkMillis());
            }
            json.put(backend.uid(), entry);
        }
        json.put("second_copies", duplicateDetector.duplicateCount());
        return new ObjectMapper().writeValueAsString(json);
    }

    /** The state and the number of established clients of each backend as a short text. */
    private String statusRow() {
        StringBuilder row = new StringBuilder();
        for (FakeBackend backend : backends) {
            row.append(backend.uid())
                    .append('=')
                    .append(backend.state().name().toLowerCase(Locale.ROOT))
                    .append(':')
                    .append(backend.establishedCount())
                    .append(' ');
        }
        return row.toString().trim();
    }
}

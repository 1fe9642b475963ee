package saltstage.lab.amqp;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Sends load through the relay of a running fleet, or directly to the fleet's backends. */
@Command(
        name = "load",
        mixinStandardHelpOptions = true,
        description = {
            "Sends deliveries (or lines) at a fixed rate through the relay of a fleet, measures"
                    + " each from",
            "when it was due, and compares the senders' outcomes with what the backends accepted."
        },
        footer = {"", "Exits with 0 if each delivery is accounted for at both ends, else with 1."})
public final class LoadCommand implements Callable<Integer> {
    private static final int MAX_LISTED_FAULTS = 20;

    /** The protocol of the load; the constants are the values of the option. */
    public enum Protocol {
        lines,
        amqp
    }

    @Parameters(paramLabel = "DIR", description = "the directory that 'lab fleet' has written")
    private Path dir;

    @Option(names = "--protocol", defaultValue = "amqp", description = "amqp (default) or lines")
    private Protocol protocol;

    @Option(
            names = "--links",
            paramLabel = "N",
            defaultValue = "100",
            description = "links (default 100)")
    private int links;

    @Option(
            names = "--rate",
            paramLabel = "R",
            defaultValue = "1000",
            description = "deliveries a second over all links (default 1000)")
    private double rate;

    @Option(
            names = "--seconds",
            paramLabel = "S",
            defaultValue = "10",
            description = "how long to send (default 10)")
    private double seconds;

    @Option(
            names = "--straight",
            description = "connect to the backends directly, without the relay")
    private boolean straight;

    @Option(names = "--json", paramLabel = "FILE", description = "file for the result as JSON")
    private Path json;

    @Override
    public Integer call() throws IOException, InterruptedException {
        JsonNode fleet = new ObjectMapper().readTree(dir.resolve("fleet.json").toFile());
        List<InetSocketAddress> targets = targetAddresses(fleet);
        Map<String, Object> result = new LinkedHashMap<>();
        List<String> faults;
        try (LoadGenerator load =
                new LoadGenerator(
                        protocol == Protocol.amqp, targets, links, "l" + System.nanoTime())) {
            load.run(rate, seconds, true);
            result.put("protocol", protocol.name());
            result.put("links", links);
            result.put("rate", rate);
            result.put("seconds", seconds);
            result.put("sent", load.deliveryTracker().sentCount());
            result.put("told", load.deliveryTracker().outcomeCounts());
            result.put("latency_ms", load.latencyPercentilesMillis());
            result.put("detached", load.detachCounts());
            faults =
                    load.deliveryTracker()
                            .findFaults(
                                    protocol == Protocol.amqp
                                            ? acceptedIds(fleet, load)
                                            : List.of());
        }
        if (protocol == Protocol.lines) {
            // Lines are only echoed: there are no backend records to compare with.
            faults.removeIf(fault -> fault.startsWith("accepted by no gateway"));
        }
        result.put("faults", faults.size());
        result.put("some_faults", faults.subList(0, Math.min(MAX_LISTED_FAULTS, faults.size())));
        String report =
                new ObjectMapper().writerWithDefaultPrettyPrinter().writeValueAsString(result);
        System.out.println(report);
        if (json != null) {
            Files.writeString(json, report + "\n");
        }
        return faults.isEmpty() ? 0 : 1;
    }

    private List<InetSocketAddress> targetAddresses(JsonNode fleet) {
        List<InetSocketAddress> targets = new ArrayList<>();
        if (straight) {
            ((ArrayNode) fleet.get(protocol + "_gateways"))
                    .forEach(address -> targets.add(parseAddress(address.asText())));
        } else if (fleet.has(protocol.name())) {
            targets.add(parseAddress(fleet.get(protocol.name()).asText()));
        } else {
            throw new IllegalArgumentException(
                    "the fleet in " + dir + " does not speak " + protocol);
        }
        return targets;
    }

    /** Returns the ids that the backends accepted, without the deliveries of other senders. */
    private static List<String> acceptedIds(JsonNode fleet, LoadGenerator load) throws IOException {
        List<String> ids = new ArrayList<>();
        InetSocketAddress statusAddress = parseAddress(fleet.get("status").asText());
        try (Socket socket = new Socket(statusAddress.getAddress(), statusAddress.getPort())) {
            JsonNode status = new ObjectMapper().readTree(socket.getInputStream());
            status.forEach(
                    backend -> {
                        if (backend.has("accepted")) {
                            backend.get("accepted").forEach(id -> ids.add(id.asText()));
                        }
                    });
        }
        ids.removeIf(id -> !load.deliveryTracker().contains(id));
        return ids;
    }

    private static InetSocketAddress parseAddress(String text) {
        int colon = text.lastIndexOf(':');
        return new InetSocketAddress(
                text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }
}

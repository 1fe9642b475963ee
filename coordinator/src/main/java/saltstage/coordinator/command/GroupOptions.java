package saltstage.coordinator.command;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import picocli.CommandLine.ITypeConverter;
import picocli.CommandLine.Option;
import picocli.CommandLine.TypeConversionException;
import saltstage.coordinator.client.GroupClient;
import saltstage.coordinator.client.Ticker;
import saltstage.coordinator.group.GroupCodec;
import saltstage.coordinator.model.Command;
import saltstage.coordinator.model.HostPort;
import saltstage.coordinator.model.Rejection;
import saltstage.coordinator.model.Reply;
import saltstage.coordinator.settings.CoordinatorSettings;
import saltstage.wire.MalformedException;

/** Options of all client commands: how to reach the group, and the form of the output. */
final class GroupOptions {
    @Option(
            names = "--settings",
            paramLabel = "FILE",
            description = "settings file of the group (HCL)")
    private Path settings;

    @Option(
            names = "--at",
            split = ",",
            paramLabel = "HOST:PORT",
            description = "client addresses of replicas, instead of the settings")
    private List<String> addresses;

    @Option(names = "--json", description = "print JSON")
    private boolean json;

    @Option(
            names = "--within",
            paramLabel = "SPAN",
            converter = DurationConverter.class,
            defaultValue = "5s",
            description = "time limit for each request (default: ${DEFAULT-VALUE})")
    private Duration timeout;

    /** Converts a duration such as 250ms, 10s or 5m. */
    static final class DurationConverter implements ITypeConverter<Duration> {
        private static final Pattern PATTERN = Pattern.compile("(\\d{1,9})(ms|s|m|h)");

        @Override
        public Duration convert(String text) {
            Matcher matcher = PATTERN.matcher(text);
            if (!matcher.matches()) {
                throw new TypeConversionException(
                        "'" + text + "' is not a duration such as 250ms, 10s or 5m");
            }
            long amount = Long.parseLong(matcher.group(1));
            return switch (matcher.group(2)) {
                case "ms" -> Duration.ofMillis(amount);
                case "s" -> Duration.ofSeconds(amount);
                case "m" -> Duration.ofMinutes(amount);
                default -> Duration.ofHours(amount);
            };
        }
    }

    /** The client addresses of the replicas, as HOST:PORT. */
    List<String> replicaAddresses() throws MalformedException {
        if (addresses != null) {
            return addresses;
        }
        if (settings == null) {
            throw new MalformedException("name the group by --settings FILE or --at HOST:PORT");
        }
        return CoordinatorSettings.read(settings).members().values().stream()
                .map(member -> HostPort.format(member.clientAddress()))
                .toList();
    }

    GroupClient createClient() throws MalformedException {
        return new GroupClient(replicaAddresses(), Ticker.SYSTEM);
    }

    /** Sends a command in a new session and returns the reply, unless the group rejects it. */
    Reply send(Command command)
            throws IOException, InterruptedException, MalformedException, CommandRejectedException {
        Reply reply = createClient().send(command, timeout).reply();
        if (reply instanceof Rejection rejection) {
            throw new CommandRejectedException(rejection);
        }
        return reply;
    }

    /** Sends a GET request to the API and returns the JSON response. */
    JsonNode get(String path) throws IOException, InterruptedException, MalformedException {
        return createClient().get(path, timeout);
    }

    /** Posts a JSON object with one field to the API and returns the JSON response. */
    JsonNode post(String path, String field, String value)
            throws IOException, InterruptedException, MalformedException {
        return createClient()
                .post(path, GroupCodec.jsonMapper().createObjectNode().put(field, value), timeout);
    }

    Duration timeout() {
        return timeout;
    }

    boolean isJson() {
        return json;
    }

    /** Prints the value as JSON if {@code --json} is given, else the text. */
    void print(Object value, String text) throws JsonProcessingException {
        System.out.println(json ? GroupCodec.jsonMapper().writeValueAsString(value) : text);
        System.out.flush();
    }
}

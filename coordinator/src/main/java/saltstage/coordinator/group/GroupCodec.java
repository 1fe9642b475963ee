package saltstage.coordinator.group;

import com.fasterxml.jackson.annotation.JsonSetter;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.annotation.Nulls;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.cfg.MapperBuilder;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.jsontype.NamedType;
import com.fasterxml.jackson.dataformat.cbor.databind.CBORMapper;
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import saltstage.coordinator.advice.AdviceCommands;
import saltstage.coordinator.configuration.ConfigurationCommands;
import saltstage.coordinator.configuration.ConfigurationModule;
import saltstage.coordinator.configuration.ConfigurationReplies;
import saltstage.coordinator.lease.LeaseCommands;
import saltstage.coordinator.lease.LeaseReplies;
import saltstage.coordinator.model.Acknowledgement;
import saltstage.coordinator.model.Command;
import saltstage.coordinator.model.Rejection;
import saltstage.coordinator.model.Reply;
import saltstage.coordinator.window.WindowCommands;
import saltstage.coordinator.window.WindowReplies;

/**
 * Encodes commands, replies and snapshots: as CBOR in the log and as JSON for clients, with the
 * same names. A command or field that this build does not know is rejected, never skipped.
 */
public final class GroupCodec {
    /** The format version of log entries and snapshots. Data of any other version is rejected. */
    private static final int FORMAT_VERSION = 1;

    private static final Map<String, Class<? extends Command>> COMMANDS = new LinkedHashMap<>();
    private static final Map<String, Class<? extends Reply>> REPLIES = new LinkedHashMap<>();

    static {
        COMMANDS.put("acquire", LeaseCommands.Acquire.class);
        COMMANDS.put("renew", LeaseCommands.Renew.class);
        COMMANDS.put("release", LeaseCommands.Release.class);
        COMMANDS.put("tick", GroupCommands.Tick.class);
        COMMANDS.put("introduce", GroupCommands.Introduce.class);
        COMMANDS.put("forget", GroupCommands.Forget.class);
        COMMANDS.put("skip-fences", GroupCommands.SkipFences.class);
        COMMANDS.put("set-fleet", WindowCommands.SetFleet.class);
        COMMANDS.put("propose", WindowCommands.Propose.class);
        COMMANDS.put("withdraw", WindowCommands.Withdraw.class);
        COMMANDS.put("pause", WindowCommands.Pause.class);
        COMMANDS.put("begin", WindowCommands.Begin.class);
        COMMANDS.put("report", WindowCommands.Report.class);
        COMMANDS.put("outage", WindowCommands.Outage.class);
        COMMANDS.put("advise", AdviceCommands.Advise.class);
        COMMANDS.put("decide", AdviceCommands.Decide.class);
        COMMANDS.put("outcome", AdviceCommands.Outcome.class);
        COMMANDS.put("change-configuration", ConfigurationCommands.ChangeConfiguration.class);
        REPLIES.put("changed", ConfigurationReplies.Changed.class);
        REPLIES.put("rejected", ConfigurationReplies.Rejected.class);
        REPLIES.put("planned", WindowReplies.Planned.class);
        REPLIES.put("window", WindowReplies.Now.class);
        REPLIES.put("done", Acknowledgement.class);
        REPLIES.put("refused", Rejection.class);
        REPLIES.put("granted", LeaseReplies.Granted.class);
        REPLIES.put("held", LeaseReplies.Held.class);
        REPLIES.put("renewed", LeaseReplies.Renewed.class);
    }

    /** The stored form of a log entry: the format version and the proposal. */
    private record Entry(int format, Proposal proposal) {}

    /** The stored form of a snapshot: the format version and the state. */
    private record StoredSnapshot(int format, GroupState.Image image) {}

    @JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "op")
    private interface CommandTypeInfo {}

    @JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "result")
    private interface ReplyTypeInfo {}

    private static final ObjectMapper STRICT_JSON =
            buildMapper(
                    JsonMapper.builder()
                            .enable(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES)
                            .enable(DeserializationFeature.FAIL_ON_NULL_CREATOR_PROPERTIES)
                            .withConfigOverride(
                                    List.class,
                                    override ->
                                            override.setSetterInfo(
                                                    JsonSetter.Value.forContentNulls(Nulls.FAIL)))
                            .withConfigOverride(
                                    Map.class,
                                    override ->
                                            override.setSetterInfo(
                                                    JsonSetter.Value.forContentNulls(Nulls.FAIL))));
    private static final ObjectMapper CBOR = buildMapper(CBORMapper.builder());
    private static final ObjectMapper JSON = buildMapper(JsonMapper.builder());

    private GroupCodec() {}

    private static ObjectMapper buildMapper(MapperBuilder<?, ?> builder) {
        builder.addMixIn(Command.class, CommandTypeInfo.class)
                .addMixIn(Reply.class, ReplyTypeInfo.class)
                .addModule(new ConfigurationModule())
                .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
                .enable(SerializationFeature.ORDER_MAP_ENTRIES_BY_KEYS);
        COMMANDS.forEach((name, type) -> builder.registerSubtypes(new NamedType(type, name)));
        REPLIES.forEach((name, type) -> builder.registerSubtypes(new NamedType(type, name)));
        return builder.build();
    }

    /** Returns the mapper for JSON that clients send and receive. */
    public static ObjectMapper jsonMapper() {
        return JSON;
    }

    /** Decodes a client's command. Every field must be present and none may be null. */
    public static Command decodeCommand(JsonNode json) throws JsonProcessingException {
        return STRICT_JSON.treeToValue(json, Command.class);
    }

    /**
     * Decodes a record that a client sends. Every field must be present, none may be unknown or
     * null.
     */
    public static <T> T decodeStrictly(JsonNode json, Class<T> type)
            throws JsonProcessingException {
        return STRICT_JSON.treeToValue(json, type);
    }

    /** Returns the mapper for data that replicas store and exchange. */
    public static ObjectMapper cborMapper() {
        return CBOR;
    }

    /** Encodes a log entry. */
    public static byte[] encodeEntry(Proposal proposal) {
        return toCbor(new Entry(FORMAT_VERSION, proposal));
    }

    /** Decodes the proposal of a log entry. */
    public static Proposal decodeProposal(byte[] entry) throws IOException {
        Entry decoded = CBOR.readValue(entry, Entry.class);
        if (decoded.format() != FORMAT_VERSION) {
            throw new IOException(
                    "entry of format " + decoded.format() + "; this build reads " + FORMAT_VERSION);
        }
        return decoded.proposal();
    }

    /** Encodes a snapshot. */
    public static byte[] encodeSnapshot(GroupState.Image image) {
        return toCbor(new StoredSnapshot(FORMAT_VERSION, image));
    }

    /** Decodes the state in a snapshot. */
    public static GroupState.Image decodeSnapshot(byte[] snapshot) throws IOException {
        StoredSnapshot decoded = CBOR.readValue(snapshot, StoredSnapshot.class);
        if (decoded.format() != FORMAT_VERSION) {
            throw new IOException(
                    "snapshot of format "
                            + decoded.format()
                            + "; this build reads "
                            + FORMAT_VERSION);
        }
        return decoded.image();
    }

    /** Encodes any record as CBOR. */
    public static byte[] toCbor(Object record) {
        try {
            return CBOR.writeValueAsBytes(record);
        } catch (JsonProcessingException exception) {
            throw new IllegalArgumentException(exception);
        }
    }
}

package saltstage.coordinator.configuration;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import saltstage.configuration.ConfigurationJson;
import saltstage.configuration.EntryKey;
import saltstage.configuration.EntryValue;
import saltstage.configuration.Mutation;
import saltstage.coordinator.configuration.ConfigurationCommands.ChangeConfiguration;
import saltstage.coordinator.configuration.ConfigurationReplies.Changed;
import saltstage.coordinator.configuration.ConfigurationReplies.Rejected;
import saltstage.coordinator.group.GroupCodec;
import saltstage.coordinator.group.GroupCommands;
import saltstage.coordinator.group.GroupState;
import saltstage.coordinator.group.Proposal;
import saltstage.coordinator.model.Command;
import saltstage.coordinator.model.Rejection;
import saltstage.coordinator.model.Reply;

/**
 * Tests the configuration as a part of the group state: feature levels, client sessions, the log,
 * snapshots and JSON. Replicas below the feature level must be able to read a snapshot, and a
 * resent change must be applied only once.
 */
class ConfigurationGroupTest {
    private static final EntryValue BACKEND =
            new EntryValue.Backend("10.0.0.7:1", "a1", 2, EntryValue.BackendState.DRAINING, 0.5, 9);

    private GroupState state = new GroupState();

    private Reply apply(String client, long seq, Command command) throws IOException {
        return state.apply(
                GroupCodec.decodeProposal(
                        GroupCodec.encodeEntry(new Proposal(client, seq, "e", 0, command))));
    }

    private void setFeatureLevel(int level) throws IOException {
        apply("", 0, new GroupCommands.Introduce("a", "disk", "1.2.3.4:1", "1.2.3.4:2"));
        apply("", 0, new GroupCommands.Tick(Map.of(), Map.of("a", level), List.of("a")));
        assertEquals(level, state.featureLevel());
    }

    private static ChangeConfiguration change(Mutation... mutations) {
        return new ChangeConfiguration("ana", List.of(mutations), Map.of());
    }

    private static Mutation mutation(String key, EntryValue value) {
        return new Mutation(EntryKey.parse(key), value);
    }

    private static ChangeConfiguration allKinds() {
        return change(
                mutation("backend/gw-1", BACKEND),
                mutation("shard/t/1", new EntryValue.Shard("gw-1")),
                mutation("suspension/gw-1", new EntryValue.Suspension("disk \u00e9")),
                mutation("setting/log.level", new EntryValue.Setting("\"warn\"")));
    }

    @Test
    void groupBelowTheFeatureLevelRejectsChangesAndOmitsTheSnapshotField() throws IOException {
        setFeatureLevel(3);
        assertEquals("not-yet", ((Rejection) apply("c", 1, allKinds())).code());
        JsonNode image =
                GroupCodec.cborMapper()
                        .readTree(GroupCodec.encodeSnapshot(state.image()))
                        .path("image");
        assertFalse(
                image.has("configuration"), "replicas at feature level 3 reject an unknown field");
        assertTrue(image.has("advice"));
        setFeatureLevel(4);
        assertInstanceOf(Changed.class, apply("c", 2, allKinds()));
        JsonNode after =
                GroupCodec.cborMapper()
                        .readTree(GroupCodec.encodeSnapshot(state.image()))
                        .path("image");
        assertEquals(1, after.path("configuration").path("revision").asLong());
    }

    @Test
    void snapshotRestoresAnEqualStateAndDigest() throws IOException {
        setFeatureLevel(4);
        apply("c", 1, allKinds());
        apply("c", 2, change(mutation("suspension/gw-1", null)));
        byte[] bytes = GroupCodec.encodeSnapshot(state.image());
        GroupState restored = new GroupState(GroupCodec.decodeSnapshot(bytes));
        assertEquals(state.configuration().digest(), restored.configuration().digest());
        assertEquals(
                state.configuration().view().entries(), restored.configuration().view().entries());
        assertEquals(state.configuration().image(), restored.configuration().image());
        assertArrayEquals(bytes, GroupCodec.encodeSnapshot(restored.image()));
        assertEquals(
                state.configuration().changesAfter(0, 0, 10),
                restored.configuration().changesAfter(0, 0, 10));
    }

    @Test
    void resentChangeIsExecutedOnceEvenAfterASnapshot() throws IOException {
        setFeatureLevel(4);
        apply("c", 1, change(mutation("backend/gw-1", BACKEND)));
        ChangeConfiguration placement = change(mutation("shard/t/1", new EntryValue.Shard("gw-1")));
        Reply first = apply("c", 2, placement);
        apply("other", 1, change(mutation("shard/t/1", null)));
        assertEquals(
                first,
                apply("c", 2, placement),
                "a command resent after a lost reply gets the first reply");
        assertFalse(
                state.configuration().view().entries().containsKey(EntryKey.parse("shard/t/1")),
                "executing the command again would undo the other writer's change");
        state = new GroupState(GroupCodec.decodeSnapshot(GroupCodec.encodeSnapshot(state.image())));
        assertEquals(first, apply("c", 2, placement));
        assertEquals(3, state.configuration().revision());
    }

    @Test
    void commandAndReadApiEncodeMutationsAlike() throws Exception {
        ChangeConfiguration change = allKinds();
        JsonNode json = GroupCodec.jsonMapper().valueToTree(change);
        JsonNode written =
                GroupCodec.jsonMapper().readTree(ConfigurationJson.toJson(change.mutations()));
        assertEquals(written.path("mutations").toString(), json.path("mutations").toString());
        JsonNode command =
                GroupCodec.jsonMapper()
                        .readTree(
                                GroupCodec.jsonMapper()
                                        .writerFor(Command.class)
                                        .writeValueAsString(change));
        assertEquals("change-configuration", command.path("op").asText());
        assertEquals(change, GroupCodec.decodeCommand(command));
        Reply rejected = new Rejected(RejectionCode.IN_USE, "backend/gw-1", "deleted", "x");
        String reply = GroupCodec.jsonMapper().writerFor(Reply.class).writeValueAsString(rejected);
        assertEquals(rejected, GroupCodec.jsonMapper().readValue(reply, Reply.class));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "{\"key\":\"planet/x\",\"deleted\":true}",
                "{\"key\":\"shard/t/1\",\"deleted\":false}",
                "{\"key\":\"shard/t/1\",\"shard\":null}",
                "{\"key\":\"shard/t/1\",\"shard\":{}}",
                "{\"key\":\"shard/t/1\",\"shard\":{\"backend\":null}}",
                "{\"key\":\"shard/t/1\",\"shard\":{\"backend\":\"a\",\"x\":1}}",
                "{\"key\":\"shard/t/1\",\"suspension\":{\"reason\":\"a\"}}",
                "{\"key\":\"shard/t/1\",\"shard\":{\"backend\":\"a\"},\"deleted\":true}",
                "{\"key\":7,\"deleted\":true}",
                "7",
                "null"
            })
    void malformedMutationInACommandIsRejected(String mutation) throws IOException {
        String text =
                "{\"op\":\"change-configuration\",\"author\":\"ana\",\"expected\":{},\"mutations\":["
                        + mutation
                        + "]}";
        JsonNode command = GroupCodec.jsonMapper().readTree(text);
        assertThrows(JsonProcessingException.class, () -> GroupCodec.decodeCommand(command));
    }
}

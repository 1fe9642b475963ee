package saltstage.coordinator.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import saltstage.configuration.ConfigurationJson;
import saltstage.configuration.ConfigurationLimits;
import saltstage.configuration.EntryKey;
import saltstage.configuration.EntryKind;
import saltstage.configuration.EntryValue;
import saltstage.configuration.Mutation;
import saltstage.coordinator.configuration.ConfigurationCommands.ChangeConfiguration;
import saltstage.coordinator.configuration.ConfigurationReplies.Changed;
import saltstage.coordinator.configuration.ConfigurationReplies.Rejected;
import saltstage.coordinator.model.Reply;
import saltstage.wire.MalformedException;

/** Tests which changes a group accepts and rejects, and what its history retains. */
class ConfigurationRegistryTest {
    private static final long ACCEPTED_AT_MS = 1_700_000_000_000L;
    private static final String BACKEND_JSON =
            "{\"key\":\"backend/%s\",\"backend\":{\"address\":\"%s\",\"zone\":\"a1\",\"cell\":0,"
                    + "\"state\":\"READY\",\"weight\":1,\"startedAtMs\":0}}";

    private final ConfigurationRegistry registry = new ConfigurationRegistry();

    private Reply change(Map<String, Long> expected, String... mutations) {
        try {
            String text = "{\"mutations\":[" + String.join(",", mutations) + "]}";
            List<Mutation> read = ConfigurationJson.parseMutations(text);
            return registry.applyChange(
                    new ChangeConfiguration("ana", read, expected), ACCEPTED_AT_MS);
        } catch (MalformedException malformed) {
            throw new IllegalArgumentException(malformed);
        }
    }

    private Changed put(String... mutations) {
        return assertInstanceOf(Changed.class, change(Map.of(), mutations));
    }

    private static String backendJson(String name) {
        return String.format(BACKEND_JSON, name, "10.0.0.7:4100");
    }

    private static String shardJson(String name, String backend) {
        return "{\"key\":\"shard/" + name + "\",\"shard\":{\"backend\":\"" + backend + "\"}}";
    }

    private static String settingJson(String name, String text) {
        String quoted = text.replace("\"", "\\\"");
        return "{\"key\":\"setting/" + name + "\",\"setting\":{\"text\":\"" + quoted + "\"}}";
    }

    private static String deletionJson(String key) {
        return "{\"key\":\"" + key + "\",\"deleted\":true}";
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '~',
            quoteCharacter = '`',
            value = {
                "log.level ~ \"loud\" ~ INVALID_VALUE ~ one of",
                "log.level ~ info ~ INVALID_VALUE ~ quoted text",
                "log.level ~ \"info\" } store { dir = \"x\" ~ INVALID_VALUE ~ quoted text",
                "log.colour ~ \"red\" ~ UNKNOWN_SETTING ~ log.level",
                "store.dir ~ \"/tmp\" ~ UNKNOWN_SETTING ~ amqp.connections",
                "amqp.loops ~ 2 ~ UNKNOWN_SETTING ~ amqp.connections",
                "amqp.connections ~ 0 ~ INVALID_VALUE ~ connections",
                "amqp.idle ~ \"soon\" ~ INVALID_VALUE ~ a span such as",
                "amqp.link_bytes ~ \"8KiB\" ~ INVALID_VALUE ~ four frames",
            })
    void invalidSettingIsRejectedWithAHint(String name, String text, String code, String wanted) {
        Rejected rejected =
                assertInstanceOf(Rejected.class, change(Map.of(), settingJson(name, text)));
        assertEquals(code, rejected.code().name());
        assertEquals("setting/" + name, rejected.key());
        assertEquals(text, rejected.value());
        assertTrue(rejected.wanted().contains(wanted), rejected.wanted());
        assertEquals(0, registry.revision());
    }

    @Test
    void invalidBackendShardAndSuspensionAreRejectedWithAHint() {
        put(backendJson("gw-1"));
        assertRejected(
                "INVALID_VALUE",
                "backend/gw-2",
                "as 10.0.0.7:4100",
                String.format(BACKEND_JSON, "gw-2", "gw-2.example:4100"));
        assertRejected(
                "INVALID_VALUE",
                "backend/gw-2",
                "as 10.0.0.7:4100",
                String.format(BACKEND_JSON, "gw-2", "10.0.0.300:4100"));
        String longName = "g".repeat(129);
        assertRejected("INVALID_VALUE", "backend/" + longName, "1 to 128", backendJson(longName));
        assertRejected("UNKNOWN_BACKEND", "shard/t/1", "that there is", shardJson("t/1", "gw-2"));
        assertRejected(
                "UNKNOWN_BACKEND",
                "suspension/gw-2",
                "that there is",
                "{\"key\":\"suspension/gw-2\",\"suspension\":{\"reason\":\"x\"}}");
        assertRejected(
                "UNKNOWN_BACKEND",
                "shard/t/1",
                "that there is",
                shardJson("t/1", "gw-1"),
                deletionJson("backend/gw-1"),
                shardJson("t/1", "gw-9"));
        assertEquals(1, registry.revision());
    }

    @Test
    void valueThatJsonCannotRepresentIsRejected() {
        for (double weight : new double[] {-1, Double.NaN, Double.POSITIVE_INFINITY}) {
            EntryValue value =
                    new EntryValue.Backend(
                            "10.0.0.7:1", "", 0, EntryValue.BackendState.READY, weight, 0);
            Mutation invalid = new Mutation(EntryKey.parse("backend/gw-1"), value);
            Reply reply =
                    registry.applyChange(
                            new ChangeConfiguration("ana", List.of(invalid), Map.of()),
                            ACCEPTED_AT_MS);
            assertTrue(((Rejected) reply).wanted().contains("'weight'"));
        }
    }

    @Test
    void changeSizeAndAuthorAreChecked() {
        assertRejected("MALFORMED", "", "mutations");
        String[] mutations = new String[ConfigurationLimits.MAX_MUTATIONS_PER_CHANGE];
        for (int i = 0; i < mutations.length; i++) {
            mutations[i] = backendJson("b" + i);
        }
        put(mutations);
        for (int i = 0; i < mutations.length; i++) {
            String reason = "r".repeat(ConfigurationLimits.MAX_REASON_LENGTH);
            mutations[i] =
                    "{\"key\":\"suspension/b"
                            + i
                            + "\",\"suspension\":{\"reason\":\""
                            + reason
                            + "\"}}";
        }
        assertRejected("MALFORMED", "", "bytes would do", mutations);
        Reply withoutAuthor =
                registry.applyChange(
                        new ChangeConfiguration(
                                "",
                                List.of(new Mutation(EntryKey.parse("shard/t/1"), null)),
                                Map.of()),
                        ACCEPTED_AT_MS);
        assertEquals(RejectionCode.MALFORMED, ((Rejected) withoutAuthor).code());
    }

    private void assertRejected(String code, String key, String wanted, String... mutations) {
        Rejected rejected = assertInstanceOf(Rejected.class, change(Map.of(), mutations));
        assertEquals(code + " " + key, rejected.code() + " " + rejected.key());
        assertTrue(rejected.wanted().contains(wanted), rejected.wanted());
        assertTrue(rejected.message().contains(rejected.wanted()));
    }

    @Test
    void referencedBackendIsDeletedOnlyWithItsReferences() {
        put(
                backendJson("gw-1"),
                backendJson("gw-2"),
                shardJson("t/1", "gw-1"),
                shardJson("t/2", "gw-1"));
        assertRejected("IN_USE", "backend/gw-1", "2 shards", deletionJson("backend/gw-1"));
        assertRejected(
                "IN_USE",
                "backend/gw-1",
                "1 shards",
                deletionJson("backend/gw-1"),
                shardJson("t/1", "gw-2"));
        put(deletionJson("backend/gw-1"), shardJson("t/1", "gw-2"), deletionJson("shard/t/2"));
        put(
                "{\"key\":\"suspension/gw-2\",\"suspension\":{\"reason\":\"x\"}}",
                deletionJson("shard/t/1"));
        assertRejected("IN_USE", "backend/gw-2", "suspension/gw-2", deletionJson("backend/gw-2"));
        put(deletionJson("backend/gw-2"), deletionJson("suspension/gw-2"));
        assertEquals(0, registry.view().entries().size());
    }

    @Test
    void secondOfTwoConcurrentWritersIsRejected() {
        Changed seen = put(backendJson("gw-1"), backendJson("gw-2"), shardJson("t/1", "gw-1"));
        Map<String, Long> expected = Map.of("shard/t/1", seen.revision());
        assertInstanceOf(Changed.class, change(expected, shardJson("t/1", "gw-2")));
        Rejected rejected =
                assertInstanceOf(Rejected.class, change(expected, deletionJson("shard/t/1")));
        assertEquals(RejectionCode.CONFLICT, rejected.code());
        assertTrue(rejected.wanted().contains("revision 2"), rejected.wanted());
        assertEquals(2, registry.revision());
        Map<String, Long> absent = Map.of("shard/t/9", 0L);
        assertInstanceOf(Changed.class, change(absent, shardJson("t/9", "gw-1")));
        assertEquals(
                RejectionCode.CONFLICT,
                ((Rejected) change(absent, shardJson("t/9", "gw-2"))).code());
    }

    @Test
    void noOpChangeLeavesRevisionHistoryAndEntriesUnchanged() {
        put(backendJson("gw-1"), shardJson("t/1", "gw-1"));
        ConfigurationRegistry.Image before = registry.image();
        Changed unchanged = put(shardJson("t/1", "gw-1"), deletionJson("shard/t/2"));
        assertEquals(new Changed(1, before.digest(), 0), unchanged);
        assertEquals(before, registry.image());
        EntryKey shard = EntryKey.parse("shard/t/1");
        assertSame(registry.view().entries().get(shard), registry.view().entries().get(shard));
        Changed changed = put(shardJson("t/1", "gw-1"), shardJson("t/2", "gw-1"));
        assertEquals(1, changed.mutations());
        assertEquals(1, registry.view().entries().get(shard).revision());
    }

    @Test
    void historyKeepsAuthorTimeAndUndoOfEachChange() {
        put(backendJson("gw-1"), shardJson("t/1", "gw-1"));
        put(deletionJson("shard/t/1"));
        ConfigurationRegistry.History history = registry.history(0, 10);
        assertEquals(2, history.changes().size());
        AcceptedChange last = history.changes().get(1);
        assertEquals("ana", last.author());
        assertEquals(ACCEPTED_AT_MS, last.dayMs());
        EntryKey shard = EntryKey.parse("shard/t/1");
        assertEquals(List.of(new Mutation(shard, new EntryValue.Shard("gw-1"))), last.undo());
        assertEquals(last, registry.history(1, 10).changes().get(0));
    }

    @Property(tries = 100)
    void shardCountsAndUndosMatchTheEntriesAfterRandomChanges(@ForAll long seed) {
        Random random = new Random(seed);
        ConfigurationRegistry original = new ConfigurationRegistry();
        Map<Long, Map<EntryKey, EntryValue>> valuesByRevision = new HashMap<>(Map.of(0L, Map.of()));
        for (int i = 0; i < 60; i++) {
            original.applyChange(
                    new ChangeConfiguration("ana", randomMutations(random), Map.of()),
                    ACCEPTED_AT_MS);
            valuesByRevision.put(original.revision(), values(original));
        }
        ConfigurationRegistry restored = new ConfigurationRegistry(original.image());
        assertEquals(original.image(), restored.image());
        for (ConfigurationRegistry candidate : List.of(original, restored)) {
            Map<EntryKey, EntryValue> restoredValues = new HashMap<>(values(candidate));
            List<AcceptedChange> changes = candidate.history(0, Integer.MAX_VALUE).changes();
            for (int i = changes.size() - 1; i >= 0; i--) {
                for (Mutation undo : changes.get(i).undo()) {
                    restoredValues.remove(undo.key());
                    if (!undo.isDeletion()) {
                        restoredValues.put(undo.key(), undo.value());
                    }
                }
                assertEquals(valuesByRevision.get(changes.get(i).revision() - 1), restoredValues);
            }
            assertDeletionsAgree(candidate);
        }
    }

    private static Map<EntryKey, EntryValue> values(ConfigurationRegistry source) {
        Map<EntryKey, EntryValue> values = new HashMap<>();
        source.view().entries().forEach((key, entry) -> values.put(key, entry.value()));
        return values;
    }

    private static void assertDeletionsAgree(ConfigurationRegistry registry) {
        for (int i = 0; i < 4; i++) {
            EntryKey key = new EntryKey(EntryKind.BACKEND, "gw-" + i);
            boolean isReferenced =
                    registry.view().entries().values().stream()
                            .anyMatch(
                                    entry ->
                                            entry.value().equals(new EntryValue.Shard(key.name())));
            Reply reply =
                    registry.applyChange(
                            new ChangeConfiguration(
                                    "ana", List.of(new Mutation(key, null)), Map.of()),
                            ACCEPTED_AT_MS);
            assertEquals(
                    isReferenced,
                    reply instanceof Rejected rejected && rejected.code() == RejectionCode.IN_USE);
        }
    }

    private static List<Mutation> randomMutations(Random random) {
        List<Mutation> mutations = new ArrayList<>();
        for (int i = random.nextInt(4); i >= 0; i--) {
            String backend = "gw-" + random.nextInt(4);
            boolean isShard = random.nextInt(3) > 0;
            EntryKey key =
                    EntryKey.parse(isShard ? "shard/t/" + random.nextInt(6) : "backend/" + backend);
            EntryValue value =
                    isShard
                            ? new EntryValue.Shard(backend)
                            : new EntryValue.Backend(
                                    "10.0.0.7:1", "", 0, EntryValue.BackendState.READY, 1, 0);
            mutations.add(new Mutation(key, random.nextInt(4) == 0 ? null : value));
        }
        return mutations;
    }

    @Test
    void inconsistentImageIsRejected() {
        put(backendJson("gw-1"));
        ConfigurationRegistry.Image valid = registry.image();
        assertThrows(
                IllegalArgumentException.class,
                () ->
                        new ConfigurationRegistry(
                                new ConfigurationRegistry.Image(
                                        1,
                                        valid.digest(),
                                        List.of(),
                                        0,
                                        valid.baseDigest(),
                                        valid.changes())));
        assertThrows(
                IllegalArgumentException.class,
                () ->
                        new ConfigurationRegistry(
                                new ConfigurationRegistry.Image(
                                        1,
                                        valid.digest(),
                                        valid.entries(),
                                        0,
                                        valid.baseDigest(),
                                        List.of())));
    }
}

package saltstage.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import saltstage.wire.MalformedException;

/**
 * Guards against JSON of the read API that does not round-trip, and against malformed JSON that is
 * accepted in part.
 */
class ConfigurationJsonTest {
    private static final String CHANGES =
            "{\"revision\":1,\"digest\":\"0000000000000001\",\"changes\":[{\"revision\":1,"
                    + "\"digest\":\"0000000000000001\",\"mutations\":[%s]}]}";
    private static final String BACKEND =
            "{\"key\":\"backend/gw-4\",\"backend\":{\"address\":\"10.0.0.7:4100\",\"zone\":\"a1\","
                    + "\"cell\":3,\"state\":\"READY\",\"weight\":1.5,\"startedAtMs\":0}}";

    @Test
    void mutationsOfEachKindRoundTrip() throws MalformedException {
        List<Mutation> mutations =
                List.of(
                        mutation("setting/log.level", new EntryValue.Setting("\"info\\\u00e9\"")),
                        mutation("backend/gw-4", backend(1e-9)),
                        mutation("backend/gw-5", backend(1e12)),
                        mutation("shard/topic-7/3", new EntryValue.Shard("gw-4")),
                        mutation("suspension/gw-4", new EntryValue.Suspension("disk \ud83d\udca5")),
                        mutation("shard/topic-7/4", null));
        Change change = new Change(9, -2, mutations);
        ChangesResponse response = new ChangesResponse(9, -2, List.of(change));
        assertEquals(response, ConfigurationJson.parseChanges(ConfigurationJson.toJson(response)));
        assertEquals(
                mutations, ConfigurationJson.parseMutations(ConfigurationJson.toJson(mutations)));
        ErrorResponse error = new ErrorResponse(ErrorResponse.BUSY, 0, 250);
        assertEquals(error, ConfigurationJson.parseError(ConfigurationJson.toJson(error)));
    }

    private static Mutation mutation(String key, EntryValue value) {
        return new Mutation(EntryKey.parse(key), value);
    }

    private static EntryValue backend(double weight) {
        return new EntryValue.Backend(
                "10.0.0.7:4100", "", 0, EntryValue.BackendState.DRAINING, weight, 1L << 41);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '~',
            quoteCharacter = '`',
            value = {
                "{\"key\":\"planet/x\",\"deleted\":true} ~ mutations[0].key",
                "{\"key\":\"shard/t/1\",\"deleted\":false} ~ deleted takes only true",
                "{\"key\":\"shard/t/1\"} ~ mutations[0].shard is missing",
                "{\"key\":\"shard/t/1\",\"shard\":{\"backend\":7}} ~ backend takes a text",
                "{\"key\":\"shard/t/1\",\"setting\":{\"text\":\"1\"}} ~ shard is missing",
                "{\"key\":\"shard/t/1\",\"deleted\":true,\"shard\":{}} ~ unknown member 'shard'",
                "{\"key\":\"shard/t/1\",\"shard\":{\"backend\":\"a\",\"x\":1}} ~ unknown member"
                        + " 'x'",
                "{\"key\":\"shard/t/1\",\"shard\":{\"backend\":\"a b\"}} ~ 'backend' takes",
                "{\"key\":\"suspension/a\",\"suspension\":{\"reason\":\"\\ud800\"}} ~ 'reason'"
                        + " takes",
                "[] ~ mutations[0] is not an object",
            })
    void malformedMutationIsRejectedWithItsPath(String mutation, String expected) {
        String text = String.format(CHANGES, mutation);
        String message =
                assertThrows(MalformedException.class, () -> ConfigurationJson.parseChanges(text))
                        .getMessage();
        assertTrue(message.contains(expected), message);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '~',
            quoteCharacter = '`',
            value = {
                "\"weight\":1.5 ~ \"weight\":-1",
                "\"weight\":1.5 ~ \"weight\":1e999",
                "\"cell\":3 ~ \"cell\":3.5",
                "\"cell\":3 ~ \"cell\":4294967296",
                "READY ~ ready",
                "\"startedAtMs\":0 ~ \"startedAtMs\":9007199254740993",
                "\"zone\":\"a1\" ~ \"zone\":\"a|1\"",
                "\"zone\":\"a1\", ~ ` `",
            })
    void malformedBackendIsRejected(String good, String bad) throws MalformedException {
        ConfigurationJson.parseChanges(String.format(CHANGES, BACKEND));
        String text = String.format(CHANGES, BACKEND.replace(good, bad));
        assertThrows(MalformedException.class, () -> ConfigurationJson.parseChanges(text));
    }

    @Test
    void inputOverTheLimitsIsRejected() {
        String mutation = "{\"key\":\"shard/t/1\",\"deleted\":true}";
        int limit = ConfigurationLimits.MAX_MUTATIONS_PER_CHANGE;
        String mutations = String.join(",", java.util.Collections.nCopies(limit + 1, mutation));
        String text = String.format(CHANGES, mutations);
        assertThrows(MalformedException.class, () -> ConfigurationJson.parseChanges(text));
        String longName = "x".repeat(161);
        String longKey = String.format(CHANGES, mutation.replace("t/1", longName));
        assertThrows(MalformedException.class, () -> ConfigurationJson.parseChanges(longKey));
    }

    @Property(tries = 3_000)
    void corruptedJsonNeverPartiallyChangesAView(
            @ForAll long seed, @ForAll @IntRange(min = 1, max = 3) int edits) {
        ConfigurationView writer = new ConfigurationView();
        Change change =
                writer.accept(
                        List.of(
                                mutation("shard/topic-7/3", new EntryValue.Shard("gw-4")),
                                mutation("backend/gw-4", backend(2))));
        String text =
                ConfigurationJson.toJson(new ChangesResponse(1, writer.digest(), List.of(change)));
        ConfigurationView follower = new ConfigurationView();
        try {
            ConfigurationJson.parseChanges(corrupted(text, new Random(seed), edits))
                    .changes()
                    .forEach(follower::apply);
        } catch (MalformedException malformed) {
            assertEquals(0, follower.revision());
        }
        boolean completelyApplied =
                follower.entries().equals(writer.entries()) && follower.revision() == 1;
        assertTrue(completelyApplied || follower.revision() == 0 && follower.entries().isEmpty());
    }

    private static String corrupted(String text, Random random, int edits) {
        StringBuilder altered = new StringBuilder(text);
        String alphabet = "{}[]\",:0123456789abcdeftrue\\u-+. \u0000\ud800";
        for (int i = 0; i < edits && !altered.isEmpty(); i++) {
            int index = random.nextInt(altered.length());
            char c = alphabet.charAt(random.nextInt(alphabet.length()));
            switch (random.nextInt(4)) {
                case 0 -> altered.deleteCharAt(index);
                case 1 -> altered.insert(index, c);
                case 2 -> altered.setLength(Math.max(1, index));
                default -> altered.setCharAt(index, c);
            }
        }
        return altered.toString();
    }
}

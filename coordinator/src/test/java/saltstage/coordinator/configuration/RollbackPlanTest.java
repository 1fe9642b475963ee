package saltstage.coordinator.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import saltstage.configuration.ConfigurationLimits;
import saltstage.configuration.EntryKey;
import saltstage.configuration.EntryKind;
import saltstage.configuration.EntryValue;
import saltstage.configuration.Mutation;
import saltstage.coordinator.configuration.ConfigurationCommands.ChangeConfiguration;
import saltstage.coordinator.configuration.ConfigurationReplies.Changed;
import saltstage.coordinator.configuration.ConfigurationReplies.Rejected;
import saltstage.coordinator.model.Reply;

/**
 * Tests that each change of a rollback is accepted by itself, and that a rollback does not
 * overwrite the concurrent change of another writer.
 */
class RollbackPlanTest {
    private static final int BACKEND_COUNT = 3;

    private ConfigurationRegistry registry = new ConfigurationRegistry();

    private Reply change(ChangeConfiguration change) {
        return registry.applyChange(change, 1);
    }

    private Reply put(List<Mutation> mutations) {
        return change(new ChangeConfiguration("ana", mutations, Map.of()));
    }

    private static Mutation backend(int number) {
        EntryValue value =
                new EntryValue.Backend(
                        "10.0.0.7:1", "", 0, EntryValue.BackendState.READY, 1, number);
        return new Mutation(new EntryKey(EntryKind.BACKEND, "gw-" + number), value);
    }

    private static Mutation shard(int number, int backend) {
        EntryValue value = new EntryValue.Shard("gw-" + backend);
        return new Mutation(new EntryKey(EntryKind.SHARD, "t/" + number), value);
    }

    private static Mutation deletion(Mutation mutation) {
        return new Mutation(mutation.key(), null);
    }

    private static Map<EntryKey, EntryValue> values(ConfigurationRegistry source) {
        Map<EntryKey, EntryValue> values = new HashMap<>();
        source.view().entries().forEach((key, entry) -> values.put(key, entry.value()));
        return values;
    }

    private List<ChangeConfiguration> rollbackPlan(long revision) {
        return RollbackPlan.of(registry.history(revision, Integer.MAX_VALUE).changes(), "bea");
    }

    @Property(tries = 200)
    void anyRetainedRevisionCanBeRestored(@ForAll long seed) {
        Random random = new Random(seed);
        registry = new ConfigurationRegistry(); // jqwik runs all tries on one test instance
        Map<Long, Map<EntryKey, EntryValue>> valuesByRevision = new HashMap<>(Map.of(0L, Map.of()));
        for (int i = 0; i < 25; i++) {
            List<Mutation> mutations = new ArrayList<>();
            for (int j = random.nextInt(4); j >= 0; j--) {
                int number = random.nextInt(BACKEND_COUNT);
                Mutation mutation =
                        random.nextBoolean() ? backend(number) : shard(random.nextInt(5), number);
                mutations.add(random.nextInt(3) == 0 ? deletion(mutation) : mutation);
            }
            put(mutations);
            valuesByRevision.put(registry.revision(), values(registry));
        }
        long target = random.nextInt((int) registry.revision() + 1);
        rollbackPlan(target).forEach(change -> assertInstanceOf(Changed.class, change(change)));
        assertEquals(valuesByRevision.get(target), values(registry));
        assertEquals(List.of(), rollbackPlan(target));
    }

    @Test
    void largeRollbackIsSplitIntoChangesInAnAcceptedOrder() {
        int max = ConfigurationLimits.MAX_MUTATIONS_PER_CHANGE;
        put(List.of(backend(0)));
        putShards(max, 0);
        putShards(2 * max, 0);
        long targetRevision = registry.revision();
        Map<EntryKey, EntryValue> before = values(registry);
        put(List.of(backend(1)));
        putShards(max, 1);
        putShards(2 * max, 1);
        put(List.of(deletion(backend(0))));
        List<ChangeConfiguration> plan = rollbackPlan(targetRevision);
        assertTrue(plan.size() > 2, plan.size() + " changes");
        plan.forEach(change -> assertInstanceOf(Changed.class, change(change)));
        assertEquals(before, values(registry));
    }

    private void putShards(int end, int backend) {
        List<Mutation> shards = new ArrayList<>();
        for (int i = end - ConfigurationLimits.MAX_MUTATIONS_PER_CHANGE; i < end; i++) {
            shards.add(shard(i, backend));
        }
        assertInstanceOf(Changed.class, put(shards));
    }

    @Test
    void rollbackIsRejectedAfterAConcurrentWrite() {
        put(List.of(backend(0), backend(1), shard(1, 0), shard(2, 0)));
        put(List.of(shard(1, 1), deletion(shard(2, 0))));
        List<ChangeConfiguration> plan = rollbackPlan(1);
        put(List.of(shard(2, 1)));
        Rejected rejected = assertInstanceOf(Rejected.class, change(plan.get(0)));
        assertEquals(RejectionCode.CONFLICT, rejected.code());
        assertEquals("shard/t/2", rejected.key());
        assertEquals(3, registry.revision());
    }
}

package saltstage.coordinator.configuration;

import java.util.HashMap;
import java.util.Map;
import saltstage.configuration.EntryValue;

/** How many shards name each backend: an index, so that no change has to look at all shards. */
final class ShardCounts {
    private final Map<String, Integer> counts = new HashMap<>();

    /** How many shards name this backend. */
    int countOf(String backend) {
        return counts.getOrDefault(backend, 0);
    }

    /**
     * An entry's value is replaced; null stands for none. Values of other kinds are passed over.
     */
    void replace(EntryValue before, EntryValue after) {
        if (before instanceof EntryValue.Shard shard) {
            counts.merge(shard.backend(), -1, ShardCounts::sumOrNull);
        }
        if (after instanceof EntryValue.Shard shard) {
            counts.merge(shard.backend(), 1, ShardCounts::sumOrNull);
        }
    }

    private static Integer sumOrNull(int one, int other) {
        return one + other == 0 ? null : one + other;
    }
}

package saltstage.coordinator.configuration;

import java.util.HashMap;
import java.util.Map;
import saltstage.configuration.EntryValue;

/** The number of shards by backend: an index that saves each change a scan of all shards. */
final class ShardCounts {
    private final Map<String, Integer> counts = new HashMap<>();

    /** Returns the number of shards that refer to this backend. */
    int countOf(String backend) {
        return counts.getOrDefault(backend, 0);
    }

    /**
     * Records that an entry's value is replaced; null stands for an absent entry. Values of other
     * kinds than shards are ignored.
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

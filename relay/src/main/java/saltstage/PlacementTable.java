package saltstage;

import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.function.ToDoubleFunction;
import saltstage.BalancerState.BackendState;

/**
 * Maglev hashing: maps keys to backends through a table that is the same at every relay with the
 * same backend list.
 */
final class PlacementTable {
    static final PlacementTable EMPTY = new PlacementTable(new BackendState[0]);

    /** A power of two, so that every odd skip visits all slots. */
    private static final int MIN_SLOTS = 2048;

    /** With fewer slots some backends of a wide fleet would have none. */
    private static final int SLOTS_PER_BACKEND = 7;

    private final BackendState[] slots;

    private PlacementTable(BackendState[] slots) {
        this.slots = slots;
    }

    /**
     * Builds the table: each backend in turn, as often as its weight says, claims the next free
     * slot in its own order of slots.
     */
    static PlacementTable of(List<BackendState> members, ToDoubleFunction<BackendState> weight) {
        if (members.isEmpty()) {
            return EMPTY;
        }
        int size = Math.max(MIN_SLOTS, Integer.highestOneBit(SLOTS_PER_BACKEND * members.size()));
        BackendState[] table = new BackendState[size];
        int[] nextPosition = new int[members.size()];
        double[] credit = new double[members.size()];
        double[] weights = members.stream().mapToDouble(weight).toArray();
        double maxWeight = Arrays.stream(weights).max().orElse(1);
        for (int filled = 0; filled < size; ) {
            for (int i = 0; i < nextPosition.length && filled < size; i++) {
                credit[i] += weights[i] / maxWeight;
                if (credit[i] < 1) {
                    continue;
                }
                credit[i] -= 1;
                BackendState member = members.get(i);
                int skip = (int) (member.hash >>> 32) | 1;
                int slot;
                do {
                    slot = (int) member.hash + nextPosition[i]++ * skip & size - 1;
                } while (table[slot] != null);
                table[slot] = member;
                filled++;
            }
        }
        return new PlacementTable(table);
    }

    boolean isEmpty() {
        return slots.length == 0;
    }

    /** Returns the backend for this hash, or null if the table is empty. */
    BackendState backendAt(long hash) {
        return isEmpty() ? null : slots[(int) hash & slots.length - 1];
    }

    /** Returns a random backend, each with a probability proportional to its number of slots. */
    BackendState randomBackend(Random random) {
        return slots[random.nextInt(slots.length)];
    }
}

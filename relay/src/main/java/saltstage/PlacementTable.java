package saltstage;

import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.function.ToDoubleFunction;
import saltstage.BalancerState.BackendState;

/**
 * Maglev hashing: keys are looked up in a table that is the same at every node with the same list.
 */
final class PlacementTable {
    static final PlacementTable EMPTY = new PlacementTable(new BackendState[0]);

    /** At least; odd skips visit every slot of a power of two. */
    private static final int MIN_SLOTS = 2048;

    /** Else some servers of a wide fleet would have no slot. */
    private static final int SLOTS_PER_BACKEND = 7;

    private final BackendState[] slots;

    private PlacementTable(BackendState[] slots) {
        this.slots = slots;
    }

    /**
     * Each server in turn, as often as its weight says, claims the next free slot of its own order.
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

    /** The server at this hash, or null where there is none. */
    BackendState backendAt(long hash) {
        return isEmpty() ? null : slots[(int) hash & slots.length - 1];
    }

    /** A server by chance, as often as it has slots. */
    BackendState randomBackend(Random random) {
        return slots[random.nextInt(slots.length)];
    }
}

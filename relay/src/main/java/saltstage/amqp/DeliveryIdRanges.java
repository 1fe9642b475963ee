package saltstage.amqp;

import java.util.Arrays;

/**
 * Collects delivery ids in any order and returns them as ranges of consecutive ids. Ids are serial
 * numbers (RFC 1982) that wrap; the ids collected at a time must lie within half of the number
 * space. This class does no I/O.
 */
final class DeliveryIdRanges {
    private static final int INITIAL_CAPACITY = 16;

    /** Receives a range, whose bounds are inclusive. */
    interface RangeConsumer {
        void accept(int first, int last);
    }

    /** Offsets from the first id that was added. Unlike the ids they do not wrap. */
    private int[] offsets = new int[INITIAL_CAPACITY];

    private int base;
    private int count;

    /** Adds an id. An id that is added twice is returned once. */
    void add(int id) {
        if (count == 0) {
            base = id;
        } else if (count == offsets.length) {
            offsets = Arrays.copyOf(offsets, 2 * count);
        }
        offsets[count++] = id - base;
    }

    /** Returns the number of added ids, duplicates included. */
    int size() {
        return count;
    }

    /** Passes all ranges to the consumer, lowest first, and removes them. */
    void drain(RangeConsumer consumer) {
        int total = count;
        count = 0;
        Arrays.sort(offsets, 0, total);
        for (int i = 0; i < total; ) {
            int last = i;
            while (last + 1 < total && offsets[last + 1] - offsets[last] <= 1) {
                last++;
            }
            consumer.accept(base + offsets[i], base + offsets[last]);
            i = last + 1;
        }
        if (offsets.length > 64 * INITIAL_CAPACITY) { // frees the memory that a burst has used
            offsets = new int[INITIAL_CAPACITY];
        }
    }
}

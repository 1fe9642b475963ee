package saltstage.amqp;

import java.util.Arrays;

/**
 * Delivery ids gathered in any order and given out as ranges of ids that follow one another. Ids
 * are serial numbers (RFC 1982) that wrap; all that are gathered at a time lie within half of their
 * circle. Free of I/O.
 */
final class DeliveryIdRanges {
    private static final int INITIAL_CAPACITY = 16;

    /** Takes a range; first and last are in it. */
    interface RangeConsumer {
        void accept(int first, int last);
    }

    /** Distances from the first id that was gathered: these do not wrap. */
    private int[] offsets = new int[INITIAL_CAPACITY];

    private int base;
    private int count;

    /** Gathers one; the same one twice is one. */
    void add(int id) {
        if (count == 0) {
            base = id;
        } else if (count == offsets.length) {
            offsets = Arrays.copyOf(offsets, 2 * count);
        }
        offsets[count++] = id - base;
    }

    int size() {
        return count;
    }

    /** Gives all that was gathered out, lowest first, and forgets it. */
    void drain(RangeConsumer to) {
        int held = count;
        count = 0;
        Arrays.sort(offsets, 0, held);
        for (int i = 0; i < held; ) {
            int last = i;
            while (last + 1 < held && offsets[last + 1] - offsets[last] <= 1) {
                last++;
            }
            to.accept(base + offsets[i], base + offsets[last]);
            i = last + 1;
        }
        if (offsets.length > 64 * INITIAL_CAPACITY) { // a burst leaves no room behind
            offsets = new int[INITIAL_CAPACITY];
        }
    }
}

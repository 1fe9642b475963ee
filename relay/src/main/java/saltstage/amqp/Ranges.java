package saltstage.amqp;

import java.util.Arrays;

/**
 * Delivery ids gathered in any order and given out as ranges of ids that follow one another. Ids
 * are serial numbers (RFC 1982) that wrap; all that are gathered at a time lie within half of their
 * circle. Free of I/O.
 */
final class Ranges {
    private static final int FIRST_ROOM = 16;

    /** Takes a range; first and last are in it. */
    interface Taker {
        void take(int first, int last);
    }

    /** Distances from the first id that was gathered: these do not wrap. */
    private int[] distances = new int[FIRST_ROOM];

    private int base;
    private int count;

    /** Gathers one; the same one twice is one. */
    void add(int id) {
        if (count == 0) {
            base = id;
        } else if (count == distances.length) {
            distances = Arrays.copyOf(distances, 2 * count);
        }
        distances[count++] = id - base;
    }

    int size() {
        return count;
    }

    /** Gives all that was gathered out, lowest first, and forgets it. */
    void drain(Taker to) {
        int held = count;
        count = 0;
        Arrays.sort(distances, 0, held);
        for (int i = 0; i < held; ) {
            int last = i;
            while (last + 1 < held && distances[last + 1] - distances[last] <= 1) {
                last++;
            }
            to.take(base + distances[i], base + distances[last]);
            i = last + 1;
        }
        if (distances.length > 64 * FIRST_ROOM) { // a burst leaves no room behind
            distances = new int[FIRST_ROOM];
        }
    }
}

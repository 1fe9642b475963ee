package saltstage.amqp;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/**
 * Guards against outcomes for deliveries that have none, and lost ones: the ranges must hold
 * exactly the added ids, also across the wrap of the id, and adjacent ranges must be merged.
 */
class DeliveryIdRangesTest {
    @Property(tries = 2000)
    void rangesCoverExactlyTheAddedIds(
            @ForAll int base,
            @ForAll @Size(max = 300) List<@IntRange(min = 0, max = 500) Integer> offsets) {
        DeliveryIdRanges ranges = new DeliveryIdRanges();
        for (int round = 0; round < 2; round++) { // draining must remove all ids
            Set<Integer> expected = new TreeSet<>();
            for (int offset : offsets) {
                ranges.add(base + offset);
                expected.add(offset);
            }
            List<Integer> drained = new ArrayList<>();
            int[] rangeCount = new int[1];
            ranges.drain(
                    (first, last) -> {
                        assertTrue(last - first >= 0);
                        if (!drained.isEmpty()) {
                            assertTrue(
                                    first - base > drained.get(drained.size() - 1) + 1,
                                    "adjacent ranges are not merged");
                        }
                        rangeCount[0]++;
                        for (int id = first; id != last + 1; id++) {
                            drained.add(id - base);
                        }
                    });
            assertEquals(new ArrayList<>(expected), drained);
            assertTrue(rangeCount[0] <= expected.size());
            assertEquals(0, ranges.size());
        }
    }
}

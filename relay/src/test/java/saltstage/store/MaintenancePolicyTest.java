package saltstage.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import saltstage.store.MaintenancePolicy.SealedSegment;

/**
 * Tests when a checkpoint is due, which segments are selected for compaction, and the rate limit of
 * compaction. No files are used.
 */
class MaintenancePolicyTest {
    private final MaintenancePolicy policy = new MaintenancePolicy(1_000);

    @Test
    void checkpointIsDueAfterAsMuchLogAsItsOwnSize() {
        assertFalse(policy.isCheckpointDue(3_999, 0));
        assertTrue(policy.isCheckpointDue(4_000, 0));
        assertFalse(policy.isCheckpointDue(9_999, 10_000));
        assertTrue(policy.isCheckpointDue(10_000, 10_000));
    }

    @Test
    void nothingIsCompactedWhileFewBytesAreDead() {
        List<SealedSegment> sealed =
                List.of(new SealedSegment(1, 1_000, 1), new SealedSegment(2, 1_000, 2));
        assertEquals(List.of(), policy.selectForCompaction(sealed, 0));
        List<SealedSegment> more = new ArrayList<>(sealed);
        more.add(new SealedSegment(3, 1_000, 900));
        assertEquals(
                List.of(1L, 2L),
                policy.selectForCompaction(more, 0),
                "segments with the least live data first, and none that is mostly live");
        assertEquals(
                List.of(),
                policy.selectForCompaction(more, 3_000),
                "a round ends with a checkpoint of that size");
    }

    @Test
    void manualCompactionSelectsEverySegmentWithDeadData() {
        assertEquals(
                List.of(2L),
                MaintenancePolicy.selectAllWithDeadData(
                        List.of(new SealedSegment(1, 10, 10), new SealedSegment(2, 10, 9))));
    }

    @Property(tries = 300, seed = "7")
    void aRoundIsBoundedAndSelectsOnlyMostlyDeadSegments(
            @ForAll @Size(max = 200) List<@IntRange(max = 700) Integer> live) {
        List<SealedSegment> sealed = new ArrayList<>();
        for (int i = 0; i < live.size(); i++) {
            sealed.add(new SealedSegment(i, 1_000, live.get(i)));
        }
        long copied = 0;
        for (long id : policy.selectForCompaction(sealed, 0)) {
            assertTrue(live.get((int) id) <= 500);
            copied += live.get((int) id);
        }
        assertTrue(copied <= 8_000, "copied " + copied);
    }

    @Test
    void rateLimitHoldsOverTimeForAnyRequestSize() {
        RateLimiter limiter = new RateLimiter(1_000_000);
        long nowNs = 0;
        // Takes 10 s worth of bytes, as fast as the limiter allows.
        for (int i = 0; i < 10_000; i++) {
            nowNs += limiter.take(1_000, nowNs);
        }
        assertTrue(nowNs > 9_800_000_000L && nowNs <= 10_000_000_000L, "took " + nowNs);
        assertEquals(
                0, limiter.take(1_000, nowNs + 1_000_000_000L), "unused budget allows one burst");
        assertTrue(limiter.take(1_000_000, nowNs + 1_000_000_000L) > 800_000_000L);
    }
}

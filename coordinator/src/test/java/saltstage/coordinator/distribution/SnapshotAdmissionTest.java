package saltstage.coordinator.distribution;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Tests the limit on concurrent snapshot transfers and the retry times of rejected followers, which
 * must be spread: followers that retried at the same moment would be rejected together again.
 */
class SnapshotAdmissionTest {
    private static final int MAX_TRANSFERS = 4;
    private static final long TRANSFER_MS = 400;

    private final SnapshotAdmission admission = new SnapshotAdmission(MAX_TRANSFERS, TRANSFER_MS);

    @Test
    void admitsUpToTheLimitAndFurtherPagesOfActiveTransfers() {
        for (int i = 0; i < MAX_TRANSFERS; i++) {
            assertEquals(0, admission.admit("relay-" + i, 0));
        }
        assertTrue(admission.admit("relay-9", 0) > 0);
        assertEquals(0, admission.admit("relay-2", 10), "the next page of an active transfer");
        admission.finish("relay-2");
        assertEquals(0, admission.admit("relay-9", 20));
        assertEquals(MAX_TRANSFERS, admission.activeTransfers());
    }

    @Test
    void retryTimesAreSpreadOverWaitingFollowers() {
        for (int i = 0; i < MAX_TRANSFERS; i++) {
            admission.admit("relay-" + i, 0);
        }
        Set<Long> retryTimes = new HashSet<>();
        for (int i = 0; i < 80; i++) {
            retryTimes.add(admission.admit("waiting-" + i, 0));
        }
        assertEquals(80, retryTimes.size(), "each follower has its own retry time");
        assertEquals(100, retryTimes.stream().mapToLong(Long::longValue).min().orElseThrow());
        assertEquals(8_000, retryTimes.stream().mapToLong(Long::longValue).max().orElseThrow());
    }

    @Test
    void askingEarlyKeepsTheRetryTimeAndDelaysAreBounded() {
        for (int i = 0; i < MAX_TRANSFERS; i++) {
            admission.admit("relay-" + i, 0);
        }
        long assignedMs = admission.admit("waiting", 0);
        assertEquals(assignedMs - 30, admission.admit("waiting", 30));
        for (int i = 0; i < 10_000; i++) {
            long retryMs = admission.admit("crowd-" + i, 40);
            assertTrue(retryMs > 0 && retryMs <= SnapshotAdmission.MAX_RETRY_MS);
        }
    }

    @Test
    void abandonedTransferFreesASlot() {
        for (int i = 0; i < MAX_TRANSFERS; i++) {
            admission.admit("relay-" + i, 0);
        }
        long nowMs = SnapshotAdmission.TRANSFER_TIMEOUT_MS + 1;
        assertEquals(0, admission.admit("relay-9", nowMs));
        assertEquals(1, admission.activeTransfers());
    }
}

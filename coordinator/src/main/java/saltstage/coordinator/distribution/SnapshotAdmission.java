package saltstage.coordinator.distribution;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Limits the number of concurrent snapshot transfers. A rejected follower is assigned a retry time,
 * each later than the one before, so that the rejected followers return one after the other. Times
 * are milliseconds of any monotonic clock. Not thread safe.
 */
public final class SnapshotAdmission {
    /** A transfer without a page request for this time counts as abandoned. */
    static final long TRANSFER_TIMEOUT_MS = 5_000;

    /** The longest retry delay that is assigned. */
    static final long MAX_RETRY_MS = 10_000;

    /** The maximum number of rejected followers whose retry times are remembered. */
    private static final int MAX_WAITING_FOLLOWERS = 20_000;

    private final int maxTransfers;
    private final long expectedTransferMs;

    /** The time of each transfer's last page request, by follower; the oldest comes first. */
    private final Map<String, Long> lastPageRequestByFollower = new LinkedHashMap<>();

    /** The retry time of each waiting follower, in the order of assignment. */
    private final Map<String, Long> retryTimeByFollower = new LinkedHashMap<>();

    private long nextRetryTimeMs;

    /**
     * Creates an admission control for snapshot transfers.
     *
     * @param maxTransfers the maximum number of concurrent transfers
     * @param expectedTransferMs the usual duration of a transfer, in milliseconds
     */
    public SnapshotAdmission(int maxTransfers, long expectedTransferMs) {
        this.maxTransfers = maxTransfers;
        this.expectedTransferMs = expectedTransferMs;
    }

    /**
     * Admits or rejects a follower's request for a page of a snapshot.
     *
     * @return 0 if the request is admitted, else the retry delay in milliseconds
     */
    public long admit(String follower, long nowMs) {
        removeAbandoned(nowMs);
        if (lastPageRequestByFollower.remove(follower) != null
                || lastPageRequestByFollower.size() < maxTransfers) {
            lastPageRequestByFollower.put(follower, nowMs);
            retryTimeByFollower.remove(follower);
            return 0;
        }
        return assignRetryTime(follower, nowMs);
    }

    private long assignRetryTime(String follower, long nowMs) {
        Long retryTimeMs = retryTimeByFollower.get(follower);
        if (retryTimeMs == null || retryTimeMs <= nowMs) {
            retryTimeByFollower.remove(follower);
            nextRetryTimeMs =
                    Math.max(nextRetryTimeMs, nowMs)
                            + Math.max(1, expectedTransferMs / maxTransfers);
            retryTimeMs = Math.min(nextRetryTimeMs, nowMs + MAX_RETRY_MS);
            nextRetryTimeMs = retryTimeMs;
            if (retryTimeByFollower.size() < MAX_WAITING_FOLLOWERS) {
                retryTimeByFollower.put(follower, retryTimeMs);
            }
        }
        return retryTimeMs - nowMs;
    }

    /** Records that a follower has received its last page. */
    public void finish(String follower) {
        lastPageRequestByFollower.remove(follower);
    }

    private void removeAbandoned(long nowMs) {
        Iterator<Long> lastPageRequests = lastPageRequestByFollower.values().iterator();
        while (lastPageRequests.hasNext()
                && nowMs - lastPageRequests.next() > TRANSFER_TIMEOUT_MS) {
            lastPageRequests.remove();
        }
        Iterator<Long> retryTimes = retryTimeByFollower.values().iterator();
        while (retryTimes.hasNext() && nowMs - retryTimes.next() > TRANSFER_TIMEOUT_MS) {
            retryTimes.remove();
        }
    }

    /** Returns the number of transfers in progress. */
    public int activeTransfers() {
        return lastPageRequestByFollower.size();
    }
}

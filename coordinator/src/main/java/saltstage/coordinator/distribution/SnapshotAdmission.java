package saltstage.coordinator.distribution;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Bounds how many snapshot transfers are under way at once. Whoever is turned away is told when to
 * ask again: each later than the one before, so that they come back one after the other. Times are
 * milliseconds of any monotonic clock. Not thread safe.
 */
public final class SnapshotAdmission {
    /** A transfer that asks for no page for so long is taken for abandoned. */
    static final long TRANSFER_TIMEOUT_MS = 5_000;

    /** Nobody is told to wait for longer. */
    static final long MAX_RETRY_MS = 10_000;

    /** So many of those who were turned away are remembered, so that they keep their turn. */
    private static final int MAX_WAITING_FOLLOWERS = 20_000;

    private final int maxTransfers;
    private final long expectedTransferMs;

    /** When each transfer last asked for a page, by follower; the one longest ago comes first. */
    private final Map<String, Long> lastPageRequestByFollower = new LinkedHashMap<>();

    /** When each waiting follower shall ask again; whoever was told first comes first. */
    private final Map<String, Long> retryTimeByFollower = new LinkedHashMap<>();

    private long nextRetryTimeMs;

    /**
     * An admission.
     *
     * @param mostTransfers how many transfers may be under way at once
     * @param transferMs how long a transfer usually takes, milliseconds
     */
    public SnapshotAdmission(int mostTransfers, long transferMs) {
        this.maxTransfers = mostTransfers;
        this.expectedTransferMs = transferMs;
    }

    /**
     * A follower asks for a page of a snapshot.
     *
     * @return 0 if it may have it, else after how many milliseconds it shall ask again
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
        Long told = retryTimeByFollower.get(follower);
        if (told == null || told <= nowMs) {
            retryTimeByFollower.remove(follower);
            nextRetryTimeMs =
                    Math.max(nextRetryTimeMs, nowMs)
                            + Math.max(1, expectedTransferMs / maxTransfers);
            told = Math.min(nextRetryTimeMs, nowMs + MAX_RETRY_MS);
            nextRetryTimeMs = told;
            if (retryTimeByFollower.size() < MAX_WAITING_FOLLOWERS) {
                retryTimeByFollower.put(follower, told);
            }
        }
        return told - nowMs;
    }

    /** A follower has got its last page. */
    public void finish(String follower) {
        lastPageRequestByFollower.remove(follower);
    }

    private void removeAbandoned(long nowMs) {
        Iterator<Long> lastAskedMs = lastPageRequestByFollower.values().iterator();
        while (lastAskedMs.hasNext() && nowMs - lastAskedMs.next() > TRANSFER_TIMEOUT_MS) {
            lastAskedMs.remove();
        }
        Iterator<Long> turnsMs = retryTimeByFollower.values().iterator();
        while (turnsMs.hasNext() && nowMs - turnsMs.next() > TRANSFER_TIMEOUT_MS) {
            turnsMs.remove();
        }
    }

    /** How many transfers are under way. */
    public int activeTransfers() {
        return lastPageRequestByFollower.size();
    }
}

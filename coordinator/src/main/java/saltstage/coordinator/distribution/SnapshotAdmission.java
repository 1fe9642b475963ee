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
    static final long ABANDONED_MS = 5_000;

    /** Nobody is told to wait for longer. */
    static final long MOST_RETRY_MS = 10_000;

    /** So many of those who were turned away are remembered, so that they keep their turn. */
    private static final int MOST_WAITING = 20_000;

    private final int mostTransfers;
    private final long transferMs;

    /** When each transfer last asked for a page, by follower; the one longest ago comes first. */
    private final Map<String, Long> transfers = new LinkedHashMap<>();

    /** When each waiting follower shall ask again; whoever was told first comes first. */
    private final Map<String, Long> waiting = new LinkedHashMap<>();

    private long nextTurnMs;

    /**
     * An admission.
     *
     * @param mostTransfers how many transfers may be under way at once
     * @param transferMs how long a transfer usually takes, milliseconds
     */
    public SnapshotAdmission(int mostTransfers, long transferMs) {
        this.mostTransfers = mostTransfers;
        this.transferMs = transferMs;
    }

    /**
     * A follower asks for a page of a snapshot.
     *
     * @return 0 if it may have it, else after how many milliseconds it shall ask again
     */
    public long admit(String follower, long nowMs) {
        dropAbandoned(nowMs);
        if (transfers.remove(follower) != null || transfers.size() < mostTransfers) {
            transfers.put(follower, nowMs);
            waiting.remove(follower);
            return 0;
        }
        return turnAway(follower, nowMs);
    }

    private long turnAway(String follower, long nowMs) {
        Long told = waiting.get(follower);
        if (told == null || told <= nowMs) {
            waiting.remove(follower);
            nextTurnMs = Math.max(nextTurnMs, nowMs) + Math.max(1, transferMs / mostTransfers);
            told = Math.min(nextTurnMs, nowMs + MOST_RETRY_MS);
            nextTurnMs = told;
            if (waiting.size() < MOST_WAITING) {
                waiting.put(follower, told);
            }
        }
        return told - nowMs;
    }

    /** A follower has got its last page. */
    public void finish(String follower) {
        transfers.remove(follower);
    }

    private void dropAbandoned(long nowMs) {
        Iterator<Long> lastAskedMs = transfers.values().iterator();
        while (lastAskedMs.hasNext() && nowMs - lastAskedMs.next() > ABANDONED_MS) {
            lastAskedMs.remove();
        }
        Iterator<Long> turnsMs = waiting.values().iterator();
        while (turnsMs.hasNext() && nowMs - turnsMs.next() > ABANDONED_MS) {
            turnsMs.remove();
        }
    }

    /** How many transfers are under way. */
    public int transfers() {
        return transfers.size();
    }
}

package saltstage.store;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** When a checkpoint is due and which segments are worth compacting; free of I/O and time. */
public final class MaintenancePolicy {
    /** A sealed segment with this much of it dead is worth the copying of the rest. */
    private static final double MIN_DEAD_SHARE = 0.5;

    /** The least dead bytes, in segments, before anything is compacted by itself. */
    private static final int MIN_DEAD_SEGMENTS = 2;

    /**
     * The most that one round copies, in segments, so that a round ends and space comes back soon.
     */
    private static final int MAX_COPIED_SEGMENTS = 8;

    /** Log written since the last checkpoint, in segments, before the next. */
    private static final int CHECKPOINT_LOG_SEGMENTS = 4;

    /**
     * One sealed segment: its number, the bytes that frames take in it, and those that are still
     * live.
     */
    public record SealedSegment(long id, long usedBytes, long liveBytes) {
        long deadBytes() {
            return Math.max(0, usedBytes - liveBytes);
        }
    }

    private final long segmentBytes;

    /** A policy for segments of this size. */
    public MaintenancePolicy(long segmentBytes) {
        this.segmentBytes = segmentBytes;
    }

    /**
     * Whether the log behind the last checkpoint is long enough for a new one. A checkpoint holds
     * the whole index; at most as much of it is written as of the log, whatever the number of keys.
     */
    public boolean isCheckpointDue(long logSince, long lastCheckpointBytes) {
        return logSince >= Math.max(CHECKPOINT_LOG_SEGMENTS * segmentBytes, lastCheckpointBytes);
    }

    /**
     * The segments to compact now, deadest first; none while little is dead. As a round ends with a
     * checkpoint of that size, the dead bytes must be worth it too.
     */
    public List<Long> selectForCompaction(List<SealedSegment> sealed, long checkpointBytes) {
        long dead = sealed.stream().mapToLong(SealedSegment::deadBytes).sum();
        if (dead < Math.max(MIN_DEAD_SEGMENTS * segmentBytes, checkpointBytes)) {
            return List.of();
        }
        List<SealedSegment> order = new ArrayList<>(sealed);
        order.removeIf(s -> s.deadBytes() < MIN_DEAD_SHARE * s.usedBytes());
        order.sort(
                Comparator.comparingDouble(
                                (SealedSegment s) ->
                                        (double) s.liveBytes() / Math.max(1, s.usedBytes()))
                        .thenComparingLong(SealedSegment::id));
        List<Long> chosen = new ArrayList<>();
        long copied = 0;
        for (SealedSegment s : order) {
            copied += s.liveBytes();
            if (!chosen.isEmpty() && copied > MAX_COPIED_SEGMENTS * segmentBytes) {
                break;
            }
            chosen.add(s.id());
        }
        return chosen;
    }

    /** All that a compaction by hand rewrites: every sealed segment with anything dead in it. */
    public static List<Long> selectAllWithDeadData(List<SealedSegment> sealed) {
        return sealed.stream().filter(s -> s.deadBytes() > 0).map(SealedSegment::id).toList();
    }
}

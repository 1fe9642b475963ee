package saltstage.store;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Decides when a checkpoint is due and which segments are worth compacting. It uses neither I/O nor
 * time.
 */
public final class MaintenancePolicy {
    /**
     * The minimum share of dead bytes at which copying the rest of a sealed segment is worthwhile.
     */
    private static final double MIN_DEAD_SHARE = 0.5;

    /** The minimum amount of dead data, in segments, before automatic compaction starts. */
    private static final int MIN_DEAD_SEGMENTS = 2;

    /**
     * The maximum amount that one round copies, in segments, so that a round ends and frees space
     * soon.
     */
    private static final int MAX_COPIED_SEGMENTS = 8;

    /** The amount of log, in segments, after which the next checkpoint is due. */
    private static final int CHECKPOINT_LOG_SEGMENTS = 4;

    /** A sealed segment: its id, the bytes that its frames use, and those of them that are live. */
    public record SealedSegment(long id, long usedBytes, long liveBytes) {
        long deadBytes() {
            return Math.max(0, usedBytes - liveBytes);
        }
    }

    private final long segmentBytes;

    /** Creates a policy for segments of this size. */
    public MaintenancePolicy(long segmentBytes) {
        this.segmentBytes = segmentBytes;
    }

    /**
     * Returns whether enough log has been written since the last checkpoint for a new one. A
     * checkpoint holds the whole index. Requiring at least as much log as the last checkpoint had
     * bytes limits checkpoint writes to the volume of log writes, whatever the number of keys.
     */
    public boolean isCheckpointDue(long logBytes, long lastCheckpointBytes) {
        return logBytes >= Math.max(CHECKPOINT_LOG_SEGMENTS * segmentBytes, lastCheckpointBytes);
    }

    /**
     * Returns the segments to compact now, those with the lowest live share first, or none while
     * little data is dead. A round ends with a checkpoint of the given size, so there must be at
     * least as many dead bytes.
     */
    public List<Long> selectForCompaction(List<SealedSegment> sealed, long checkpointBytes) {
        long deadBytes = sealed.stream().mapToLong(SealedSegment::deadBytes).sum();
        if (deadBytes < Math.max(MIN_DEAD_SEGMENTS * segmentBytes, checkpointBytes)) {
            return List.of();
        }
        List<SealedSegment> candidates = new ArrayList<>(sealed);
        candidates.removeIf(segment -> segment.deadBytes() < MIN_DEAD_SHARE * segment.usedBytes());
        candidates.sort(
                Comparator.comparingDouble(
                                (SealedSegment segment) ->
                                        (double) segment.liveBytes()
                                                / Math.max(1, segment.usedBytes()))
                        .thenComparingLong(SealedSegment::id));
        List<Long> selected = new ArrayList<>();
        long copiedBytes = 0;
        for (SealedSegment segment : candidates) {
            copiedBytes += segment.liveBytes();
            if (!selected.isEmpty() && copiedBytes > MAX_COPIED_SEGMENTS * segmentBytes) {
                break;
            }
            selected.add(segment.id());
        }
        return selected;
    }

    /**
     * Returns the segments that a manual compaction rewrites: every sealed segment with dead data.
     */
    public static List<Long> selectAllWithDeadData(List<SealedSegment> sealed) {
        return sealed.stream()
                .filter(segment -> segment.deadBytes() > 0)
                .map(SealedSegment::id)
                .toList();
    }
}

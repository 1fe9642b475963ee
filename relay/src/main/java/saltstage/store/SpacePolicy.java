package saltstage.store;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** When a checkpoint is due and which segments are worth compacting; free of I/O and time. */
public final class SpacePolicy {
    /** A sealed segment with this much of it dead is worth the copying of the rest. */
    private static final double WORTH = 0.5;

    /** The least dead bytes, in segments, before anything is compacted by itself. */
    private static final int LEAST_DEAD = 2;

    /**
     * The most that one round copies, in segments, so that a round ends and space comes back soon.
     */
    private static final int MOST_COPIED = 8;

    /** Log written since the last checkpoint, in segments, before the next. */
    private static final int CHECKPOINT_AFTER = 4;

    /**
     * One sealed segment: its number, the bytes that frames take in it, and those that are still
     * live.
     */
    public record Sealed(long id, long used, long live) {
        long dead() {
            return Math.max(0, used - live);
        }
    }

    private final long segmentBytes;

    /** A policy for segments of this size. */
    public SpacePolicy(long segmentBytes) {
        this.segmentBytes = segmentBytes;
    }

    /**
     * Whether the log behind the last checkpoint is long enough for a new one. A checkpoint holds
     * the whole index; at most as much of it is written as of the log, whatever the number of keys.
     */
    public boolean checkpointDue(long logSince, long lastCheckpointBytes) {
        return logSince >= Math.max(CHECKPOINT_AFTER * segmentBytes, lastCheckpointBytes);
    }

    /**
     * The segments to compact now, deadest first; none while little is dead. As a round ends with a
     * checkpoint of that size, the dead bytes must be worth it too.
     */
    public List<Long> victims(List<Sealed> sealed, long checkpointBytes) {
        long dead = sealed.stream().mapToLong(Sealed::dead).sum();
        if (dead < Math.max(LEAST_DEAD * segmentBytes, checkpointBytes)) {
            return List.of();
        }
        List<Sealed> order = new ArrayList<>(sealed);
        order.removeIf(s -> s.dead() < WORTH * s.used());
        order.sort(
                Comparator.comparingDouble((Sealed s) -> (double) s.live() / Math.max(1, s.used()))
                        .thenComparingLong(Sealed::id));
        List<Long> chosen = new ArrayList<>();
        long copied = 0;
        for (Sealed s : order) {
            copied += s.live();
            if (!chosen.isEmpty() && copied > MOST_COPIED * segmentBytes) {
                break;
            }
            chosen.add(s.id());
        }
        return chosen;
    }

    /** All that a compaction by hand rewrites: every sealed segment with anything dead in it. */
    public static List<Long> all(List<Sealed> sealed) {
        return sealed.stream().filter(s -> s.dead() > 0).map(Sealed::id).toList();
    }
}

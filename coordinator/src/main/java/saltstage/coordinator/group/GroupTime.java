package saltstage.coordinator.group;

import java.util.Collection;
import java.util.Map;
import java.util.TreeMap;

/**
 * The group's two clocks, driven by the log alone. Group time never runs faster than a leader's
 * monotonic clock: between two timestamps of one leadership it grows by their difference, and it
 * does not grow from one leadership to the next or while the whole group is stopped. A promise that
 * holds until some group time is therefore never broken early; it may last longer. The wall clock
 * time is group time plus the median of the voters' clock offsets, so a minority of clocks that are
 * off by any amount changes nothing. It stops rather than go back.
 */
public final class GroupTime {
    /** The state of the clocks in a snapshot. */
    public record Image(long now, String epoch, long stamp, Map<String, Long> offsets, long day) {}

    private long now;
    private String epoch;
    private long lastTimestamp;
    private final Map<String, Long> wallClockOffsets;
    private long wallClockTime;

    GroupTime(Image image) {
        now = image.now();
        epoch = image.epoch();
        lastTimestamp = image.stamp();
        wallClockOffsets = new TreeMap<>(image.offsets());
        wallClockTime = image.day();
    }

    /** Creates the clocks of a new group. */
    static GroupTime initial() {
        return new GroupTime(new Image(0, "", 0, Map.of(), 0));
    }

    Image image() {
        return new Image(now, epoch, lastTimestamp, new TreeMap<>(wallClockOffsets), wallClockTime);
    }

    /** Applies a timestamp of a leadership. Group time advances only within one leadership. */
    void applyTimestamp(String newEpoch, long timestampMs) {
        if (newEpoch.equals(epoch)) {
            if (timestampMs > lastTimestamp) {
                now += timestampMs - lastTimestamp;
                lastTimestamp = timestampMs;
            }
        } else {
            epoch = newEpoch;
            lastTimestamp = timestampMs;
        }
    }

    /**
     * Updates the offsets of the replicas' wall clocks. Only voters count; the offsets of former
     * voters are removed.
     */
    void updateWallClocks(Map<String, Long> wallClocks, Collection<String> voters) {
        wallClocks.forEach(
                (member, wallClockMs) -> wallClockOffsets.put(member, wallClockMs - now));
        if (!voters.isEmpty()) {
            wallClockOffsets.keySet().retainAll(voters);
        }
        wallClockTime();
    }

    /** Returns group time in milliseconds. */
    public long now() {
        return now;
    }

    /**
     * Returns the wall clock time in milliseconds since 1970, or 0 until the first clock was
     * reported.
     */
    public long wallClockTime() {
        if (!wallClockOffsets.isEmpty()) {
            long[] sorted =
                    wallClockOffsets.values().stream()
                            .mapToLong(Long::longValue)
                            .sorted()
                            .toArray();
            wallClockTime = Math.max(wallClockTime, now + sorted[(sorted.length - 1) / 2]);
        }
        return wallClockTime;
    }
}

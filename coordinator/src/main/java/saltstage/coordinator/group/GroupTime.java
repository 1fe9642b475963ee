package saltstage.coordinator.group;

import java.util.Collection;
import java.util.Map;
import java.util.TreeMap;

/**
 * The group's two clocks, told by the log alone. Group time never runs faster than a leader's
 * monotonic clock: between two stamps of one leadership it grows by their difference, and from one
 * leadership to the next, or over a standstill of the whole group, not at all. So what was promised
 * until a group time is never taken back early; it may hold longer. The time of day is group time
 * and the median of what the voters' clocks add to it: a minority of clocks that are off by any
 * amount changes nothing. It stands still rather than go back.
 */
public final class GroupTime {
    /** What a snapshot keeps. */
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

    static GroupTime initial() {
        return new GroupTime(new Image(0, "", 0, Map.of(), 0));
    }

    Image image() {
        return new Image(now, epoch, lastTimestamp, new TreeMap<>(wallClockOffsets), wallClockTime);
    }

    /** A stamp of a leadership. */
    void applyTimestamp(String ofEpoch, long atStamp) {
        if (ofEpoch.equals(epoch)) {
            if (atStamp > lastTimestamp) {
                now += atStamp - lastTimestamp;
                lastTimestamp = atStamp;
            }
        } else {
            epoch = ofEpoch;
            lastTimestamp = atStamp;
        }
    }

    /**
     * What the clocks of replicas say; only voters count, and those that are none any more are
     * forgotten.
     */
    void updateWallClocks(Map<String, Long> told, Collection<String> voters) {
        told.forEach((member, wall) -> wallClockOffsets.put(member, wall - now));
        if (!voters.isEmpty()) {
            wallClockOffsets.keySet().retainAll(voters);
        }
        wallClockTime();
    }

    /** Group time in milliseconds. */
    public long now() {
        return now;
    }

    /** The time of day, milliseconds since 1970; 0 until a clock was heard. */
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

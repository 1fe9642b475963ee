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
    private long stamp;
    private final Map<String, Long> offsets;
    private long day;

    GroupTime(Image image) {
        now = image.now();
        epoch = image.epoch();
        stamp = image.stamp();
        offsets = new TreeMap<>(image.offsets());
        day = image.day();
    }

    static GroupTime zero() {
        return new GroupTime(new Image(0, "", 0, Map.of(), 0));
    }

    Image image() {
        return new Image(now, epoch, stamp, new TreeMap<>(offsets), day);
    }

    /** A stamp of a leadership. */
    void stamped(String ofEpoch, long atStamp) {
        if (ofEpoch.equals(epoch)) {
            if (atStamp > stamp) {
                now += atStamp - stamp;
                stamp = atStamp;
            }
        } else {
            epoch = ofEpoch;
            stamp = atStamp;
        }
    }

    /**
     * What the clocks of replicas say; only voters count, and those that are none any more are
     * forgotten.
     */
    void walls(Map<String, Long> told, Collection<String> voters) {
        told.forEach((member, wall) -> offsets.put(member, wall - now));
        if (!voters.isEmpty()) {
            offsets.keySet().retainAll(voters);
        }
        day();
    }

    /** Group time in milliseconds. */
    public long now() {
        return now;
    }

    /** The time of day, milliseconds since 1970; 0 until a clock was heard. */
    public long day() {
        if (!offsets.isEmpty()) {
            long[] sorted = offsets.values().stream().mapToLong(Long::longValue).sorted().toArray();
            day = Math.max(day, now + sorted[(sorted.length - 1) / 2]);
        }
        return day;
    }
}

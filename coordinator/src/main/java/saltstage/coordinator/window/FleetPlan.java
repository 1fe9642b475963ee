package saltstage.coordinator.window;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.stream.Stream;

/**
 * The agreed description of the fleet: its regions, the capacity floors that must be kept, and the
 * black-outs. Capacity is in thousandths of a mean connection load, times are in milliseconds since
 * 1970. A time zone is given as the list of its UTC offset changes, so that replicas with different
 * zone tables still come to the same result.
 *
 * @param slotMs length of a planning slot; what happens within a slot counts for all of it
 * @param mostRegions how many regions may be in maintenance at once
 * @param spacingMs minimum time between the end of a window and the next begin in the same region
 * @param coldPermille share of its capacity that a node has right after its return, in thousandths
 */
public record FleetPlan(
        long slotMs,
        Map<String, List<UtcOffsetChange>> zones,
        List<Region> regions,
        List<Floor> floors,
        int mostRegions,
        long spacingMs,
        int coldPermille) {
    /** Keeps sums of capacities far below the overflow of a long. */
    private static final long MAX_CAPACITY = 1_000_000_000_000_000L;

    /** From {@code fromMs} on, local time is ahead of UTC by {@code offsetMs}. */
    public record UtcOffsetChange(long fromMs, long offsetMs) {}

    /** A region with its time zone, its nodes and its black-outs. */
    public record Region(String name, String zone, List<Node> nodes, List<BlackOut> blackOuts) {
        long capacity() {
            return nodes.stream().mapToLong(Node::capacity).sum();
        }
    }

    /** A node and its capacity when it is warm. */
    public record Node(String id, long capacity) {}

    /**
     * A weekly period in which no node of the region may be out. Days are days of the week (1 is
     * Monday), minutes are minutes of the day, both in the time zone of the region.
     */
    public record BlackOut(List<Integer> days, int fromMinute, int toMinute) {}

    /**
     * The capacity that some regions must have together at every moment: at least {@code least},
     * and at least the demand that is forecast for the hour of the day. The global floor names all
     * regions, the floor of a region names that region, and the floor of a tenant names the regions
     * to which the tenant is confined.
     */
    public record Floor(
            String name, List<String> regions, long least, List<Long> demandByHour, String zone) {}

    Region region(String name) {
        return regions.stream().filter(r -> r.name().equals(name)).findFirst().orElse(null);
    }

    /** The local minute of the week at a moment, counted from midnight on Monday. */
    long minuteOfWeek(String zone, long timeMs) {
        long offsetMs = 0;
        for (UtcOffsetChange offsetChange : zones.getOrDefault(zone, List.of())) {
            if (offsetChange.fromMs() > timeMs) {
                break;
            }
            offsetMs = offsetChange.offsetMs();
        }
        // 1 January 1970 was a Thursday, three days after a Monday.
        long minutesSinceEpoch = Math.floorDiv(timeMs + offsetMs, 60_000);
        return Math.floorMod(minutesSinceEpoch + 3 * 1_440, 7 * 1_440);
    }

    boolean isBlackedOut(Region region, long timeMs) {
        long minuteOfWeek = minuteOfWeek(region.zone(), timeMs);
        int dayOfWeek = 1 + (int) (minuteOfWeek / 1_440);
        int minuteOfDay = (int) (minuteOfWeek % 1_440);
        for (BlackOut blackOut : region.blackOuts()) {
            // A black-out that spans midnight belongs to the day on which it began.
            boolean spansMidnight = blackOut.fromMinute() > blackOut.toMinute();
            boolean hasToday = blackOut.days().contains(dayOfWeek);
            boolean hasYesterday = blackOut.days().contains(dayOfWeek == 1 ? 7 : dayOfWeek - 1);
            if (spansMidnight
                    ? hasToday && minuteOfDay >= blackOut.fromMinute()
                            || hasYesterday && minuteOfDay < blackOut.toMinute()
                    : hasToday
                            && minuteOfDay >= blackOut.fromMinute()
                            && minuteOfDay < blackOut.toMinute()) {
                return true;
            }
        }
        return false;
    }

    long requiredCapacity(Floor floor, long timeMs) {
        if (floor.demandByHour().isEmpty()) {
            return floor.least();
        }
        int hour = (int) (minuteOfWeek(floor.zone(), timeMs) % 1_440 / 60);
        return Math.max(floor.least(), floor.demandByHour().get(hour));
    }

    /** Returns the first error in this plan, or null if it is valid. */
    String validationError() {
        if (slotMs < 100
                || slotMs > 3_600_000
                || regions.isEmpty()
                || mostRegions < 1
                || spacingMs < 0
                || coldPermille < 0
                || coldPermille > 1_000) {
            return "a plan takes a slot of 100 ms to an hour, at least one region, mostRegions from"
                    + " 1 on, no negative spacing and a cold share of 0 to 1000 thousandths";
        }
        if (regions.size() > 100
                || floors.size() > 150
                || floors.stream()
                        .anyMatch(
                                f ->
                                        f.least() < 0
                                                || f.least() > MAX_CAPACITY
                                                || f.demandByHour().stream()
                                                        .anyMatch(d -> d > MAX_CAPACITY))) {
            return "a plan has up to 100 regions and 150 floors, none of them over " + MAX_CAPACITY;
        }
        return Stream.concat(
                        regions.stream().map(this::validationError),
                        floors.stream().map(this::validationError))
                .filter(Objects::nonNull)
                .findFirst()
                .orElse(null);
    }

    private String validationError(Region region) {
        if (region.nodes().stream().anyMatch(n -> n.capacity() > MAX_CAPACITY / 10_000)
                || region.nodes().size() > 10_000) {
            return "region " + region.name() + ": too many nodes, or one too large";
        }
        if (regions.stream().filter(r -> r.name().equals(region.name())).count() > 1) {
            return "region " + region.name() + " is given twice";
        }
        if (region.nodes().stream().map(Node::id).distinct().count() < region.nodes().size()
                || region.nodes().stream().anyMatch(n -> n.capacity() <= 0)) {
            return "region " + region.name() + ": a node twice, or one without capacity";
        }
        return null;
    }

    private String validationError(Floor floor) {
        if (floor.regions().stream().anyMatch(name -> region(name) == null)) {
            return "floor " + floor.name() + " names a region that is none";
        }
        if (!floor.demandByHour().isEmpty() && floor.demandByHour().size() != 24) {
            return "floor " + floor.name() + ": demand takes 24 figures, one an hour";
        }
        return null;
    }
}

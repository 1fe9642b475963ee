package saltstage.coordinator.window;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.stream.Stream;

/**
 * What was agreed about the fleet: its regions, what must be kept, and when nothing may begin.
 * Capacity is in thousandths of a mean connection load, times are in milliseconds since 1970. Time
 * zones are given by their offsets, with each change of them: replicas must not differ because
 * their zone tables do.
 *
 * @param slotMs the grain of planning: what happens within a slot is taken for the whole of it
 * @param mostRegions so many regions may be in maintenance at once
 * @param spacingMs between the end of one window of a region and the next begin there
 * @param coldPermille what a node that has just returned can do, in thousandths of its capacity
 */
public record FleetPlan(
        long slotMs,
        Map<String, List<UtcOffsetChange>> zones,
        List<Region> regions,
        List<Floor> floors,
        int mostRegions,
        long spacingMs,
        int coldPermille) {
    /** Sums of these stay far from where they would overflow. */
    private static final long MAX_CAPACITY = 1_000_000_000_000_000L;

    /** From then on local time is so much ahead of UTC. */
    public record UtcOffsetChange(long fromMs, long offsetMs) {}

    /** A region. */
    public record Region(String name, String zone, List<Node> nodes, List<BlackOut> blackOuts) {
        long capacity() {
            return nodes.stream().mapToLong(Node::capacity).sum();
        }
    }

    /** A node and what it can hold when warm. */
    public record Node(String id, long capacity) {}

    /**
     * On these days of the week (1 Monday) and minutes of the day, in the region's zone, nothing is
     * out.
     */
    public record BlackOut(List<Integer> days, int fromMinute, int toMinute) {}

    /**
     * What must be there, at every moment, of these regions together: never less than a figure, nor
     * than the demand that is forecast for that hour of the day. The global floor names all
     * regions, a region's one, a tenant's those that it is confined to.
     */
    public record Floor(
            String name, List<String> regions, long least, List<Long> demandByHour, String zone) {}

    Region region(String name) {
        return regions.stream().filter(r -> r.name().equals(name)).findFirst().orElse(null);
    }

    /** Minutes since local midnight on Monday of some week, at this moment. */
    long minuteOfWeek(String zone, long at) {
        long offset = 0;
        for (UtcOffsetChange shift : zones.getOrDefault(zone, List.of())) {
            if (shift.fromMs() > at) {
                break;
            }
            offset = shift.offsetMs();
        }
        long thursday = Math.floorDiv(at + offset, 60_000); // 1 January 1970 was one
        return Math.floorMod(thursday + 3 * 1_440, 7 * 1_440);
    }

    boolean isBlackedOut(Region region, long at) {
        long minutes = minuteOfWeek(region.zone(), at);
        int day = 1 + (int) (minutes / 1_440);
        int minute = (int) (minutes % 1_440);
        for (BlackOut out : region.blackOuts()) {
            boolean over =
                    out.fromMinute()
                            > out.toMinute(); // past midnight: it belongs to the day it began
            boolean today = out.days().contains(day);
            boolean yesterday = out.days().contains(day == 1 ? 7 : day - 1);
            if (over
                    ? today && minute >= out.fromMinute() || yesterday && minute < out.toMinute()
                    : today && minute >= out.fromMinute() && minute < out.toMinute()) {
                return true;
            }
        }
        return false;
    }

    long requiredCapacity(Floor floor, long at) {
        if (floor.demandByHour().isEmpty()) {
            return floor.least();
        }
        int hour = (int) (minuteOfWeek(floor.zone(), at) % 1_440 / 60);
        return Math.max(floor.least(), floor.demandByHour().get(hour));
    }

    /** What is wrong with it, or null. */
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

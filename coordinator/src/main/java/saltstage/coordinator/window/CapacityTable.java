package saltstage.coordinator.window;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The capacity left above each floor, slot by slot, from now to a horizon. The planner uses it to
 * find free slots. A slot counts the largest loss at any moment of it. The loss of a window never
 * rises while the window runs, so the largest loss is the one at the first moment of the slot, or
 * at the start of a window that starts within the slot. Such a window counts for the whole slot.
 */
final class CapacityTable {
    /** Five weeks of five-minute slots; nothing beyond them is planned yet. */
    private static final int MAX_SLOTS = 10_100;

    private final FleetPlan plan;
    private final long startMs;
    private final int slotCount;

    /** The headroom of each floor by slot: total capacity less required and missing capacity. */
    private final Map<String, long[]> headroom = new HashMap<>();

    private final Map<String, List<FleetPlan.Floor>> floorsByRegion = new HashMap<>();
    private final Map<String, boolean[]> blackedOutSlots = new HashMap<>();
    private final Map<String, int[]> usageByRegion = new HashMap<>();
    private final int[] regionsInMaintenance;

    /** The first slot that blocks a window, and the reason. */
    record Conflict(int slot, String why) {}

    CapacityTable(FleetPlan plan, long now, long until) {
        this.plan = plan;
        startMs = Math.floorDiv(now, plan.slotMs()) * plan.slotMs();
        slotCount = (int) Math.min(MAX_SLOTS, Math.max(1, (until - startMs) / plan.slotMs() + 2));
        regionsInMaintenance = new int[slotCount];
        for (FleetPlan.Floor floor : plan.floors()) {
            long totalCapacity =
                    floor.regions().stream().mapToLong(name -> plan.region(name).capacity()).sum();
            long[] slotHeadroom = new long[slotCount];
            for (int i = 0; i < slotCount; i++) {
                slotHeadroom[i] = totalCapacity - maxNeed(floor, i);
            }
            headroom.put(floor.name(), slotHeadroom);
            floor.regions()
                    .forEach(
                            name ->
                                    floorsByRegion
                                            .computeIfAbsent(name, key -> new ArrayList<>())
                                            .add(floor));
        }
        for (FleetPlan.Region region : plan.regions()) {
            boolean[] slotBlackedOut = new boolean[slotCount];
            if (!region.blackOuts().isEmpty()) {
                for (int i = 0; i < slotCount; i++) {
                    slotBlackedOut[i] =
                            plan.isBlackedOut(region, slotStart(i))
                                    || plan.isBlackedOut(region, slotStart(i + 1) - 1);
                }
            }
            blackedOutSlots.put(region.name(), slotBlackedOut);
            usageByRegion.put(region.name(), new int[slotCount]);
        }
    }

    /** The highest required capacity of a slot; the hour of the forecast may change within it. */
    private long maxNeed(FleetPlan.Floor floor, int slot) {
        return Math.max(
                plan.requiredCapacity(floor, slotStart(slot)),
                plan.requiredCapacity(floor, slotStart(slot + 1) - 1));
    }

    private long slotStart(int slot) {
        return startMs + slot * plan.slotMs();
    }

    private int slotAt(long timeMs) {
        return (int)
                Math.max(0, Math.min(slotCount, Math.floorDiv(timeMs - startMs, plan.slotMs())));
    }

    /**
     * Subtracts capacity that a region has lost outside any window. The loss counts in all slots,
     * because it lasts until the capacity is reported back.
     */
    void addOutage(String region, long lostCapacity) {
        for (FleetPlan.Floor floor : floorsByRegion.getOrDefault(region, List.of())) {
            long[] slotHeadroom = headroom.get(floor.name());
            for (int i = 0; i < slotCount; i++) {
                slotHeadroom[i] -= lostCapacity;
            }
        }
    }

    /** Counts a window if {@code sign} is 1, or removes it from the table if it is -1. */
    void add(Window window, long now, int sign) {
        long begin = window.begun() > 0 ? window.begun() : window.start();
        boolean openEnded = window.isOverdue(now) || window.state() == Window.State.RETURNING;
        int firstSlot = window.state().isInProgress() ? 0 : slotAt(begin);
        int end = openEnded ? slotCount : Math.min(slotCount, slotAt(window.plannedEnd() - 1) + 1);
        String region = window.wish().region();
        int[] usage = usageByRegion.get(region);
        int spacingEnd =
                Math.min(
                        slotCount,
                        end + (int) ((plan.spacingMs() + plan.slotMs() - 1) / plan.slotMs()));
        for (int i = firstSlot; i < spacingEnd; i++) {
            if (i < end && (sign > 0 ? usage[i] == 0 : usage[i] == 1)) {
                regionsInMaintenance[i] += sign;
            }
            // Thousands count the windows whose spacing covers the slot; their nodes are back.
            usage[i] += i < end ? sign : sign * 1_000;
        }
        for (FleetPlan.Floor floor : floorsByRegion.getOrDefault(region, List.of())) {
            long[] slotHeadroom = headroom.get(floor.name());
            for (int i = firstSlot; i < end; i++) {
                slotHeadroom[i] -=
                        sign
                                * window.lossAt(
                                        Math.max(slotStart(i), Math.max(now, begin)),
                                        now,
                                        plan.coldPermille());
            }
        }
    }

    /**
     * Returns what blocks a window that begins at the given time, or null if nothing does. The
     * window is treated as planned.
     */
    Conflict conflict(Window window, long begin, long now) {
        Window planned = window.withSchedule(begin, Window.State.PLANNED, now, "");
        int firstSlot = slotAt(begin);
        int end = slotAt(planned.plannedEnd() - 1) + 1;
        if (end > slotCount) {
            return new Conflict(slotCount, "it would not be over within the planned time");
        }
        String region = window.wish().region();
        boolean[] slotBlackedOut = blackedOutSlots.get(region);
        int[] usage = usageByRegion.get(region);
        for (int i = firstSlot; i < end; i++) {
            if (slotBlackedOut[i]) {
                return new Conflict(i, "a black-out of " + region);
            }
            if (usage[i] >= 1_000 && i == firstSlot) {
                return new Conflict(i, region + " rests after a window");
            }
            if (usage[i] % 1_000 == 0 && regionsInMaintenance[i] >= plan.mostRegions()) {
                return new Conflict(i, plan.mostRegions() + " regions are in maintenance already");
            }
        }
        int spacingEnd = end + (int) ((plan.spacingMs() + plan.slotMs() - 1) / plan.slotMs());
        for (int i = end; i < Math.min(slotCount, spacingEnd) && usage[end - 1] % 1_000 == 0; i++) {
            if (usage[i] % 1_000 > 0) {
                return new Conflict(i, region + " rests before its next window");
            }
        }
        for (FleetPlan.Floor floor : floorsByRegion.getOrDefault(region, List.of())) {
            long[] slotHeadroom = headroom.get(floor.name());
            for (int i = firstSlot; i < end; i++) {
                long loss = planned.lossAt(Math.max(slotStart(i), begin), now, plan.coldPermille());
                if (slotHeadroom[i] < loss) {
                    return new Conflict(
                            i,
                            "floor "
                                    + floor.name()
                                    + " would be short by "
                                    + (loss - slotHeadroom[i])
                                    + " thousandths of a mean load");
                }
            }
        }
        return null;
    }

    /**
     * Returns the first begin, not before the given time and early enough for the latest end, that
     * nothing blocks, or the reason why there is none.
     */
    Fit firstFit(Window window, long notBefore, long now) {
        long begin = Math.max(notBefore, Math.max(now, window.wish().earliest()));
        Conflict lastConflict = null;
        int firstSlot = slotAt(begin);
        while (begin + window.wish().durationMs() <= window.wish().latest()
                && firstSlot < slotCount) {
            Conflict conflict = conflict(window, begin, now);
            if (conflict == null) {
                return new Fit(
                        begin,
                        lastConflict == null
                                ? "its earliest moment"
                                : "not earlier: " + lastConflict.why());
            }
            lastConflict = conflict;
            // The loss of a window never rises while it runs. If the window began later but before
            // the blocked slot, it would take at least as much of that slot.
            firstSlot = Math.max(slotAt(begin), conflict.slot()) + 1;
            begin = slotStart(firstSlot);
        }
        return new Fit(
                -1, lastConflict == null ? "it is longer than the time given" : lastConflict.why());
    }

    /** The time at which a window may begin, or -1 if it cannot end in time, and the reason. */
    record Fit(long begin, String why) {}

    /** The headroom of a floor in the present slot. */
    long currentHeadroom(String floor) {
        return headroom.get(floor)[0];
    }
}

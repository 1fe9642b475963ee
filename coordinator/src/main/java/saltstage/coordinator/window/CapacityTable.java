package saltstage.coordinator.window;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What is missing at each floor, slot by slot, from now to a horizon: the planner's table. A slot
 * counts the most that is missing at any moment of it; losses within a window only fall, so that is
 * at its first moment, or at the begin of a window within it, which takes the slot from its first
 * moment on.
 */
final class CapacityTable {
    /** Five weeks of five minutes: what lies beyond is not planned yet. */
    private static final int MAX_SLOTS = 10_100;

    private final FleetPlan plan;
    private final long from;
    private final int slots;

    /** A floor's room by slot: what there is, less what must be, less what is missing. */
    private final Map<String, long[]> room = new HashMap<>();

    private final Map<String, List<FleetPlan.Floor>> floorsOf = new HashMap<>();
    private final Map<String, boolean[]> closed = new HashMap<>();
    private final Map<String, int[]> busy = new HashMap<>();
    private final int[] regionsOut;

    /** What keeps a window from a slot. */
    record Conflict(int slot, String why) {}

    CapacityTable(FleetPlan plan, long now, long until) {
        this.plan = plan;
        from = Math.floorDiv(now, plan.slotMs()) * plan.slotMs();
        slots = (int) Math.min(MAX_SLOTS, Math.max(1, (until - from) / plan.slotMs() + 2));
        regionsOut = new int[slots];
        for (FleetPlan.Floor floor : plan.floors()) {
            long there =
                    floor.regions().stream().mapToLong(name -> plan.region(name).capacity()).sum();
            long[] row = new long[slots];
            for (int i = 0; i < slots; i++) {
                row[i] = there - need(floor, i);
            }
            room.put(floor.name(), row);
            floor.regions()
                    .forEach(
                            name ->
                                    floorsOf.computeIfAbsent(name, any -> new ArrayList<>())
                                            .add(floor));
        }
        for (FleetPlan.Region region : plan.regions()) {
            boolean[] row = new boolean[slots];
            if (!region.blackOuts().isEmpty()) {
                for (int i = 0; i < slots; i++) {
                    row[i] =
                            plan.blackedOut(region, at(i))
                                    || plan.blackedOut(region, at(i + 1) - 1);
                }
            }
            closed.put(region.name(), row);
            busy.put(region.name(), new int[slots]);
        }
    }

    /** The most that must be there at any moment of a slot; hours may change within one. */
    private long need(FleetPlan.Floor floor, int slot) {
        return Math.max(plan.need(floor, at(slot)), plan.need(floor, at(slot + 1) - 1));
    }

    private long at(int slot) {
        return from + slot * plan.slotMs();
    }

    private int slot(long at) {
        return (int) Math.max(0, Math.min(slots, Math.floorDiv(at - from, plan.slotMs())));
    }

    /**
     * Something is missing in a region outside any window, from now on until it is said to be back.
     */
    void outage(String region, long lost) {
        for (FleetPlan.Floor floor : floorsOf.getOrDefault(region, List.of())) {
            long[] row = room.get(floor.name());
            for (int i = 0; i < slots; i++) {
                row[i] -= lost;
            }
        }
    }

    /** Counts a window, or with -1 counts it no more. */
    void add(Window window, long now, int sign) {
        long begin = window.begun() > 0 ? window.begun() : window.start();
        boolean open = window.overdue(now) || window.state() == Window.State.RETURNING;
        int first = window.state().takesCapacity() ? 0 : slot(begin);
        int last = open ? slots : Math.min(slots, slot(window.plannedEnd() - 1) + 1);
        String region = window.wish().region();
        int[] used = busy.get(region);
        int spaced =
                Math.min(
                        slots,
                        last + (int) ((plan.spacingMs() + plan.slotMs() - 1) / plan.slotMs()));
        for (int i = first; i < spaced; i++) {
            if (i < last && (sign > 0 ? used[i] == 0 : used[i] == 1)) {
                regionsOut[i] += sign;
            }
            used[i] += i < last ? sign : sign * 1_000; // after it the region rests, and is not out
        }
        for (FleetPlan.Floor floor : floorsOf.getOrDefault(region, List.of())) {
            long[] row = room.get(floor.name());
            for (int i = first; i < last; i++) {
                row[i] -=
                        sign
                                * window.lossAt(
                                        Math.max(at(i), Math.max(now, begin)),
                                        now,
                                        plan.coldPermille());
            }
        }
    }

    /**
     * What keeps a window that begins then from some slot; null: nothing. It is looked at as if
     * planned.
     */
    Conflict conflict(Window window, long begin, long now) {
        Window there = window.at(begin, Window.State.PLANNED, now, "");
        int first = slot(begin);
        int last = slot(there.plannedEnd() - 1) + 1;
        if (last > slots) {
            return new Conflict(slots, "it would not be over within the planned time");
        }
        String region = window.wish().region();
        boolean[] shut = closed.get(region);
        int[] used = busy.get(region);
        for (int i = first; i < last; i++) {
            if (shut[i]) {
                return new Conflict(i, "a black-out of " + region);
            }
            if (used[i] >= 1_000 && i == first) {
                return new Conflict(i, region + " rests after a window");
            }
            if (used[i] % 1_000 == 0 && regionsOut[i] >= plan.mostRegions()) {
                return new Conflict(i, plan.mostRegions() + " regions are in maintenance already");
            }
        }
        int rest = last + (int) ((plan.spacingMs() + plan.slotMs() - 1) / plan.slotMs());
        for (int i = last; i < Math.min(slots, rest) && used[last - 1] % 1_000 == 0; i++) {
            if (used[i] % 1_000 > 0) {
                return new Conflict(i, region + " rests before its next window");
            }
        }
        for (FleetPlan.Floor floor : floorsOf.getOrDefault(region, List.of())) {
            long[] row = room.get(floor.name());
            for (int i = first; i < last; i++) {
                long loss = there.lossAt(Math.max(at(i), begin), now, plan.coldPermille());
                if (row[i] < loss) {
                    return new Conflict(
                            i,
                            "floor "
                                    + floor.name()
                                    + " would be short by "
                                    + (loss - row[i])
                                    + " thousandths of a mean load");
                }
            }
        }
        return null;
    }

    /**
     * The first begin from a moment on, within its latest end, that nothing blocks; or why there is
     * none.
     */
    Fit firstFit(Window window, long notBefore, long now) {
        long begin = Math.max(notBefore, Math.max(now, window.wish().earliest()));
        Conflict last = null;
        int first = slot(begin);
        while (begin + window.wish().durationMs() <= window.wish().latest() && first < slots) {
            Conflict conflict = conflict(window, begin, now);
            if (conflict == null) {
                return new Fit(
                        begin, last == null ? "its earliest moment" : "not earlier: " + last.why());
            }
            last = conflict;
            // What a window takes only falls with its time: begun later, and before the blocked
            // slot, it would take as much of that slot or more.
            first = Math.max(slot(begin), conflict.slot()) + 1;
            begin = at(first);
        }
        return new Fit(-1, last == null ? "it is longer than the time given" : last.why());
    }

    /** When it may begin (-1: never in time), and why then. */
    record Fit(long begin, String why) {}

    /** The room of a floor in the present slot. */
    long roomNow(String floor) {
        return room.get(floor)[0];
    }
}

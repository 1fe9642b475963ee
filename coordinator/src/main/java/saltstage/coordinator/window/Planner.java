package saltstage.coordinator.window;

import java.util.Collection;
import java.util.Map;

/**
 * Finds a begin for one window, given the capacity that is missing already and the windows that are
 * planned. The caller decides the order in which windows are placed: the planning is greedy, by
 * urgency.
 */
final class Planner {
    /** Five weeks; nothing beyond them is planned yet. */
    private static final long HORIZON_MS = 35L * 86_400_000;

    private final FleetPlan plan;
    private final long now;
    private final Collection<Window> fixed;
    private final Map<String, Long> outages;

    Planner(FleetPlan plan, long now, Collection<Window> fixed, Map<String, Long> outages) {
        this.plan = plan;
        this.now = now;
        this.fixed = fixed;
        this.outages = outages;
    }

    /**
     * Returns a table that counts the fixed windows and the outages, and reaches far enough for the
     * waiting windows.
     */
    CapacityTable table(Collection<Window> waiting) {
        long until = now + plan.slotMs();
        for (Window window : waiting) {
            until = Math.max(until, window.wish().latest());
        }
        for (Window window : fixed) {
            until = Math.max(until, window.plannedEnd());
        }
        CapacityTable table = new CapacityTable(plan, now, Math.min(until, now + HORIZON_MS));
        outages.forEach(table::addOutage);
        fixed.forEach(window -> table.add(window, now, 1));
        return table;
    }

    /**
     * Finds a start for one window, after the windows it must follow and apart from those it must
     * not overlap. If nothing fits, the window is put off, with the reason.
     *
     * @param known all windows that the window may refer to, by number
     */
    Window place(CapacityTable table, Window window, Map<Long, Window> known) {
        long notBefore = now;
        for (Long before : window.wish().after()) {
            Window first = known.get(before);
            if (first == null || first.state() == Window.State.DONE) {
                continue;
            }
            if (first.state() != Window.State.PLANNED && !first.state().isInProgress()) {
                return window.withSchedule(
                        0, Window.State.PUT_OFF, now, "window " + before + " must be over before");
            }
            notBefore = Math.max(notBefore, first.plannedEnd());
        }
        while (true) {
            CapacityTable.Fit found = table.firstFit(window, notBefore, now);
            if (found.begin() < 0) {
                return window.withSchedule(0, Window.State.PUT_OFF, now, found.why());
            }
            Window there =
                    window.withSchedule(found.begin(), Window.State.PLANNED, now, found.why());
            Window with = findExclusiveOverlap(there, known);
            if (with == null) {
                return there;
            }
            if (with.isOverdue(now)) {
                return window.withSchedule(
                        0, Window.State.PUT_OFF, now, "never together with window " + with.id());
            }
            notBefore = with.plannedEnd();
        }
    }

    private static Window findExclusiveOverlap(Window window, Map<Long, Window> known) {
        if (window.wish().apart().isEmpty()) {
            return null;
        }
        for (Window other : known.values()) {
            boolean counts = other.state() == Window.State.PLANNED || other.state().isInProgress();
            long begin = other.begun() > 0 ? other.begun() : other.start();
            if (counts
                    && other.id() != window.id()
                    && other.wish().apart().stream().anyMatch(window.wish().apart()::contains)
                    && begin < window.plannedEnd()
                    && window.start() < other.plannedEnd()) {
                return other;
            }
        }
        return null;
    }
}

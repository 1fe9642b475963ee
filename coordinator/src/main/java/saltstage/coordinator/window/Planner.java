package saltstage.coordinator.window;

import java.util.Collection;
import java.util.Map;

/**
 * Finds a start for one window, given the capacity that is missing already and the windows that are
 * planned. The caller decides the order in which windows are placed: the planning is greedy, by
 * urgency.
 */
final class Planner {
    /** Five weeks; nothing beyond them is planned yet. */
    private static final long HORIZON_MS = 35L * 86_400_000;

    private final FleetPlan plan;
    private final long now;
    private final Collection<Window> fixedWindows;
    private final Map<String, Long> outages;

    Planner(FleetPlan plan, long now, Collection<Window> fixedWindows, Map<String, Long> outages) {
        this.plan = plan;
        this.now = now;
        this.fixedWindows = fixedWindows;
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
        for (Window window : fixedWindows) {
            until = Math.max(until, window.plannedEnd());
        }
        CapacityTable table = new CapacityTable(plan, now, Math.min(until, now + HORIZON_MS));
        outages.forEach(table::addOutage);
        fixedWindows.forEach(window -> table.add(window, now, 1));
        return table;
    }

    /**
     * Finds a start for one window, after the windows it must follow and apart from those it must
     * not overlap. If nothing fits, the window is put off, with the reason.
     *
     * @param windowsById all windows that the window may refer to, by number
     */
    Window place(CapacityTable table, Window window, Map<Long, Window> windowsById) {
        long notBefore = now;
        for (Long predecessorId : window.wish().after()) {
            Window predecessor = windowsById.get(predecessorId);
            if (predecessor == null || predecessor.state() == Window.State.DONE) {
                continue;
            }
            if (predecessor.state() != Window.State.PLANNED
                    && !predecessor.state().isInProgress()) {
                return window.withSchedule(
                        0,
                        Window.State.PUT_OFF,
                        now,
                        "window " + predecessorId + " must be over before");
            }
            notBefore = Math.max(notBefore, predecessor.plannedEnd());
        }
        while (true) {
            CapacityTable.Fit fit = table.firstFit(window, notBefore, now);
            if (fit.begin() < 0) {
                return window.withSchedule(0, Window.State.PUT_OFF, now, fit.why());
            }
            Window planned = window.withSchedule(fit.begin(), Window.State.PLANNED, now, fit.why());
            Window overlapping = findExclusiveOverlap(planned, windowsById);
            if (overlapping == null) {
                return planned;
            }
            if (overlapping.isOverdue(now)) {
                return window.withSchedule(
                        0,
                        Window.State.PUT_OFF,
                        now,
                        "never together with window " + overlapping.id());
            }
            notBefore = overlapping.plannedEnd();
        }
    }

    private static Window findExclusiveOverlap(Window window, Map<Long, Window> windowsById) {
        if (window.wish().apart().isEmpty()) {
            return null;
        }
        for (Window other : windowsById.values()) {
            boolean isCounted =
                    other.state() == Window.State.PLANNED || other.state().isInProgress();
            long begin = other.begun() > 0 ? other.begun() : other.start();
            if (isCounted
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

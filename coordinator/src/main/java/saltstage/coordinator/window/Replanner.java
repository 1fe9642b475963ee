package saltstage.coordinator.window;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import saltstage.coordinator.window.Window.State;

/**
 * Applies what follows from any change: aborts drains while a floor is short, then plans the
 * waiting windows anew, then removes the oldest finished windows.
 */
final class Replanner {
    /** How many finished windows are kept for operators to read. */
    private static final int MAX_FINISHED_WINDOWS = 500;

    /** A planned window that has not begun this many slots after its start is planned anew. */
    private static final int MAX_START_DELAY_SLOTS = 2;

    /**
     * Order of aborting drains: emergencies last, then low priority, latest begin, highest number.
     */
    private static final Comparator<Window> LEAST_IMPORTANT_FIRST =
            Comparator.comparing((Window w) -> w.wish().emergency())
                    .thenComparing(w -> w.wish().priority())
                    .thenComparing(w -> -w.begun())
                    .thenComparing(w -> -w.id());

    /** Order of planning: emergencies, planned windows, high priority, lowest number. */
    private static final Comparator<Window> MOST_URGENT_FIRST =
            Comparator.comparing((Window w) -> !w.wish().emergency())
                    .thenComparing(w -> w.state() != State.PLANNED)
                    .thenComparing(w -> -w.wish().priority())
                    .thenComparing(Window::id);

    private final WindowStore store;

    Replanner(WindowStore store) {
        this.store = store;
    }

    /** Applies everything that follows from a change at this time. */
    void reconcile(long now) {
        store.plan().floors().forEach(floor -> abortDrains(floor, now));
        replan(now);
        removeOldWindows();
    }

    /** Whether a planned window missed its start because its agent is gone or was rejected. */
    boolean hasMissedStart(Window window, long now) {
        return window.state() == State.PLANNED
                && window.start() < now - MAX_START_DELAY_SLOTS * store.plan().slotMs();
    }

    /**
     * Aborts drains, the least important first, while the floor is short. Windows whose nodes are
     * out already cannot be aborted.
     */
    private void abortDrains(FleetPlan.Floor floor, long now) {
        while (true) {
            long headroom = headroomWithReturning(floor, now);
            Window leastImportant =
                    store.inState(s -> s == State.DRAINING).stream()
                            .filter(w -> floor.regions().contains(w.wish().region()))
                            .min(LEAST_IMPORTANT_FIRST)
                            .orElse(null);
            if (headroom >= 0 || leastImportant == null) {
                return;
            }
            String why = "turned back: floor " + floor.name() + " is short by " + -headroom;
            store.put(leastImportant.withState(State.RETURNING, now, why));
        }
    }

    /** The headroom of a floor in the present slot, with returning nodes counted as available. */
    private long headroomWithReturning(FleetPlan.Floor floor, long now) {
        long returning =
                store.inState(s -> s == State.RETURNING).stream()
                        .filter(w -> floor.regions().contains(w.wish().region()))
                        .mapToLong(w -> w.lossAt(now, now, store.plan().coldPermille()))
                        .sum();
        return store.planner(now).table(List.of()).currentHeadroom(floor.name()) + returning;
    }

    /**
     * Keeps every planned start that still fits. Moves only the other windows, and records that in
     * their reason.
     */
    private void replan(long now) {
        Planner planner = store.planner(now);
        List<Window> waiting = store.inState(s -> s == State.PLANNED || s == State.PUT_OFF);
        CapacityTable table = planner.table(waiting);
        Map<Long, Window> windowsById = new LinkedHashMap<>();
        store.inState(s -> !s.isWaiting()).forEach(w -> windowsById.put(w.id(), w));
        List<Window> displaced = new ArrayList<>();
        for (Window window : waiting.stream().sorted(MOST_URGENT_FIRST).toList()) {
            if (canStay(window, table, windowsById, now)) {
                table.add(window, now, 1);
                windowsById.put(window.id(), window);
            } else {
                displaced.add(window);
            }
        }
        displaced.forEach(window -> place(planner, table, windowsById, window, now));
    }

    private boolean canStay(
            Window window, CapacityTable table, Map<Long, Window> windowsById, long now) {
        return window.state() == State.PLANNED
                && !hasMissedStart(window, now)
                && window.wish().after().stream()
                        .allMatch(id -> isOverBy(id, window.start(), windowsById))
                && table.conflict(window, Math.max(now, window.start()), now) == null;
    }

    private static boolean isOverBy(long id, long deadline, Map<Long, Window> windowsById) {
        Window predecessor = windowsById.get(id);
        return predecessor != null
                && (predecessor.state() == State.DONE
                        || predecessor.plannedEnd() <= deadline
                                && (predecessor.state() == State.PLANNED
                                        || predecessor.state().isInProgress()));
    }

    private void place(
            Planner planner,
            CapacityTable table,
            Map<Long, Window> windowsById,
            Window window,
            long now) {
        Window placed = planner.place(table, window, windowsById);
        if (window.state() == State.PLANNED && placed.start() != window.start()) {
            String why = "moved from " + window.start() + ": " + placed.why();
            placed = placed.withState(placed.state(), now, why);
        }
        store.put(placed);
        windowsById.put(placed.id(), placed);
        if (placed.state() == State.PLANNED) {
            table.add(placed, now, 1);
        }
    }

    private void removeOldWindows() {
        List<Window> finished =
                store.inState(s -> !s.isWaiting() && !s.isInProgress()).stream()
                        .sorted(Comparator.comparingLong(Window::since))
                        .toList();
        finished.stream()
                .limit(Math.max(0, finished.size() - MAX_FINISHED_WINDOWS))
                .forEach(w -> store.remove(w.id()));
    }
}

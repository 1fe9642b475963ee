package saltstage.coordinator.window;

import java.util.ArrayList;
import java.util.List;
import saltstage.coordinator.window.Window.State;

/** Computes the available, required and missing capacity of each floor over time, for operators. */
final class FloorLevels {
    private final WindowStore store;
    private final FleetPlan plan;
    private final List<Window> countedWindows;
    private final long now;

    FloorLevels(WindowStore store, long now) {
        this.store = store;
        this.now = now;
        plan = store.plan();
        countedWindows = store.inState(s -> s == State.PLANNED || s.isInProgress());
    }

    /**
     * Returns the levels of each floor between two moments, one per slot, or fewer if that would
     * give more than about {@code maxRows} rows per floor.
     */
    List<Windows.FloorLevel> between(long from, long to, int maxRows) {
        List<Windows.FloorLevel> levels = new ArrayList<>();
        if (plan == null) {
            return levels;
        }
        long stepMs = Math.max(plan.slotMs(), (to - from) / Math.max(1, maxRows));
        for (FleetPlan.Floor floor : plan.floors()) {
            for (long timeMs = from; timeMs < to; timeMs += stepMs) {
                levels.add(level(floor, timeMs));
            }
        }
        return levels;
    }

    private Windows.FloorLevel level(FleetPlan.Floor floor, long timeMs) {
        long missing = outageLoss(floor);
        for (Window window : countedWindows) {
            // A planned window is not out yet.
            boolean isCounted = timeMs > now || window.state().isInProgress();
            if (isCounted && floor.regions().contains(window.wish().region())) {
                missing += window.lossAt(timeMs, now, plan.coldPermille());
            }
        }
        long capacity = totalCapacity(floor) - missing;
        return new Windows.FloorLevel(
                floor.name(), timeMs, capacity, plan.requiredCapacity(floor, timeMs), missing);
    }

    private long totalCapacity(FleetPlan.Floor floor) {
        return floor.regions().stream().mapToLong(name -> plan.region(name).capacity()).sum();
    }

    private long outageLoss(FleetPlan.Floor floor) {
        return floor.regions().stream()
                .mapToLong(name -> store.outages().getOrDefault(name, 0L))
                .sum();
    }
}

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
     * give more than about {@code most} rows per floor.
     */
    List<Windows.FloorLevel> between(long from, long to, int most) {
        List<Windows.FloorLevel> levels = new ArrayList<>();
        if (plan == null) {
            return levels;
        }
        long step = Math.max(plan.slotMs(), (to - from) / Math.max(1, most));
        for (FleetPlan.Floor floor : plan.floors()) {
            for (long at = from; at < to; at += step) {
                levels.add(level(floor, at));
            }
        }
        return levels;
    }

    private Windows.FloorLevel level(FleetPlan.Floor floor, long at) {
        long missing = outageLoss(floor);
        for (Window window : countedWindows) {
            // A planned window is not out yet.
            boolean counts = at > now || window.state().isInProgress();
            if (counts && floor.regions().contains(window.wish().region())) {
                missing += window.lossAt(at, now, plan.coldPermille());
            }
        }
        long capacity = totalCapacity(floor) - missing;
        return new Windows.FloorLevel(
                floor.name(), at, capacity, plan.requiredCapacity(floor, at), missing);
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

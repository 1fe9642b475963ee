package saltstage.coordinator.window;

import java.util.ArrayList;
import java.util.List;
import saltstage.coordinator.window.Window.State;

/** Each floor over time, for operators to look at: what is there, what must be, what is missing. */
final class FloorLevels {
    private final WindowStore store;
    private final FleetPlan plan;
    private final List<Window> counted;
    private final long now;

    FloorLevels(WindowStore store, long now) {
        this.store = store;
        this.now = now;
        plan = store.plan();
        counted = store.inState(s -> s == State.PLANNED || s.takesCapacity());
    }

    /** Each floor at the begin of each slot between two moments, thinned to {@code most} rows. */
    List<Windows.Level> between(long from, long to, int most) {
        List<Windows.Level> levels = new ArrayList<>();
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

    private Windows.Level level(FleetPlan.Floor floor, long at) {
        long missing = outages(floor);
        for (Window window : counted) {
            boolean counts = at > now || window.state().takesCapacity(); // a plan is not out yet
            if (counts && floor.regions().contains(window.wish().region())) {
                missing += window.lossAt(at, now, plan.coldPermille());
            }
        }
        long capacity = capacity(floor) - missing;
        return new Windows.Level(floor.name(), at, capacity, plan.need(floor, at), missing);
    }

    private long capacity(FleetPlan.Floor floor) {
        return floor.regions().stream().mapToLong(name -> plan.region(name).capacity()).sum();
    }

    private long outages(FleetPlan.Floor floor) {
        return floor.regions().stream()
                .mapToLong(name -> store.outages().getOrDefault(name, 0L))
                .sum();
    }
}

package saltstage.coordinator.window;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import saltstage.coordinator.model.Acknowledgement;
import saltstage.coordinator.model.Rejection;
import saltstage.coordinator.model.Reply;
import saltstage.coordinator.window.Window.State;
import saltstage.coordinator.window.WindowCommands.Step;

/**
 * All maintenance windows of a group and their central rule: the planned and the actual losses
 * together never breach a capacity floor. Capacity counts as out from the moment at which a drain
 * may begin until its return is proven, even if the agent is lost meanwhile. The class uses no I/O,
 * threads or clocks; times are in milliseconds since 1970.
 */
public final class Windows {
    /** The snapshot of all windows; the component names are part of its stored form. */
    public record Image(
            FleetPlan plan,
            long ids,
            List<Window> windows,
            Map<String, Long> outages,
            Set<Long> unwanted,
            long looked) {}

    /** The minimum available, the required and the missing capacity of a floor at a moment. */
    public record FloorLevel(String floor, long at, long capacity, long need, long missing) {}

    private final WindowStore store;
    private final Replanner replanner;
    private final WindowProposals proposals;
    private final WindowProgress progress;

    /** Starts without a plan and without windows. */
    public Windows() {
        this(new Image(null, 0, List.of(), Map.of(), Set.of(), 0));
    }

    /** Restores the state from a snapshot. */
    public Windows(Image image) {
        store = new WindowStore(image);
        replanner = new Replanner(store);
        proposals = new WindowProposals(store, replanner);
        progress = new WindowProgress(store, replanner);
    }

    /** Returns the snapshot of the present state. */
    public Image image() {
        return store.image();
    }

    /** The agreed plan, or null. */
    public FleetPlan plan() {
        return store.plan();
    }

    /** All windows by number. */
    public List<Window> all() {
        return store.all();
    }

    /** The window of this number, or null. */
    public Window find(long id) {
        return store.find(id);
    }

    /** Whether any window waits or is in progress. */
    public boolean hasOpenWindows() {
        return !store.inState(s -> s.isWaiting() || s.isInProgress()).isEmpty();
    }

    /** Applies, at most once per slot, the effects of passing time. */
    public void advance(long now) {
        long advancedTo = store.advancedTo();
        if (plan() == null
                || now / plan().slotMs() == advancedTo / plan().slotMs()
                || !hasOpenWindows()) {
            return;
        }
        store.setAdvancedTo(now);
        boolean changed = false;
        for (Window window : store.all()) {
            if (window.state().isWaiting()
                    && now + window.wish().durationMs() > window.wish().latest()) {
                String why = "its time ran out: " + window.why();
                store.put(window.withState(State.EXPIRED, now, why));
                changed = true;
            } else if (window.isOverdue(now) && !window.isOverdue(advancedTo)) {
                changed = true; // its capacity counts as missing until proven back
            } else if (replanner.hasMissedStart(window, now)) {
                changed = true;
            }
        }
        if (changed) {
            replanner.reconcile(now);
        }
    }

    /** Replaces the plan; windows that no longer fit are moved or put off. */
    public Reply setPlan(FleetPlan newPlan, long now) {
        String error = newPlan == null ? "no plan" : newPlan.validationError();
        if (error != null) {
            return new Rejection("bad-plan", error, 0);
        }
        for (Window window : store.inState(State::isInProgress)) {
            if (!hasNodesOf(newPlan, window)) {
                String why = "window " + window.id() + " has nodes out that the plan does not name";
                return new Rejection("in-use", why, 0);
            }
        }
        store.setPlan(newPlan);
        for (Window window : store.inState(State::isWaiting)) {
            if (WindowRequestValidator.validationError(window.wish(), newPlan) != null) {
                store.put(window.withState(State.WITHDRAWN, now, "the new plan has no such nodes"));
            }
        }
        replanner.reconcile(now);
        return new Acknowledgement("agreed");
    }

    private static boolean hasNodesOf(FleetPlan plan, Window window) {
        FleetPlan.Region region = plan.region(window.wish().region());
        return region != null
                && region.nodes().stream()
                        .map(FleetPlan.Node::id)
                        .toList()
                        .containsAll(window.wish().nodes());
    }

    /** Plans a window; an equivalent request returns the windows that exist already. */
    public Reply propose(WindowRequest request, long now) {
        return proposals.propose(request, now);
    }

    /** Withdraws a window; a drain that has begun is aborted. */
    public Reply withdraw(long id, String by, long now) {
        Window window = store.find(id);
        if (window == null) {
            return new Rejection("no-window", "no window " + id, 0);
        }
        if (window.state() == State.OUT || window.state() == State.WARMING) {
            return new Rejection("too-late", "its work has begun; it ends by being done", 0);
        }
        if (window.state().isWaiting()) {
            window = window.withState(State.WITHDRAWN, now, "withdrawn by " + by);
            store.put(window);
            replanner.reconcile(now);
        } else if (window.state() == State.DRAINING) {
            store.withdrawnDrains().add(id); // counts as out until its return is proven
            window = window.withState(State.RETURNING, now, "withdrawn by " + by);
            store.put(window);
        }
        return new WindowReplies.Now(window);
    }

    /** Pauses or resumes a window that waits; a drain that has begun cannot be paused. */
    public Reply pause(long id, boolean paused, String by, long now) {
        Window window = store.find(id);
        if (window == null || !window.state().isWaiting()) {
            return new Rejection("no-window", "no window " + id + " that waits", 0);
        }
        State state = paused ? State.PAUSED : State.PUT_OFF;
        store.put(
                window.withSchedule(
                        0, state, now, (paused ? "held back by " : "let go on by ") + by));
        replanner.reconcile(now);
        return new WindowReplies.Now(store.find(id));
    }

    /** Lets a drain begin if it may; called for the agent that holds the lease of the region. */
    public Reply begin(long id, long now) {
        return progress.begin(id, now);
    }

    /** Applies a step that was reported by the agent that holds the lease of the region. */
    public Reply report(long id, Step step, long proven, long now) {
        return progress.report(id, step, proven, now);
    }

    /** Sets the capacity that a region has lost outside any window; 0 ends the outage. */
    public Reply reportOutage(String region, long lostCapacity, long now) {
        if (plan() == null
                || plan().region(region) == null
                || lostCapacity < 0
                || lostCapacity > plan().region(region).capacity()) {
            return new Rejection(
                    "bad-outage", "no region " + region + " that could miss so much", 0);
        }
        Map<String, Long> outages = store.outages();
        Long earlierLoss =
                lostCapacity == 0 ? outages.remove(region) : outages.put(region, lostCapacity);
        if (earlierLoss == null ? lostCapacity > 0 : earlierLoss != lostCapacity) {
            replanner.reconcile(now);
        }
        return new Acknowledgement("noted");
    }

    /**
     * Returns the nodes that should get no moved connections: those that are out or coming back,
     * and those of windows planned to begin within {@code aheadMs}.
     */
    public Set<String> nodesToAvoid(long now, long aheadMs) {
        Set<String> nodes = new TreeSet<>();
        for (Window window : store.all()) {
            boolean startsSoon = window.state() == State.PLANNED && window.start() < now + aheadMs;
            if (startsSoon || window.state().isInProgress()) {
                nodes.addAll(window.wish().nodes());
            }
        }
        return nodes;
    }

    /**
     * Returns the levels of each floor between two moments, one per slot, or fewer if that would
     * give more than about {@code maxRows} rows per floor.
     */
    public List<FloorLevel> levels(long from, long to, int maxRows, long now) {
        return new FloorLevels(store, now).between(from, to, maxRows);
    }
}

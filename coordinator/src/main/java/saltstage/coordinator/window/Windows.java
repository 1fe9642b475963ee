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
 * All windows of a group and the rules that they keep: at every moment what is planned to be
 * missing and what is missing together leave every floor. Capacity counts as out from the moment at
 * which a drain may begin until its return is proven, whatever becomes of its agent. Free of I/O,
 * threads and clocks; times are in milliseconds since 1970.
 */
public final class Windows {
    /** What a snapshot keeps; the component names are part of it. */
    public record Image(
            FleetPlan plan,
            long ids,
            List<Window> windows,
            Map<String, Long> outages,
            Set<Long> unwanted,
            long looked) {}

    /** A floor at a moment: what is there at least, what must be, what is missing. */
    public record FloorLevel(String floor, long at, long capacity, long need, long missing) {}

    private final WindowStore store;
    private final Replanner replanner;
    private final WindowProposals proposals;
    private final WindowProgress progress;

    /** Nothing is agreed or planned. */
    public Windows() {
        this(new Image(null, 0, List.of(), Map.of(), Set.of(), 0));
    }

    /** As a snapshot has it. */
    public Windows(Image image) {
        store = new WindowStore(image);
        replanner = new Replanner(store);
        proposals = new WindowProposals(store, replanner);
        progress = new WindowProgress(store, replanner);
    }

    /** What a snapshot keeps. */
    public Image image() {
        return store.image();
    }

    /** What was agreed, or null. */
    public FleetPlan plan() {
        return store.plan();
    }

    /** All of them, by number. */
    public List<Window> all() {
        return store.all();
    }

    /** One of them, or null. */
    public Window find(long id) {
        return store.find(id);
    }

    /** Whether any may still change by itself. */
    public boolean hasOpenWindows() {
        return !store.inState(s -> s.isWaiting() || s.isInProgress()).isEmpty();
    }

    /** Applies, once a slot, what time alone has changed. */
    public void advance(long now) {
        long before = store.advancedTo();
        if (plan() == null
                || now / plan().slotMs() == before / plan().slotMs()
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
            } else if (window.isOverdue(now) && !window.isOverdue(before)) {
                changed = true; // what it holds is missing until it says otherwise
            } else if (replanner.hasMissedStart(window, now)) {
                changed = true;
            }
        }
        if (changed) {
            replanner.reconcile(now);
        }
    }

    /** Agrees about the fleet; what no longer fits is put off. */
    public Reply setPlan(FleetPlan next, long now) {
        String fault = next == null ? "no plan" : next.validationError();
        if (fault != null) {
            return new Rejection("bad-plan", fault, 0);
        }
        for (Window window : store.inState(State::isInProgress)) {
            if (!hasNodesOf(next, window)) {
                String why = "window " + window.id() + " has nodes out that the plan does not name";
                return new Rejection("in-use", why, 0);
            }
        }
        store.setPlan(next);
        for (Window window : store.inState(State::isWaiting)) {
            if (WindowRequestValidator.validationError(window.wish(), next) != null) {
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

    /** Plans a window; the same request again is the same window. */
    public Reply propose(WindowRequest request, long now) {
        return proposals.propose(request, now);
    }

    /** Gives a window up; a drain that has begun is turned back. */
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
            store.withdrawnDrains().add(id); // it counts as out until its return is proven
            window = window.withState(State.RETURNING, now, "withdrawn by " + by);
            store.put(window);
        }
        return new WindowReplies.Now(window);
    }

    /** Holds it back, or lets it go on; a drain that has begun is not held. */
    public Reply pause(long id, boolean on, String by, long now) {
        Window window = store.find(id);
        if (window == null || !window.state().isWaiting()) {
            return new Rejection("no-window", "no window " + id + " that waits", 0);
        }
        State state = on ? State.PAUSED : State.PUT_OFF;
        store.put(
                window.withSchedule(0, state, now, (on ? "held back by " : "let go on by ") + by));
        replanner.reconcile(now);
        return new WindowReplies.Now(store.find(id));
    }

    /** Whether a window's drain may begin now; asked by the agent that holds its region's lease. */
    public Reply begin(long id, long now) {
        return progress.begin(id, now);
    }

    /** Takes a step of the agent that holds the region's lease. */
    public Reply report(long id, Step step, long proven, long now) {
        return progress.report(id, step, proven, now);
    }

    /** Something is missing outside any window, or is back. */
    public Reply reportOutage(String region, long lost, long now) {
        if (plan() == null
                || plan().region(region) == null
                || lost < 0
                || lost > plan().region(region).capacity()) {
            return new Rejection(
                    "bad-outage", "no region " + region + " that could miss so much", 0);
        }
        Map<String, Long> outages = store.outages();
        Long before = lost == 0 ? outages.remove(region) : outages.put(region, lost);
        if (before == null ? lost > 0 : before != lost) {
            replanner.reconcile(now);
        }
        return new Acknowledgement("noted");
    }

    /**
     * Nodes that nothing should be moved to: out, coming back, or planned to be out before long.
     */
    public Set<String> nodesToAvoid(long now, long aheadMs) {
        Set<String> nodes = new TreeSet<>();
        for (Window window : store.all()) {
            boolean soon = window.state() == State.PLANNED && window.start() < now + aheadMs;
            if (soon || window.state().isInProgress()) {
                nodes.addAll(window.wish().nodes());
            }
        }
        return nodes;
    }

    /** Each floor at the begin of each slot between two moments, thinned to {@code most} rows. */
    public List<FloorLevel> levels(long from, long to, int most, long now) {
        return new FloorLevels(store, now).between(from, to, most);
    }
}

package saltstage.coordinator.window;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import saltstage.coordinator.model.Rejection;
import saltstage.coordinator.model.Reply;
import saltstage.coordinator.window.Window.State;

/** Takes requests for windows: finds each its place, or says why there is none. */
final class WindowProposals {
    private static final int MAX_WAITING_WINDOWS = 5_000;

    /** How much longer a refused request's time is taken, to say when it would do. */
    private static final long LOOK_AHEAD_MS = 14L * 86_400_000;

    private final WindowStore store;
    private final Replanner replanner;

    WindowProposals(WindowStore store, Replanner replanner) {
        this.store = store;
        this.replanner = replanner;
    }

    /** Plans a window; the same request again is the same window. */
    Reply propose(WindowRequest request, long now) {
        if (store.plan() == null) {
            return new Rejection("no-plan", "nothing is agreed about the fleet yet", 0);
        }
        String fault = WindowRequestValidator.validationError(request, store.plan());
        if (fault != null) {
            return new Rejection("bad-wish", fault, 0);
        }
        List<Window> same =
                openWindows().stream()
                        .filter(window -> window.wish().isEquivalentTo(request))
                        .toList();
        if (!same.isEmpty()) {
            return new WindowReplies.Planned(same, true);
        }
        if (store.inState(State::isWaiting).size() >= MAX_WAITING_WINDOWS) {
            return new Rejection("too-many", MAX_WAITING_WINDOWS + " windows wait already", 0);
        }
        Window overlapping =
                openWindows().stream()
                        .filter(window -> hasSharedNodes(window, request))
                        .findFirst()
                        .orElse(null);
        if (overlapping != null) {
            String why =
                    "window " + overlapping.id() + " has some of these nodes; name it in 'after'";
            return new Rejection("taken", why, 0);
        }
        List<Window> made = new ArrayList<>();
        Rejection refused = add(request, now, made);
        return refused != null ? refused : new WindowReplies.Planned(made, false);
    }

    private List<Window> openWindows() {
        return store.inState(state -> state.isWaiting() || state.isInProgress());
    }

    /** One node cannot be in two windows at once; one after the other is asked for by 'after'. */
    private static boolean hasSharedNodes(Window window, WindowRequest request) {
        return window.wish().region().equals(request.region())
                && window.wish().nodes().stream().anyMatch(request.nodes()::contains)
                && !request.after().contains(window.id());
    }

    /**
     * Plans it whole, else in halves where it may be split, else says why not and when it would do.
     */
    private Rejection add(WindowRequest request, long now, List<Window> made) {
        Window window = unplanned(store.nextId(), request, capacity(request), now, "proposed");
        Window placed = place(window, now);
        if (placed.state() == State.PLANNED) {
            store.add(placed);
            made.add(placed);
            if (request.emergency()) {
                replanner.reconcile(now); // whoever it displaced is moved, and told so
            }
            return null;
        }
        if (request.split() && request.nodes().size() > 1) {
            return addInHalves(request, now, made);
        }
        return rejection(window, placed, now);
    }

    /** Finds a place for one window; an emergency counts only other emergencies' plans. */
    private Window place(Window window, long now) {
        List<Window> planned = store.inState(s -> s == State.PLANNED);
        List<Window> counted =
                window.wish().emergency()
                        ? planned.stream().filter(w -> w.wish().emergency()).toList()
                        : planned;
        Planner planner = store.planner(now);
        CapacityTable table = tableWith(planner, counted, window, now);
        Map<Long, Window> known = new LinkedHashMap<>();
        store.all().forEach(w -> known.put(w.id(), w));
        return planner.place(table, window, known);
    }

    /** Both halves, or nothing. */
    private Rejection addInHalves(WindowRequest request, long now, List<Window> made) {
        List<Window> before = store.all();
        List<String> nodes = request.nodes();
        int half = (nodes.size() + 1) / 2;
        Rejection refused = add(request.withNodes(nodes.subList(0, half)), now, made);
        if (refused == null) {
            refused = add(request.withNodes(nodes.subList(half, nodes.size())), now, made);
        }
        if (refused != null) {
            store.restore(before);
            made.clear();
        }
        return refused;
    }

    private Rejection rejection(Window window, Window placed, long now) {
        WindowRequest request = window.wish().withMoreTime(LOOK_AHEAD_MS);
        Window longer = unplanned(window.id(), request, window.capacity(), now, "");
        List<Window> planned = store.inState(s -> s == State.PLANNED);
        CapacityTable table = tableWith(store.planner(now), planned, longer, now);
        CapacityTable.Fit fit = table.firstFit(longer, now, now);
        if (fit.begin() < 0) {
            String why = placed.why() + "; nor would it do within two weeks more";
            return new Rejection("no-room", why, 0);
        }
        String why = placed.why() + "; it would do from " + fit.begin();
        return new Rejection("no-room", why, Math.max(1, fit.begin() - now));
    }

    /** A table that reaches as far as this window may go, with these others counted. */
    private static CapacityTable tableWith(
            Planner planner, List<Window> counted, Window window, long now) {
        List<Window> waiting = new ArrayList<>(counted);
        waiting.add(window);
        CapacityTable table = planner.table(waiting);
        counted.forEach(other -> table.add(other, now, 1));
        return table;
    }

    private static Window unplanned(
            long id, WindowRequest request, long capacity, long now, String why) {
        return new Window(id, request, State.PUT_OFF, capacity, 0, 0, now, 0, why);
    }

    private long capacity(WindowRequest request) {
        return store.plan().region(request.region()).nodes().stream()
                .filter(node -> request.nodes().contains(node.id()))
                .mapToLong(FleetPlan.Node::capacity)
                .sum();
    }
}

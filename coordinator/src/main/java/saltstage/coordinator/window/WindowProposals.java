package saltstage.coordinator.window;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import saltstage.coordinator.model.Rejection;
import saltstage.coordinator.model.Reply;
import saltstage.coordinator.window.Window.State;

/** Handles requests for windows: finds a start for each, or gives the reason why there is none. */
final class WindowProposals {
    private static final int MAX_WAITING_WINDOWS = 5_000;

    /** Extra time allowed to a rejected request when searching for a start that would fit. */
    private static final long LOOK_AHEAD_MS = 14L * 86_400_000;

    private final WindowStore store;
    private final Replanner replanner;

    WindowProposals(WindowStore store, Replanner replanner) {
        this.store = store;
        this.replanner = replanner;
    }

    /** Plans a window; an equivalent request returns the windows that exist already. */
    Reply propose(WindowRequest request, long now) {
        if (store.plan() == null) {
            return new Rejection("no-plan", "nothing is agreed about the fleet yet", 0);
        }
        String error = WindowRequestValidator.validationError(request, store.plan());
        if (error != null) {
            return new Rejection("bad-wish", error, 0);
        }
        List<Window> equivalent =
                openWindows().stream()
                        .filter(window -> window.wish().isEquivalentTo(request))
                        .toList();
        if (!equivalent.isEmpty()) {
            return new WindowReplies.Planned(equivalent, true);
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
        List<Window> created = new ArrayList<>();
        Rejection rejection = add(request, now, created);
        return rejection != null ? rejection : new WindowReplies.Planned(created, false);
    }

    private List<Window> openWindows() {
        return store.inState(state -> state.isWaiting() || state.isInProgress());
    }

    /** A node cannot be in two windows unless the request names the other one in 'after'. */
    private static boolean hasSharedNodes(Window window, WindowRequest request) {
        return window.wish().region().equals(request.region())
                && window.wish().nodes().stream().anyMatch(request.nodes()::contains)
                && !request.after().contains(window.id());
    }

    /**
     * Plans the request as one window, or in halves if it may be split. Otherwise returns a
     * rejection with the reason and the time from which the request would fit.
     */
    private Rejection add(WindowRequest request, long now, List<Window> created) {
        Window window = unplanned(store.nextId(), request, capacity(request), now, "proposed");
        Window placed = place(window, now);
        if (placed.state() == State.PLANNED) {
            store.add(placed);
            created.add(placed);
            if (request.emergency()) {
                replanner.reconcile(now); // moves the displaced windows and records why
            }
            return null;
        }
        if (request.split() && request.nodes().size() > 1) {
            return addInHalves(request, now, created);
        }
        return rejection(window, placed, now);
    }

    /**
     * Finds a start for one window; an emergency ignores other planned windows unless they are
     * emergencies too.
     */
    private Window place(Window window, long now) {
        List<Window> planned = store.inState(s -> s == State.PLANNED);
        List<Window> counted =
                window.wish().emergency()
                        ? planned.stream().filter(w -> w.wish().emergency()).toList()
                        : planned;
        Planner planner = store.planner(now);
        CapacityTable table = tableWith(planner, counted, window, now);
        Map<Long, Window> windowsById = new LinkedHashMap<>();
        store.all().forEach(w -> windowsById.put(w.id(), w));
        return planner.place(table, window, windowsById);
    }

    /** Plans both halves, or restores the earlier state and returns the rejection. */
    private Rejection addInHalves(WindowRequest request, long now, List<Window> created) {
        List<Window> before = store.all();
        List<String> nodes = request.nodes();
        int half = (nodes.size() + 1) / 2;
        Rejection rejection = add(request.withNodes(nodes.subList(0, half)), now, created);
        if (rejection == null) {
            rejection = add(request.withNodes(nodes.subList(half, nodes.size())), now, created);
        }
        if (rejection != null) {
            store.restore(before);
            created.clear();
        }
        return rejection;
    }

    private Rejection rejection(Window window, Window placed, long now) {
        WindowRequest request = window.wish().withMoreTime(LOOK_AHEAD_MS);
        Window extended = unplanned(window.id(), request, window.capacity(), now, "");
        List<Window> planned = store.inState(s -> s == State.PLANNED);
        CapacityTable table = tableWith(store.planner(now), planned, extended, now);
        CapacityTable.Fit fit = table.firstFit(extended, now, now);
        if (fit.begin() < 0) {
            String why = placed.why() + "; nor would it do within two weeks more";
            return new Rejection("no-room", why, 0);
        }
        String why = placed.why() + "; it would do from " + fit.begin();
        return new Rejection("no-room", why, Math.max(1, fit.begin() - now));
    }

    /** Returns a table that reaches to the latest end of the window and counts the others. */
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

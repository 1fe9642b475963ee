package saltstage.coordinator.window;

import java.util.List;
import saltstage.coordinator.model.Rejection;
import saltstage.coordinator.model.Reply;
import saltstage.coordinator.window.Window.State;
import saltstage.coordinator.window.WindowCommands.Step;

/** Advances a window from its start to its end, as the agent of its region reports. */
final class WindowProgress {
    private final WindowStore store;
    private final Replanner replanner;

    WindowProgress(WindowStore store, Replanner replanner) {
        this.store = store;
        this.replanner = replanner;
    }

    /** Lets a drain begin if it may; called for the agent that holds the lease of the region. */
    Reply begin(long id, long now) {
        Window window = store.find(id);
        if (window == null) {
            return unknownWindow(id);
        }
        if (window.state().isInProgress()) { // the reply was lost, or the agent is a successor
            return new WindowReplies.Now(window);
        }
        if (window.state() != State.PLANNED) {
            String why = "window " + id + " is " + window.state() + ": " + window.why();
            return new Rejection("not-planned", why, 0);
        }
        if (window.start() > now) {
            return new Rejection("early", "window " + id + " begins later", window.start() - now);
        }
        String obstacle = obstacle(window, now);
        if (obstacle != null) {
            store.put(window.withSchedule(0, State.PUT_OFF, now, obstacle));
            replanner.reconcile(now);
            return new Rejection("not-now", obstacle, store.plan().slotMs());
        }
        store.put(window.beginDrain(now));
        return new WindowReplies.Now(store.find(id));
    }

    /** Why a planned window may not begin, given the actual losses, or null if it may. */
    private String obstacle(Window window, long now) {
        CapacityTable table = store.planner(now).table(List.of(window));
        CapacityTable.Conflict conflict = table.conflict(window, now, now);
        if (conflict != null) {
            return conflict.why();
        }
        boolean inOrder = window.wish().after().stream().allMatch(this::isForgottenOrDone);
        if (!inOrder) {
            return "a window that must be over before is not";
        }
        boolean noneExclusive =
                store.inState(State::isInProgress).stream()
                        .noneMatch(other -> areExclusive(other, window));
        return noneExclusive ? null : "another of its kind is under way";
    }

    private boolean isForgottenOrDone(long id) {
        Window window = store.find(id);
        return window == null || window.state() == State.DONE;
    }

    private static boolean areExclusive(Window one, Window other) {
        return one.wish().apart().stream().anyMatch(other.wish().apart()::contains);
    }

    /** Applies a step that was reported by the agent that holds the lease of the region. */
    Reply report(long id, Step step, long proven, long now) {
        Window window = store.find(id);
        if (window == null) {
            return unknownWindow(id);
        }
        Window next = windowAfterStep(step, window, proven, now);
        if (next == null) {
            return new Rejection("not-so", invalidStepMessage(step, window), 0);
        }
        store.put(next);
        if (step == Step.DONE && next != window) {
            replanner.reconcile(now);
        }
        return new WindowReplies.Now(store.find(id));
    }

    private static Rejection unknownWindow(long id) {
        return new Rejection("no-window", "no window " + id, 0);
    }

    private static String invalidStepMessage(Step step, Window window) {
        return "window "
                + window.id()
                + " is "
                + window.state()
                + ", proven "
                + window.proven()
                + " of "
                + window.capacity()
                + "; "
                + step
                + " does not follow";
    }

    /**
     * Returns the window after a step: the same window if the step was taken before, or null if the
     * step does not follow from the present state.
     */
    private Window windowAfterStep(Step step, Window window, long proven, long now) {
        State state = window.state();
        return switch (step) {
            case OUT ->
                    state == State.DRAINING
                            ? window.withState(State.OUT, now, "its connections have left")
                            : state == State.OUT || state == State.WARMING ? window : null;
            case WARMING ->
                    state == State.OUT
                            ? window.withState(State.WARMING, now, "back, cold")
                            : state == State.WARMING ? window : null;
            case PROVEN ->
                    state == State.WARMING || state == State.RETURNING
                            ? window.withProvenCapacity(Math.min(proven, window.capacity()))
                            : null;
            case DONE -> state == State.DONE ? window : windowAfterDone(window, now);
        };
    }

    private Window windowAfterDone(Window window, long now) {
        if (window.proven() < window.capacity()) {
            return null;
        }
        return switch (window.state()) {
            case WARMING -> window.withState(State.DONE, now, "done and proven");
            case RETURNING -> windowAfterReturn(window, now);
            default -> null;
        };
    }

    /** Ends an aborted drain: the window is planned anew, unless it was withdrawn. */
    private Window windowAfterReturn(Window window, long now) {
        boolean withdrawn = store.withdrawnDrains().remove(window.id());
        State state = withdrawn ? State.WITHDRAWN : State.PUT_OFF;
        String why = withdrawn ? window.why() : "given back; planned anew";
        return new Window(window.id(), window.wish(), state, window.capacity(), 0, 0, now, 0, why);
    }
}

package saltstage.coordinator.replica;

import java.util.ArrayList;
import java.util.List;

/** Listeners for the next change of the group's state; each is called once and then removed. */
final class ChangeListeners {
    private static final int MAX_LISTENERS = 20_000;

    private final List<Runnable> listeners = new ArrayList<>();

    /** Adds a listener; returns false if {@link #MAX_LISTENERS} are registered already. */
    synchronized boolean add(Runnable listener) {
        return listeners.size() < MAX_LISTENERS && listeners.add(listener);
    }

    /** Calls all listeners on the caller's thread and removes them. */
    synchronized void notifyListeners() {
        if (listeners.isEmpty()) {
            return;
        }
        List<Runnable> current = List.copyOf(listeners);
        listeners.clear();
        current.forEach(Runnable::run);
    }
}

package saltstage.coordinator.replica;

import java.util.ArrayList;
import java.util.List;

/** Listeners that are told once of the next change of the state, and then forgotten. */
final class ChangeListeners {
    private static final int MAX_LISTENERS = 20_000;

    private final List<Runnable> listeners = new ArrayList<>();

    /** Adds a listener; false where there are too many. */
    synchronized boolean add(Runnable listener) {
        return listeners.size() < MAX_LISTENERS && listeners.add(listener);
    }

    /** Tells all of them, on the caller's thread. */
    synchronized void notifyListeners() {
        if (listeners.isEmpty()) {
            return;
        }
        List<Runnable> told = List.copyOf(listeners);
        listeners.clear();
        told.forEach(Runnable::run);
    }
}

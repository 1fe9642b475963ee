package saltstage.coordinator.window;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Predicate;
import saltstage.coordinator.window.Window.State;

/** The plan, the windows and the outages of a group: all that a snapshot keeps of windows. */
final class WindowStore {
    private FleetPlan plan;
    private long lastId;
    private final Map<Long, Window> windows = new TreeMap<>();
    private final Map<String, Long> outages = new TreeMap<>();
    private final Set<Long> withdrawnDrains = new TreeSet<>();
    private long advancedTo;

    WindowStore(Windows.Image image) {
        plan = image.plan();
        lastId = image.ids();
        image.windows().forEach(this::put);
        outages.putAll(image.outages());
        withdrawnDrains.addAll(image.unwanted());
        advancedTo = image.looked();
    }

    Windows.Image image() {
        return new Windows.Image(
                plan,
                lastId,
                all(),
                new TreeMap<>(outages),
                new TreeSet<>(withdrawnDrains),
                advancedTo);
    }

    /** The agreed plan, or null. */
    FleetPlan plan() {
        return plan;
    }

    void setPlan(FleetPlan next) {
        plan = next;
    }

    /** All windows by number; a copy. */
    List<Window> all() {
        return List.copyOf(windows.values());
    }

    /** The window of this number, or null. */
    Window find(long id) {
        return windows.get(id);
    }

    void put(Window window) {
        windows.put(window.id(), window);
    }

    void remove(long id) {
        windows.remove(id);
    }

    /** Puts all windows back to what {@link #all} gave before. */
    void restore(Collection<Window> before) {
        windows.clear();
        before.forEach(this::put);
    }

    /** The windows in one of these states, by number. */
    List<Window> inState(Predicate<State> states) {
        return windows.values().stream().filter(w -> states.test(w.state())).toList();
    }

    /** The number that the next window gets. */
    long nextId() {
        return lastId + 1;
    }

    /** Keeps a new window under the next number. */
    void add(Window window) {
        lastId++;
        put(window);
    }

    /** What is missing outside any window, by region. */
    Map<String, Long> outages() {
        return outages;
    }

    /** Windows that were withdrawn while they drained, until their nodes are back. */
    Set<Long> withdrawnDrains() {
        return withdrawnDrains;
    }

    /** The moment up to which the passing of time was considered. */
    long advancedTo() {
        return advancedTo;
    }

    void setAdvancedTo(long now) {
        advancedTo = now;
    }

    /** A planner that counts what is missing now as missing. */
    Planner planner(long now) {
        return new Planner(plan, now, inState(State::isInProgress), outages);
    }
}

package saltstage.coordinator.window;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Predicate;
import saltstage.coordinator.window.Window.State;

/** Holds the plan, the windows and the outages of a group, as far as a snapshot contains them. */
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

    void setPlan(FleetPlan newPlan) {
        plan = newPlan;
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

    /** Replaces all windows by an earlier result of {@link #all}. */
    void restore(Collection<Window> earlierWindows) {
        windows.clear();
        earlierWindows.forEach(this::put);
    }

    /** The windows whose state matches, by number. */
    List<Window> inState(Predicate<State> states) {
        return windows.values().stream().filter(w -> states.test(w.state())).toList();
    }

    /** The number that the next window gets. */
    long nextId() {
        return lastId + 1;
    }

    /** Adds a new window, which must have the next number. */
    void add(Window window) {
        lastId++;
        put(window);
    }

    /** The capacity that is missing outside any window, by region. */
    Map<String, Long> outages() {
        return outages;
    }

    /** The numbers of windows withdrawn during their drain whose nodes are not back yet. */
    Set<Long> withdrawnDrains() {
        return withdrawnDrains;
    }

    /** The time up to which the effects of passing time have been applied. */
    long advancedTo() {
        return advancedTo;
    }

    void setAdvancedTo(long now) {
        advancedTo = now;
    }

    /** Returns a planner that counts the windows in progress and the outages. */
    Planner planner(long now) {
        return new Planner(plan, now, inState(State::isInProgress), outages);
    }
}

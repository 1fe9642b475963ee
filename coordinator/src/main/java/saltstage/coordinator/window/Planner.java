package saltstage.coordinator.window;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Finds begins for the windows that wait. Few are tried in every order; many go by urgency and are
 * then improved within a bound: whoever is late is put before who keeps it out, as long as the
 * whole gets shorter.
 */
final class Planner {
    /** Up to so many, each order is tried: 120 of them. */
    private static final int EXACT = 5;

    private static final int TRIES = 24;
    private static final long HORIZON_MS = 35L * 86_400_000;

    private final FleetPlan plan;
    private final long now;
    private final Collection<Window> fixed;
    private final Map<String, Long> outages;

    /**
     * A plan: where each window goes, and what it costs; fewer put off first, then the sum of the
     * ends.
     */
    record Placed(Map<Long, Window> windows, int unplaced, long ends) {
        boolean betterThan(Placed other) {
            return unplaced != other.unplaced ? unplaced < other.unplaced : ends < other.ends;
        }
    }

    Planner(FleetPlan plan, long now, Collection<Window> fixed, Map<String, Long> outages) {
        this.plan = plan;
        this.now = now;
        this.fixed = fixed;
        this.outages = outages;
    }

    /** The table with what is fixed. */
    CapacityTable table(Collection<Window> waiting) {
        long until = now + plan.slotMs();
        for (Window window : waiting) {
            until = Math.max(until, window.wish().latest());
        }
        for (Window window : fixed) {
            until = Math.max(until, window.plannedEnd());
        }
        CapacityTable table = new CapacityTable(plan, now, Math.min(until, now + HORIZON_MS));
        outages.forEach(table::outage);
        fixed.forEach(window -> table.add(window, now, 1));
        return table;
    }

    /** Places all of them. */
    Placed place(Collection<Window> waiting) {
        List<Window> order = new ArrayList<>(waiting);
        order.sort(
                Comparator.comparing((Window w) -> !w.wish().emergency())
                        .thenComparing(w -> -w.wish().priority())
                        .thenComparing(w -> w.wish().latest())
                        .thenComparing(w -> -w.capacity() * w.wish().durationMs())
                        .thenComparing(Window::id));
        Placed best = inOrder(order);
        if (order.size() <= EXACT) {
            for (List<Window> other : permutations(order)) {
                Placed placed = inOrder(other);
                best = placed.betterThan(best) ? placed : best;
            }
            return best;
        }
        for (int tried = 0; tried < TRIES && best.unplaced() > 0; tried++) {
            List<Window> other = new ArrayList<>(order);
            Window late = null;
            for (Window window : order) {
                if (best.windows().get(window.id()).state() == Window.State.PUT_OFF) {
                    late = window;
                    break;
                }
            }
            other.remove(late);
            other.add(0, late);
            Placed placed = inOrder(other);
            if (!placed.betterThan(best)) {
                break;
            }
            best = placed;
            order = other;
        }
        return best;
    }

    private static List<List<Window>> permutations(List<Window> of) {
        if (of.size() < 2) {
            return List.of(of);
        }
        List<List<Window>> all = new ArrayList<>();
        for (int i = 0; i < of.size(); i++) {
            List<Window> rest = new ArrayList<>(of);
            Window first = rest.remove(i);
            for (List<Window> tail : permutations(rest)) {
                List<Window> one = new ArrayList<>(List.of(first));
                one.addAll(tail);
                all.add(one);
            }
        }
        return all;
    }

    private Placed inOrder(List<Window> order) {
        CapacityTable table = table(order);
        Map<Long, Window> known = new HashMap<>();
        fixed.forEach(window -> known.put(window.id(), window));
        Map<Long, Window> placed = new HashMap<>();
        List<Window> left = new ArrayList<>(order);
        int unplaced = 0;
        long ends = 0;
        while (!left.isEmpty()) {
            Window next =
                    left.stream()
                            .filter(
                                    w ->
                                            left.stream()
                                                    .noneMatch(
                                                            other ->
                                                                    w.wish()
                                                                            .after()
                                                                            .contains(other.id())))
                            .findFirst()
                            .orElse(left.get(0));
            left.remove(next);
            Window now1 = one(table, next, known, placed);
            placed.put(now1.id(), now1);
            known.put(now1.id(), now1);
            if (now1.state() == Window.State.PLANNED) {
                table.add(now1, now, 1);
                ends += now1.plannedEnd() - now;
            } else {
                unplaced++;
            }
        }
        return new Placed(placed, unplaced, ends);
    }

    /**
     * Places one into the table, after those that it must come after and apart from those it must
     * be.
     */
    Window one(
            CapacityTable table, Window window, Map<Long, Window> known, Map<Long, Window> placed) {
        long notBefore = now;
        for (Long before : window.wish().after()) {
            Window first = known.get(before);
            if (first == null || first.state() == Window.State.DONE) {
                continue;
            }
            if (first.state() != Window.State.PLANNED && !first.state().takesCapacity()) {
                return window.at(
                        0, Window.State.PUT_OFF, now, "window " + before + " must be over before");
            }
            notBefore = Math.max(notBefore, first.plannedEnd());
        }
        while (true) {
            CapacityTable.Fit found = table.firstFit(window, notBefore, now);
            if (found.begin() < 0) {
                return window.at(0, Window.State.PUT_OFF, now, found.why());
            }
            Window there = window.at(found.begin(), Window.State.PLANNED, now, found.why());
            Window with = together(there, known);
            if (with == null) {
                return there;
            }
            if (with.overdue(now)) {
                return window.at(
                        0, Window.State.PUT_OFF, now, "never together with window " + with.id());
            }
            notBefore = with.plannedEnd();
        }
    }

    private static Window together(Window window, Map<Long, Window> known) {
        if (window.wish().apart().isEmpty()) {
            return null;
        }
        for (Window other : known.values()) {
            boolean counts = other.state() == Window.State.PLANNED || other.state().takesCapacity();
            long begin = other.begun() > 0 ? other.begun() : other.start();
            if (counts
                    && other.id() != window.id()
                    && other.wish().apart().stream().anyMatch(window.wish().apart()::contains)
                    && begin < window.plannedEnd()
                    && window.start() < other.plannedEnd()) {
                return other;
            }
        }
        return null;
    }
}

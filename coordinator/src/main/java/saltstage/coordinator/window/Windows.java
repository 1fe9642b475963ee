package saltstage.coordinator.window;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import saltstage.coordinator.model.Done;
import saltstage.coordinator.model.Refused;
import saltstage.coordinator.model.Reply;
import saltstage.coordinator.window.Window.State;
import saltstage.coordinator.window.WindowCommands.Step;

/**
 * All windows of a group and the rules that they keep: at every moment what is planned to be
 * missing and what is missing together leave every floor. Capacity counts as out from the moment at
 * which a drain may begin until its return is proven, whatever becomes of its agent. Free of I/O,
 * threads and clocks.
 */
public final class Windows {
    private static final int MAX_WAITING = 5_000;
    private static final int MAX_OVER = 500;
    private static final int MAX_PARTS = 1_000;

    /** In the year 2100: sums of times stay far from where they would overflow. */
    static final long LAST_DAY = 4_102_444_800_000L;

    /** What a snapshot keeps. */
    public record Image(
            FleetPlan plan,
            long ids,
            List<Window> windows,
            Map<String, Long> outages,
            Set<Long> unwanted,
            long looked) {}

    /** A floor at a moment: what is there at least, what must be, what is missing. */
    public record Level(String floor, long at, long capacity, long need, long missing) {}

    private FleetPlan plan;
    private long ids;
    private final Map<Long, Window> windows = new TreeMap<>();
    private final Map<String, Long> outages = new TreeMap<>();
    private final Set<Long> unwanted = new TreeSet<>();
    private long looked;

    /** Nothing is agreed or planned. */
    public Windows() {
        this(new Image(null, 0, List.of(), Map.of(), Set.of(), 0));
    }

    /** As a snapshot has it. */
    public Windows(Image image) {
        plan = image.plan();
        ids = image.ids();
        image.windows().forEach(window -> windows.put(window.id(), window));
        outages.putAll(image.outages());
        unwanted.addAll(image.unwanted());
        looked = image.looked();
    }

    /** What a snapshot keeps. */
    public Image image() {
        return new Image(
                plan,
                ids,
                List.copyOf(windows.values()),
                new TreeMap<>(outages),
                new TreeSet<>(unwanted),
                looked);
    }

    /** What was agreed, or null. */
    public FleetPlan plan() {
        return plan;
    }

    /** All of them, by number. */
    public List<Window> all() {
        return List.copyOf(windows.values());
    }

    /** One of them, or null. */
    public Window find(long id) {
        return windows.get(id);
    }

    /** Whether any may still change by itself. */
    public boolean alive() {
        return windows.values().stream()
                .anyMatch(w -> w.state().waits() || w.state().takesCapacity());
    }

    // ---- time

    /** Looks, once a slot, at what time alone has changed. */
    public void advance(long now) {
        if (plan == null || now / plan.slotMs() == looked / plan.slotMs() || !alive()) {
            return;
        }
        long before = looked;
        looked = now;
        boolean changed = false;
        for (Window window : List.copyOf(windows.values())) {
            if (window.state().waits()
                    && now + window.wish().durationMs() > window.wish().latest()) {
                windows.put(
                        window.id(),
                        window.to(State.EXPIRED, now, "its time ran out: " + window.why()));
                changed = true;
            } else if (window.overdue(now) && !window.overdue(before)) {
                changed = true; // what it holds is missing until it says otherwise
            } else if (window.state() == State.PLANNED
                    && window.start() < now - 2 * plan.slotMs()) {
                changed = true; // nobody has begun it: its agent is gone, or was refused
            }
        }
        if (changed) {
            settle(now);
        }
    }

    /** Everything that follows from a change: floors first, then the plan of what waits. */
    private void settle(long now) {
        turnBack(now);
        replan(now);
        forgetOld();
    }

    private void forgetOld() {
        List<Window> over =
                windows.values().stream()
                        .filter(w -> !w.state().waits() && !w.state().takesCapacity())
                        .sorted(Comparator.comparingLong(Window::since))
                        .toList();
        for (int i = 0; i < over.size() - MAX_OVER; i++) {
            windows.remove(over.get(i).id());
        }
    }

    private List<Window> in(java.util.function.Predicate<State> states) {
        return windows.values().stream().filter(w -> states.test(w.state())).toList();
    }

    /**
     * While a floor is short, drains that have not become outages are given back, the least wanted
     * first.
     */
    private void turnBack(long now) {
        for (FleetPlan.Floor floor : plan.floors()) {
            while (true) {
                CapacityTable table =
                        new Planner(plan, now, in(State::takesCapacity), outages).table(List.of());
                long room =
                        table.roomNow(floor.name())
                                + in(s -> s == State.RETURNING).stream()
                                        .filter(
                                                w ->
                                                        floor.regions()
                                                                .contains(
                                                                        w.wish().region())) // what
                                        // is on
                                        // its
                                        // way
                                        // back
                                        // already
                                        .mapToLong(w -> w.lossAt(now, now, plan.coldPermille()))
                                        .sum();
                Window least =
                        windows.values().stream()
                                .filter(
                                        w ->
                                                w.state() == State.DRAINING
                                                        && floor.regions()
                                                                .contains(w.wish().region()))
                                .min(
                                        Comparator.comparing((Window w) -> w.wish().emergency())
                                                .thenComparing(w -> w.wish().priority())
                                                .thenComparing(w -> -w.begun())
                                                .thenComparing(w -> -w.id()))
                                .orElse(null);
                if (room >= 0 || least == null) {
                    break;
                }
                windows.put(
                        least.id(),
                        least.to(
                                State.RETURNING,
                                now,
                                "turned back: floor " + floor.name() + " is short by " + -room));
            }
        }
    }

    /**
     * Keeps every plan that still holds; moves, and says so, only what cannot stay where it was.
     */
    private void replan(long now) {
        Planner planner = new Planner(plan, now, in(State::takesCapacity), outages);
        List<Window> waiting = in(s -> s == State.PLANNED || s == State.PUT_OFF);
        CapacityTable table = planner.table(waiting);
        Map<Long, Window> known = new LinkedHashMap<>();
        in(s -> !s.waits()).forEach(w -> known.put(w.id(), w));
        List<Window> order = new ArrayList<>(waiting);
        order.sort(
                Comparator.comparing((Window w) -> !w.wish().emergency())
                        .thenComparing(w -> w.state() != State.PLANNED)
                        .thenComparing(w -> -w.wish().priority())
                        .thenComparing(Window::id));
        List<Window> homeless = new ArrayList<>();
        for (Window window : order) {
            boolean stays =
                    window.state() == State.PLANNED
                            && window.start() >= now - 2 * plan.slotMs()
                            && window.wish().after().stream()
                                    .allMatch(id -> over(id, window.start(), known))
                            && table.block(window, Math.max(now, window.start()), now) == null;
            if (stays) {
                table.add(window, now, 1);
                known.put(window.id(), window);
            } else {
                homeless.add(window);
            }
        }
        for (Window window : homeless) {
            place(planner, table, known, window, now);
        }
    }

    private boolean over(long id, long by, Map<Long, Window> known) {
        Window first = known.get(id);
        return first != null
                && (first.state() == State.DONE
                        || first.plannedEnd() <= by
                                && (first.state() == State.PLANNED
                                        || first.state().takesCapacity()));
    }

    private Window place(
            Planner planner,
            CapacityTable table,
            Map<Long, Window> known,
            Window window,
            long now) {
        Window placed = planner.one(table, window, known, known);
        if (window.state() == State.PLANNED && placed.start() != window.start()) {
            placed =
                    placed.to(
                            placed.state(),
                            now,
                            "moved from " + window.start() + ": " + placed.why());
        }
        windows.put(placed.id(), placed);
        known.put(placed.id(), placed);
        if (placed.state() == State.PLANNED) {
            table.add(placed, now, 1);
        }
        return placed;
    }

    // ---- commands

    private static Refused no(String code, String why) {
        return new Refused(code, why, 0);
    }

    /** Agrees about the fleet; what no longer fits is put off. */
    public Reply set(FleetPlan next, long now) {
        String fault = next == null ? "no plan" : next.fault();
        if (fault != null) {
            return no("bad-plan", fault);
        }
        for (Window window : in(State::takesCapacity)) {
            FleetPlan.Region region = next.region(window.wish().region());
            if (region == null
                    || !region.nodes().stream()
                            .map(FleetPlan.Node::id)
                            .toList()
                            .containsAll(window.wish().nodes())) {
                return no(
                        "in-use",
                        "window " + window.id() + " has nodes out that the plan does not name");
            }
        }
        plan = next;
        for (Window window : in(State::waits)) {
            if (fault(window.wish()) != null) {
                windows.put(
                        window.id(),
                        window.to(State.WITHDRAWN, now, "the new plan has no such nodes"));
            }
        }
        settle(now);
        return new Done("agreed");
    }

    private String fault(WindowRequest wish) {
        FleetPlan.Region region = plan.region(wish.region());
        if (region == null) {
            return "no region " + wish.region();
        }
        Set<String> there = new TreeSet<>(region.nodes().stream().map(FleetPlan.Node::id).toList());
        if (wish.nodes().size() > MAX_PARTS
                || wish.after().size() > MAX_PARTS
                || wish.apart().size() > MAX_PARTS
                || wish.earliest() < 0
                || wish.latest() > LAST_DAY) {
            return "a window names up to " + MAX_PARTS + " of each, and ends by " + LAST_DAY;
        }
        if (wish.nodes().isEmpty()
                || !there.containsAll(wish.nodes())
                || new HashSet<>(wish.nodes()).size() < wish.nodes().size()) {
            return "a window takes nodes of its region, each once; "
                    + wish.region()
                    + " has "
                    + there;
        }
        long most = 7L * 86_400_000;
        if (wish.drainMs() < 0
                || wish.drainMs() > most
                || wish.workMs() < 0
                || wish.workMs() > most
                || wish.warmMs() < 0
                || wish.warmMs() > most
                || wish.durationMs() < 1
                || wish.durationMs() > most) {
            return "a window lasts up to seven days, and no part of it is negative";
        }
        if (wish.by() == null
                || wish.by().isBlank()
                || wish.purpose() == null
                || wish.purpose().isBlank()) {
            return "who asks, and what for, must be said";
        }
        return wish.latest() - wish.earliest() < wish.durationMs()
                ? "it is longer than the time given"
                : null;
    }

    private long capacity(WindowRequest wish) {
        return plan.region(wish.region()).nodes().stream()
                .filter(n -> wish.nodes().contains(n.id()))
                .mapToLong(FleetPlan.Node::capacity)
                .sum();
    }

    /** Wants a window; the same wish again is the same window. */
    public Reply propose(WindowRequest wish, long now) {
        if (plan == null) {
            return no("no-plan", "nothing is agreed about the fleet yet");
        }
        String fault = fault(wish);
        if (fault != null) {
            return no("bad-wish", fault);
        }
        List<Window> same =
                windows.values().stream()
                        .filter(
                                w ->
                                        w.wish().sameAs(wish)
                                                && (w.state().waits() || w.state().takesCapacity()))
                        .toList();
        if (!same.isEmpty()) {
            return new WindowReplies.Planned(same, true);
        }
        if (in(State::waits).size() >= MAX_WAITING) {
            return no("too-many", MAX_WAITING + " windows wait already");
        }
        for (Window window : windows.values()) {
            // One node cannot be in two windows at once; one after the other is asked for by
            // 'after'.
            if ((window.state().waits() || window.state().takesCapacity())
                    && window.wish().region().equals(wish.region())
                    && window.wish().nodes().stream().anyMatch(wish.nodes()::contains)
                    && !wish.after().contains(window.id())) {
                return no(
                        "taken",
                        "window " + window.id() + " has some of these nodes; name it in 'after'");
            }
        }
        List<Window> made = new ArrayList<>();
        Refused refused = add(wish, now, made);
        return refused != null ? refused : new WindowReplies.Planned(made, false);
    }

    /**
     * Plans it whole, else in halves where it may be split, else says why not and when it would do.
     */
    private Refused add(WindowRequest wish, long now, List<Window> made) {
        Planner planner = new Planner(plan, now, in(State::takesCapacity), outages);
        Window window =
                new Window(ids + 1, wish, State.PUT_OFF, capacity(wish), 0, 0, now, 0, "proposed");
        List<Window> planned = in(s -> s == State.PLANNED);
        List<Window> counted =
                wish.emergency()
                        ? planned.stream().filter(w -> w.wish().emergency()).toList()
                        : planned;
        List<Window> waiting = new ArrayList<>(counted);
        waiting.add(window);
        CapacityTable table = planner.table(waiting);
        counted.forEach(w -> table.add(w, now, 1));
        Map<Long, Window> known = new LinkedHashMap<>();
        windows.values().forEach(w -> known.put(w.id(), w));
        Window placed = planner.one(table, window, known, known);
        if (placed.state() == State.PLANNED) {
            ids++;
            windows.put(placed.id(), placed);
            made.add(placed);
            if (wish.emergency()) {
                settle(now); // whoever it displaced is moved, and told so
            }
            return null;
        }
        if (wish.split() && wish.nodes().size() > 1) {
            Map<Long, Window> before = new LinkedHashMap<>(windows);
            int half = (wish.nodes().size() + 1) / 2;
            Refused first = add(wish.of(wish.nodes().subList(0, half)), now, made);
            Refused second =
                    first != null
                            ? first
                            : add(
                                    wish.of(wish.nodes().subList(half, wish.nodes().size())),
                                    now,
                                    made);
            if (second != null) { // all of it or nothing
                windows.clear();
                windows.putAll(before);
                made.clear();
            }
            return second;
        }
        return refusal(planner, window, placed, now);
    }

    private Refused refusal(Planner planner, Window window, Window placed, long now) {
        WindowRequest later = window.wish();
        WindowRequest open =
                new WindowRequest(
                        later.region(),
                        later.nodes(),
                        later.drainMs(),
                        later.workMs(),
                        later.warmMs(),
                        later.earliest(),
                        later.latest() + 14L * 86_400_000,
                        later.priority(),
                        later.emergency(),
                        false,
                        later.after(),
                        later.apart(),
                        later.by(),
                        later.purpose());
        Window longer =
                new Window(window.id(), open, State.PUT_OFF, window.capacity(), 0, 0, now, 0, "");
        List<Window> waiting = new ArrayList<>(in(s -> s == State.PLANNED));
        waiting.add(longer);
        CapacityTable table = planner.table(waiting);
        in(s -> s == State.PLANNED).forEach(w -> table.add(w, now, 1));
        CapacityTable.Fit found = table.firstFit(longer, now, now);
        return new Refused(
                "no-room",
                placed.why()
                        + (found.begin() < 0
                                ? "; nor would it do within two weeks more"
                                : "; it would do from " + found.begin()),
                found.begin() < 0 ? 0 : Math.max(1, found.begin() - now));
    }

    /** Wants it no more. */
    public Reply withdraw(long id, String by, long now) {
        Window window = windows.get(id);
        if (window == null) {
            return no("no-window", "no window " + id);
        }
        if (window.state().waits()) {
            window = window.to(State.WITHDRAWN, now, "withdrawn by " + by);
            windows.put(id, window);
            settle(now);
        } else if (window.state() == State.DRAINING) {
            unwanted.add(id); // it counts as out until its return is proven
            window = window.to(State.RETURNING, now, "withdrawn by " + by);
            windows.put(id, window);
        } else if (window.state() == State.OUT || window.state() == State.WARMING) {
            return no("too-late", "its work has begun; it ends by being done");
        }
        return new WindowReplies.Now(window);
    }

    /** Holds it back, or lets it go on; a drain that has begun is not held. */
    public Reply pause(long id, boolean on, String by, long now) {
        Window window = windows.get(id);
        if (window == null || !window.state().waits()) {
            return no("no-window", "no window " + id + " that waits");
        }
        windows.put(
                id,
                window.at(
                        0,
                        on ? State.PAUSED : State.PUT_OFF,
                        now,
                        (on ? "held back by " : "let go on by ") + by));
        settle(now);
        return new WindowReplies.Now(windows.get(id));
    }

    /** May its drain begin? Asked by the agent that holds its region's lease. */
    public Reply begin(long id, long now) {
        Window window = windows.get(id);
        if (window == null) {
            return no("no-window", "no window " + id);
        }
        if (window.state().takesCapacity()) {
            return new WindowReplies.Now(
                    window); // the answer was lost, or the agent is a successor
        }
        if (window.state() != State.PLANNED) {
            return no(
                    "not-planned", "window " + id + " is " + window.state() + ": " + window.why());
        }
        if (window.start() > now) {
            return new Refused("early", "window " + id + " begins later", window.start() - now);
        }
        CapacityTable table =
                new Planner(plan, now, in(State::takesCapacity), outages).table(List.of(window));
        CapacityTable.Conflict block = table.block(window, now, now);
        boolean inOrder =
                window.wish().after().stream()
                        .allMatch(
                                before ->
                                        windows.get(before) == null
                                                || windows.get(before).state() == State.DONE);
        boolean alone =
                in(State::takesCapacity).stream()
                        .noneMatch(
                                other ->
                                        other.wish().apart().stream()
                                                .anyMatch(window.wish().apart()::contains));
        if (block != null || !inOrder || !alone) {
            String why =
                    block != null
                            ? block.why()
                            : inOrder
                                    ? "another of its kind is under way"
                                    : "a window that must be over before is not";
            windows.put(id, window.at(0, State.PUT_OFF, now, why));
            settle(now);
            return new Refused("not-now", why, plan.slotMs());
        }
        windows.put(id, window.begin(now));
        return new WindowReplies.Now(windows.get(id));
    }

    /** A step of the agent that holds its region's lease. */
    public Reply report(long id, Step step, long proven, long now) {
        Window window = windows.get(id);
        if (window == null) {
            return no("no-window", "no window " + id);
        }
        Window next = after(step, window, proven, now);
        if (next == null) {
            return no(
                    "not-so",
                    "window "
                            + id
                            + " is "
                            + window.state()
                            + ", proven "
                            + window.proven()
                            + " of "
                            + window.capacity()
                            + "; "
                            + step
                            + " does not follow");
        }
        windows.put(id, next);
        if (step == Step.DONE && next != window) {
            settle(now);
        }
        return new WindowReplies.Now(windows.get(id));
    }

    /**
     * The window after a step, the same where the step was taken before; null: the step does not
     * follow.
     */
    private Window after(Step step, Window window, long proven, long now) {
        State state = window.state();
        return switch (step) {
            case OUT ->
                    state == State.DRAINING
                            ? window.to(State.OUT, now, "its connections have left")
                            : state == State.OUT || state == State.WARMING ? window : null;
            case WARMING ->
                    state == State.OUT
                            ? window.to(State.WARMING, now, "back, cold")
                            : state == State.WARMING ? window : null;
            case PROVEN ->
                    state == State.WARMING || state == State.RETURNING
                            ? window.proven(Math.min(proven, window.capacity()))
                            : null;
            case DONE -> state == State.DONE ? window : done(window, now);
        };
    }

    private Window done(Window window, long now) {
        if (window.proven() < window.capacity()) {
            return null;
        }
        return switch (window.state()) {
            case WARMING -> window.to(State.DONE, now, "done and proven");
            case RETURNING -> returned(window, now);
            default -> null;
        };
    }

    private Window returned(Window window, long now) {
        boolean gone = unwanted.remove(window.id());
        return new Window(
                window.id(),
                window.wish(),
                gone ? State.WITHDRAWN : State.PUT_OFF,
                window.capacity(),
                0,
                0,
                now,
                0,
                gone ? window.why() : "given back; planned anew");
    }

    /** Something is missing outside any window, or is back. */
    public Reply outage(String region, long lost, long now) {
        if (plan == null
                || plan.region(region) == null
                || lost < 0
                || lost > plan.region(region).capacity()) {
            return no("bad-outage", "no region " + region + " that could miss so much");
        }
        Long before = lost == 0 ? outages.remove(region) : outages.put(region, lost);
        if (before == null ? lost > 0 : before != lost) {
            settle(now);
        }
        return new Done("noted");
    }

    /**
     * Nodes that nothing should be moved to: out, coming back, or planned to be out before long.
     */
    public Set<String> avoided(long now, long aheadMs) {
        Set<String> nodes = new TreeSet<>();
        for (Window window : windows.values()) {
            boolean soon = window.state() == State.PLANNED && window.start() < now + aheadMs;
            if (soon || window.state().takesCapacity()) {
                nodes.addAll(window.wish().nodes());
            }
        }
        return nodes;
    }

    // ---- for people

    /** Each floor at the begin of each slot between two moments, thinned to so many. */
    public List<Level> levels(long from, long to, int most, long now) {
        List<Level> levels = new ArrayList<>();
        if (plan == null) {
            return levels;
        }
        Collection<Window> counted = in(s -> s == State.PLANNED || s.takesCapacity());
        long step = Math.max(plan.slotMs(), (to - from) / Math.max(1, most));
        for (FleetPlan.Floor floor : plan.floors()) {
            long there =
                    floor.regions().stream().mapToLong(name -> plan.region(name).capacity()).sum();
            long out =
                    floor.regions().stream()
                            .mapToLong(name -> outages.getOrDefault(name, 0L))
                            .sum();
            for (long at = from; at < to; at += step) {
                long missing = out;
                for (Window window : counted) {
                    boolean counts =
                            at > now
                                    || window.state().takesCapacity(); // what is planned is not out
                    if (counts && floor.regions().contains(window.wish().region())) {
                        missing += window.lossAt(at, now, plan.coldPermille());
                    }
                }
                levels.add(
                        new Level(
                                floor.name(), at, there - missing, plan.need(floor, at), missing));
            }
        }
        return levels;
    }
}

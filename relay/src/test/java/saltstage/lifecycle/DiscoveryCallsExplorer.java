package saltstage.lifecycle;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import saltstage.lifecycle.DiscoveryCalls.Effect;
import saltstage.wire.HostList;

/**
 * Explores what discovery, the machine and the operator can do to the bookkeeping of calls: every
 * order of events up to a depth, breadth first, each state once. It knows the effects only, not
 * what the rules hold.
 */
final class DiscoveryCallsExplorer {
    /** A rule does not keep what is guaranteed; the message has the shortest way there. */
    static final class Violation extends AssertionError {
        private static final long serialVersionUID = 1L;

        Violation(String what, Node at) {
            super(what + " after " + at.way());
        }
    }

    /** How far an exploration went. */
    record Explored(int depth, int states) {}

    /**
     * A call that has been begun: its thread may report until it ends, its timer until it has
     * fired.
     */
    private record Out(long id, boolean running, boolean timer, boolean told, boolean answered) {
        /** Told: the rules had it ended. What still comes of it must not matter. */
        boolean open() {
            return running && !told;
        }

        boolean spent() {
            return !running && !timer;
        }
    }

    /**
     * All that is known of a moment; asks are those that somebody owes: a timer or the decision
     * module.
     */
    private record World(DiscoveryRules rules, Map<Long, Out> calls, long held, int asks) {
        World with(Out call) {
            Map<Long, Out> changed = new TreeMap<>(calls);
            if (call.spent()) {
                changed.remove(call.id());
            } else {
                changed.put(call.id(), call);
            }
            return new World(rules, changed, held, asks);
        }

        World owing(int more) {
            return new World(rules, calls, held, asks + more);
        }

        /**
         * The same for two worlds that behave alike: what the rules still know is told apart by
         * order.
         */
        String key() {
            Map<Long, String> names = new TreeMap<>();
            List<String> ended = new ArrayList<>();
            StringBuilder key = new StringBuilder().append(asks);
            for (Out call : calls.values()) {
                String state = " " + call.running + call.timer + call.answered;
                if (call.told) {
                    ended.add(state);
                } else {
                    names.put(call.id, "#" + names.size());
                    key.append(state);
                }
            }
            ended.sort(null);
            return key.append(ended)
                    .append(rules.shape(id -> names.getOrDefault(id, "gone")))
                    .toString();
        }
    }

    private record Node(World world, Node before, String event, int depth) {
        Node then(World next, String what) {
            return new Node(next, this, what, depth + 1);
        }

        String way() {
            return before == null ? "start" : before.way() + ", " + event;
        }
    }

    private final int depth;
    private final Set<String> seen = new HashSet<>();
    private final Deque<Node> unexplored = new ArrayDeque<>();

    private DiscoveryCallsExplorer(int depth) {
        this.depth = depth;
    }

    /** Explores these rules; throws a {@link Violation} where one of the guarantees is not kept. */
    static Explored explore(DiscoveryRules rules, int depth) {
        DiscoveryCallsExplorer explorer = new DiscoveryCallsExplorer(depth);
        explorer.reach(new Node(new World(rules, new TreeMap<>(), 5, 1), null, "", 0));
        while (!explorer.unexplored.isEmpty()) {
            explorer.leave(explorer.unexplored.remove());
        }
        return new Explored(depth, explorer.seen.size());
    }

    private void reach(Node node) {
        check(node);
        if (seen.add(node.world.key()) && node.depth < depth) {
            unexplored.add(node);
        }
    }

    private void leave(Node node) {
        World world = node.world;
        after(node, world, world.rules.ask(), "ask unasked");
        after(node, world, world.rules.addressChanged(), "address changes");
        if (world.asks > 0) {
            after(node, world.owing(-1), world.rules.ask(), "ask");
        }
        for (Out call : List.copyOf(world.calls.values())) {
            if (call.running) {
                for (long revision = world.held - 1; revision <= world.held + 1; revision++) {
                    after(
                            node,
                            answered(world, call),
                            ignoring(node, call, arrives(world, call, revision)),
                            "list " + revision + " by " + call.id);
                }
                World silent =
                        world.with(new Out(call.id, false, call.timer, call.told, call.answered));
                after(
                        node,
                        silent,
                        ignoring(node, call, world.rules.callEnded(call.id)),
                        "end of " + call.id);
            }
            if (call.timer) {
                World fired =
                        world.with(new Out(call.id, call.running, false, call.told, call.answered));
                after(
                        node,
                        fired,
                        ignoring(node, call, world.rules.answerTimedOut(call.id)),
                        "time-out of " + call.id);
            }
        }
    }

    private static World answered(World world, Out call) {
        return world.with(new Out(call.id, true, call.timer, call.told, true));
    }

    private static DiscoveryRules.Outcome arrives(World world, Out call, long revision) {
        return world.rules.listArrived(
                call.id, new HostList(revision, true, List.of()), world.held);
    }

    private static DiscoveryRules.Outcome ignoring(
            Node node, Out call, DiscoveryRules.Outcome outcome) {
        if (call.told && (outcome.lost() || !outcome.effects().isEmpty())) {
            throw new Violation("a call that was ended matters: " + call.id, node);
        }
        return outcome;
    }

    /**
     * What follows when the effects are performed; where a call is to begin, a thread may be had or
     * not.
     */
    private void after(Node node, World before, DiscoveryRules.Outcome outcome, String event) {
        World world =
                new World(outcome.next(), before.calls, before.held, before.asks)
                        .owing(outcome.lost() ? 1 : 0);
        long begun = 0;
        for (Effect effect : outcome.effects()) {
            if (effect instanceof Effect.StartCall start) {
                begun = start.id();
            } else {
                world = perform(world, effect, node.then(world, event));
            }
        }
        if (begun == 0) {
            reach(node.then(world, event));
            return;
        }
        reach(
                node.then(
                        world.with(new Out(begun, true, true, false, false)),
                        event + " begins " + begun));
        DiscoveryRules.Outcome failed = world.rules.startFailed(begun);
        after(node, world, failed, event + " finds no thread for " + begun);
    }

    private static World perform(World world, Effect effect, Node node) {
        if (effect instanceof Effect.EndCall end) {
            Out call = world.calls.get(end.id());
            if (call == null || !call.open()) {
                throw new Violation("a call is ended that is not open: " + end.id(), node);
            }
            return world.with(new Out(call.id, true, call.timer, true, call.answered));
        }
        if (effect instanceof Effect.DeliverList deliver) {
            long revision = deliver.list().rev();
            if (revision < world.held) {
                throw new Violation("the list goes back to " + revision, node);
            }
            return new World(world.rules, world.calls, revision, world.asks);
        }
        return effect instanceof Effect.AskLater ? world.owing(1) : world;
    }

    private static void check(Node node) {
        World world = node.world;
        Collection<Out> calls = world.calls.values();
        long open = calls.stream().filter(Out::open).count();
        boolean watch = calls.stream().anyMatch(call -> call.open() && call.answered);
        boolean awaited = calls.stream().anyMatch(call -> call.open() && call.timer);
        if (!watch && !awaited && world.asks == 0) {
            throw new Violation("deaf: no watch, no call whose time-out is to come, no ask", node);
        }
        if (open > DiscoveryCalls.MOST_CALLS) {
            throw new Violation(open + " calls", node);
        }
        if (watch && open > 1) {
            throw new Violation("calls beside the watch", node);
        }
        if (!asksAgain(world)) {
            throw new Violation(
                    "deaf: discovery is not asked once all that is out falls silent", node);
        }
    }

    /**
     * Whether a call is out once every call has ended, every timer has fired and every ask was
     * made.
     */
    private static boolean asksAgain(World world) {
        DiscoveryRules rules = world.rules;
        int asks = world.asks;
        for (Out call : world.calls.values()) {
            DiscoveryRules.Outcome ended =
                    call.running
                            ? rules.callEnded(call.id)
                            : new DiscoveryRules.Outcome(rules, List.of(), false);
            DiscoveryRules.Outcome fired =
                    call.timer
                            ? ended.next().answerTimedOut(call.id)
                            : new DiscoveryRules.Outcome(ended.next(), List.of(), false);
            asks += (ended.lost() ? 1 : 0) + (fired.lost() ? 1 : 0);
            rules = fired.next();
        }
        boolean begun = false;
        for (int i = 0; i < asks; i++) {
            DiscoveryRules.Outcome asked = rules.ask();
            begun |=
                    asked.effects().stream().anyMatch(effect -> effect instanceof Effect.StartCall);
            rules = asked.next();
        }
        return begun;
    }
}

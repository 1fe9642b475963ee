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
import saltstage.wire.BackendList;

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
            super(what + " after " + at.path());
        }
    }

    /** How far an exploration went. */
    record Explored(int depth, int states) {}

    /**
     * A call that has been begun: its thread may report until it ends, its timer until it has
     * fired.
     */
    private record SimulatedCall(
            long id,
            boolean running,
            boolean timerPending,
            boolean endRequested,
            boolean answered) {
        /** Told: the rules had it ended. What still comes of it must not matter. */
        boolean isOpen() {
            return running && !endRequested;
        }

        boolean isFinished() {
            return !running && !timerPending;
        }
    }

    /**
     * All that is known of a moment; asks are those that somebody owes: a timer or the decision
     * module.
     */
    private record SimulatedState(
            DiscoveryRules rules,
            Map<Long, SimulatedCall> calls,
            long heldRevision,
            int pendingAsks) {
        SimulatedState withCall(SimulatedCall call) {
            Map<Long, SimulatedCall> changed = new TreeMap<>(calls);
            if (call.isFinished()) {
                changed.remove(call.id());
            } else {
                changed.put(call.id(), call);
            }
            return new SimulatedState(rules, changed, heldRevision, pendingAsks);
        }

        SimulatedState withMoreAsks(int more) {
            return new SimulatedState(rules, calls, heldRevision, pendingAsks + more);
        }

        /**
         * The same for two worlds that behave alike: what the rules still know is told apart by
         * order.
         */
        String stateKey() {
            Map<Long, String> names = new TreeMap<>();
            List<String> ended = new ArrayList<>();
            StringBuilder key = new StringBuilder().append(pendingAsks);
            for (SimulatedCall call : calls.values()) {
                String state = " " + call.running + call.timerPending + call.answered;
                if (call.endRequested) {
                    ended.add(state);
                } else {
                    names.put(call.id, "#" + names.size());
                    key.append(state);
                }
            }
            ended.sort(null);
            return key.append(ended)
                    .append(rules.stateKey(id -> names.getOrDefault(id, "gone")))
                    .toString();
        }
    }

    private record Node(SimulatedState state, Node parent, String event, int depth) {
        Node child(SimulatedState next, String what) {
            return new Node(next, this, what, depth + 1);
        }

        String path() {
            return parent == null ? "start" : parent.path() + ", " + event;
        }
    }

    private final int maxDepth;
    private final Set<String> seen = new HashSet<>();
    private final Deque<Node> unexplored = new ArrayDeque<>();

    private DiscoveryCallsExplorer(int depth) {
        this.maxDepth = depth;
    }

    /** Explores these rules; throws a {@link Violation} where one of the guarantees is not kept. */
    static Explored explore(DiscoveryRules rules, int depth) {
        DiscoveryCallsExplorer explorer = new DiscoveryCallsExplorer(depth);
        explorer.visit(new Node(new SimulatedState(rules, new TreeMap<>(), 5, 1), null, "", 0));
        while (!explorer.unexplored.isEmpty()) {
            explorer.expand(explorer.unexplored.remove());
        }
        return new Explored(depth, explorer.seen.size());
    }

    private void visit(Node node) {
        checkGuarantees(node);
        if (seen.add(node.state.stateKey()) && node.depth < maxDepth) {
            unexplored.add(node);
        }
    }

    private void expand(Node node) {
        SimulatedState world = node.state;
        applyOutcome(node, world, world.rules.ask(), "ask unasked");
        applyOutcome(node, world, world.rules.addressChanged(), "address changes");
        if (world.pendingAsks > 0) {
            applyOutcome(node, world.withMoreAsks(-1), world.rules.ask(), "ask");
        }
        for (SimulatedCall call : List.copyOf(world.calls.values())) {
            if (call.running) {
                expandRunningCall(node, world, call);
            }
            if (call.timerPending) {
                expandPendingTimer(node, world, call);
            }
        }
    }

    private void expandRunningCall(Node node, SimulatedState world, SimulatedCall call) {
        for (long revision = world.heldRevision - 1;
                revision <= world.heldRevision + 1;
                revision++) {
            applyOutcome(
                    node,
                    withAnswer(world, call),
                    checkIgnoredIfEnded(node, call, listArrives(world, call, revision)),
                    "list " + revision + " by " + call.id);
        }
        SimulatedState silent =
                world.withCall(
                        new SimulatedCall(
                                call.id,
                                false,
                                call.timerPending,
                                call.endRequested,
                                call.answered));
        applyOutcome(
                node,
                silent,
                checkIgnoredIfEnded(node, call, world.rules.callEnded(call.id)),
                "end of " + call.id);
    }

    private void expandPendingTimer(Node node, SimulatedState world, SimulatedCall call) {
        SimulatedState fired =
                world.withCall(
                        new SimulatedCall(
                                call.id, call.running, false, call.endRequested, call.answered));
        applyOutcome(
                node,
                fired,
                checkIgnoredIfEnded(node, call, world.rules.answerTimedOut(call.id)),
                "time-out of " + call.id);
    }

    private static SimulatedState withAnswer(SimulatedState world, SimulatedCall call) {
        return world.withCall(
                new SimulatedCall(call.id, true, call.timerPending, call.endRequested, true));
    }

    private static DiscoveryRules.Outcome listArrives(
            SimulatedState world, SimulatedCall call, long revision) {
        return world.rules.listArrived(
                call.id, new BackendList(revision, true, List.of()), world.heldRevision);
    }

    private static DiscoveryRules.Outcome checkIgnoredIfEnded(
            Node node, SimulatedCall call, DiscoveryRules.Outcome outcome) {
        if (call.endRequested && (outcome.lost() || !outcome.effects().isEmpty())) {
            throw new Violation("a call that was ended matters: " + call.id, node);
        }
        return outcome;
    }

    /**
     * What follows when the effects are performed; where a call is to begin, a thread may be had or
     * not.
     */
    private void applyOutcome(
            Node node, SimulatedState before, DiscoveryRules.Outcome outcome, String event) {
        SimulatedState world =
                new SimulatedState(
                                outcome.next(),
                                before.calls,
                                before.heldRevision,
                                before.pendingAsks)
                        .withMoreAsks(outcome.lost() ? 1 : 0);
        long begun = 0;
        for (Effect effect : outcome.effects()) {
            if (effect instanceof Effect.StartCall start) {
                begun = start.id();
            } else {
                world = perform(world, effect, node.child(world, event));
            }
        }
        if (begun == 0) {
            visit(node.child(world, event));
            return;
        }
        visit(
                node.child(
                        world.withCall(new SimulatedCall(begun, true, true, false, false)),
                        event + " begins " + begun));
        DiscoveryRules.Outcome failed = world.rules.startFailed(begun);
        applyOutcome(node, world, failed, event + " finds no thread for " + begun);
    }

    private static SimulatedState perform(SimulatedState world, Effect effect, Node node) {
        if (effect instanceof Effect.EndCall end) {
            SimulatedCall call = world.calls.get(end.id());
            if (call == null || !call.isOpen()) {
                throw new Violation("a call is ended that is not open: " + end.id(), node);
            }
            return world.withCall(
                    new SimulatedCall(call.id, true, call.timerPending, true, call.answered));
        }
        if (effect instanceof Effect.DeliverList deliver) {
            long revision = deliver.list().revision();
            if (revision < world.heldRevision) {
                throw new Violation("the list goes back to " + revision, node);
            }
            return new SimulatedState(world.rules, world.calls, revision, world.pendingAsks);
        }
        return effect instanceof Effect.AskLater ? world.withMoreAsks(1) : world;
    }

    private static void checkGuarantees(Node node) {
        SimulatedState world = node.state;
        Collection<SimulatedCall> calls = world.calls.values();
        long open = calls.stream().filter(SimulatedCall::isOpen).count();
        boolean watch = calls.stream().anyMatch(call -> call.isOpen() && call.answered);
        boolean awaited = calls.stream().anyMatch(call -> call.isOpen() && call.timerPending);
        if (!watch && !awaited && world.pendingAsks == 0) {
            throw new Violation("deaf: no watch, no call whose time-out is to come, no ask", node);
        }
        if (open > DiscoveryCalls.MAX_CALLS) {
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
    private static boolean asksAgain(SimulatedState world) {
        DiscoveryRules rules = world.rules;
        int asks = world.pendingAsks;
        for (SimulatedCall call : world.calls.values()) {
            DiscoveryRules.Outcome ended =
                    call.running
                            ? rules.callEnded(call.id)
                            : new DiscoveryRules.Outcome(rules, List.of(), false);
            DiscoveryRules.Outcome fired =
                    call.timerPending
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

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
 * Explores every order of events by which discovery, the machine and the operator can affect the
 * calls: up to a depth, breadth first, each state once. It checks the guarantees by the effects
 * only, not by the state of the rules.
 */
final class DiscoveryCallsExplorer {
    /**
     * The rules break a guarantee; the message has the shortest sequence of events that leads to
     * it.
     */
    static final class Violation extends AssertionError {
        private static final long serialVersionUID = 1L;

        Violation(String message, Node node) {
            super(message + " after " + node.path());
        }
    }

    /** The extent of an exploration. */
    record Explored(int depth, int states) {}

    /**
     * A call that was started: its thread may report events until it ends, its timer until it has
     * fired.
     */
    private record SimulatedCall(
            long id,
            boolean running,
            boolean timerPending,
            boolean endRequested,
            boolean answered) {
        /**
         * Whether the call runs and the rules have not requested its end; later events of a call
         * whose end was requested must have no effect.
         */
        boolean isOpen() {
            return running && !endRequested;
        }

        boolean isFinished() {
            return !running && !timerPending;
        }
    }

    /**
     * The state at one moment. {@code pendingAsks} counts the asks that are still to come from a
     * timer or from the load balancer.
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
         * Returns a key that is equal for states that behave alike: calls that the rules still know
         * are identified by their order, not by their ids.
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
        Node child(SimulatedState next, String event) {
            return new Node(next, this, event, depth + 1);
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

    /**
     * Explores the given rules up to a depth; throws a {@link Violation} if they break a guarantee.
     */
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
        SimulatedState state = node.state;
        applyOutcome(node, state, state.rules.ask(), "ask unasked");
        applyOutcome(node, state, state.rules.addressChanged(), "address changes");
        if (state.pendingAsks > 0) {
            applyOutcome(node, state.withMoreAsks(-1), state.rules.ask(), "ask");
        }
        for (SimulatedCall call : List.copyOf(state.calls.values())) {
            if (call.running) {
                expandRunningCall(node, state, call);
            }
            if (call.timerPending) {
                expandPendingTimer(node, state, call);
            }
        }
    }

    private void expandRunningCall(Node node, SimulatedState state, SimulatedCall call) {
        for (long revision = state.heldRevision - 1;
                revision <= state.heldRevision + 1;
                revision++) {
            applyOutcome(
                    node,
                    withAnswer(state, call),
                    checkIgnoredIfEnded(node, call, listArrives(state, call, revision)),
                    "list " + revision + " by " + call.id);
        }
        SimulatedState ended =
                state.withCall(
                        new SimulatedCall(
                                call.id,
                                false,
                                call.timerPending,
                                call.endRequested,
                                call.answered));
        applyOutcome(
                node,
                ended,
                checkIgnoredIfEnded(node, call, state.rules.callEnded(call.id)),
                "end of " + call.id);
    }

    private void expandPendingTimer(Node node, SimulatedState state, SimulatedCall call) {
        SimulatedState fired =
                state.withCall(
                        new SimulatedCall(
                                call.id, call.running, false, call.endRequested, call.answered));
        applyOutcome(
                node,
                fired,
                checkIgnoredIfEnded(node, call, state.rules.answerTimedOut(call.id)),
                "time-out of " + call.id);
    }

    private static SimulatedState withAnswer(SimulatedState state, SimulatedCall call) {
        return state.withCall(
                new SimulatedCall(call.id, true, call.timerPending, call.endRequested, true));
    }

    private static DiscoveryRules.Outcome listArrives(
            SimulatedState state, SimulatedCall call, long revision) {
        return state.rules.listArrived(
                call.id, new BackendList(revision, true, List.of()), state.heldRevision);
    }

    private static DiscoveryRules.Outcome checkIgnoredIfEnded(
            Node node, SimulatedCall call, DiscoveryRules.Outcome outcome) {
        if (call.endRequested && (outcome.discoveryLost() || !outcome.effects().isEmpty())) {
            throw new Violation("an ended call has an effect: " + call.id, node);
        }
        return outcome;
    }

    /**
     * Performs the effects of an outcome and visits the states that follow. Where a call is to
     * start, both cases follow: a thread is available, and none is.
     */
    private void applyOutcome(
            Node node, SimulatedState before, DiscoveryRules.Outcome outcome, String event) {
        SimulatedState state =
                new SimulatedState(
                                outcome.next(),
                                before.calls,
                                before.heldRevision,
                                before.pendingAsks)
                        .withMoreAsks(outcome.discoveryLost() ? 1 : 0);
        long startedId = 0;
        for (Effect effect : outcome.effects()) {
            if (effect instanceof Effect.StartCall start) {
                startedId = start.id();
            } else {
                state = perform(state, effect, node.child(state, event));
            }
        }
        if (startedId == 0) {
            visit(node.child(state, event));
            return;
        }
        visit(
                node.child(
                        state.withCall(new SimulatedCall(startedId, true, true, false, false)),
                        event + " begins " + startedId));
        DiscoveryRules.Outcome failed = state.rules.startFailed(startedId);
        applyOutcome(node, state, failed, event + " finds no thread for " + startedId);
    }

    private static SimulatedState perform(SimulatedState state, Effect effect, Node node) {
        if (effect instanceof Effect.EndCall end) {
            SimulatedCall call = state.calls.get(end.id());
            if (call == null || !call.isOpen()) {
                throw new Violation("a call that is not open is ended: " + end.id(), node);
            }
            return state.withCall(
                    new SimulatedCall(call.id, true, call.timerPending, true, call.answered));
        }
        if (effect instanceof Effect.DeliverList deliver) {
            long revision = deliver.list().revision();
            if (revision < state.heldRevision) {
                throw new Violation("an older list was delivered: " + revision, node);
            }
            return new SimulatedState(state.rules, state.calls, revision, state.pendingAsks);
        }
        return effect instanceof Effect.AskLater ? state.withMoreAsks(1) : state;
    }

    private static void checkGuarantees(Node node) {
        SimulatedState state = node.state;
        Collection<SimulatedCall> calls = state.calls.values();
        long open = calls.stream().filter(SimulatedCall::isOpen).count();
        boolean watch = calls.stream().anyMatch(call -> call.isOpen() && call.answered);
        boolean awaited = calls.stream().anyMatch(call -> call.isOpen() && call.timerPending);
        if (!watch && !awaited && state.pendingAsks == 0) {
            throw new Violation("not subscribed: no watch, no awaited call, no pending ask", node);
        }
        if (open > DiscoveryCalls.MAX_CALLS) {
            throw new Violation(open + " calls", node);
        }
        if (watch && open > 1) {
            throw new Violation("calls are open beside the watch", node);
        }
        if (!asksAgain(state)) {
            throw new Violation(
                    "not subscribed: no call is started after all pending calls, timers and asks",
                    node);
        }
    }

    /**
     * Whether a new call is started after every call has ended, every timer has fired and every
     * pending ask was made.
     */
    private static boolean asksAgain(SimulatedState state) {
        DiscoveryRules rules = state.rules;
        int asks = state.pendingAsks;
        for (SimulatedCall call : state.calls.values()) {
            DiscoveryRules.Outcome ended =
                    call.running
                            ? rules.callEnded(call.id)
                            : new DiscoveryRules.Outcome(rules, List.of(), false);
            DiscoveryRules.Outcome fired =
                    call.timerPending
                            ? ended.next().answerTimedOut(call.id)
                            : new DiscoveryRules.Outcome(ended.next(), List.of(), false);
            asks += (ended.discoveryLost() ? 1 : 0) + (fired.discoveryLost() ? 1 : 0);
            rules = fired.next();
        }
        boolean callStarted = false;
        for (int i = 0; i < asks; i++) {
            DiscoveryRules.Outcome asked = rules.ask();
            callStarted |=
                    asked.effects().stream().anyMatch(effect -> effect instanceof Effect.StartCall);
            rules = asked.next();
        }
        return callStarted;
    }
}

package saltstage.coordinator.advice;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Says which part of which tenant to move where. Each move is weighed on the fleet as it would be
 * after those before it, so that no two are harmless alone and harmful together. A node is left
 * only if its waiting is above most others' and above the least by more than a set-up costs (the
 * design's two tests); a move must be worth more than its reconnects by a margin, and is not undone
 * for a while.
 */
public final class Advisor {
    /**
     * How it weighs.
     *
     * @param freshMs a snapshot older than this says nothing
     * @param quorum so much of all known nodes must be fresh, else nothing is said
     * @param percentile a node is left only if its waiting is above this part of all
     * @param alpha and above the least by so many mean set-ups
     * @param margin a move's gain over its cost must be above this part of the cost
     * @param holdMs neither node nor tenant of a move is touched again before this
     * @param mostInFlight connections that may be on their way at once over the fleet
     */
    public record Rules(
            long freshMs,
            double quorum,
            double percentile,
            double alpha,
            double margin,
            long holdMs,
            int mostInFlight) {
        /** What is used unless told otherwise. */
        public static Rules usual() {
            return new Rules(10_000, 0.7, 0.6, 1, 0.5, 60_000, 200);
        }
    }

    /** A move that was made or is being made. */
    public record RecentMove(
            String tenant, String from, String to, int connections, long atMs, boolean over) {}

    /** What it says: moves, or why there are none. */
    public record Advice(List<Move> moves, String why) {}

    /** Of a moved client until it is back: 80 to 1,800 ms. */
    private static final double AWAY_MS = 940;

    /** A connection's life that is left, in messages: 20 s of one each 2 s. */
    private static final double MESSAGES = 10;

    /** What a group costs each node that holds any of it, in thousandths of a mean load. */
    private static final long GROUP = 3_000;

    /** Beyond this part of its capacity a node's waiting is taken as it is there. */
    private static final double FULL = 0.97;

    private static final double MOST_AFTER = 0.85;
    private static final int MOST_MOVES = 32;
    private static final int TARGETS = 4;
    private static final int TENANTS = 8;

    private final Rules rules;

    /** An advisor by these rules. */
    public Advisor(Rules rules) {
        this.rules = rules;
    }

    private static final class Node {
        private final NodeSnapshot told;
        private final double confidence;
        private final double scale;
        private final Map<String, long[]> tenants = new HashMap<>();
        private long load;
        private boolean given;
        private boolean taken;

        Node(NodeSnapshots.View view, long freshMs) {
            told = view.snapshot();
            confidence = 1 - 0.5 * view.ageMs() / freshMs;
            load = told.load();
            // The curve is fitted to what is told: a neighbour on the machine makes it steeper.
            double curve = curve(load);
            scale = Math.max(0.25, Math.min(8, (told.delayMs() + 0.1) / (curve + 0.1)));
            for (NodeSnapshot.Tenant tenant : told.tenants()) {
                tenants.put(
                        tenant.name(),
                        new long[] {tenant.load(), tenant.connections(), tenant.groups()});
            }
        }

        private double used() {
            return (double) load / told.capacity();
        }

        private double curve(long atLoad) {
            double used = Math.min(FULL, (double) atLoad / told.capacity());
            return told.setupMs() * used / (1 - used);
        }

        private double waiting(long atLoad) {
            return scale * curve(atLoad);
        }

        private double waiting() {
            return waiting(load);
        }
    }

    /**
     * Advises on what is known; nodes to be avoided get nothing, and moves made lately are kept.
     */
    public Advice advise(
            List<NodeSnapshots.View> views, Set<String> avoid, List<RecentMove> made, long nowMs) {
        List<Node> nodes = new ArrayList<>();
        for (NodeSnapshots.View view : views) {
            if (view.ageMs() <= rules.freshMs()) {
                nodes.add(new Node(view, rules.freshMs()));
            }
        }
        if (nodes.size() < 2 || nodes.size() < rules.quorum() * views.size()) {
            return new Advice(
                    List.of(),
                    "only "
                            + nodes.size()
                            + " of "
                            + views.size()
                            + " snapshots are fresh: nothing is said on so few");
        }
        Set<String> held = new HashSet<>();
        int inFlight = 0;
        for (RecentMove move : made) {
            if (nowMs - move.atMs() < rules.holdMs()) {
                held.addAll(List.of("tenant " + move.tenant(), "node " + move.to()));
            }
            inFlight += move.over() ? 0 : move.connections();
        }
        List<Move> moves = new ArrayList<>();
        String last = "the waiting is even enough";
        int budget = rules.mostInFlight() - inFlight;
        while (moves.size() < MOST_MOVES && budget > 0) {
            Move move = best(nodes, avoid, held, budget);
            if (move == null) {
                break;
            }
            moves.add(move);
            apply(nodes, move);
            held.add("tenant " + move.tenant());
            budget -= move.connections();
        }
        return new Advice(moves, budget <= 0 ? "the budget of moves in flight is used up" : last);
    }

    private Move best(List<Node> nodes, Set<String> avoid, Set<String> held, int budget) {
        double[] waits = nodes.stream().mapToDouble(Node::waiting).sorted().toArray();
        double above =
                waits[
                        (int)
                                Math.min(
                                        waits.length - 1L,
                                        Math.floor(rules.percentile() * waits.length))];
        double setup = nodes.stream().mapToDouble(n -> n.told.setupMs()).average().orElse(1);
        List<Node> targets =
                nodes.stream()
                        .filter(n -> !n.given && !avoid.contains(n.told.node()))
                        .sorted(Comparator.comparingDouble(Node::waiting))
                        .limit(TARGETS)
                        .toList();
        List<Node> sources =
                nodes.stream()
                        .filter(
                                n ->
                                        !n.taken
                                                && !held.contains("node " + n.told.node())
                                                && n.waiting() >= above
                                                && n.waiting() - waits[0] > rules.alpha() * setup)
                        .sorted(Comparator.comparingDouble(n -> -n.waiting()))
                        .limit(TARGETS)
                        .toList();
        Move best = null;
        for (Node from : sources) {
            for (Map.Entry<String, long[]> tenant : largest(from, held)) {
                for (Node to : targets) {
                    Move move = from == to ? null : weigh(from, to, tenant, budget, setup);
                    if (move != null && (best == null || worth(move) > worth(best))) {
                        best = move;
                    }
                }
            }
        }
        return best;
    }

    private static double worth(Move move) {
        return (move.gain() - move.cost()) * move.confidence();
    }

    private static List<Map.Entry<String, long[]>> largest(Node node, Set<String> held) {
        return node.tenants.entrySet().stream()
                .filter(
                        t ->
                                t.getValue()[1] > 0
                                        && t.getValue()[0] > 0
                                        && !held.contains("tenant " + t.getKey()))
                .sorted(
                        Comparator.comparingLong((Map.Entry<String, long[]> t) -> -t.getValue()[0])
                                .thenComparing(Map.Entry::getKey))
                .limit(TENANTS)
                .toList();
    }

    private Move weigh(
            Node from, Node to, Map.Entry<String, long[]> tenant, int budget, double setup) {
        long load = tenant.getValue()[0];
        int connections = (int) tenant.getValue()[1];
        long even =
                (long)
                        ((from.used() - to.used())
                                / (1.0 / from.told.capacity() + 1.0 / to.told.capacity()));
        long room = (long) (MOST_AFTER * to.told.capacity()) - to.load;
        double part =
                Math.min(
                        1,
                        Math.min(
                                (double) Math.min(even, room) / load,
                                (double) budget / connections));
        int moved = (int) Math.floor(part * connections);
        if (moved < 1 || even <= 0) {
            return null;
        }
        long movedLoad = load * moved / connections;
        int groups = (int) Math.ceil((double) tenant.getValue()[2] * moved / connections);
        boolean new1 = !to.tenants.containsKey(tenant.getKey());
        long added =
                movedLoad + (new1 ? GROUP * groups : 0); // a group that is split is paid for twice
        if (to.load + added > MOST_AFTER * to.told.capacity()) {
            return null;
        }
        double gain = gain(from, to, movedLoad, added);
        double cost = movedLoad / 1_000.0 * (AWAY_MS + setup);
        double confidence = Math.min(from.confidence, to.confidence);
        if (gain * confidence < cost * (1 + rules.margin())) {
            return null;
        }
        return new Move(
                tenant.getKey(),
                from.told.node(),
                to.told.node(),
                moved,
                movedLoad,
                gain,
                cost,
                confidence,
                reason(from, to));
    }

    private static String reason(Node from, Node to) {
        return String.format(
                java.util.Locale.ROOT,
                "%s waits %.0f ms at %.0f%% of its capacity, %s %.0f ms at %.0f%%",
                from.told.node(),
                from.waiting(),
                100 * from.used(),
                to.told.node(),
                to.waiting(),
                100 * to.used());
    }

    /** Messages' waiting saved over the rest of their connections' lives, in milliseconds. */
    private static double gain(Node from, Node to, long movedLoad, long added) {
        double before = from.load * from.waiting() + to.load * to.waiting();
        double after =
                (from.load - movedLoad) * from.waiting(from.load - movedLoad)
                        + (to.load + added) * to.waiting(to.load + added);
        return (before - after) / 1_000 * MESSAGES;
    }

    private static void apply(List<Node> nodes, Move move) {
        for (Node node : nodes) {
            if (node.told.node().equals(move.from())) {
                long[] left = node.tenants.get(move.tenant());
                left[0] -= move.load();
                left[1] -= move.connections();
                node.load -= move.load();
                node.given = true;
            } else if (node.told.node().equals(move.to())) {
                node.tenants.merge(
                        move.tenant(),
                        new long[] {move.load(), move.connections(), 0},
                        (had, more) -> new long[] {had[0] + more[0], had[1] + more[1], had[2]});
                node.load += move.load();
                node.taken = true;
            }
        }
    }

    /** How uneven loads are: the largest part of a capacity in use, over the mean. */
    public static double imbalance(List<NodeSnapshot> nodes) {
        double[] used = nodes.stream().mapToDouble(n -> (double) n.load() / n.capacity()).toArray();
        return Arrays.stream(used).max().orElse(0)
                / Math.max(1e-9, Arrays.stream(used).average().orElse(0));
    }
}

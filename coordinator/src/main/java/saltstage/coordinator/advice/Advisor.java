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
 * Recommends which part of which tenant to move to which node. Each move is evaluated on the fleet
 * as it would be after the moves before it, so that moves that are harmless alone do not cause harm
 * together. A node is a source only if its delay is above that of most other nodes and above the
 * lowest delay by more than the cost of a connection set-up, as in the relay's test for diverting a
 * request. A move must be worth more than its reconnects by a margin, and is not undone for a
 * while.
 */
public final class Advisor {
    /**
     * The thresholds of the advisor.
     *
     * @param maxSnapshotAgeMs snapshots older than this are ignored
     * @param minFreshShare the share of all known nodes whose snapshots must be fresh; below it the
     *     advisor recommends nothing
     * @param sourcePercentile a node is a source only if its delay is at or above this percentile
     *     of all nodes, as a fraction
     * @param minWaitGapInSetups a node is a source only if its delay exceeds the lowest delay by
     *     more than this many mean set-up times
     * @param minGainMargin a move's gain, weighted by confidence, must exceed its cost by at least
     *     this fraction of the cost
     * @param cooldownMs for this time after a move, its tenant is not moved again and its target
     *     node is not a source
     * @param maxInFlightConnections the maximum number of connections that may be moving at once in
     *     the fleet
     */
    public record Rules(
            long maxSnapshotAgeMs,
            double minFreshShare,
            double sourcePercentile,
            double minWaitGapInSetups,
            double minGainMargin,
            long cooldownMs,
            int maxInFlightConnections) {
        /** Returns the default thresholds. */
        public static Rules defaults() {
            return new Rules(10_000, 0.7, 0.6, 1, 0.5, 60_000, 200);
        }
    }

    /**
     * A move that was completed or is in progress.
     *
     * @param atMs the time of the move, on the same clock as the time given to {@link #advise}
     * @param over whether the move has ended and no longer uses up the budget
     */
    public record RecentMove(
            String tenant, String from, String to, int connections, long atMs, boolean over) {}

    /** The result of the advisor: the moves, or the reason why there are none. */
    public record Advice(List<Move> moves, String why) {}

    /** The mean time until a moved client is connected again; it ranges from 80 to 1,800 ms. */
    private static final double RECONNECT_MS = 940;

    /**
     * The messages that a connection still carries in its remaining lifetime: 20 s at one message
     * every 2 s.
     */
    private static final double REMAINING_MESSAGES = 10;

    /**
     * The cost of a group for each node that holds any part of it, in thousandths of a mean
     * connection load.
     */
    private static final long GROUP_LOAD = 3_000;

    /** Above this share of its capacity, a node's delay is modeled as if it were at this share. */
    private static final double MAX_MODELED_UTILIZATION = 0.97;

    private static final double MAX_TARGET_UTILIZATION = 0.85;
    private static final int MAX_MOVES = 32;
    private static final int MAX_CANDIDATE_NODES = 4;
    private static final int MAX_CANDIDATE_TENANTS = 8;

    private final Rules rules;

    /** Creates an advisor with the given thresholds. */
    public Advisor(Rules rules) {
        this.rules = rules;
    }

    /** The modeled load of one node, which changes with each recommended move. */
    private static final class NodeLoad {
        private final NodeSnapshot snapshot;
        private final double confidence;
        private final double delayScale;
        private final Map<String, long[]> tenants = new HashMap<>();
        private long load;
        private boolean usedAsSource;
        private boolean usedAsTarget;

        NodeLoad(NodeSnapshots.View view, long maxAgeMs) {
            snapshot = view.snapshot();
            confidence = 1 - 0.5 * view.ageMs() / maxAgeMs;
            load = snapshot.load();
            // Fits the delay curve to the reported delay: other processes on the machine make the
            // curve steeper.
            double modeledDelay = modeledDelayMs(load);
            delayScale =
                    Math.max(0.25, Math.min(8, (snapshot.delayMs() + 0.1) / (modeledDelay + 0.1)));
            for (NodeSnapshot.Tenant tenant : snapshot.tenants()) {
                tenants.put(
                        tenant.name(),
                        new long[] {tenant.load(), tenant.connections(), tenant.groups()});
            }
        }

        private double utilization() {
            return (double) load / snapshot.capacity();
        }

        private double modeledDelayMs(long atLoad) {
            double utilization =
                    Math.min(MAX_MODELED_UTILIZATION, (double) atLoad / snapshot.capacity());
            return snapshot.setupMs() * utilization / (1 - utilization);
        }

        private double expectedDelayMs(long atLoad) {
            return delayScale * modeledDelayMs(atLoad);
        }

        private double expectedDelayMs() {
            return expectedDelayMs(load);
        }
    }

    /**
     * Recommends moves for the known nodes. Avoided nodes are never targets, and recent moves are
     * not undone.
     */
    public Advice advise(
            List<NodeSnapshots.View> views,
            Set<String> avoid,
            List<RecentMove> recentMoves,
            long nowMs) {
        List<NodeLoad> nodes = new ArrayList<>();
        for (NodeSnapshots.View view : views) {
            if (view.ageMs() <= rules.maxSnapshotAgeMs()) {
                nodes.add(new NodeLoad(view, rules.maxSnapshotAgeMs()));
            }
        }
        if (nodes.size() < 2 || nodes.size() < rules.minFreshShare() * views.size()) {
            return new Advice(
                    List.of(),
                    "only "
                            + nodes.size()
                            + " of "
                            + views.size()
                            + " snapshots are fresh: nothing is said on so few");
        }
        Set<String> coolingDown = new HashSet<>();
        int inFlight = 0;
        for (RecentMove move : recentMoves) {
            if (nowMs - move.atMs() < rules.cooldownMs()) {
                coolingDown.addAll(List.of("tenant " + move.tenant(), "node " + move.to()));
            }
            inFlight += move.over() ? 0 : move.connections();
        }
        List<Move> moves = new ArrayList<>();
        String defaultReason = "the waiting is even enough";
        int budget = rules.maxInFlightConnections() - inFlight;
        while (moves.size() < MAX_MOVES && budget > 0) {
            Move move = bestMove(nodes, avoid, coolingDown, budget);
            if (move == null) {
                break;
            }
            moves.add(move);
            apply(nodes, move);
            coolingDown.add("tenant " + move.tenant());
            budget -= move.connections();
        }
        return new Advice(
                moves, budget <= 0 ? "the budget of moves in flight is used up" : defaultReason);
    }

    private Move bestMove(
            List<NodeLoad> nodes, Set<String> avoid, Set<String> coolingDown, int budget) {
        double[] delays = nodes.stream().mapToDouble(NodeLoad::expectedDelayMs).sorted().toArray();
        double minSourceDelay =
                delays[
                        (int)
                                Math.min(
                                        delays.length - 1L,
                                        Math.floor(rules.sourcePercentile() * delays.length))];
        double meanSetupMs =
                nodes.stream().mapToDouble(n -> n.snapshot.setupMs()).average().orElse(1);
        List<NodeLoad> targets =
                nodes.stream()
                        .filter(n -> !n.usedAsSource && !avoid.contains(n.snapshot.node()))
                        .sorted(Comparator.comparingDouble(NodeLoad::expectedDelayMs))
                        .limit(MAX_CANDIDATE_NODES)
                        .toList();
        List<NodeLoad> sources =
                nodes.stream()
                        .filter(
                                n ->
                                        !n.usedAsTarget
                                                && !coolingDown.contains(
                                                        "node " + n.snapshot.node())
                                                && n.expectedDelayMs() >= minSourceDelay
                                                && n.expectedDelayMs() - delays[0]
                                                        > rules.minWaitGapInSetups() * meanSetupMs)
                        .sorted(Comparator.comparingDouble(n -> -n.expectedDelayMs()))
                        .limit(MAX_CANDIDATE_NODES)
                        .toList();
        Move best = null;
        for (NodeLoad from : sources) {
            for (Map.Entry<String, long[]> tenant : largestTenants(from, coolingDown)) {
                for (NodeLoad to : targets) {
                    Move move =
                            from == to ? null : evaluateMove(from, to, tenant, budget, meanSetupMs);
                    if (move != null && (best == null || netGain(move) > netGain(best))) {
                        best = move;
                    }
                }
            }
        }
        return best;
    }

    private static double netGain(Move move) {
        return (move.gain() - move.cost()) * move.confidence();
    }

    private static List<Map.Entry<String, long[]>> largestTenants(
            NodeLoad node, Set<String> coolingDown) {
        return node.tenants.entrySet().stream()
                .filter(
                        t ->
                                t.getValue()[1] > 0
                                        && t.getValue()[0] > 0
                                        && !coolingDown.contains("tenant " + t.getKey()))
                .sorted(
                        Comparator.comparingLong((Map.Entry<String, long[]> t) -> -t.getValue()[0])
                                .thenComparing(Map.Entry::getKey))
                .limit(MAX_CANDIDATE_TENANTS)
                .toList();
    }

    private Move evaluateMove(
            NodeLoad from,
            NodeLoad to,
            Map.Entry<String, long[]> tenant,
            int budget,
            double meanSetupMs) {
        long load = tenant.getValue()[0];
        int connections = (int) tenant.getValue()[1];
        long evenLoad = balancingLoad(from, to);
        long targetHeadroom = (long) (MAX_TARGET_UTILIZATION * to.snapshot.capacity()) - to.load;
        double share =
                Math.min(
                        1,
                        Math.min(
                                (double) Math.min(evenLoad, targetHeadroom) / load,
                                (double) budget / connections));
        int movedConnections = (int) Math.floor(share * connections);
        if (movedConnections < 1 || evenLoad <= 0) {
            return null;
        }
        long movedLoad = load * movedConnections / connections;
        int groups =
                (int) Math.ceil((double) tenant.getValue()[2] * movedConnections / connections);
        boolean isNewToTarget = !to.tenants.containsKey(tenant.getKey());
        // A group that is split costs both nodes.
        long addedLoad = movedLoad + (isNewToTarget ? GROUP_LOAD * groups : 0);
        if (to.load + addedLoad > MAX_TARGET_UTILIZATION * to.snapshot.capacity()) {
            return null;
        }
        double gain = gain(from, to, movedLoad, addedLoad);
        double cost = movedLoad / 1_000.0 * (RECONNECT_MS + meanSetupMs);
        double confidence = Math.min(from.confidence, to.confidence);
        if (gain * confidence < cost * (1 + rules.minGainMargin())) {
            return null;
        }
        return new Move(
                tenant.getKey(),
                from.snapshot.node(),
                to.snapshot.node(),
                movedConnections,
                movedLoad,
                gain,
                cost,
                confidence,
                reason(from, to));
    }

    /** Returns the load that would have to move for both nodes to be equally utilized. */
    private static long balancingLoad(NodeLoad from, NodeLoad to) {
        return (long)
                ((from.utilization() - to.utilization())
                        / (1.0 / from.snapshot.capacity() + 1.0 / to.snapshot.capacity()));
    }

    private static String reason(NodeLoad from, NodeLoad to) {
        return String.format(
                java.util.Locale.ROOT,
                "%s waits %.0f ms at %.0f%% of its capacity, %s %.0f ms at %.0f%%",
                from.snapshot.node(),
                from.expectedDelayMs(),
                100 * from.utilization(),
                to.snapshot.node(),
                to.expectedDelayMs(),
                100 * to.utilization());
    }

    /**
     * Returns the delay that messages save over the remaining lifetime of their connections, in
     * milliseconds times mean loads.
     */
    private static double gain(NodeLoad from, NodeLoad to, long movedLoad, long addedLoad) {
        double before = from.load * from.expectedDelayMs() + to.load * to.expectedDelayMs();
        double after =
                (from.load - movedLoad) * from.expectedDelayMs(from.load - movedLoad)
                        + (to.load + addedLoad) * to.expectedDelayMs(to.load + addedLoad);
        return (before - after) / 1_000 * REMAINING_MESSAGES;
    }

    private static void apply(List<NodeLoad> nodes, Move move) {
        for (NodeLoad node : nodes) {
            if (node.snapshot.node().equals(move.from())) {
                long[] remaining = node.tenants.get(move.tenant());
                remaining[0] -= move.load();
                remaining[1] -= move.connections();
                node.load -= move.load();
                node.usedAsSource = true;
            } else if (node.snapshot.node().equals(move.to())) {
                node.tenants.merge(
                        move.tenant(),
                        new long[] {move.load(), move.connections(), 0},
                        (existing, addition) ->
                                new long[] {
                                    existing[0] + addition[0],
                                    existing[1] + addition[1],
                                    existing[2]
                                });
                node.load += move.load();
                node.usedAsTarget = true;
            }
        }
    }

    /**
     * Returns how uneven the loads are: the highest utilization of a node divided by the mean
     * utilization.
     */
    public static double imbalance(List<NodeSnapshot> nodes) {
        double[] utilization =
                nodes.stream().mapToDouble(n -> (double) n.load() / n.capacity()).toArray();
        return Arrays.stream(utilization).max().orElse(0)
                / Math.max(1e-9, Arrays.stream(utilization).average().orElse(0));
    }
}

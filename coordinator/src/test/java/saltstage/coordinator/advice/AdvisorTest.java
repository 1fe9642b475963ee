package saltstage.coordinator.advice;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import saltstage.coordinator.advice.AdviceCommands.Advise;
import saltstage.coordinator.advice.AdviceCommands.Decide;
import saltstage.coordinator.advice.Advisor.RecentMove;
import saltstage.coordinator.model.Acknowledgement;
import saltstage.coordinator.model.Rejection;

/** Tests which moves the advisor recommends, and how snapshots and recommendations are stored. */
class AdvisorTest {
    private final Advisor advisor = new Advisor(Advisor.Rules.defaults());

    /** A node with a capacity of 100 mean loads, one large tenant and a load of other tenants. */
    private static NodeSnapshots.View node(
            String name, long loadOfTenant, long others, double delayMs, long ageMs) {
        return new NodeSnapshots.View(
                new NodeSnapshot(
                        name,
                        "r",
                        1,
                        1,
                        100_000,
                        delayMs,
                        20,
                        List.of(
                                new NodeSnapshot.Tenant(
                                        "t-" + name,
                                        (int) (loadOfTenant / 1_000),
                                        loadOfTenant,
                                        1)),
                        others),
                ageMs);
    }

    private static List<NodeSnapshots.View> oneOverloadedNode(long ageMs) {
        return List.of(
                node("a", 60_000, 35_000, 400, ageMs),
                node("b", 5_000, 20_000, 5, ageMs),
                node("c", 5_000, 25_000, 6, ageMs),
                node("d", 5_000, 30_000, 8, ageMs));
    }

    private List<Move> moves(
            List<NodeSnapshots.View> views, Set<String> avoid, List<RecentMove> recentMoves) {
        return advisor.advise(views, avoid, recentMoves, 0).moves();
    }

    @Test
    void overloadedNodeMovesLoadToTheNodeWithTheShortestDelay() {
        Move move = moves(oneOverloadedNode(0), Set.of(), List.of()).get(0);
        assertEquals("t-a", move.tenant());
        assertEquals("a", move.from());
        assertEquals("b", move.to());
        assertTrue(move.gain() > move.cost() && move.load() < 60_000, move.toString());
    }

    @Test
    void avoidedNodesAreNeverTargets() {
        assertEquals("c", moves(oneOverloadedNode(0), Set.of("b"), List.of()).get(0).to());
        assertEquals(List.of(), moves(oneOverloadedNode(0), Set.of("b", "c", "d"), List.of()));
    }

    @Test
    void evenFleetAndGapsBelowOneSetUpYieldNoMoves() {
        assertEquals(
                List.of(),
                moves(
                        List.of(
                                node("a", 20_000, 20_000, 12, 0),
                                node("b", 19_000, 20_000, 10, 0),
                                node("c", 20_000, 18_000, 11, 0)),
                        Set.of(),
                        List.of()));
    }

    @Test
    void tooFewFreshSnapshotsYieldAReasonAndNoMoves() {
        List<NodeSnapshots.View> views =
                List.of(
                        node("a", 60_000, 35_000, 400, 0),
                        node("b", 5_000, 20_000, 5, 99_999),
                        node("c", 5_000, 20_000, 5, 99_999));
        Advisor.Advice advice = advisor.advise(views, Set.of(), List.of(), 0);
        assertEquals(List.of(), advice.moves());
        assertTrue(advice.why().startsWith("only 1 of 3"), advice.why());
    }

    @Test
    void recentMoveIsNotUndoneAndAnExhaustedBudgetStopsMoves() {
        RecentMove recent = new RecentMove("t-a", "b", "a", 10, -1_000, true);
        assertEquals(
                List.of(),
                moves(oneOverloadedNode(0), Set.of(), List.of(recent)),
                "node a has just received the tenant");
        RecentMove old = new RecentMove("t-a", "b", "a", 10, -99_000, true);
        assertFalse(moves(oneOverloadedNode(0), Set.of(), List.of(old)).isEmpty());
        assertEquals(
                List.of(),
                moves(
                        oneOverloadedNode(0),
                        Set.of(),
                        List.of(new RecentMove("x", "y", "z", 200, 0, false))));
    }

    @Test
    void movesTogetherDoNotOverloadTheNodeThatEachAloneWouldPick() {
        List<NodeSnapshots.View> views =
                List.of(
                        node("a", 60_000, 35_000, 400, 0),
                        node("e", 60_000, 35_000, 400, 0),
                        node("f", 60_000, 35_000, 400, 0),
                        node("b", 5_000, 20_000, 5, 0));
        long receivedLoad =
                moves(views, Set.of(), List.of()).stream()
                        .filter(m -> m.to().equals("b"))
                        .mapToLong(m -> m.load() + 3_000)
                        .sum();
        assertTrue(
                receivedLoad > 0 && 25_000 + receivedLoad <= 85_000,
                "node b received " + receivedLoad);
    }

    @Test
    void lateDuplicateAndOldIncarnationSnapshotsAreIgnored() {
        NodeSnapshots snapshots = new NodeSnapshots();
        NodeSnapshot first = node("a", 1_000, 1, 1, 0).snapshot();
        NodeSnapshot restarted = new NodeSnapshot("a", "r", 2, 0, 1, 0, 1, List.of(), 7);
        assertTrue(snapshots.update(first, 0));
        assertFalse(snapshots.update(first, 1));
        assertTrue(snapshots.update(restarted, 2));
        assertFalse(snapshots.update(first, 3), "a snapshot of an earlier incarnation");
        assertEquals(List.of(new NodeSnapshots.View(restarted, 8)), snapshots.views(10));
    }

    @Test
    void logAcceptsOnlyTheNewestAdvisorAndOneDecision() {
        AdviceLog log = new AdviceLog();
        Move move = moves(oneOverloadedNode(0), Set.of(), List.of()).get(0);
        assertInstanceOf(
                Acknowledgement.class, log.advise(new Advise("o", 5, List.of(move), "why"), 0));
        assertInstanceOf(Rejection.class, log.advise(new Advise("old", 4, List.of(), "late"), 1));
        assertInstanceOf(Acknowledgement.class, log.decide(new Decide(1, true, "ops"), 2));
        assertInstanceOf(Acknowledgement.class, log.decide(new Decide(1, true, "ops"), 3));
        assertInstanceOf(Rejection.class, log.decide(new Decide(1, false, "ops"), 4));
        assertEquals(1, log.recentMoves(5).size());
        log.advise(new Advise("o", 5, List.of(move), "again"), 6);
        log.advance(7 + AdviceLog.OFFER_LIFETIME_MS);
        assertEquals(AdviceLog.State.EXPIRED, log.image().rows().get(1).state());
        assertEquals(log.image(), new AdviceLog(log.image()).image());
    }
}

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
            String name, long loadOfTenant, long others, double delay, long age) {
        return new NodeSnapshots.View(
                new NodeSnapshot(
                        name,
                        "r",
                        1,
                        1,
                        100_000,
                        delay,
                        20,
                        List.of(
                                new NodeSnapshot.Tenant(
                                        "t-" + name,
                                        (int) (loadOfTenant / 1_000),
                                        loadOfTenant,
                                        1)),
                        others),
                age);
    }

    private static List<NodeSnapshots.View> oneOverloadedNode(long age) {
        return List.of(
                node("a", 60_000, 35_000, 400, age),
                node("b", 5_000, 20_000, 5, age),
                node("c", 5_000, 25_000, 6, age),
                node("d", 5_000, 30_000, 8, age));
    }

    private List<Move> moves(
            List<NodeSnapshots.View> views, Set<String> avoid, List<RecentMove> made) {
        return advisor.advise(views, avoid, made, 0).moves();
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
        RecentMove lately = new RecentMove("t-a", "b", "a", 10, -1_000, true);
        assertEquals(
                List.of(),
                moves(oneOverloadedNode(0), Set.of(), List.of(lately)),
                "node a has just received the tenant");
        RecentMove longAgo = new RecentMove("t-a", "b", "a", 10, -99_000, true);
        assertFalse(moves(oneOverloadedNode(0), Set.of(), List.of(longAgo)).isEmpty());
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
        long got =
                moves(views, Set.of(), List.of()).stream()
                        .filter(m -> m.to().equals("b"))
                        .mapToLong(m -> m.load() + 3_000)
                        .sum();
        assertTrue(got > 0 && 25_000 + got <= 85_000, "node b received " + got);
    }

    @Test
    void lateDuplicateAndOldIncarnationSnapshotsAreIgnored() {
        NodeSnapshots board = new NodeSnapshots();
        NodeSnapshot first = node("a", 1_000, 1, 1, 0).snapshot();
        NodeSnapshot restarted = new NodeSnapshot("a", "r", 2, 0, 1, 0, 1, List.of(), 7);
        assertTrue(board.update(first, 0));
        assertFalse(board.update(first, 1));
        assertTrue(board.update(restarted, 2));
        assertFalse(board.update(first, 3), "a snapshot of an earlier incarnation");
        assertEquals(List.of(new NodeSnapshots.View(restarted, 8)), board.views(10));
    }

    @Test
    void logAcceptsOnlyTheNewestAdvisorAndOneDecision() {
        AdviceLog book = new AdviceLog();
        Move move = moves(oneOverloadedNode(0), Set.of(), List.of()).get(0);
        assertInstanceOf(
                Acknowledgement.class, book.advise(new Advise("o", 5, List.of(move), "why"), 0));
        assertInstanceOf(Rejection.class, book.advise(new Advise("old", 4, List.of(), "late"), 1));
        assertInstanceOf(Acknowledgement.class, book.decide(new Decide(1, true, "ops"), 2));
        assertInstanceOf(Acknowledgement.class, book.decide(new Decide(1, true, "ops"), 3));
        assertInstanceOf(Rejection.class, book.decide(new Decide(1, false, "ops"), 4));
        assertEquals(1, book.recentMoves(5).size());
        book.advise(new Advise("o", 5, List.of(move), "again"), 6);
        book.advance(7 + AdviceLog.OFFER_LIFETIME_MS);
        assertEquals(AdviceLog.State.EXPIRED, book.image().rows().get(1).state());
        assertEquals(book.image(), new AdviceLog(book.image()).image());
    }
}

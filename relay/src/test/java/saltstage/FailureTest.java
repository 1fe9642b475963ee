package saltstage;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import saltstage.Api.Health;
import saltstage.Api.Listing;
import saltstage.Api.Note;
import saltstage.Api.Outcome;
import saltstage.Api.Server;

/** The failures found in simulated service, each as small as it can be shown. */
class FailureTest {
    private static Rig rig() {
        return Rig.of(Rig.safe()).list(Listing.ALL, Rig.fleet(10));
    }

    @Test
    void silentServerIsLeftAfterOneTimeOutAndTriedAgainByOneRequest() {
        Rig rig = rig();
        long id = rig.request(0, 1, 5, Api.NONE);
        String silent = rig.sentTo.get(id);
        rig.now += 150_000;
        rig.ends(id, Outcome.TIMEOUT);
        String standIn = rig.sentTo.get(id);
        assertEquals(
                standIn, rig.route(0, 2, 5, Api.NONE), "the group stays together at its stand-in");
        rig.now += 2_100_000;
        assertEquals(silent, rig.sentTo.get(rig.request(0, 3, 5, Api.NONE)), "one trial");
        assertEquals(
                standIn, rig.sentTo.get(rig.request(0, 4, 5, Api.NONE)), "and no second beside it");
    }

    @Test
    void recoveredServerGetsItsKeysBack() {
        Rig rig = rig();
        long id = rig.request(0, 1, 5, Api.NONE);
        String home = rig.sentTo.get(id);
        rig.ends(id, Outcome.TIMEOUT);
        rig.now += 2_100_000;
        assertEquals(home, rig.route(0, 3, 5, Api.NONE));
        assertEquals(home, rig.route(0, 4, 5, Api.NONE));
    }

    @Test
    void serverThatResetWhatItHadSetUpIsProvenByOneThatStands() {
        Rig rig = rig();
        long id = rig.request(0, 1, 5, Api.NONE);
        String home = rig.sentTo.get(id);
        rig.streams(id, 10_000);
        rig.node.outcome(rig.now, id, Outcome.RESET, true);
        rig.now += 2_100_000;
        long trial = rig.request(0, 2, 5, Api.NONE);
        assertEquals(home, rig.sentTo.get(trial));
        rig.streams(trial, 10_000);
        assertNotEquals(home, rig.route(0, 3, 5, Api.NONE), "that it was set up proves nothing");
        rig.now += 2_100_000;
        assertEquals(home, rig.route(0, 4, 5, Api.NONE), "that it stands does");
        assertEquals(home, rig.route(0, 6, 5, Api.NONE), "for all");
    }

    @Test
    void busyPlaceIsPassedOverForOneThatIsAskedLess() {
        Rig rig = rig();
        String home = rig.route(0, 1, 5, Api.NONE);
        for (int i = 0; i < 10; i++) {
            rig.node.probed(rig.now, "s" + i, Outcome.SERVED, home.equals("s" + i) ? 0.85 : 0.3);
        }
        String standIn = rig.route(0, 2, 5, Api.NONE);
        assertNotEquals(home, standIn);
        assertEquals(standIn, rig.route(0, 3, 5, Api.NONE), "the group stays together there");
        for (int i = 0; i < 10; i++) {
            rig.node.probed(rig.now, "s" + i, Outcome.SERVED, home.equals("s" + i) ? 0.8 : 0.85);
        }
        assertEquals(home, rig.route(0, 4, 5, Api.NONE), "the least busy, where all are");
    }

    @Test
    void whatANodeThatJustStartedPlacesCountsBeforeTheNextReport() {
        Rig rig = rig();
        for (int i = 0; i < 10; i++) {
            rig.node.probed(rig.now, "s" + i, Outcome.SERVED, 0.4); // nothing of it is this node's
        }
        for (int i = 0; i < 200; i++) {
            rig.streams(
                    rig.request(0, i, 5, Api.NONE),
                    10_000); // one group: all have the same first place
        }
        long most =
                rig.sentTo.values().stream()
                        .filter(rig.sentTo.firstEntry().getValue()::equals)
                        .count();
        assertTrue(most < 150, "of 200 came to one: " + most);
    }

    @Test
    void whoResetsAllIsNoLastResort() {
        Rig rig = Rig.of(Rig.safe()).list(Listing.ALL, Rig.server("s0", 0));
        long id = rig.request(1);
        rig.streams(id, 10_000);
        rig.node.outcome(rig.now, id, Outcome.RESET, true);
        long sends = rig.sends();
        rig.request(2);
        assertEquals(sends, rig.sends(), "it is answered at once");
        assertTrue(rig.last().startsWith("refuse"));
    }

    @Test
    void serverThatSetsUpAndThenResetsIsLeftEverLonger() {
        Rig rig = rig();
        String home = null;
        for (int round = 0; round < 3; round++) {
            long id = rig.request(0, 1, 5, Api.NONE);
            home = rig.sentTo.get(id);
            rig.streams(id, 10_000);
            rig.node.outcome(rig.now, id, Outcome.RESET, true);
            rig.now += round < 2 ? (2_100_000L << round) : 2_100_000L;
        }
        assertNotEquals(
                home,
                rig.route(0, 9, 5, Api.NONE),
                "the third time it is left for longer than 2 s");
    }

    @Test
    void lightClientsFallThroughFromAJammedDefaultAndStayTogether() {
        Rig rig = rig();
        String home = rig.route(0, 1, 5, 100);
        rig.told(home, 90);
        String standIn = rig.route(0, 2, 5, 100);
        assertNotEquals(home, standIn);
        assertEquals(standIn, rig.route(0, 3, 5, 100));
        rig.now += 2_600_000;
        assertEquals(home, rig.route(0, 4, 5, 100), "not told again, so it is over");
    }

    @Test
    void toldJamIsRememberedWhereNoConnectionIsLeft() {
        Rig rig = rig();
        String home = rig.route(0, 1, 5, 100);
        long id = rig.opened(home, 100);
        rig.node.note(rig.now, id, Note.DELAY, 90);
        rig.node.outcome(rig.now, id, Outcome.CANCELLED, true);
        rig.now += 5_000_000;
        assertNotEquals(home, rig.route(0, 2, 5, 100));
        rig.now += 5_100_000;
        assertEquals(home, rig.route(0, 3, 5, 100));
    }

    @Test
    void serverThatIsAskedTooMuchIsPassedOverWhileItsReportIsFresh() {
        // A node without a connection at a server is told no delay of it: without probes it feeds
        // the jam.
        Rig rig = Rig.of(Rig.safe()).list(Listing.ALL, Rig.fleet(4));
        long key = 1;
        String usual = rig.route(key);
        rig.node.probed(rig.now, usual, Outcome.SERVED, 0.7);
        assertEquals(usual, rig.route(key));
        rig.node.probed(rig.now, usual, Outcome.SERVED, 1.2);
        assertNotEquals(usual, rig.route(key));
        rig.node.probed(rig.now, usual, Outcome.ERROR, Api.NONE);
        assertNotEquals(usual, rig.route(key), "a probe that fails tells nothing");
        rig.now += 5 * Rig.SECOND;
        assertEquals(usual, rig.route(key));
    }

    @Test
    void reportCountsWithWhatWasPlacedSinceItWasTaken() {
        // A crowd is placed within the second that a report is old: by the report alone all would
        // go there.
        Rig rig = Rig.of(Rig.safe()).list(Listing.ALL, Rig.fleet(4));
        long key = 1;
        String usual = rig.route(key);
        for (int i = 0; i < 20; i++) {
            rig.opened(usual, 100);
        }
        for (int i = 0; i < 20; i++) {
            rig.now += Rig.SECOND / 4;
            rig.node.timer(rig.now, "probe");
        }
        rig.node.probed(rig.now, usual, Outcome.SERVED, 0.6);
        assertEquals(usual, rig.route(key));
        for (int i = 0; i < 20; i++) {
            rig.opened(usual, 100);
        }
        assertNotEquals(usual, rig.route(key));
    }

    @Test
    void heavyConnectionsAreMovedOffAServerThatIsAskedTooMuch() {
        Rig rig = Rig.of(Rig.safe()).list(Listing.ALL, Rig.fleet(4));
        for (int i = 0; i < 10; i++) {
            rig.opened("s1", 100);
        }
        long heavy = rig.opened("s1", 9000);
        for (int i = 0; i < 40; i++) {
            rig.now += Rig.SECOND;
            rig.node.probed(rig.now, "s1", Outcome.SERVED, 0.9);
        }
        assertEquals(0, moves(rig), "none is moved off a server that can do what is asked");
        for (int i = 0; i < 40; i++) {
            rig.now += Rig.SECOND;
            rig.node.probed(rig.now, "s1", Outcome.SERVED, 1.3);
        }
        assertTrue(rig.acts.contains("move " + heavy));
    }

    @Test
    void heavyConnectionsAreMovedOffAServerWhoseDelayPersists() {
        Rig rig = rig();
        long told = rig.opened("s1", 100);
        for (int i = 0; i < 10; i++) {
            rig.opened("s1", 100);
        }
        long heavy = rig.opened("s1", 9000);
        rig.node.note(rig.now, told, Note.DELAY, 500);
        assertEquals(0, moves(rig), "not at the first");
        for (int i = 0; i < 10; i++) {
            rig.now += 1_000_000;
            rig.node.note(rig.now, told, Note.DELAY, 500);
        }
        assertTrue(rig.acts.contains("move " + heavy));
        assertTrue(moves(rig) <= 10, "at most one a second");
    }

    private static long moves(Rig rig) {
        return rig.acts.stream().filter(a -> a.startsWith("move")).count();
    }

    @Test
    void jammedFleetRefusesWhatIsWorthLeastFirstAndRecovers() {
        Rig rig = Rig.of(Rig.safe(), Rig.cheap());
        rig.list(Listing.ALL, Rig.fleet(10));
        List<Long> open = IntStream.range(0, 10).mapToObj(i -> rig.opened("s" + i, 100)).toList();
        for (int i = 0; i < 40; i++) {
            rig.now += 100_000;
            if (i % 10 == 0) {
                open.subList(0, 6).forEach(id -> rig.node.note(rig.now, id, Note.DELAY, 50));
            }
            rig.route(0, 7, 7, 100);
        }
        int cheap = 0;
        int dear = 0;
        for (long k = 0; k < 100; k++) {
            cheap += rig.route(1, k, k, 100) == null ? 1 : 0;
            dear += rig.route(0, k, k, 100) == null ? 1 : 0;
        }
        assertTrue(cheap > 50, cheap + " of the cheap refused");
        assertTrue(dear < 20, dear + " of the dear refused");
        for (int i = 0; i < 400; i++) {
            rig.now += 250_000;
            rig.route(0, 7, 7, 100);
        }
        assertTrue(rig.route(1, 1, 1, 100) != null, "the jam is over");
    }

    @Test
    void stormOfErrorsIsThrottledAndNotFedByFurtherAttempts() {
        Rig rig = rig();
        for (int i = 0; i < 200; i++) {
            long id = rig.request(i);
            for (int attempt = 0; attempt < 6 && !rig.last().endsWith("refuse " + id); attempt++) {
                rig.ends(id, Outcome.ERROR);
            }
        }
        assertTrue(
                rig.sends() < 60, rig.sends() + " attempts for 200 requests of which none stands");
        rig.now += 60_000_000;
        assertTrue(rig.route(1) != null, "tried again once the storm is over");
    }

    @Test
    void setUpsThatWaitEverywhereAreNotGivenUpEarly() {
        // Behind a queue that all share each try given up is work wasted and one more in the queue.
        Rig rig = Rig.of(Rig.safe()).list(Listing.ALL, Rig.fleet(4));
        for (int i = 1; i <= 5; i++) {
            rig.request(i);
            assertTrue(rig.lastTimeout > 0, "an early one leaves room for another try");
        }
        rig.request(6);
        assertEquals(0, rig.lastTimeout);
        for (int i = 1; i <= 6; i++) {
            rig.streams(i, 10_000);
        }
        rig.request(7);
        assertTrue(rig.lastTimeout > 0);
    }

    @Test
    void resetsOfConnectionsThatStoodDoNotThrottleNewOnes() {
        Rig rig = rig();
        rig.route(99);
        List<Long> old =
                IntStream.range(0, 30).mapToObj(i -> rig.opened("s" + i % 10, 100)).toList();
        old.forEach(id -> rig.node.outcome(rig.now, id, Outcome.RESET, true));
        rig.now += 5_000_000;
        for (long k = 0; k < 30; k++) {
            assertTrue(rig.route(k) != null, "request " + k + " after a crowd of resets");
        }
    }

    @Test
    void connectionsThatAreResetDidNotStand() {
        Rig rig = rig();
        for (int i = 0; i < 200; i++) {
            long id = rig.request(i);
            if (rig.last().startsWith("send")) {
                rig.streams(id, 10_000);
                rig.node.outcome(rig.now, id, Outcome.RESET, true);
            }
            rig.now += 20_000;
        }
        assertTrue(rig.sends() < 60, rig.sends() + " set-ups, all reset");
    }

    @Test
    void midFlowConnectionsStayWithTheirHashedDefault() {
        Rig rig = rig();
        String home = rig.route(0, 1, 5, 100);
        rig.told(home, 90);
        rig.node.request(
                rig.now, new Api.Request(900, 0, 0, 2, 5, 100, rig.now + 1_200_000, false, true));
        assertEquals(home, rig.sentTo.get(900L));
    }

    @Test
    void withoutTheLoadTheTimeOpenMarksAHeavyClient() {
        int apart = 0;
        for (int seed = 1; seed <= 40; seed++) {
            apart += leaves(seed * 7919L, 100 * Rig.SECOND) ? 1 : 0;
            apart -= leaves(seed * 7919L, Rig.SECOND / 10) ? 1 : 0;
        }
        assertTrue(
                apart > 5,
                "of 40 clients each, " + apart + " more that were open long left the default");
    }

    /** Whether a client leaves its slow default after a connection that was open so long. */
    private static boolean leaves(long seed, long open) {
        Rig rig =
                new Rig(Rig.settings(0.02, false, Rig.safe()), seed)
                        .list(Listing.ALL, Rig.fleet(10));
        for (long k = 0; k < 200; k++) {
            rig.route(1_000 + k); // all servers are heard from
        }
        String home = rig.route(0, 1, 5, Api.NONE);
        for (int round = 0; round < 20; round++) {
            long id = rig.request(0, round == 10 ? 7 : 50 + round, 5, Api.NONE);
            rig.streams(id, 10_000);
            rig.now += round == 10 ? open : Rig.SECOND;
            rig.node.outcome(rig.now, id, Outcome.SERVED, true);
        }
        rig.told(home, 25);
        rig.now += 300_000;
        return !home.equals(rig.sentTo.get(rig.request(0, 7, 5, Api.NONE)));
    }

    @Test
    void errorSaysNothingAgainstOneServer() {
        Rig rig = rig();
        long id = rig.request(0, 1, 5, Api.NONE);
        String home = rig.sentTo.get(id);
        rig.ends(id, Outcome.ERROR);
        assertEquals(home, rig.route(0, 2, 5, Api.NONE));
    }

    @Test
    void coldServerTakesNoCrowdThatReturns() {
        Rig rig = Rig.of(Rig.safe());
        Server[] fleet = Rig.fleet(2);
        fleet[1] = new Server("s1", 1, 1, Health.READY, 1, rig.now - 9 * Rig.SECOND);
        rig.list(Listing.ALL, fleet);
        for (long k = 0; k < 200; k++) {
            long deadline = rig.now + 1_200_000;
            rig.node.request(
                    rig.now, new Api.Request(1_000 + k, 0, 0, k, k, 1, deadline, true, false));
        }
        assertTrue(
                rig.sentTo.values().stream().filter("s1"::equals).count() <= 2,
                "the budget, no more");
    }

    @Test
    void crossingsAreSparedWhereTheyAreDear() {
        Rig rig =
                new Rig(Rig.settings(0.12, false, Rig.safe()), 1).list(Listing.ALL, Rig.fleet(10));
        for (long k = 0; k < 200; k++) {
            assertEquals(0, Integer.parseInt(rig.route(k).substring(1)) % 2);
        }
        Server[] far = {Rig.server("s1", 1)};
        rig.list(Listing.ALL, far);
        rig.now += 3 * Rig.SECOND;
        assertEquals("s1", rig.route(1), "the other zone when the own has none");
    }

    @Test
    void listIsAskedWithJitterAndAgainAfterARefusal() {
        Rig one = new Rig(Rig.settings(0.02, true, Rig.safe()), 1);
        Rig two = new Rig(Rig.settings(0.02, true, Rig.safe()), 2);
        assertNotEquals(one.last(), two.last());
        one.node.timer(one.now, "list");
        assertEquals("watch", one.last());
        one.list(Listing.REFUSED);
        assertTrue(one.last().startsWith("timer list"), one.last());
    }
}

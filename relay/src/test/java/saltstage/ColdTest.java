package saltstage;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import saltstage.Api.Health;
import saltstage.Api.Listing;
import saltstage.Api.Outcome;
import saltstage.Api.Request;
import saltstage.Api.Rules;
import saltstage.Api.Server;
import saltstage.Api.Settings;

/**
 * Rule 4: s1 has just started and warms up over 1,000 s; s0 is warm and holds 4,000 connections.
 */
class ColdTest {
    /**
     * As long as the warm-up: what the rule allows in it is the warm server's filling, a few times.
     */
    private static final long LONG = 1_000 * Rig.SECOND;

    private static Rig rig() {
        return rig(4_000);
    }

    private static Rig rig(int connections) {
        return rig(connections, 100);
    }

    private static Rig rig(int connections, long quota) {
        return rig(connections, quota, 2 * Rig.SECOND);
    }

    private static Rig rig(int connections, long quota, long fall) {
        Settings s = Rig.settings(0.02, false, Rig.safe());
        Rules slow = new Rules(Rig.SECOND, 0.25, 1_000 * Rig.SECOND, 2.5, fall, 10 * Rig.SECOND);
        Rig rig =
                new Rig(
                        new Settings(
                                s.fleetSize(),
                                s.zone(),
                                s.classes(),
                                List.of(quota, quota),
                                s.overShareWorth(),
                                s.maxAttempts(),
                                s.connectTimeout(),
                                false,
                                true,
                                0.02,
                                0,
                                5000,
                                false,
                                slow),
                        1);
        rig.list(
                Listing.ALL, Rig.server("s0", 0), new Server("s1", 1, 1, Health.READY, 1, rig.now));
        for (int i = 0; i < connections; i++) {
            rig.opened("s0", 1);
        }
        rig.route(0, 1, 1, 1);
        return rig;
    }

    private static long sentToCold(Rig rig, boolean again, long pause) {
        return sentToCold(rig, 200, again, pause);
    }

    private static long sentToCold(Rig rig, int requests, boolean again, long pause) {
        long before = rig.sentTo.values().stream().filter("s1"::equals).count();
        for (long k = 0; k < requests; k++) {
            sent(rig, k, again, pause);
        }
        return rig.sentTo.values().stream().filter("s1"::equals).count() - before;
    }

    private static void sent(Rig rig, long k, boolean again, long pause) {
        rig.now += pause;
        long deadline = rig.now + 1_200_000;
        rig.node.request(rig.now, new Request(100_000 + k, 0, 0, k, k, 1, deadline, again, false));
        rig.streams(100_000 + k, 10_000);
    }

    @Test
    void keysAreAdmittedUnderTheThreshold() {
        // Its half of the keys, times a share that rises from 0.25 to 0.55: about 40 of 200.
        assertEquals(40, sentToCold(rig(), false, 2 * Rig.SECOND), 15);
    }

    @Test
    void serverWhoseStartLiesAheadOfTheClockIsWarmOnceItHasBeenKnownForItsWarmUp() {
        Rig rig = rig(4_000);
        rig.list(
                Listing.ALL,
                Rig.server("s0", 0),
                new Server("s1", 1, 1, Health.READY, 1, rig.now + 3_600 * Rig.SECOND));
        rig.now += LONG + Rig.SECOND;
        assertEquals(100, sentToCold(rig, false, 1_000), 25);
    }

    @Test
    void burstIsHeldToTheBudget() {
        assertTrue(sentToCold(rig(), false, 1_000) <= 2);
    }

    @Test
    void freshReportOfRoomIsFilledAtOnceByHalfOfThisNodesShareOfWhatTheRuleAllows() {
        long blind = sentToCold(rig(60, 100, LONG), false, 1_000);
        assertTrue(blind <= 2, "a burst is held to the budget: " + blind);
        assertEquals(9, sentToCold(reporting(0.01, LONG), false, 1_000), 2);
        assertEquals(5, sentToCold(reporting(0.01, LONG / 2), false, 1_000), 2);
        // Own placements count as every relay's: half of the room, half the clients.
        assertEquals(6, sentToCold(reporting(0.1, LONG), false, 1_000), 2);
        assertTrue(
                sentToCold(reporting(0.3, LONG), false, 1_000) <= blind,
                "more than its part is asked");
    }

    @Test
    void coldServerIsAskedEachSecond() {
        Rig rig = rig();
        rig.node.timer(rig.now, "probe");
        rig.acts.clear();
        rig.now += 1_100_000;
        rig.node.timer(rig.now, "probe");
        assertTrue(rig.acts.contains("probe s1"), "it fills within seconds");
        assertTrue(!rig.acts.contains("probe s0"), "a calm warm one can wait");
    }

    private static Rig reporting(double asked, long fall) {
        Rig rig = rig(60, 100, fall);
        rig.node.probed(rig.now, "s1", Outcome.SERVED, asked);
        return rig;
    }

    @Test
    void returningClientsGoThereInTheSameBudget() {
        assertEquals(40, sentToCold(rig(), true, 2 * Rig.SECOND), 15);
        assertTrue(sentToCold(rig(), true, 1_000) <= 2, "a crowd of them too");
    }

    @Test
    void coldServerTakesWhomAJammedOneCannotWithinItsBudget() {
        assertEquals(200, besideAJammedOne(2 * Rig.SECOND), "all that come, as it has room");
        assertTrue(besideAJammedOne(1_000) <= 2, "a burst is held to the budget all the same");
    }

    private static long besideAJammedOne(long pause) {
        Rig rig = rig();
        rig.opened("s1", 1); // else all that is heard of would be jammed: the fleet's matter
        long before = rig.sentTo.values().stream().filter("s1"::equals).count();
        for (int i = 0; i < 200; i++) {
            rig.told("s0", 500);
            sent(rig, i, false, pause);
        }
        return rig.sentTo.values().stream().filter("s1"::equals).count() - before;
    }

    @Test
    void relayThatHasSeenNothingCountsOnHalfItsEvenPartOfTheTenantsShares() {
        assertEquals(0, sentToCold(rig(0), 100, false, Rig.SECOND / 2), 1);
        assertEquals(13, sentToCold(rig(0, 200_000), 100, false, Rig.SECOND / 2), 7);
    }

    @Test
    void budgetIsAPartOfWhatAWarmServerIsSeenToDo() {
        Rig few = rig(10);
        assertTrue(
                sentToCold(few, 100, false, Rig.SECOND / 2) <= 2,
                "ten connections tell of a small fleet");
        Rig told = rig(10);
        for (int i = 0; i < 40; i++) {
            told.node.timer(told.now, "probe");
        }
        told.node.probed(
                told.now, "s0", Outcome.SERVED, 0.002); // these ten are a 500th of what it can do
        assertEquals(13, sentToCold(told, 100, false, Rig.SECOND / 2), 7);
    }

    @Test
    void partOfTheCapacityIsHandedToTheNextProcessAndOutlastsAMomentWithLittle() {
        Rig old = rig(10);
        for (int i = 0; i < 40; i++) {
            old.node.timer(old.now, "probe");
        }
        old.node.probed(old.now, "s0", Outcome.SERVED, 0.002);
        old.now += 2 * Rig.SECOND;
        old.route(0, 1, 1, 1); // ranks
        Rig fresh = rig(10);
        fresh.node.learn(fresh.now, old.node.learnt(old.now));
        fresh.node.probed(
                fresh.now, "s0", Outcome.SERVED, 0.3); // the old process's connections, not its own
        assertEquals(13, sentToCold(fresh, 100, false, Rig.SECOND / 2), 7);
    }
}

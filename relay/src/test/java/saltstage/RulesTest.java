package saltstage;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import saltstage.Api.Health;
import saltstage.Api.Listing;
import saltstage.Api.Outcome;
import saltstage.Api.Scope;
import saltstage.Api.Server;

class RulesTest {
    @Test
    void heldRequestIsAnsweredBeforeItsDeadline() {
        Rig rig = Rig.of(Rig.safe());
        long id = rig.request(1);
        assertEquals("timer " + id + " 1195000", rig.last());
        rig.now += 1_195_000;
        rig.node.timer(rig.now, Long.toString(id));
        assertEquals("refuse " + id, rig.last());
        rig.list(Listing.ALL, Rig.fleet(3));
        assertEquals(0, rig.sends());
    }

    @Test
    void heldRequestGoesOutWhenAServerIsNamed() {
        Rig rig = Rig.of(Rig.safe());
        long id = rig.request(1);
        rig.list(Listing.ALL, Rig.fleet(3));
        assertTrue(rig.sentTo.containsKey(id));
    }

    @Test
    void requestIsHeldWhenTheLastServerDrainsBeforeTablesAreRebuilt() {
        Server only = Rig.server("s0", 0);
        Rig rig = Rig.of(Rig.safe()).list(Listing.ALL, only);
        assertEquals("s0", rig.route(1));
        rig.list(Listing.CHANGES, Rig.as(only, Health.DRAINING));
        rig.request(2);
        assertTrue(rig.last().startsWith("timer"), rig.last());
    }

    @Test
    void clientThatLeftIsOwedNothing() {
        Rig rig = Rig.of(Rig.safe());
        long held = rig.request(1);
        rig.node.gone(rig.now, held);
        rig.list(Listing.ALL, Rig.fleet(3));
        long out = rig.request(2);
        rig.node.gone(rig.now, out);
        int before = rig.acts.size();
        rig.ends(out, Outcome.TIMEOUT);
        assertEquals(before, rig.acts.size());
        assertEquals(1, rig.sends());
    }

    @Test
    void timeOutAtTheDeadlineIsAnswered() {
        Rig rig = Rig.of(Rig.safe()).list(Listing.ALL, Rig.fleet(3));
        long id = rig.request(1);
        rig.now += 1_200_000;
        rig.ends(id, Outcome.TIMEOUT);
        assertEquals("refuse " + id, rig.last());
    }

    @Test
    void nextAttemptGoesElsewhereAndOnlyAfterTheFirstEnded() {
        Rig rig = Rig.of(Rig.safe()).list(Listing.ALL, Rig.fleet(5));
        long id = rig.request(1);
        String first = rig.sentTo.get(id);
        assertEquals(1, rig.sends());
        assertEquals(300_000, rig.lastTimeout, "the aim: leaves room for another");
        rig.now += rig.lastTimeout;
        rig.ends(id, Outcome.TIMEOUT);
        assertEquals(2, rig.sends());
        assertNotEquals(first, rig.sentTo.get(id));
    }

    @Test
    void attemptsAreCounted() {
        Rig rig = Rig.of(Rig.safe()).list(Listing.ALL, Rig.fleet(20));
        long id = rig.request(1);
        for (int i = 0; i < 6; i++) {
            rig.ends(id, Outcome.UNREACHABLE);
        }
        assertEquals(6, rig.sends());
        assertEquals("refuse " + id, rig.last());
    }

    @Test
    void unsafeThatMayHaveRunFailsWithoutPromise() {
        Rig rig = Rig.of(Rig.unsafe()).list(Listing.ALL, Rig.fleet(5));
        long id = rig.request(1);
        assertEquals(0, rig.lastTimeout, "an early time-out would only end it");
        rig.ends(id, Outcome.RESET);
        assertEquals("fail " + id, rig.last());
        long other = rig.request(2);
        rig.ends(other, Outcome.UNREACHABLE);
        assertEquals(3, rig.sends());
    }

    @Test
    void keyedIsRepeatedOnlyInItsScopeAndMemory() {
        Rig rig = Rig.of(Rig.keyed(Scope.ZONE)).list(Listing.ALL, Rig.fleet(20));
        for (int i = 0; i < 20; i++) {
            long id = rig.request(i);
            String first = rig.sentTo.get(id);
            rig.ends(id, Outcome.TIMEOUT);
            String second = rig.sentTo.get(id);
            assertEquals(zone(first), zone(second));
            rig.now += 600_000;
            long sends = rig.sends();
            rig.ends(id, Outcome.TIMEOUT);
            assertEquals(sends, rig.sends(), "its memory is over");
            assertEquals("fail " + id, rig.last());
            rig.now += 60 * Rig.SECOND;
        }
    }

    @Test
    void keyedInACellStaysInTheCell() {
        Rig rig = Rig.of(Rig.keyed(Scope.CELL));
        Server[] two = {
            new Server("a", 0, 1, Health.READY, 1, 0), new Server("b", 0, 2, Health.READY, 1, 0)
        };
        rig.list(Listing.ALL, two);
        long id = rig.request(1);
        rig.ends(id, Outcome.TIMEOUT);
        assertEquals(1, rig.sends());
        assertEquals("fail " + id, rig.last());
    }

    @Test
    void drainingAndGoneServersGetNothing() {
        Server[] fleet = Rig.fleet(4);
        Rig rig = Rig.of(Rig.safe()).list(Listing.ALL, fleet);
        rig.list(Listing.CHANGES, Rig.as(fleet[0], Health.DRAINING), Rig.as(fleet[1], Health.GONE));
        for (int i = 0; i < 200; i++) {
            String to = rig.route(i);
            assertFalse(to.equals("s0") || to.equals("s1"), to);
        }
        rig.list(Listing.ALL, fleet[3]);
        for (int i = 0; i < 50; i++) {
            assertEquals("s3", rig.route(i));
        }
    }

    @Test
    void coldServerTakesAShareThatRises() {
        Rig rig = Rig.of(Rig.safe());
        Server[] fleet = Rig.fleet(2);
        fleet[1] = new Server("s1", 1, 1, Health.READY, 1, rig.now);
        rig.list(Listing.ALL, fleet);
        int cold = share(rig);
        rig.now += 5 * Rig.SECOND;
        int half = share(rig);
        rig.now += 6 * Rig.SECOND;
        int warm = share(rig);
        assertTrue(cold <= 160, "cold " + cold);
        assertTrue(half <= 360, "half warm " + half);
        assertEquals(500, warm, 50);
    }

    private static int share(Rig rig) {
        int n = 0;
        for (int i = 0; i < 1000; i++) {
            n += rig.route(i).equals("s1") ? 1 : 0;
        }
        return n;
    }

    private static int zone(String id) {
        return Integer.parseInt(id.substring(1)) % 2;
    }
}

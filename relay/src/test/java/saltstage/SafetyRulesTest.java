package saltstage;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import saltstage.Api.BackendListKind;
import saltstage.Api.DeduplicationScope;
import saltstage.Api.Health;
import saltstage.Api.ListedBackend;
import saltstage.Api.Outcome;

class SafetyRulesTest {
    @Test
    void waitingRequestIsAnsweredBeforeItsDeadline() {
        LoadBalancerHarness rig = LoadBalancerHarness.of(LoadBalancerHarness.idempotentClass());
        long id = rig.request(1);
        assertEquals("timer " + id + " 1195000", rig.lastAction());
        rig.now += 1_195_000;
        rig.loadBalancer.timerFired(rig.now, Long.toString(id));
        assertEquals("refuse " + id, rig.lastAction());
        rig.receiveList(BackendListKind.FULL, LoadBalancerHarness.backends(3));
        assertEquals(0, rig.attemptCount());
    }

    @Test
    void waitingRequestIsSentWhenABackendIsListed() {
        LoadBalancerHarness rig = LoadBalancerHarness.of(LoadBalancerHarness.idempotentClass());
        long id = rig.request(1);
        rig.receiveList(BackendListKind.FULL, LoadBalancerHarness.backends(3));
        assertTrue(rig.backendByRequest.containsKey(id));
    }

    @Test
    void requestWaitsWhenTheLastBackendDrainsBeforeTablesAreRebuilt() {
        ListedBackend only = LoadBalancerHarness.backend("s0", 0);
        LoadBalancerHarness rig =
                LoadBalancerHarness.of(LoadBalancerHarness.idempotentClass())
                        .receiveList(BackendListKind.FULL, only);
        assertEquals("s0", rig.route(1));
        rig.receiveList(
                BackendListKind.DELTA, LoadBalancerHarness.withHealth(only, Health.DRAINING));
        rig.request(2);
        assertTrue(rig.lastAction().startsWith("timer"), rig.lastAction());
    }

    @Test
    void clientThatLeftGetsNoAnswer() {
        LoadBalancerHarness rig = LoadBalancerHarness.of(LoadBalancerHarness.idempotentClass());
        long held = rig.request(1);
        rig.loadBalancer.clientLeft(rig.now, held);
        rig.receiveList(BackendListKind.FULL, LoadBalancerHarness.backends(3));
        long out = rig.request(2);
        rig.loadBalancer.clientLeft(rig.now, out);
        int before = rig.actions.size();
        rig.endAttempt(out, Outcome.TIMEOUT);
        assertEquals(before, rig.actions.size());
        assertEquals(1, rig.attemptCount());
    }

    @Test
    void timeoutAtTheDeadlineIsAnswered() {
        LoadBalancerHarness rig =
                LoadBalancerHarness.of(LoadBalancerHarness.idempotentClass())
                        .receiveList(BackendListKind.FULL, LoadBalancerHarness.backends(3));
        long id = rig.request(1);
        rig.now += 1_200_000;
        rig.endAttempt(id, Outcome.TIMEOUT);
        assertEquals("refuse " + id, rig.lastAction());
    }

    @Test
    void nextAttemptGoesElsewhereAndOnlyAfterTheFirstEnded() {
        LoadBalancerHarness rig =
                LoadBalancerHarness.of(LoadBalancerHarness.idempotentClass())
                        .receiveList(BackendListKind.FULL, LoadBalancerHarness.backends(5));
        long id = rig.request(1);
        String first = rig.backendByRequest.get(id);
        assertEquals(1, rig.attemptCount());
        assertEquals(300_000, rig.lastAttemptTimeout, "the aim: leaves room for another");
        rig.now += rig.lastAttemptTimeout;
        rig.endAttempt(id, Outcome.TIMEOUT);
        assertEquals(2, rig.attemptCount());
        assertNotEquals(first, rig.backendByRequest.get(id));
    }

    @Test
    void attemptsAreLimited() {
        LoadBalancerHarness rig =
                LoadBalancerHarness.of(LoadBalancerHarness.idempotentClass())
                        .receiveList(BackendListKind.FULL, LoadBalancerHarness.backends(20));
        long id = rig.request(1);
        for (int i = 0; i < 6; i++) {
            rig.endAttempt(id, Outcome.UNREACHABLE);
        }
        assertEquals(6, rig.attemptCount());
        assertEquals("refuse " + id, rig.lastAction());
    }

    @Test
    void notIdempotentRequestThatMayHaveRunFails() {
        LoadBalancerHarness rig =
                LoadBalancerHarness.of(LoadBalancerHarness.notIdempotentClass())
                        .receiveList(BackendListKind.FULL, LoadBalancerHarness.backends(5));
        long id = rig.request(1);
        assertEquals(0, rig.lastAttemptTimeout, "an early time-out would only end it");
        rig.endAttempt(id, Outcome.RESET);
        assertEquals("fail " + id, rig.lastAction());
        long other = rig.request(2);
        rig.endAttempt(other, Outcome.UNREACHABLE);
        assertEquals(3, rig.attemptCount());
    }

    @Test
    void deduplicatedRequestIsRetriedOnlyInItsScopeAndWindow() {
        LoadBalancerHarness rig =
                LoadBalancerHarness.of(
                                LoadBalancerHarness.deduplicatedClass(DeduplicationScope.ZONE))
                        .receiveList(BackendListKind.FULL, LoadBalancerHarness.backends(20));
        for (int i = 0; i < 20; i++) {
            long id = rig.request(i);
            String first = rig.backendByRequest.get(id);
            rig.endAttempt(id, Outcome.TIMEOUT);
            String second = rig.backendByRequest.get(id);
            assertEquals(zone(first), zone(second));
            rig.now += 600_000;
            long sends = rig.attemptCount();
            rig.endAttempt(id, Outcome.TIMEOUT);
            assertEquals(sends, rig.attemptCount(), "its memory is over");
            assertEquals("fail " + id, rig.lastAction());
            rig.now += 60 * LoadBalancerHarness.SECOND_MICROS;
        }
    }

    @Test
    void requestDeduplicatedInACellStaysInTheCell() {
        LoadBalancerHarness rig =
                LoadBalancerHarness.of(
                        LoadBalancerHarness.deduplicatedClass(DeduplicationScope.CELL));
        ListedBackend[] two = {
            new ListedBackend("a", 0, 1, Health.READY, 1, 0),
            new ListedBackend("b", 0, 2, Health.READY, 1, 0)
        };
        rig.receiveList(BackendListKind.FULL, two);
        long id = rig.request(1);
        rig.endAttempt(id, Outcome.TIMEOUT);
        assertEquals(1, rig.attemptCount());
        assertEquals("fail " + id, rig.lastAction());
    }

    @Test
    void drainingAndGoneBackendsGetNoRequests() {
        ListedBackend[] fleet = LoadBalancerHarness.backends(4);
        LoadBalancerHarness rig =
                LoadBalancerHarness.of(LoadBalancerHarness.idempotentClass())
                        .receiveList(BackendListKind.FULL, fleet);
        rig.receiveList(
                BackendListKind.DELTA,
                LoadBalancerHarness.withHealth(fleet[0], Health.DRAINING),
                LoadBalancerHarness.withHealth(fleet[1], Health.GONE));
        for (int i = 0; i < 200; i++) {
            String to = rig.route(i);
            assertFalse(to.equals("s0") || to.equals("s1"), to);
        }
        rig.receiveList(BackendListKind.FULL, fleet[3]);
        for (int i = 0; i < 50; i++) {
            assertEquals("s3", rig.route(i));
        }
    }

    @Test
    void coldBackendTakesARisingShare() {
        LoadBalancerHarness rig = LoadBalancerHarness.of(LoadBalancerHarness.idempotentClass());
        ListedBackend[] fleet = LoadBalancerHarness.backends(2);
        fleet[1] = new ListedBackend("s1", 1, 1, Health.READY, 1, rig.now);
        rig.receiveList(BackendListKind.FULL, fleet);
        int cold = countSentToCold(rig);
        rig.now += 5 * LoadBalancerHarness.SECOND_MICROS;
        int half = countSentToCold(rig);
        rig.now += 6 * LoadBalancerHarness.SECOND_MICROS;
        int warm = countSentToCold(rig);
        assertTrue(cold <= 160, "cold " + cold);
        assertTrue(half <= 360, "half warm " + half);
        assertEquals(500, warm, 50);
    }

    private static int countSentToCold(LoadBalancerHarness rig) {
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

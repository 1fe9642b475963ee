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

/** Checks the four safety rules and the limits of retries. */
class SafetyRulesTest {
    @Test
    void waitingRequestIsAnsweredBeforeItsDeadline() {
        LoadBalancerHarness harness = LoadBalancerHarness.of(LoadBalancerHarness.idempotentClass());
        long id = harness.request(1);
        assertEquals("timer " + id + " 1195000", harness.lastAction());
        harness.now += 1_195_000;
        harness.loadBalancer.timerFired(harness.now, Long.toString(id));
        assertEquals("reject " + id, harness.lastAction());
        harness.receiveList(BackendListKind.FULL, LoadBalancerHarness.backends(3));
        assertEquals(0, harness.attemptCount());
    }

    @Test
    void waitingRequestIsSentWhenABackendIsListed() {
        LoadBalancerHarness harness = LoadBalancerHarness.of(LoadBalancerHarness.idempotentClass());
        long id = harness.request(1);
        harness.receiveList(BackendListKind.FULL, LoadBalancerHarness.backends(3));
        assertTrue(harness.backendByRequest.containsKey(id));
    }

    @Test
    void requestWaitsWhenTheLastBackendDrainsBeforeTablesAreRebuilt() {
        ListedBackend only = LoadBalancerHarness.backend("s0", 0);
        LoadBalancerHarness harness =
                LoadBalancerHarness.of(LoadBalancerHarness.idempotentClass())
                        .receiveList(BackendListKind.FULL, only);
        assertEquals("s0", harness.route(1));
        harness.receiveList(
                BackendListKind.DELTA, LoadBalancerHarness.withHealth(only, Health.DRAINING));
        harness.request(2);
        assertTrue(harness.lastAction().startsWith("timer"), harness.lastAction());
    }

    @Test
    void clientThatLeftGetsNoAnswer() {
        LoadBalancerHarness harness = LoadBalancerHarness.of(LoadBalancerHarness.idempotentClass());
        long waiting = harness.request(1);
        harness.loadBalancer.clientLeft(harness.now, waiting);
        harness.receiveList(BackendListKind.FULL, LoadBalancerHarness.backends(3));
        long sent = harness.request(2);
        harness.loadBalancer.clientLeft(harness.now, sent);
        int before = harness.actions.size();
        harness.endAttempt(sent, Outcome.TIMEOUT);
        assertEquals(before, harness.actions.size());
        assertEquals(1, harness.attemptCount());
    }

    @Test
    void timeoutAtTheDeadlineIsAnswered() {
        LoadBalancerHarness harness =
                LoadBalancerHarness.of(LoadBalancerHarness.idempotentClass())
                        .receiveList(BackendListKind.FULL, LoadBalancerHarness.backends(3));
        long id = harness.request(1);
        harness.now += 1_200_000;
        harness.endAttempt(id, Outcome.TIMEOUT);
        assertEquals("reject " + id, harness.lastAction());
    }

    @Test
    void nextAttemptGoesElsewhereAndOnlyAfterTheFirstEnded() {
        LoadBalancerHarness harness =
                LoadBalancerHarness.of(LoadBalancerHarness.idempotentClass())
                        .receiveList(BackendListKind.FULL, LoadBalancerHarness.backends(5));
        long id = harness.request(1);
        String first = harness.backendByRequest.get(id);
        assertEquals(1, harness.attemptCount());
        assertEquals(
                300_000,
                harness.lastAttemptTimeout,
                "the latency target leaves time for another attempt");
        harness.now += harness.lastAttemptTimeout;
        harness.endAttempt(id, Outcome.TIMEOUT);
        assertEquals(2, harness.attemptCount());
        assertNotEquals(first, harness.backendByRequest.get(id));
    }

    @Test
    void attemptsAreLimited() {
        LoadBalancerHarness harness =
                LoadBalancerHarness.of(LoadBalancerHarness.idempotentClass())
                        .receiveList(BackendListKind.FULL, LoadBalancerHarness.backends(20));
        long id = harness.request(1);
        for (int i = 0; i < 6; i++) {
            harness.endAttempt(id, Outcome.UNREACHABLE);
        }
        assertEquals(6, harness.attemptCount());
        assertEquals("reject " + id, harness.lastAction());
    }

    @Test
    void notIdempotentRequestThatMayHaveRunFails() {
        LoadBalancerHarness harness =
                LoadBalancerHarness.of(LoadBalancerHarness.notIdempotentClass())
                        .receiveList(BackendListKind.FULL, LoadBalancerHarness.backends(5));
        long id = harness.request(1);
        assertEquals(0, harness.lastAttemptTimeout, "a timeout would only fail the request early");
        harness.endAttempt(id, Outcome.RESET);
        assertEquals("fail " + id, harness.lastAction());
        long other = harness.request(2);
        harness.endAttempt(other, Outcome.UNREACHABLE);
        assertEquals(3, harness.attemptCount());
    }

    @Test
    void deduplicatedRequestIsRetriedOnlyInItsScopeAndWindow() {
        LoadBalancerHarness harness =
                LoadBalancerHarness.of(
                                LoadBalancerHarness.deduplicatedClass(DeduplicationScope.ZONE))
                        .receiveList(BackendListKind.FULL, LoadBalancerHarness.backends(20));
        for (int i = 0; i < 20; i++) {
            long id = harness.request(i);
            String first = harness.backendByRequest.get(id);
            harness.endAttempt(id, Outcome.TIMEOUT);
            String second = harness.backendByRequest.get(id);
            assertEquals(zone(first), zone(second));
            harness.now += 600_000;
            long attemptsBefore = harness.attemptCount();
            harness.endAttempt(id, Outcome.TIMEOUT);
            assertEquals(
                    attemptsBefore, harness.attemptCount(), "the deduplication window has ended");
            assertEquals("fail " + id, harness.lastAction());
            harness.now += 60 * LoadBalancerHarness.SECOND_MICROS;
        }
    }

    @Test
    void requestDeduplicatedInACellStaysInTheCell() {
        LoadBalancerHarness harness =
                LoadBalancerHarness.of(
                        LoadBalancerHarness.deduplicatedClass(DeduplicationScope.CELL));
        ListedBackend[] backends = {
            new ListedBackend("a", 0, 1, Health.READY, 1, 0),
            new ListedBackend("b", 0, 2, Health.READY, 1, 0)
        };
        harness.receiveList(BackendListKind.FULL, backends);
        long id = harness.request(1);
        harness.endAttempt(id, Outcome.TIMEOUT);
        assertEquals(1, harness.attemptCount());
        assertEquals("fail " + id, harness.lastAction());
    }

    @Test
    void drainingAndGoneBackendsGetNoRequests() {
        ListedBackend[] fleet = LoadBalancerHarness.backends(4);
        LoadBalancerHarness harness =
                LoadBalancerHarness.of(LoadBalancerHarness.idempotentClass())
                        .receiveList(BackendListKind.FULL, fleet);
        harness.receiveList(
                BackendListKind.DELTA,
                LoadBalancerHarness.withHealth(fleet[0], Health.DRAINING),
                LoadBalancerHarness.withHealth(fleet[1], Health.GONE));
        for (int i = 0; i < 200; i++) {
            String backendId = harness.route(i);
            assertFalse(backendId.equals("s0") || backendId.equals("s1"), backendId);
        }
        harness.receiveList(BackendListKind.FULL, fleet[3]);
        for (int i = 0; i < 50; i++) {
            assertEquals("s3", harness.route(i));
        }
    }

    @Test
    void coldBackendTakesARisingShare() {
        LoadBalancerHarness harness = LoadBalancerHarness.of(LoadBalancerHarness.idempotentClass());
        ListedBackend[] fleet = LoadBalancerHarness.backends(2);
        fleet[1] = new ListedBackend("s1", 1, 1, Health.READY, 1, harness.now);
        harness.receiveList(BackendListKind.FULL, fleet);
        int cold = countSentToCold(harness);
        harness.now += 5 * LoadBalancerHarness.SECOND_MICROS;
        int half = countSentToCold(harness);
        harness.now += 6 * LoadBalancerHarness.SECOND_MICROS;
        int warm = countSentToCold(harness);
        assertTrue(cold <= 160, "cold " + cold);
        assertTrue(half <= 360, "half warm " + half);
        assertEquals(500, warm, 50);
    }

    private static int countSentToCold(LoadBalancerHarness harness) {
        int count = 0;
        for (int i = 0; i < 1000; i++) {
            count += harness.route(i).equals("s1") ? 1 : 0;
        }
        return count;
    }

    private static int zone(String id) {
        return Integer.parseInt(id.substring(1)) % 2;
    }
}

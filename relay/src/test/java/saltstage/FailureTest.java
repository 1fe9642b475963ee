package saltstage;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import saltstage.Api.BackendListKind;
import saltstage.Api.ConnectionReport;
import saltstage.Api.Health;
import saltstage.Api.ListedBackend;
import saltstage.Api.Outcome;

/** Guards against failures that were found in simulations, each reduced to a small scenario. */
class FailureTest {
    private static LoadBalancerHarness harness() {
        return LoadBalancerHarness.of(LoadBalancerHarness.idempotentClass())
                .receiveList(BackendListKind.FULL, LoadBalancerHarness.backends(10));
    }

    @Test
    void silentBackendIsEjectedAfterOneTimeoutAndRetriedByOneRequest() {
        LoadBalancerHarness harness = harness();
        long id = harness.request(0, 1, 5, Api.NONE);
        String silent = harness.backendByRequest.get(id);
        harness.now += 150_000;
        harness.endAttempt(id, Outcome.TIMEOUT);
        String alternative = harness.backendByRequest.get(id);
        assertEquals(
                alternative,
                harness.route(0, 2, 5, Api.NONE),
                "the group stays together at its alternative backend");
        harness.now += 2_100_000;
        assertEquals(
                silent,
                harness.backendByRequest.get(harness.request(0, 3, 5, Api.NONE)),
                "one request retries the ejected backend");
        assertEquals(
                alternative,
                harness.backendByRequest.get(harness.request(0, 4, 5, Api.NONE)),
                "no second request goes there during the trial");
    }

    @Test
    void recoveredBackendGetsItsKeysBack() {
        LoadBalancerHarness harness = harness();
        long id = harness.request(0, 1, 5, Api.NONE);
        String defaultBackend = harness.backendByRequest.get(id);
        harness.endAttempt(id, Outcome.TIMEOUT);
        harness.now += 2_100_000;
        assertEquals(defaultBackend, harness.route(0, 3, 5, Api.NONE));
        assertEquals(defaultBackend, harness.route(0, 4, 5, Api.NONE));
    }

    @Test
    void backendThatResetAConnectionRecoversOnceAnotherStaysEstablished() {
        LoadBalancerHarness harness = harness();
        long id = harness.request(0, 1, 5, Api.NONE);
        String defaultBackend = harness.backendByRequest.get(id);
        harness.establish(id, 10_000);
        harness.loadBalancer.attemptEnded(harness.now, id, Outcome.RESET, true);
        harness.now += 2_100_000;
        long trial = harness.request(0, 2, 5, Api.NONE);
        assertEquals(defaultBackend, harness.backendByRequest.get(trial));
        harness.establish(trial, 10_000);
        assertNotEquals(
                defaultBackend,
                harness.route(0, 3, 5, Api.NONE),
                "a successful set-up alone does not end the probation");
        harness.now += 2_100_000;
        assertEquals(
                defaultBackend,
                harness.route(0, 4, 5, Api.NONE),
                "a connection that stays established ends the probation");
        assertEquals(
                defaultBackend,
                harness.route(0, 6, 5, Api.NONE),
                "all requests use the recovered backend");
    }

    @Test
    void busyBackendIsSkippedForALessUtilizedOne() {
        LoadBalancerHarness harness = harness();
        String defaultBackend = harness.route(0, 1, 5, Api.NONE);
        for (int i = 0; i < 10; i++) {
            harness.loadBalancer.probeCompleted(
                    harness.now,
                    "s" + i,
                    Outcome.SERVED,
                    defaultBackend.equals("s" + i) ? 0.85 : 0.3);
        }
        String alternative = harness.route(0, 2, 5, Api.NONE);
        assertNotEquals(defaultBackend, alternative);
        assertEquals(
                alternative,
                harness.route(0, 3, 5, Api.NONE),
                "the group stays together at the alternative backend");
        for (int i = 0; i < 10; i++) {
            harness.loadBalancer.probeCompleted(
                    harness.now,
                    "s" + i,
                    Outcome.SERVED,
                    defaultBackend.equals("s" + i) ? 0.8 : 0.85);
        }
        assertEquals(
                defaultBackend,
                harness.route(0, 4, 5, Api.NONE),
                "the least utilized backend, as all are busy");
    }

    @Test
    void loadPlacedByANewRelayCountsBeforeTheNextReport() {
        LoadBalancerHarness harness = harness();
        for (int i = 0; i < 10; i++) {
            // None of the reported load comes from this relay.
            harness.loadBalancer.probeCompleted(harness.now, "s" + i, Outcome.SERVED, 0.4);
        }
        for (int i = 0; i < 200; i++) {
            // All belong to one group and so have the same default backend.
            harness.establish(harness.request(0, i, 5, Api.NONE), 10_000);
        }
        long onSameBackend =
                harness.backendByRequest.values().stream()
                        .filter(harness.backendByRequest.firstEntry().getValue()::equals)
                        .count();
        assertTrue(onSameBackend < 150, "of 200 requests sent to one backend: " + onSameBackend);
    }

    @Test
    void backendThatResetsAllConnectionsIsNoFallback() {
        LoadBalancerHarness harness =
                LoadBalancerHarness.of(LoadBalancerHarness.idempotentClass())
                        .receiveList(BackendListKind.FULL, LoadBalancerHarness.backend("s0", 0));
        long id = harness.request(1);
        harness.establish(id, 10_000);
        harness.loadBalancer.attemptEnded(harness.now, id, Outcome.RESET, true);
        long attemptsBefore = harness.attemptCount();
        harness.request(2);
        assertEquals(
                attemptsBefore,
                harness.attemptCount(),
                "the request is answered without an attempt");
        assertTrue(harness.lastAction().startsWith("reject"));
    }

    @Test
    void backendThatResetsEstablishedConnectionsIsEjectedForLonger() {
        LoadBalancerHarness harness = harness();
        String defaultBackend = null;
        for (int round = 0; round < 3; round++) {
            long id = harness.request(0, 1, 5, Api.NONE);
            defaultBackend = harness.backendByRequest.get(id);
            harness.establish(id, 10_000);
            harness.loadBalancer.attemptEnded(harness.now, id, Outcome.RESET, true);
            harness.now += round < 2 ? (2_100_000L << round) : 2_100_000L;
        }
        assertNotEquals(
                defaultBackend,
                harness.route(0, 9, 5, Api.NONE),
                "the third ejection lasts longer than 2 s");
    }

    @Test
    void lightClientsLeaveAnOverloadedDefaultTogether() {
        LoadBalancerHarness harness = harness();
        String defaultBackend = harness.route(0, 1, 5, 100);
        harness.reportDelay(defaultBackend, 90);
        String alternative = harness.route(0, 2, 5, 100);
        assertNotEquals(defaultBackend, alternative);
        assertEquals(alternative, harness.route(0, 3, 5, 100));
        harness.now += 2_600_000;
        assertEquals(
                defaultBackend,
                harness.route(0, 4, 5, 100),
                "without a further report the overload is over");
    }

    @Test
    void delayReportIsRememberedWhenNoConnectionIsLeft() {
        LoadBalancerHarness harness = harness();
        String defaultBackend = harness.route(0, 1, 5, 100);
        long id = harness.restoreConnection(defaultBackend, 100);
        harness.loadBalancer.connectionReported(harness.now, id, ConnectionReport.DELAY, 90);
        harness.loadBalancer.attemptEnded(harness.now, id, Outcome.CANCELLED, true);
        harness.now += 5_000_000;
        assertNotEquals(defaultBackend, harness.route(0, 2, 5, 100));
        harness.now += 5_100_000;
        assertEquals(defaultBackend, harness.route(0, 3, 5, 100));
    }

    @Test
    void overloadedBackendIsSkippedWhileItsReportIsFresh() {
        // A relay without a connection to a backend gets no delay reports of it: without probes it
        // would send more requests to an overloaded backend.
        LoadBalancerHarness harness =
                LoadBalancerHarness.of(LoadBalancerHarness.idempotentClass())
                        .receiveList(BackendListKind.FULL, LoadBalancerHarness.backends(4));
        long key = 1;
        String defaultBackend = harness.route(key);
        harness.loadBalancer.probeCompleted(harness.now, defaultBackend, Outcome.SERVED, 0.7);
        assertEquals(defaultBackend, harness.route(key));
        harness.loadBalancer.probeCompleted(harness.now, defaultBackend, Outcome.SERVED, 1.2);
        assertNotEquals(defaultBackend, harness.route(key));
        harness.loadBalancer.probeCompleted(harness.now, defaultBackend, Outcome.ERROR, Api.NONE);
        assertNotEquals(
                defaultBackend, harness.route(key), "a failed probe does not change the report");
        harness.now += 5 * LoadBalancerHarness.SECOND_MICROS;
        assertEquals(defaultBackend, harness.route(key));
    }

    @Test
    void loadPlacedSinceTheReportIsAddedToIt() {
        // Many requests arrive within the second between two reports: by the report alone all of
        // them would go to the same backend.
        LoadBalancerHarness harness =
                LoadBalancerHarness.of(LoadBalancerHarness.idempotentClass())
                        .receiveList(BackendListKind.FULL, LoadBalancerHarness.backends(4));
        long key = 1;
        String defaultBackend = harness.route(key);
        for (int i = 0; i < 20; i++) {
            harness.restoreConnection(defaultBackend, 100);
        }
        for (int i = 0; i < 20; i++) {
            harness.now += LoadBalancerHarness.SECOND_MICROS / 4;
            harness.loadBalancer.timerFired(harness.now, "probe");
        }
        harness.loadBalancer.probeCompleted(harness.now, defaultBackend, Outcome.SERVED, 0.6);
        assertEquals(defaultBackend, harness.route(key));
        for (int i = 0; i < 20; i++) {
            harness.restoreConnection(defaultBackend, 100);
        }
        assertNotEquals(defaultBackend, harness.route(key));
    }

    @Test
    void heavyConnectionsAreMovedOffAnOverloadedBackend() {
        LoadBalancerHarness harness =
                LoadBalancerHarness.of(LoadBalancerHarness.idempotentClass())
                        .receiveList(BackendListKind.FULL, LoadBalancerHarness.backends(4));
        for (int i = 0; i < 10; i++) {
            harness.restoreConnection("s1", 100);
        }
        long heavy = harness.restoreConnection("s1", 9000);
        for (int i = 0; i < 40; i++) {
            harness.now += LoadBalancerHarness.SECOND_MICROS;
            harness.loadBalancer.probeCompleted(harness.now, "s1", Outcome.SERVED, 0.9);
        }
        assertEquals(0, moveCount(harness), "none is moved off a backend within its capacity");
        for (int i = 0; i < 40; i++) {
            harness.now += LoadBalancerHarness.SECOND_MICROS;
            harness.loadBalancer.probeCompleted(harness.now, "s1", Outcome.SERVED, 1.3);
        }
        assertTrue(harness.actions.contains("move " + heavy));
    }

    @Test
    void heavyConnectionsAreMovedOffABackendWithPersistentDelay() {
        LoadBalancerHarness harness = harness();
        long reportingConnection = harness.restoreConnection("s1", 100);
        for (int i = 0; i < 10; i++) {
            harness.restoreConnection("s1", 100);
        }
        long heavy = harness.restoreConnection("s1", 9000);
        harness.loadBalancer.connectionReported(
                harness.now, reportingConnection, ConnectionReport.DELAY, 500);
        assertEquals(0, moveCount(harness), "none is moved at the first report");
        for (int i = 0; i < 10; i++) {
            harness.now += 1_000_000;
            harness.loadBalancer.connectionReported(
                    harness.now, reportingConnection, ConnectionReport.DELAY, 500);
        }
        assertTrue(harness.actions.contains("move " + heavy));
        assertTrue(moveCount(harness) <= 10, "at most one a second");
    }

    private static long moveCount(LoadBalancerHarness harness) {
        return harness.actions.stream().filter(a -> a.startsWith("move")).count();
    }

    @Test
    void overloadedFleetRejectsLowestValueFirstAndRecovers() {
        LoadBalancerHarness harness =
                LoadBalancerHarness.of(
                        LoadBalancerHarness.idempotentClass(), LoadBalancerHarness.lowValueClass());
        harness.receiveList(BackendListKind.FULL, LoadBalancerHarness.backends(10));
        List<Long> openConnections =
                IntStream.range(0, 10)
                        .mapToObj(i -> harness.restoreConnection("s" + i, 100))
                        .toList();
        for (int i = 0; i < 40; i++) {
            harness.now += 100_000;
            if (i % 10 == 0) {
                openConnections
                        .subList(0, 6)
                        .forEach(
                                id ->
                                        harness.loadBalancer.connectionReported(
                                                harness.now, id, ConnectionReport.DELAY, 50));
            }
            harness.route(0, 7, 7, 100);
        }
        int lowValueRejected = 0;
        int highValueRejected = 0;
        for (long k = 0; k < 100; k++) {
            lowValueRejected += harness.route(1, k, k, 100) == null ? 1 : 0;
            highValueRejected += harness.route(0, k, k, 100) == null ? 1 : 0;
        }
        assertTrue(lowValueRejected > 50, lowValueRejected + " requests of low value rejected");
        assertTrue(highValueRejected < 20, highValueRejected + " requests of high value rejected");
        for (int i = 0; i < 400; i++) {
            harness.now += 250_000;
            harness.route(0, 7, 7, 100);
        }
        assertTrue(
                harness.route(1, 1, 1, 100) != null,
                "requests are accepted again after the overload");
    }

    @Test
    void errorStormIsThrottledInsteadOfRetried() {
        LoadBalancerHarness harness = harness();
        for (int i = 0; i < 200; i++) {
            long id = harness.request(i);
            for (int attempt = 0;
                    attempt < 6 && !harness.lastAction().endsWith("reject " + id);
                    attempt++) {
                harness.endAttempt(id, Outcome.ERROR);
            }
        }
        assertTrue(
                harness.attemptCount() < 60,
                harness.attemptCount() + " attempts for 200 requests of which none is established");
        harness.now += 60_000_000;
        assertTrue(harness.route(1) != null, "attempts resume after the error storm");
    }

    @Test
    void attemptsThatWaitEverywhereDoNotTimeOutEarly() {
        // In a queue that all backends share, a timeout wastes work and adds an attempt to the
        // queue.
        LoadBalancerHarness harness =
                LoadBalancerHarness.of(LoadBalancerHarness.idempotentClass())
                        .receiveList(BackendListKind.FULL, LoadBalancerHarness.backends(4));
        for (int i = 1; i <= 5; i++) {
            harness.request(i);
            assertTrue(
                    harness.lastAttemptTimeout > 0, "an early attempt leaves time for another one");
        }
        harness.request(6);
        assertEquals(0, harness.lastAttemptTimeout);
        for (int i = 1; i <= 6; i++) {
            harness.establish(i, 10_000);
        }
        harness.request(7);
        assertTrue(harness.lastAttemptTimeout > 0);
    }

    @Test
    void resetsOfLongEstablishedConnectionsDoNotThrottleNewOnes() {
        LoadBalancerHarness harness = harness();
        harness.route(99);
        List<Long> oldConnections =
                IntStream.range(0, 30)
                        .mapToObj(i -> harness.restoreConnection("s" + i % 10, 100))
                        .toList();
        oldConnections.forEach(
                id -> harness.loadBalancer.attemptEnded(harness.now, id, Outcome.RESET, true));
        harness.now += 5_000_000;
        for (long k = 0; k < 30; k++) {
            assertTrue(harness.route(k) != null, "request " + k + " after 30 resets");
        }
    }

    @Test
    void connectionsResetRightAfterSetupCountAsFailed() {
        LoadBalancerHarness harness = harness();
        for (int i = 0; i < 200; i++) {
            long id = harness.request(i);
            if (harness.lastAction().startsWith("send")) {
                harness.establish(id, 10_000);
                harness.loadBalancer.attemptEnded(harness.now, id, Outcome.RESET, true);
            }
            harness.now += 20_000;
        }
        assertTrue(harness.attemptCount() < 60, harness.attemptCount() + " attempts, all reset");
    }

    @Test
    void midFlowConnectionsStayWithTheirHashedDefault() {
        LoadBalancerHarness harness = harness();
        String defaultBackend = harness.route(0, 1, 5, 100);
        harness.reportDelay(defaultBackend, 90);
        harness.loadBalancer.requestReceived(
                harness.now,
                new Api.Request(900, 0, 0, 2, 5, 100, harness.now + 1_200_000, false, true));
        assertEquals(defaultBackend, harness.backendByRequest.get(900L));
    }

    @Test
    void connectionLifetimeMarksAHeavyClientWithoutLoadReports() {
        int difference = 0;
        for (int seed = 1; seed <= 40; seed++) {
            difference += isDiverted(seed * 7919L, 100 * LoadBalancerHarness.SECOND_MICROS) ? 1 : 0;
            difference -= isDiverted(seed * 7919L, LoadBalancerHarness.SECOND_MICROS / 10) ? 1 : 0;
        }
        assertTrue(
                difference > 5,
                "of 40 clients each, "
                        + difference
                        + " more with long connections left the default");
    }

    /** Returns whether a client leaves its slow default after a connection of this duration. */
    private static boolean isDiverted(long seed, long openMicros) {
        LoadBalancerHarness harness =
                new LoadBalancerHarness(
                                LoadBalancerHarness.settings(
                                        0.02, false, LoadBalancerHarness.idempotentClass()),
                                seed)
                        .receiveList(BackendListKind.FULL, LoadBalancerHarness.backends(10));
        for (long k = 0; k < 200; k++) {
            harness.route(1_000 + k); // the set-up latency of all backends is known
        }
        String defaultBackend = harness.route(0, 1, 5, Api.NONE);
        for (int round = 0; round < 20; round++) {
            long id = harness.request(0, round == 10 ? 7 : 50 + round, 5, Api.NONE);
            harness.establish(id, 10_000);
            harness.now += round == 10 ? openMicros : LoadBalancerHarness.SECOND_MICROS;
            harness.loadBalancer.attemptEnded(harness.now, id, Outcome.SERVED, true);
        }
        harness.reportDelay(defaultBackend, 25);
        harness.now += 300_000;
        return !defaultBackend.equals(
                harness.backendByRequest.get(harness.request(0, 7, 5, Api.NONE)));
    }

    @Test
    void errorDoesNotEjectTheBackend() {
        LoadBalancerHarness harness = harness();
        long id = harness.request(0, 1, 5, Api.NONE);
        String defaultBackend = harness.backendByRequest.get(id);
        harness.endAttempt(id, Outcome.ERROR);
        assertEquals(defaultBackend, harness.route(0, 2, 5, Api.NONE));
    }

    @Test
    void coldBackendIsProtectedFromReconnectingClients() {
        LoadBalancerHarness harness = LoadBalancerHarness.of(LoadBalancerHarness.idempotentClass());
        ListedBackend[] fleet = LoadBalancerHarness.backends(2);
        fleet[1] =
                new ListedBackend(
                        "s1",
                        1,
                        1,
                        Health.READY,
                        1,
                        harness.now - 9 * LoadBalancerHarness.SECOND_MICROS);
        harness.receiveList(BackendListKind.FULL, fleet);
        for (long k = 0; k < 200; k++) {
            long deadline = harness.now + 1_200_000;
            harness.loadBalancer.requestReceived(
                    harness.now, new Api.Request(1_000 + k, 0, 0, k, k, 1, deadline, true, false));
        }
        assertTrue(
                harness.backendByRequest.values().stream().filter("s1"::equals).count() <= 2,
                "no more than the budget");
    }

    @Test
    void zoneCrossingIsAvoidedWhereItIsExpensive() {
        LoadBalancerHarness harness =
                new LoadBalancerHarness(
                                LoadBalancerHarness.settings(
                                        0.12, false, LoadBalancerHarness.idempotentClass()),
                                1)
                        .receiveList(BackendListKind.FULL, LoadBalancerHarness.backends(10));
        for (long k = 0; k < 200; k++) {
            assertEquals(0, Integer.parseInt(harness.route(k).substring(1)) % 2);
        }
        ListedBackend[] far = {LoadBalancerHarness.backend("s1", 1)};
        harness.receiveList(BackendListKind.FULL, far);
        harness.now += 3 * LoadBalancerHarness.SECOND_MICROS;
        assertEquals("s1", harness.route(1), "the other zone is used when the own has no backend");
    }

    @Test
    void listIsWatchedWithJitterAndAgainAfterAFailedCall() {
        LoadBalancerHarness one =
                new LoadBalancerHarness(
                        LoadBalancerHarness.settings(
                                0.02, true, LoadBalancerHarness.idempotentClass()),
                        1);
        LoadBalancerHarness two =
                new LoadBalancerHarness(
                        LoadBalancerHarness.settings(
                                0.02, true, LoadBalancerHarness.idempotentClass()),
                        2);
        assertNotEquals(one.lastAction(), two.lastAction());
        one.loadBalancer.timerFired(one.now, "list");
        assertEquals("watch", one.lastAction());
        one.receiveList(BackendListKind.CALL_FAILED);
        assertTrue(one.lastAction().startsWith("timer list"), one.lastAction());
    }
}

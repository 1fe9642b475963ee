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

/** The failures found in simulated service, each as small as it can be shown. */
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
                alternative, harness.route(0, 2, 5, Api.NONE), "the group stays together at its stand-in");
        harness.now += 2_100_000;
        assertEquals(silent, harness.backendByRequest.get(harness.request(0, 3, 5, Api.NONE)), "one trial");
        assertEquals(
                alternative,
                harness.backendByRequest.get(harness.request(0, 4, 5, Api.NONE)),
                "and no second beside it");
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
        assertNotEquals(defaultBackend, harness.route(0, 3, 5, Api.NONE), "that it was set up proves nothing");
        harness.now += 2_100_000;
        assertEquals(defaultBackend, harness.route(0, 4, 5, Api.NONE), "that it stands does");
        assertEquals(defaultBackend, harness.route(0, 6, 5, Api.NONE), "for all");
    }

    @Test
    void busyBackendIsSkippedForALessUtilizedOne() {
        LoadBalancerHarness harness = harness();
        String defaultBackend = harness.route(0, 1, 5, Api.NONE);
        for (int i = 0; i < 10; i++) {
            harness.loadBalancer.probeCompleted(
                    harness.now, "s" + i, Outcome.SERVED, defaultBackend.equals("s" + i) ? 0.85 : 0.3);
        }
        String alternative = harness.route(0, 2, 5, Api.NONE);
        assertNotEquals(defaultBackend, alternative);
        assertEquals(alternative, harness.route(0, 3, 5, Api.NONE), "the group stays together there");
        for (int i = 0; i < 10; i++) {
            harness.loadBalancer.probeCompleted(
                    harness.now, "s" + i, Outcome.SERVED, defaultBackend.equals("s" + i) ? 0.8 : 0.85);
        }
        assertEquals(defaultBackend, harness.route(0, 4, 5, Api.NONE), "the least busy, where all are");
    }

    @Test
    void loadPlacedByANewRelayCountsBeforeTheNextReport() {
        LoadBalancerHarness harness = harness();
        for (int i = 0; i < 10; i++) {
            harness.loadBalancer.probeCompleted(
                    harness.now, "s" + i, Outcome.SERVED, 0.4); // nothing of it is this node's
        }
        for (int i = 0; i < 200; i++) {
            harness.establish(
                    harness.request(0, i, 5, Api.NONE),
                    10_000); // one group: all have the same first place
        }
        long onSameBackend =
                harness.backendByRequest.values().stream()
                        .filter(harness.backendByRequest.firstEntry().getValue()::equals)
                        .count();
        assertTrue(onSameBackend < 150, "of 200 came to one: " + onSameBackend);
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
        assertEquals(attemptsBefore, harness.attemptCount(), "it is answered at once");
        assertTrue(harness.lastAction().startsWith("refuse"));
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
                "the third time it is left for longer than 2 s");
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
        assertEquals(defaultBackend, harness.route(0, 4, 5, 100), "not told again, so it is over");
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
        // A node without a connection at a server is told no delay of it: without probes it feeds
        // the jam.
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
        assertNotEquals(defaultBackend, harness.route(key), "a probe that fails tells nothing");
        harness.now += 5 * LoadBalancerHarness.SECOND_MICROS;
        assertEquals(defaultBackend, harness.route(key));
    }

    @Test
    void loadPlacedSinceTheReportIsAddedToIt() {
        // A crowd is placed within the second that a report is old: by the report alone all would
        // go there.
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
        assertEquals(0, moveCount(harness), "none is moved off a server that can do what is asked");
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
        harness.loadBalancer.connectionReported(harness.now, reportingConnection, ConnectionReport.DELAY, 500);
        assertEquals(0, moveCount(harness), "not at the first");
        for (int i = 0; i < 10; i++) {
            harness.now += 1_000_000;
            harness.loadBalancer.connectionReported(harness.now, reportingConnection, ConnectionReport.DELAY, 500);
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
                IntStream.range(0, 10).mapToObj(i -> harness.restoreConnection("s" + i, 100)).toList();
        for (int i = 0; i < 40; i++) {
            harness.now += 100_000;
            if (i % 10 == 0) {
                openConnections.subList(0, 6)
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
        assertTrue(lowValueRejected > 50, lowValueRejected + " of the cheap refused");
        assertTrue(highValueRejected < 20, highValueRejected + " of the dear refused");
        for (int i = 0; i < 400; i++) {
            harness.now += 250_000;
            harness.route(0, 7, 7, 100);
        }
        assertTrue(harness.route(1, 1, 1, 100) != null, "the jam is over");
    }

    @Test
    void errorStormIsThrottledInsteadOfRetried() {
        LoadBalancerHarness harness = harness();
        for (int i = 0; i < 200; i++) {
            long id = harness.request(i);
            for (int attempt = 0;
                    attempt < 6 && !harness.lastAction().endsWith("refuse " + id);
                    attempt++) {
                harness.endAttempt(id, Outcome.ERROR);
            }
        }
        assertTrue(
                harness.attemptCount() < 60,
                harness.attemptCount() + " attempts for 200 requests of which none stands");
        harness.now += 60_000_000;
        assertTrue(harness.route(1) != null, "tried again once the storm is over");
    }

    @Test
    void attemptsThatWaitEverywhereDoNotTimeOutEarly() {
        // Behind a queue that all share each try given up is work wasted and one more in the queue.
        LoadBalancerHarness harness =
                LoadBalancerHarness.of(LoadBalancerHarness.idempotentClass())
                        .receiveList(BackendListKind.FULL, LoadBalancerHarness.backends(4));
        for (int i = 1; i <= 5; i++) {
            harness.request(i);
            assertTrue(harness.lastAttemptTimeout > 0, "an early one leaves room for another try");
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
        oldConnections.forEach(id -> harness.loadBalancer.attemptEnded(harness.now, id, Outcome.RESET, true));
        harness.now += 5_000_000;
        for (long k = 0; k < 30; k++) {
            assertTrue(harness.route(k) != null, "request " + k + " after a crowd of resets");
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
        assertTrue(harness.attemptCount() < 60, harness.attemptCount() + " set-ups, all reset");
    }

    @Test
    void midFlowConnectionsStayWithTheirHashedDefault() {
        LoadBalancerHarness harness = harness();
        String defaultBackend = harness.route(0, 1, 5, 100);
        harness.reportDelay(defaultBackend, 90);
        harness.loadBalancer.requestReceived(
                harness.now, new Api.Request(900, 0, 0, 2, 5, 100, harness.now + 1_200_000, false, true));
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
                "of 40 clients each, " + difference + " more that were open long left the default");
    }

    /** Whether a client leaves its slow default after a connection that was open so long. */
    private static boolean isDiverted(long seed, long openMicros) {
        LoadBalancerHarness harness =
                new LoadBalancerHarness(
                                LoadBalancerHarness.settings(
                                        0.02, false, LoadBalancerHarness.idempotentClass()),
                                seed)
                        .receiveList(BackendListKind.FULL, LoadBalancerHarness.backends(10));
        for (long k = 0; k < 200; k++) {
            harness.route(1_000 + k); // all servers are heard from
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
        return !defaultBackend.equals(harness.backendByRequest.get(harness.request(0, 7, 5, Api.NONE)));
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
                "the budget, no more");
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
        assertEquals("s1", harness.route(1), "the other zone when the own has none");
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

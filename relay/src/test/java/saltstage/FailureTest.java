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
        LoadBalancerHarness rig = harness();
        long id = rig.request(0, 1, 5, Api.NONE);
        String silent = rig.backendByRequest.get(id);
        rig.now += 150_000;
        rig.endAttempt(id, Outcome.TIMEOUT);
        String standIn = rig.backendByRequest.get(id);
        assertEquals(
                standIn, rig.route(0, 2, 5, Api.NONE), "the group stays together at its stand-in");
        rig.now += 2_100_000;
        assertEquals(silent, rig.backendByRequest.get(rig.request(0, 3, 5, Api.NONE)), "one trial");
        assertEquals(
                standIn,
                rig.backendByRequest.get(rig.request(0, 4, 5, Api.NONE)),
                "and no second beside it");
    }

    @Test
    void recoveredBackendGetsItsKeysBack() {
        LoadBalancerHarness rig = harness();
        long id = rig.request(0, 1, 5, Api.NONE);
        String home = rig.backendByRequest.get(id);
        rig.endAttempt(id, Outcome.TIMEOUT);
        rig.now += 2_100_000;
        assertEquals(home, rig.route(0, 3, 5, Api.NONE));
        assertEquals(home, rig.route(0, 4, 5, Api.NONE));
    }

    @Test
    void backendThatResetAConnectionRecoversOnceAnotherStaysEstablished() {
        LoadBalancerHarness rig = harness();
        long id = rig.request(0, 1, 5, Api.NONE);
        String home = rig.backendByRequest.get(id);
        rig.establish(id, 10_000);
        rig.loadBalancer.attemptEnded(rig.now, id, Outcome.RESET, true);
        rig.now += 2_100_000;
        long trial = rig.request(0, 2, 5, Api.NONE);
        assertEquals(home, rig.backendByRequest.get(trial));
        rig.establish(trial, 10_000);
        assertNotEquals(home, rig.route(0, 3, 5, Api.NONE), "that it was set up proves nothing");
        rig.now += 2_100_000;
        assertEquals(home, rig.route(0, 4, 5, Api.NONE), "that it stands does");
        assertEquals(home, rig.route(0, 6, 5, Api.NONE), "for all");
    }

    @Test
    void busyBackendIsSkippedForALessUtilizedOne() {
        LoadBalancerHarness rig = harness();
        String home = rig.route(0, 1, 5, Api.NONE);
        for (int i = 0; i < 10; i++) {
            rig.loadBalancer.probeCompleted(
                    rig.now, "s" + i, Outcome.SERVED, home.equals("s" + i) ? 0.85 : 0.3);
        }
        String standIn = rig.route(0, 2, 5, Api.NONE);
        assertNotEquals(home, standIn);
        assertEquals(standIn, rig.route(0, 3, 5, Api.NONE), "the group stays together there");
        for (int i = 0; i < 10; i++) {
            rig.loadBalancer.probeCompleted(
                    rig.now, "s" + i, Outcome.SERVED, home.equals("s" + i) ? 0.8 : 0.85);
        }
        assertEquals(home, rig.route(0, 4, 5, Api.NONE), "the least busy, where all are");
    }

    @Test
    void loadPlacedByANewRelayCountsBeforeTheNextReport() {
        LoadBalancerHarness rig = harness();
        for (int i = 0; i < 10; i++) {
            rig.loadBalancer.probeCompleted(
                    rig.now, "s" + i, Outcome.SERVED, 0.4); // nothing of it is this node's
        }
        for (int i = 0; i < 200; i++) {
            rig.establish(
                    rig.request(0, i, 5, Api.NONE),
                    10_000); // one group: all have the same first place
        }
        long most =
                rig.backendByRequest.values().stream()
                        .filter(rig.backendByRequest.firstEntry().getValue()::equals)
                        .count();
        assertTrue(most < 150, "of 200 came to one: " + most);
    }

    @Test
    void backendThatResetsAllConnectionsIsNoFallback() {
        LoadBalancerHarness rig =
                LoadBalancerHarness.of(LoadBalancerHarness.idempotentClass())
                        .receiveList(BackendListKind.FULL, LoadBalancerHarness.backend("s0", 0));
        long id = rig.request(1);
        rig.establish(id, 10_000);
        rig.loadBalancer.attemptEnded(rig.now, id, Outcome.RESET, true);
        long sends = rig.attemptCount();
        rig.request(2);
        assertEquals(sends, rig.attemptCount(), "it is answered at once");
        assertTrue(rig.lastAction().startsWith("refuse"));
    }

    @Test
    void backendThatResetsEstablishedConnectionsIsEjectedForLonger() {
        LoadBalancerHarness rig = harness();
        String home = null;
        for (int round = 0; round < 3; round++) {
            long id = rig.request(0, 1, 5, Api.NONE);
            home = rig.backendByRequest.get(id);
            rig.establish(id, 10_000);
            rig.loadBalancer.attemptEnded(rig.now, id, Outcome.RESET, true);
            rig.now += round < 2 ? (2_100_000L << round) : 2_100_000L;
        }
        assertNotEquals(
                home,
                rig.route(0, 9, 5, Api.NONE),
                "the third time it is left for longer than 2 s");
    }

    @Test
    void lightClientsLeaveAnOverloadedDefaultTogether() {
        LoadBalancerHarness rig = harness();
        String home = rig.route(0, 1, 5, 100);
        rig.reportDelay(home, 90);
        String standIn = rig.route(0, 2, 5, 100);
        assertNotEquals(home, standIn);
        assertEquals(standIn, rig.route(0, 3, 5, 100));
        rig.now += 2_600_000;
        assertEquals(home, rig.route(0, 4, 5, 100), "not told again, so it is over");
    }

    @Test
    void delayReportIsRememberedWhenNoConnectionIsLeft() {
        LoadBalancerHarness rig = harness();
        String home = rig.route(0, 1, 5, 100);
        long id = rig.restoreConnection(home, 100);
        rig.loadBalancer.connectionReported(rig.now, id, ConnectionReport.DELAY, 90);
        rig.loadBalancer.attemptEnded(rig.now, id, Outcome.CANCELLED, true);
        rig.now += 5_000_000;
        assertNotEquals(home, rig.route(0, 2, 5, 100));
        rig.now += 5_100_000;
        assertEquals(home, rig.route(0, 3, 5, 100));
    }

    @Test
    void overloadedBackendIsSkippedWhileItsReportIsFresh() {
        // A node without a connection at a server is told no delay of it: without probes it feeds
        // the jam.
        LoadBalancerHarness rig =
                LoadBalancerHarness.of(LoadBalancerHarness.idempotentClass())
                        .receiveList(BackendListKind.FULL, LoadBalancerHarness.backends(4));
        long key = 1;
        String usual = rig.route(key);
        rig.loadBalancer.probeCompleted(rig.now, usual, Outcome.SERVED, 0.7);
        assertEquals(usual, rig.route(key));
        rig.loadBalancer.probeCompleted(rig.now, usual, Outcome.SERVED, 1.2);
        assertNotEquals(usual, rig.route(key));
        rig.loadBalancer.probeCompleted(rig.now, usual, Outcome.ERROR, Api.NONE);
        assertNotEquals(usual, rig.route(key), "a probe that fails tells nothing");
        rig.now += 5 * LoadBalancerHarness.SECOND_MICROS;
        assertEquals(usual, rig.route(key));
    }

    @Test
    void loadPlacedSinceTheReportIsAddedToIt() {
        // A crowd is placed within the second that a report is old: by the report alone all would
        // go there.
        LoadBalancerHarness rig =
                LoadBalancerHarness.of(LoadBalancerHarness.idempotentClass())
                        .receiveList(BackendListKind.FULL, LoadBalancerHarness.backends(4));
        long key = 1;
        String usual = rig.route(key);
        for (int i = 0; i < 20; i++) {
            rig.restoreConnection(usual, 100);
        }
        for (int i = 0; i < 20; i++) {
            rig.now += LoadBalancerHarness.SECOND_MICROS / 4;
            rig.loadBalancer.timerFired(rig.now, "probe");
        }
        rig.loadBalancer.probeCompleted(rig.now, usual, Outcome.SERVED, 0.6);
        assertEquals(usual, rig.route(key));
        for (int i = 0; i < 20; i++) {
            rig.restoreConnection(usual, 100);
        }
        assertNotEquals(usual, rig.route(key));
    }

    @Test
    void heavyConnectionsAreMovedOffAnOverloadedBackend() {
        LoadBalancerHarness rig =
                LoadBalancerHarness.of(LoadBalancerHarness.idempotentClass())
                        .receiveList(BackendListKind.FULL, LoadBalancerHarness.backends(4));
        for (int i = 0; i < 10; i++) {
            rig.restoreConnection("s1", 100);
        }
        long heavy = rig.restoreConnection("s1", 9000);
        for (int i = 0; i < 40; i++) {
            rig.now += LoadBalancerHarness.SECOND_MICROS;
            rig.loadBalancer.probeCompleted(rig.now, "s1", Outcome.SERVED, 0.9);
        }
        assertEquals(0, moveCount(rig), "none is moved off a server that can do what is asked");
        for (int i = 0; i < 40; i++) {
            rig.now += LoadBalancerHarness.SECOND_MICROS;
            rig.loadBalancer.probeCompleted(rig.now, "s1", Outcome.SERVED, 1.3);
        }
        assertTrue(rig.actions.contains("move " + heavy));
    }

    @Test
    void heavyConnectionsAreMovedOffABackendWithPersistentDelay() {
        LoadBalancerHarness rig = harness();
        long told = rig.restoreConnection("s1", 100);
        for (int i = 0; i < 10; i++) {
            rig.restoreConnection("s1", 100);
        }
        long heavy = rig.restoreConnection("s1", 9000);
        rig.loadBalancer.connectionReported(rig.now, told, ConnectionReport.DELAY, 500);
        assertEquals(0, moveCount(rig), "not at the first");
        for (int i = 0; i < 10; i++) {
            rig.now += 1_000_000;
            rig.loadBalancer.connectionReported(rig.now, told, ConnectionReport.DELAY, 500);
        }
        assertTrue(rig.actions.contains("move " + heavy));
        assertTrue(moveCount(rig) <= 10, "at most one a second");
    }

    private static long moveCount(LoadBalancerHarness rig) {
        return rig.actions.stream().filter(a -> a.startsWith("move")).count();
    }

    @Test
    void overloadedFleetRejectsLowestValueFirstAndRecovers() {
        LoadBalancerHarness rig =
                LoadBalancerHarness.of(
                        LoadBalancerHarness.idempotentClass(), LoadBalancerHarness.lowValueClass());
        rig.receiveList(BackendListKind.FULL, LoadBalancerHarness.backends(10));
        List<Long> open =
                IntStream.range(0, 10).mapToObj(i -> rig.restoreConnection("s" + i, 100)).toList();
        for (int i = 0; i < 40; i++) {
            rig.now += 100_000;
            if (i % 10 == 0) {
                open.subList(0, 6)
                        .forEach(
                                id ->
                                        rig.loadBalancer.connectionReported(
                                                rig.now, id, ConnectionReport.DELAY, 50));
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
    void errorStormIsThrottledInsteadOfRetried() {
        LoadBalancerHarness rig = harness();
        for (int i = 0; i < 200; i++) {
            long id = rig.request(i);
            for (int attempt = 0;
                    attempt < 6 && !rig.lastAction().endsWith("refuse " + id);
                    attempt++) {
                rig.endAttempt(id, Outcome.ERROR);
            }
        }
        assertTrue(
                rig.attemptCount() < 60,
                rig.attemptCount() + " attempts for 200 requests of which none stands");
        rig.now += 60_000_000;
        assertTrue(rig.route(1) != null, "tried again once the storm is over");
    }

    @Test
    void attemptsThatWaitEverywhereDoNotTimeOutEarly() {
        // Behind a queue that all share each try given up is work wasted and one more in the queue.
        LoadBalancerHarness rig =
                LoadBalancerHarness.of(LoadBalancerHarness.idempotentClass())
                        .receiveList(BackendListKind.FULL, LoadBalancerHarness.backends(4));
        for (int i = 1; i <= 5; i++) {
            rig.request(i);
            assertTrue(rig.lastAttemptTimeout > 0, "an early one leaves room for another try");
        }
        rig.request(6);
        assertEquals(0, rig.lastAttemptTimeout);
        for (int i = 1; i <= 6; i++) {
            rig.establish(i, 10_000);
        }
        rig.request(7);
        assertTrue(rig.lastAttemptTimeout > 0);
    }

    @Test
    void resetsOfLongEstablishedConnectionsDoNotThrottleNewOnes() {
        LoadBalancerHarness rig = harness();
        rig.route(99);
        List<Long> old =
                IntStream.range(0, 30)
                        .mapToObj(i -> rig.restoreConnection("s" + i % 10, 100))
                        .toList();
        old.forEach(id -> rig.loadBalancer.attemptEnded(rig.now, id, Outcome.RESET, true));
        rig.now += 5_000_000;
        for (long k = 0; k < 30; k++) {
            assertTrue(rig.route(k) != null, "request " + k + " after a crowd of resets");
        }
    }

    @Test
    void connectionsResetRightAfterSetupCountAsFailed() {
        LoadBalancerHarness rig = harness();
        for (int i = 0; i < 200; i++) {
            long id = rig.request(i);
            if (rig.lastAction().startsWith("send")) {
                rig.establish(id, 10_000);
                rig.loadBalancer.attemptEnded(rig.now, id, Outcome.RESET, true);
            }
            rig.now += 20_000;
        }
        assertTrue(rig.attemptCount() < 60, rig.attemptCount() + " set-ups, all reset");
    }

    @Test
    void midFlowConnectionsStayWithTheirHashedDefault() {
        LoadBalancerHarness rig = harness();
        String home = rig.route(0, 1, 5, 100);
        rig.reportDelay(home, 90);
        rig.loadBalancer.requestReceived(
                rig.now, new Api.Request(900, 0, 0, 2, 5, 100, rig.now + 1_200_000, false, true));
        assertEquals(home, rig.backendByRequest.get(900L));
    }

    @Test
    void connectionLifetimeMarksAHeavyClientWithoutLoadReports() {
        int apart = 0;
        for (int seed = 1; seed <= 40; seed++) {
            apart += isDiverted(seed * 7919L, 100 * LoadBalancerHarness.SECOND_MICROS) ? 1 : 0;
            apart -= isDiverted(seed * 7919L, LoadBalancerHarness.SECOND_MICROS / 10) ? 1 : 0;
        }
        assertTrue(
                apart > 5,
                "of 40 clients each, " + apart + " more that were open long left the default");
    }

    /** Whether a client leaves its slow default after a connection that was open so long. */
    private static boolean isDiverted(long seed, long open) {
        LoadBalancerHarness rig =
                new LoadBalancerHarness(
                                LoadBalancerHarness.settings(
                                        0.02, false, LoadBalancerHarness.idempotentClass()),
                                seed)
                        .receiveList(BackendListKind.FULL, LoadBalancerHarness.backends(10));
        for (long k = 0; k < 200; k++) {
            rig.route(1_000 + k); // all servers are heard from
        }
        String home = rig.route(0, 1, 5, Api.NONE);
        for (int round = 0; round < 20; round++) {
            long id = rig.request(0, round == 10 ? 7 : 50 + round, 5, Api.NONE);
            rig.establish(id, 10_000);
            rig.now += round == 10 ? open : LoadBalancerHarness.SECOND_MICROS;
            rig.loadBalancer.attemptEnded(rig.now, id, Outcome.SERVED, true);
        }
        rig.reportDelay(home, 25);
        rig.now += 300_000;
        return !home.equals(rig.backendByRequest.get(rig.request(0, 7, 5, Api.NONE)));
    }

    @Test
    void errorDoesNotEjectTheBackend() {
        LoadBalancerHarness rig = harness();
        long id = rig.request(0, 1, 5, Api.NONE);
        String home = rig.backendByRequest.get(id);
        rig.endAttempt(id, Outcome.ERROR);
        assertEquals(home, rig.route(0, 2, 5, Api.NONE));
    }

    @Test
    void coldBackendIsProtectedFromReconnectingClients() {
        LoadBalancerHarness rig = LoadBalancerHarness.of(LoadBalancerHarness.idempotentClass());
        ListedBackend[] fleet = LoadBalancerHarness.backends(2);
        fleet[1] =
                new ListedBackend(
                        "s1",
                        1,
                        1,
                        Health.READY,
                        1,
                        rig.now - 9 * LoadBalancerHarness.SECOND_MICROS);
        rig.receiveList(BackendListKind.FULL, fleet);
        for (long k = 0; k < 200; k++) {
            long deadline = rig.now + 1_200_000;
            rig.loadBalancer.requestReceived(
                    rig.now, new Api.Request(1_000 + k, 0, 0, k, k, 1, deadline, true, false));
        }
        assertTrue(
                rig.backendByRequest.values().stream().filter("s1"::equals).count() <= 2,
                "the budget, no more");
    }

    @Test
    void zoneCrossingIsAvoidedWhereItIsExpensive() {
        LoadBalancerHarness rig =
                new LoadBalancerHarness(
                                LoadBalancerHarness.settings(
                                        0.12, false, LoadBalancerHarness.idempotentClass()),
                                1)
                        .receiveList(BackendListKind.FULL, LoadBalancerHarness.backends(10));
        for (long k = 0; k < 200; k++) {
            assertEquals(0, Integer.parseInt(rig.route(k).substring(1)) % 2);
        }
        ListedBackend[] far = {LoadBalancerHarness.backend("s1", 1)};
        rig.receiveList(BackendListKind.FULL, far);
        rig.now += 3 * LoadBalancerHarness.SECOND_MICROS;
        assertEquals("s1", rig.route(1), "the other zone when the own has none");
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

package saltstage;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import saltstage.Api.BackendListKind;
import saltstage.Api.Health;
import saltstage.Api.ListedBackend;
import saltstage.Api.Outcome;
import saltstage.Api.Request;
import saltstage.Api.SafetyRules;
import saltstage.Api.Settings;

/**
 * Rule 4: s1 has just started and warms up over 1,000 s; s0 is warm and holds 4,000 connections.
 */
class ColdBackendTest {
    /**
     * As long as the warm-up: what the rule allows in it is the warm server's filling, a few times.
     */
    private static final long WARM_UP_MICROS = 1_000 * LoadBalancerHarness.SECOND_MICROS;

    private static LoadBalancerHarness harness() {
        return harness(4_000);
    }

    private static LoadBalancerHarness harness(int connections) {
        return harness(connections, 100);
    }

    private static LoadBalancerHarness harness(int connections, long quota) {
        return harness(connections, quota, 2 * LoadBalancerHarness.SECOND_MICROS);
    }

    private static LoadBalancerHarness harness(int connections, long quota, long fall) {
        Settings s =
                LoadBalancerHarness.settings(0.02, false, LoadBalancerHarness.idempotentClass());
        SafetyRules slow =
                new SafetyRules(
                        LoadBalancerHarness.SECOND_MICROS,
                        0.25,
                        1_000 * LoadBalancerHarness.SECOND_MICROS,
                        2.5,
                        fall,
                        10 * LoadBalancerHarness.SECOND_MICROS);
        LoadBalancerHarness rig =
                new LoadBalancerHarness(
                        new Settings(
                                s.relayCount(),
                                s.zone(),
                                s.serviceClasses(),
                                List.of(quota, quota),
                                s.overQuotaValue(),
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
        rig.receiveList(
                BackendListKind.FULL,
                LoadBalancerHarness.backend("s0", 0),
                new ListedBackend("s1", 1, 1, Health.READY, 1, rig.now));
        for (int i = 0; i < connections; i++) {
            rig.restoreConnection("s0", 1);
        }
        rig.route(0, 1, 1, 1);
        return rig;
    }

    private static long countSentToCold(LoadBalancerHarness rig, boolean again, long pause) {
        return countSentToCold(rig, 200, again, pause);
    }

    private static long countSentToCold(
            LoadBalancerHarness rig, int requests, boolean again, long pause) {
        long before = rig.backendByRequest.values().stream().filter("s1"::equals).count();
        for (long k = 0; k < requests; k++) {
            sendRequest(rig, k, again, pause);
        }
        return rig.backendByRequest.values().stream().filter("s1"::equals).count() - before;
    }

    private static void sendRequest(LoadBalancerHarness rig, long k, boolean again, long pause) {
        rig.now += pause;
        long deadline = rig.now + 1_200_000;
        rig.loadBalancer.requestReceived(
                rig.now, new Request(100_000 + k, 0, 0, k, k, 1, deadline, again, false));
        rig.establish(100_000 + k, 10_000);
    }

    @Test
    void keysAreAdmittedUnderTheThreshold() {
        // Its half of the keys, times a share that rises from 0.25 to 0.55: about 40 of 200.
        assertEquals(
                40, countSentToCold(harness(), false, 2 * LoadBalancerHarness.SECOND_MICROS), 15);
    }

    @Test
    void backendWithStartTimeInTheFutureIsWarmAfterTheWarmUpPeriod() {
        LoadBalancerHarness rig = harness(4_000);
        rig.receiveList(
                BackendListKind.FULL,
                LoadBalancerHarness.backend("s0", 0),
                new ListedBackend(
                        "s1",
                        1,
                        1,
                        Health.READY,
                        1,
                        rig.now + 3_600 * LoadBalancerHarness.SECOND_MICROS));
        rig.now += WARM_UP_MICROS + LoadBalancerHarness.SECOND_MICROS;
        assertEquals(100, countSentToCold(rig, false, 1_000), 25);
    }

    @Test
    void burstStaysWithinTheBudget() {
        assertTrue(countSentToCold(harness(), false, 1_000) <= 2);
    }

    @Test
    void reportOfFreeCapacityReleasesHalfOfThisRelaysShareAtOnce() {
        long blind = countSentToCold(harness(60, 100, WARM_UP_MICROS), false, 1_000);
        assertTrue(blind <= 2, "a burst is held to the budget: " + blind);
        assertEquals(
                9, countSentToCold(harnessWithLoadReport(0.01, WARM_UP_MICROS), false, 1_000), 2);
        assertEquals(
                5,
                countSentToCold(harnessWithLoadReport(0.01, WARM_UP_MICROS / 2), false, 1_000),
                2);
        // Own placements count as every relay's: half of the room, half the clients.
        assertEquals(
                6, countSentToCold(harnessWithLoadReport(0.1, WARM_UP_MICROS), false, 1_000), 2);
        assertTrue(
                countSentToCold(harnessWithLoadReport(0.3, WARM_UP_MICROS), false, 1_000) <= blind,
                "more than its part is asked");
    }

    @Test
    void coldBackendIsProbedEachSecond() {
        LoadBalancerHarness rig = harness();
        rig.loadBalancer.timerFired(rig.now, "probe");
        rig.actions.clear();
        rig.now += 1_100_000;
        rig.loadBalancer.timerFired(rig.now, "probe");
        assertTrue(rig.actions.contains("probe s1"), "it fills within seconds");
        assertTrue(!rig.actions.contains("probe s0"), "a calm warm one can wait");
    }

    private static LoadBalancerHarness harnessWithLoadReport(double asked, long fall) {
        LoadBalancerHarness rig = harness(60, 100, fall);
        rig.loadBalancer.probeCompleted(rig.now, "s1", Outcome.SERVED, asked);
        return rig;
    }

    @Test
    void reconnectingClientsAreHeldToTheSameBudget() {
        assertEquals(
                40, countSentToCold(harness(), true, 2 * LoadBalancerHarness.SECOND_MICROS), 15);
        assertTrue(countSentToCold(harness(), true, 1_000) <= 2, "a crowd of them too");
    }

    @Test
    void coldBackendRelievesAnOverloadedOneWithinItsBudget() {
        assertEquals(
                200,
                countSentToColdBesideOverloaded(2 * LoadBalancerHarness.SECOND_MICROS),
                "all that come, as it has room");
        assertTrue(
                countSentToColdBesideOverloaded(1_000) <= 2,
                "a burst is held to the budget all the same");
    }

    private static long countSentToColdBesideOverloaded(long pause) {
        LoadBalancerHarness rig = harness();
        rig.restoreConnection(
                "s1", 1); // else all that is heard of would be jammed: the fleet's matter
        long before = rig.backendByRequest.values().stream().filter("s1"::equals).count();
        for (int i = 0; i < 200; i++) {
            rig.reportDelay("s0", 500);
            sendRequest(rig, i, false, pause);
        }
        return rig.backendByRequest.values().stream().filter("s1"::equals).count() - before;
    }

    @Test
    void relayWithoutTrafficAssumesHalfItsEvenShareOfTheTenantQuotas() {
        assertEquals(
                0,
                countSentToCold(harness(0), 100, false, LoadBalancerHarness.SECOND_MICROS / 2),
                1);
        assertEquals(
                13,
                countSentToCold(
                        harness(0, 200_000), 100, false, LoadBalancerHarness.SECOND_MICROS / 2),
                7);
    }

    @Test
    void budgetIsAFractionOfTheObservedWarmCapacity() {
        LoadBalancerHarness few = harness(10);
        assertTrue(
                countSentToCold(few, 100, false, LoadBalancerHarness.SECOND_MICROS / 2) <= 2,
                "ten connections tell of a small fleet");
        LoadBalancerHarness told = harness(10);
        for (int i = 0; i < 40; i++) {
            told.loadBalancer.timerFired(told.now, "probe");
        }
        told.loadBalancer.probeCompleted(
                told.now, "s0", Outcome.SERVED, 0.002); // these ten are a 500th of what it can do
        assertEquals(
                13, countSentToCold(told, 100, false, LoadBalancerHarness.SECOND_MICROS / 2), 7);
    }

    @Test
    void capacityShareIsHandedToTheSuccessorAndOutlastsLowTraffic() {
        LoadBalancerHarness old = harness(10);
        for (int i = 0; i < 40; i++) {
            old.loadBalancer.timerFired(old.now, "probe");
        }
        old.loadBalancer.probeCompleted(old.now, "s0", Outcome.SERVED, 0.002);
        old.now += 2 * LoadBalancerHarness.SECOND_MICROS;
        old.route(0, 1, 1, 1); // ranks
        LoadBalancerHarness fresh = harness(10);
        fresh.loadBalancer.restoreLearnedState(fresh.now, old.loadBalancer.learnedState(old.now));
        fresh.loadBalancer.probeCompleted(
                fresh.now, "s0", Outcome.SERVED, 0.3); // the old process's connections, not its own
        assertEquals(
                13, countSentToCold(fresh, 100, false, LoadBalancerHarness.SECOND_MICROS / 2), 7);
    }
}

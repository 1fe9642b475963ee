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
 * Guards against a cold backend that gets more load than rule 4 allows. Backend s1 has just started
 * and warms up over 1,000 s; s0 is warm and by default holds 4,000 connections.
 */
class ColdBackendTest {
    /**
     * A budget window as long as the warm-up: within it the rule allows a few times the capacity of
     * the warm backend.
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

    private static LoadBalancerHarness harness(int connections, long quota, long budgetWindow) {
        Settings base =
                LoadBalancerHarness.settings(0.02, false, LoadBalancerHarness.idempotentClass());
        SafetyRules slowWarmUp =
                new SafetyRules(
                        LoadBalancerHarness.SECOND_MICROS,
                        0.25,
                        1_000 * LoadBalancerHarness.SECOND_MICROS,
                        2.5,
                        budgetWindow,
                        10 * LoadBalancerHarness.SECOND_MICROS);
        LoadBalancerHarness harness =
                new LoadBalancerHarness(
                        new Settings(
                                base.relayCount(),
                                base.zone(),
                                base.serviceClasses(),
                                List.of(quota, quota),
                                base.overQuotaValue(),
                                base.maxAttempts(),
                                base.connectTimeout(),
                                false,
                                true,
                                0.02,
                                0,
                                5000,
                                false,
                                slowWarmUp),
                        1);
        harness.receiveList(
                BackendListKind.FULL,
                LoadBalancerHarness.backend("s0", 0),
                new ListedBackend("s1", 1, 1, Health.READY, 1, harness.now));
        for (int i = 0; i < connections; i++) {
            harness.restoreConnection("s0", 1);
        }
        harness.route(0, 1, 1, 1);
        return harness;
    }

    private static long countSentToCold(
            LoadBalancerHarness harness, boolean reconnecting, long pause) {
        return countSentToCold(harness, 200, reconnecting, pause);
    }

    private static long countSentToCold(
            LoadBalancerHarness harness, int requests, boolean reconnecting, long pause) {
        long before = harness.backendByRequest.values().stream().filter("s1"::equals).count();
        for (long key = 0; key < requests; key++) {
            sendRequest(harness, key, reconnecting, pause);
        }
        return harness.backendByRequest.values().stream().filter("s1"::equals).count() - before;
    }

    private static void sendRequest(
            LoadBalancerHarness harness, long key, boolean reconnecting, long pause) {
        harness.now += pause;
        long deadline = harness.now + 1_200_000;
        harness.loadBalancer.requestReceived(
                harness.now,
                new Request(100_000 + key, 0, 0, key, key, 1, deadline, reconnecting, false));
        harness.establish(100_000 + key, 10_000);
    }

    @Test
    void keysAreAdmittedUnderTheThreshold() {
        // Half of the keys times a fraction that rises from 0.25 to 0.55: about 40 of 200.
        assertEquals(
                40, countSentToCold(harness(), false, 2 * LoadBalancerHarness.SECOND_MICROS), 15);
    }

    @Test
    void backendWithStartTimeInTheFutureIsWarmAfterTheWarmUpPeriod() {
        LoadBalancerHarness harness = harness(4_000);
        harness.receiveList(
                BackendListKind.FULL,
                LoadBalancerHarness.backend("s0", 0),
                new ListedBackend(
                        "s1",
                        1,
                        1,
                        Health.READY,
                        1,
                        harness.now + 3_600 * LoadBalancerHarness.SECOND_MICROS));
        harness.now += WARM_UP_MICROS + LoadBalancerHarness.SECOND_MICROS;
        assertEquals(100, countSentToCold(harness, false, 1_000), 25);
    }

    @Test
    void burstStaysWithinTheBudget() {
        assertTrue(countSentToCold(harness(), false, 1_000) <= 2);
    }

    @Test
    void reportOfFreeCapacityReleasesHalfOfThisRelaysShareAtOnce() {
        long withoutReport = countSentToCold(harness(60, 100, WARM_UP_MICROS), false, 1_000);
        assertTrue(withoutReport <= 2, "sent in a burst without a report: " + withoutReport);
        assertEquals(
                9, countSentToCold(harnessWithLoadReport(0.01, WARM_UP_MICROS), false, 1_000), 2);
        assertEquals(
                5,
                countSentToCold(harnessWithLoadReport(0.01, WARM_UP_MICROS / 2), false, 1_000),
                2);
        // Each relay assumes that the others place as much load as it does: with half the free
        // capacity it sends half the clients.
        assertEquals(
                6, countSentToCold(harnessWithLoadReport(0.1, WARM_UP_MICROS), false, 1_000), 2);
        assertTrue(
                countSentToCold(harnessWithLoadReport(0.3, WARM_UP_MICROS), false, 1_000)
                        <= withoutReport,
                "the report shows more load than its warm-up allows");
    }

    @Test
    void coldBackendIsProbedEachSecond() {
        LoadBalancerHarness harness = harness();
        harness.loadBalancer.timerFired(harness.now, "probe");
        harness.actions.clear();
        harness.now += 1_100_000;
        harness.loadBalancer.timerFired(harness.now, "probe");
        assertTrue(harness.actions.contains("probe s1"), "a cold backend can fill within seconds");
        assertTrue(
                !harness.actions.contains("probe s0"),
                "a warm backend without overload is probed less often");
    }

    private static LoadBalancerHarness harnessWithLoadReport(
            double utilization, long budgetWindow) {
        LoadBalancerHarness harness = harness(60, 100, budgetWindow);
        harness.loadBalancer.probeCompleted(harness.now, "s1", Outcome.SERVED, utilization);
        return harness;
    }

    @Test
    void reconnectingClientsAreHeldToTheSameBudget() {
        assertEquals(
                40, countSentToCold(harness(), true, 2 * LoadBalancerHarness.SECOND_MICROS), 15);
        assertTrue(
                countSentToCold(harness(), true, 1_000) <= 2,
                "a burst of reconnecting clients is held to the budget");
    }

    @Test
    void coldBackendTakesLoadOfAnOverloadedOneWithinItsBudget() {
        assertEquals(
                200,
                countSentToColdBesideOverloaded(2 * LoadBalancerHarness.SECOND_MICROS),
                "the cold backend has room for all");
        assertTrue(countSentToColdBesideOverloaded(1_000) <= 2, "a burst is held to the budget");
    }

    private static long countSentToColdBesideOverloaded(long pause) {
        LoadBalancerHarness harness = harness();
        // Otherwise all backends with connections would be overloaded, and thus the whole fleet.
        harness.restoreConnection("s1", 1);
        long before = harness.backendByRequest.values().stream().filter("s1"::equals).count();
        for (int i = 0; i < 200; i++) {
            harness.reportDelay("s0", 500);
            sendRequest(harness, i, false, pause);
        }
        return harness.backendByRequest.values().stream().filter("s1"::equals).count() - before;
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
        LoadBalancerHarness withoutReports = harness(10);
        assertTrue(
                countSentToCold(withoutReports, 100, false, LoadBalancerHarness.SECOND_MICROS / 2)
                        <= 2,
                "ten connections indicate a small capacity");
        LoadBalancerHarness withReport = harness(10);
        for (int i = 0; i < 40; i++) {
            withReport.loadBalancer.timerFired(withReport.now, "probe");
        }
        // The ten connections use a 500th of the capacity.
        withReport.loadBalancer.probeCompleted(withReport.now, "s0", Outcome.SERVED, 0.002);
        assertEquals(
                13,
                countSentToCold(withReport, 100, false, LoadBalancerHarness.SECOND_MICROS / 2),
                7);
    }

    @Test
    void capacityShareIsHandedToTheSuccessorAndOutlastsLowTraffic() {
        LoadBalancerHarness predecessor = harness(10);
        for (int i = 0; i < 40; i++) {
            predecessor.loadBalancer.timerFired(predecessor.now, "probe");
        }
        predecessor.loadBalancer.probeCompleted(predecessor.now, "s0", Outcome.SERVED, 0.002);
        predecessor.now += 2 * LoadBalancerHarness.SECOND_MICROS;
        predecessor.route(0, 1, 1, 1); // updates the statistics
        LoadBalancerHarness successor = harness(10);
        successor.loadBalancer.restoreLearnedState(
                successor.now, predecessor.loadBalancer.learnedState(predecessor.now));
        // The reported load comes from connections of the predecessor.
        successor.loadBalancer.probeCompleted(successor.now, "s0", Outcome.SERVED, 0.3);
        assertEquals(
                13,
                countSentToCold(successor, 100, false, LoadBalancerHarness.SECOND_MICROS / 2),
                7);
    }
}

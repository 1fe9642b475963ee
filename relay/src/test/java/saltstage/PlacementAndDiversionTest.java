package saltstage;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import saltstage.Api.BackendListKind;
import saltstage.Api.Health;
import saltstage.Api.ListedBackend;

/**
 * Checks where keys and groups are placed, and when heavy clients are diverted from their default
 * backend.
 */
class PlacementAndDiversionTest {
    private static final int KEY_COUNT = 4000;

    private static Map<Long, String> defaultBackends(LoadBalancerHarness harness) {
        Map<Long, String> map = new HashMap<>();
        for (long k = 0; k < KEY_COUNT; k++) {
            map.put(k, harness.route(k));
        }
        return map;
    }

    @Test
    void maglevSpreadsKeysEvenlyAndByWeight() {
        ListedBackend[] fleet = LoadBalancerHarness.backends(10);
        fleet[0] = new ListedBackend("s0", 0, 0, Health.READY, 2, 0);
        Map<String, Integer> keysByBackend = new HashMap<>();
        LoadBalancerHarness harness =
                LoadBalancerHarness.of(LoadBalancerHarness.idempotentClass())
                        .receiveList(BackendListKind.FULL, fleet);
        defaultBackends(harness).values().forEach(s -> keysByBackend.merge(s, 1, Integer::sum));
        for (Map.Entry<String, Integer> e : keysByBackend.entrySet()) {
            double expected = KEY_COUNT / 11.0 * (e.getKey().equals("s0") ? 2 : 1);
            assertEquals(expected, e.getValue(), 0.25 * expected, e.getKey());
        }
        assertEquals(10, keysByBackend.size());
    }

    @Test
    void maglevMovesFewKeysWhenABackendLeaves() {
        ListedBackend[] fleet = LoadBalancerHarness.backends(20);
        LoadBalancerHarness harness =
                LoadBalancerHarness.of(LoadBalancerHarness.idempotentClass())
                        .receiveList(BackendListKind.FULL, fleet);
        Map<Long, String> before = defaultBackends(harness);
        harness.receiveList(
                BackendListKind.DELTA, LoadBalancerHarness.withHealth(fleet[7], Health.GONE));
        Map<Long, String> after = defaultBackends(harness);
        long moved =
                before.keySet().stream()
                        .filter(
                                k ->
                                        !before.get(k).equals("s7")
                                                && !before.get(k).equals(after.get(k)))
                        .count();
        assertTrue(moved < KEY_COUNT * 0.05, moved + " keys of other backends moved");
    }

    @Test
    void relaysAgreeWhateverTheirSeedAndListOrder() {
        ListedBackend[] fleet = LoadBalancerHarness.backends(8);
        ListedBackend[] reversed = new ListedBackend[8];
        for (int i = 0; i < 8; i++) {
            reversed[i] = fleet[7 - i];
        }
        LoadBalancerHarness one =
                new LoadBalancerHarness(
                                LoadBalancerHarness.settings(
                                        0.02, false, LoadBalancerHarness.idempotentClass()),
                                1)
                        .receiveList(BackendListKind.FULL, fleet);
        LoadBalancerHarness two =
                new LoadBalancerHarness(
                                LoadBalancerHarness.settings(
                                        0.02, false, LoadBalancerHarness.idempotentClass()),
                                2)
                        .receiveList(BackendListKind.FULL, reversed);
        assertEquals(defaultBackends(one), defaultBackends(two));
    }

    @Test
    void groupTakesPrecedenceOverClientKeyAndNoKeyStillGetsABackend() {
        LoadBalancerHarness harness =
                LoadBalancerHarness.of(LoadBalancerHarness.idempotentClass())
                        .receiveList(BackendListKind.FULL, LoadBalancerHarness.backends(20));
        for (long client = 0; client < 30; client++) {
            assertEquals(harness.route(0, 1, 77, Api.NONE), harness.route(0, client, 77, Api.NONE));
        }
        assertNotNull(harness.route(0, Api.NONE, Api.NONE, Api.NONE));
    }

    @Test
    void groupTooBigForOneBackendIsSpreadOverSeveral() {
        LoadBalancerHarness harness =
                LoadBalancerHarness.of(LoadBalancerHarness.idempotentClass())
                        .receiveList(BackendListKind.FULL, LoadBalancerHarness.backends(30));
        Set<String> early = new TreeSet<>();
        Set<String> later = new TreeSet<>();
        for (long i = 0; i < 200; i++) {
            harness.now += 100_000;
            harness.establish(harness.request(0, i, 1000 + i, 100), 10_000);
            long id = harness.request(0, i, 5, 100);
            harness.establish(id, 10_000);
            (i < 10 ? early : later).add(harness.backendByRequest.get(id));
        }
        assertEquals(1, early.size(), "one backend until the group is known to be big");
        assertTrue(
                later.size() > 8 && later.size() < 25,
                "backends of half of all connections: " + later);
    }

    @Test
    void smallGroupsStayOnOneBackend() {
        LoadBalancerHarness harness =
                LoadBalancerHarness.of(LoadBalancerHarness.idempotentClass())
                        .receiveList(BackendListKind.FULL, LoadBalancerHarness.backends(30));
        for (long i = 0; i < 200; i++) {
            harness.now += 100_000;
            long one = harness.request(0, i, 1000 + i, 100);
            long two = harness.request(0, i + 500, 1000 + i, 100);
            harness.establish(one, 10_000);
            harness.establish(two, 10_000);
            assertEquals(harness.backendByRequest.get(one), harness.backendByRequest.get(two));
        }
    }

    @Test
    void onlyHeavyClientsLeaveAnOverloadedDefault() {
        int light = 0;
        int heavy = 0;
        for (int seed = 1; seed <= 50; seed++) {
            LoadBalancerHarness harness = harnessWithDelayedDefault(25, seed * 7919L);
            String defaultBackend =
                    harness.backendByRequest.get(harness.backendByRequest.lastKey());
            light += harness.route(0, 5003, 5, 100).equals(defaultBackend) ? 0 : 1;
            heavy += harness.route(0, 5002, 5, 10_000).equals(defaultBackend) ? 0 : 1;
        }
        assertTrue(
                light <= 15, light + " of 50 light clients left; the table admits few by chance");
        assertTrue(heavy >= 25, heavy + " of 50 heavy clients left");
    }

    @Test
    void noDiversionWithoutAGapWorthASetup() {
        LoadBalancerHarness harness = harnessWithDelayedDefault(9);
        String defaultBackend = harness.route(0, 5001, 5, 100);
        assertEquals(
                defaultBackend,
                harness.route(0, 5002, 5, 10_000),
                "a gap of 9 ms is less than a set-up of 10 ms");
    }

    @Test
    void noDiversionBelowThePercentile() {
        // Half of the others are slower than the default and the rest are idle: by the gap alone
        // the client would be diverted.
        assertEquals(0, divertedHeavyClients(10, 30));
        assertTrue(
                divertedHeavyClients(0, 30) > 10, "the only slow backend is in the slowest fifth");
    }

    @Test
    void noDiversionToABackendHardlyLessLoaded() {
        assertEquals(
                0, divertedHeavyClients(19, 20), "the gap of 5 ms is less than a set-up of 10 ms");
    }

    /**
     * Returns how many of 30 heavy clients leave a default with a reported delay of 25 ms, when
     * {@code others} of the other backends report a delay of {@code othersDelayMillis}.
     */
    private static int divertedHeavyClients(int others, double othersDelayMillis) {
        int diverted = 0;
        for (int seed = 1; seed <= 30; seed++) {
            LoadBalancerHarness harness = harnessWithDelayedDefault(25, seed * 7919L);
            String defaultBackend =
                    harness.backendByRequest.get(harness.backendByRequest.lastKey());
            int reported = 0;
            for (int i = 0; i < 20 && reported < others; i++) {
                if (!defaultBackend.equals("s" + i)) {
                    harness.reportDelay("s" + i, othersDelayMillis);
                    reported++;
                }
            }
            harness.now += 1_000_000;
            diverted += harness.route(0, 5002, 5, 10_000).equals(defaultBackend) ? 0 : 1;
        }
        return diverted;
    }

    /**
     * Returns a harness with twenty backends of known set-up latency, of which the default of group
     * 5 reports the given delay.
     */
    private static LoadBalancerHarness harnessWithDelayedDefault(double delayMillis) {
        return harnessWithDelayedDefault(delayMillis, 1);
    }

    private static LoadBalancerHarness harnessWithDelayedDefault(double delayMillis, long seed) {
        LoadBalancerHarness harness =
                new LoadBalancerHarness(
                                LoadBalancerHarness.settings(
                                        0.02, false, LoadBalancerHarness.idempotentClass()),
                                seed)
                        .receiveList(BackendListKind.FULL, LoadBalancerHarness.backends(20));
        for (long k = 0; k < 400; k++) {
            harness.route(0, k, k, 1000);
        }
        harness.reportDelay(harness.route(0, 5001, 5, 100), delayMillis);
        harness.now += 300_000;
        return harness;
    }

    @Test
    void rapAdmitsANewcomerByItsWeight() {
        int admitted = 0;
        Random random = new Random(1);
        for (int i = 0; i < 2000; i++) {
            BalancerState.HeavyHitterTable table = new BalancerState.HeavyHitterTable();
            for (long c = 0; c < 4; c++) {
                table.add(c, 3, random);
            }
            table.add(99, 1, random);
            for (int k = 0; k < table.size; k++) {
                if (table.clients[k] == 99) {
                    admitted++;
                    assertEquals(
                            4, table.counters[k], 1e-9, "adds its weight to the replaced counter");
                }
            }
        }
        assertEquals(500, admitted, 80, "one in c_m + 1");
    }

    @Test
    void rapIncrementsTheCounterOfAKnownClient() {
        BalancerState.HeavyHitterTable table = new BalancerState.HeavyHitterTable();
        table.add(7, 1, new Random(1));
        table.add(7, 2, new Random(1));
        assertEquals(1, table.size);
        assertEquals(3, table.counters[0], 1e-9);
    }
}

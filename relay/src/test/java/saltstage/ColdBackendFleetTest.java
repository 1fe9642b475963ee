package saltstage;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import saltstage.Api.BackendListKind;
import saltstage.Api.Health;
import saltstage.Api.ListedBackend;
import saltstage.Api.Outcome;
import saltstage.Api.Request;
import saltstage.Api.SafetyRules;
import saltstage.Api.Settings;

/**
 * Guards against relays that each keep to rule 4 but together overload a cold backend. Within any
 * budget window a cold backend may get at most N connections, the budget for its present capacity,
 * and 2 * sqrt(N) + 2 more for random variation, however many relays share it. The relays have only
 * the backend list, the load reports and the settings in common.
 */
class ColdBackendFleetTest {
    private static final int WARM_BACKENDS = 9;

    /** Connections of mean load that fill a warm backend. */
    private static final double WARM_CAPACITY_CONNECTIONS = 80;

    private static final double INITIAL_UTILIZATION = 0.6;
    private static final long STEP_MICROS = 20_000;

    private final Random random = new Random(5);
    private final List<LoadBalancerHarness> relays = new ArrayList<>();
    private final Map<String, Integer> connectionsByBackend = new TreeMap<>(Map.of("cold", 0));
    private SafetyRules rules;
    private final long startedAt = 100 * LoadBalancerHarness.SECOND_MICROS;
    private long now = startedAt;
    private long lastRequestId = 1_000_000;

    private void setWarmUpSeconds(int seconds) {
        rules =
                new SafetyRules(
                        LoadBalancerHarness.SECOND_MICROS,
                        0.25,
                        seconds * LoadBalancerHarness.SECOND_MICROS,
                        3,
                        3 * LoadBalancerHarness.SECOND_MICROS,
                        10 * LoadBalancerHarness.SECOND_MICROS);
    }

    private LoadBalancerHarness newRelay(int fleetSize, int seed) {
        Settings base =
                LoadBalancerHarness.settings(0.02, false, LoadBalancerHarness.idempotentClass());
        long share = (long) (WARM_CAPACITY_CONNECTIONS * (WARM_BACKENDS + 1));
        LoadBalancerHarness harness =
                new LoadBalancerHarness(
                        new Settings(
                                fleetSize,
                                0,
                                base.serviceClasses(),
                                List.of(share),
                                base.overQuotaValue(),
                                base.maxAttempts(),
                                base.connectTimeout(),
                                false,
                                true,
                                0.02,
                                0,
                                5000,
                                true,
                                rules),
                        seed);
        harness.now = now;
        ListedBackend[] all = new ListedBackend[WARM_BACKENDS + 1];
        for (int i = 0; i < WARM_BACKENDS; i++) {
            all[i] = LoadBalancerHarness.backend("s" + i, 0);
        }
        all[WARM_BACKENDS] = new ListedBackend("cold", 0, 1, Health.READY, 1, startedAt);
        harness.receiveList(BackendListKind.FULL, all);
        return harness;
    }

    /**
     * Starts relays that hold the connections of the warm backends; if skewed, the first half of
     * the relays holds four fifths of them.
     */
    private void startFleet(int size, boolean skewed) {
        for (int i = 0; i < size; i++) {
            relays.add(newRelay(size, i + 1));
        }
        for (int backend = 0; backend < WARM_BACKENDS; backend++) {
            for (int k = 0; k < INITIAL_UTILIZATION * WARM_CAPACITY_CONNECTIONS; k++) {
                randomRelay(skewed).restoreConnection("s" + backend, 1);
                connectionsByBackend.merge("s" + backend, 1, Integer::sum);
            }
        }
        for (LoadBalancerHarness harness : relays) {
            for (int i = 0; i < 40; i++) {
                // Load reports describe the load that is placed now.
                harness.loadBalancer.timerFired(harness.now, "probe");
            }
        }
    }

    private LoadBalancerHarness randomRelay(boolean skewed) {
        int half = relays.size() / 2;
        boolean first = skewed && random.nextInt(5) > 0;
        return relays.get(
                first ? random.nextInt(half) : half + random.nextInt(relays.size() - half));
    }

    /**
     * Reports the utilization of all warm backends to each relay, and that of the cold one if
     * {@code includeCold} is set.
     */
    private void reportLoad(boolean includeCold) {
        for (LoadBalancerHarness harness : relays) {
            connectionsByBackend.forEach(
                    (backendId, connections) -> {
                        if (includeCold || !backendId.equals("cold")) {
                            harness.loadBalancer.probeCompleted(
                                    now,
                                    backendId,
                                    Outcome.SERVED,
                                    connections / WARM_CAPACITY_CONNECTIONS);
                        }
                    });
        }
    }

    /**
     * Returns the largest part of N + 2 * sqrt(N) + 2 that was sent in any budget window, while
     * requests beyond the capacity of the fleet arrive for two windows.
     */
    private double maxBudgetUse(boolean skewed, boolean reported) {
        List<Long> sent = new ArrayList<>();
        double maxUse = 0;
        int requestsPerStep =
                (int)
                        (2
                                * WARM_CAPACITY_CONNECTIONS
                                * (WARM_BACKENDS + 1)
                                * STEP_MICROS
                                / rules.warmUpBudgetWindow());
        for (long end = now + 2 * rules.warmUpBudgetWindow(); now < end; now += STEP_MICROS) {
            if (now % LoadBalancerHarness.SECOND_MICROS < STEP_MICROS) {
                reportLoad(reported);
            }
            for (int i = 0; i < requestsPerStep; i++) {
                sendRequest(skewed, sent);
            }
            long from = now - rules.warmUpBudgetWindow();
            sent.removeIf(time -> time <= from);
            double budget = currentBudget();
            maxUse = Math.max(maxUse, sent.size() / (budget + 2 * Math.sqrt(budget) + 2));
        }
        return maxUse;
    }

    /**
     * Sends one request to a random relay and adds its time to the list if it goes to the cold
     * backend.
     */
    private void sendRequest(boolean skewed, List<Long> sent) {
        LoadBalancerHarness harness = randomRelay(skewed);
        harness.now = now;
        long id = ++lastRequestId;
        harness.loadBalancer.requestReceived(
                now,
                new Request(
                        id,
                        0,
                        0,
                        random.nextInt(1 << 30),
                        Api.NONE,
                        1,
                        now + 1_200_000,
                        false,
                        false));
        String backendId = harness.backendByRequest.get(id);
        if ("cold".equals(backendId)) {
            sent.add(now);
        }
        if (backendId != null) {
            harness.establish(id, 10_000);
            connectionsByBackend.merge(backendId, 1, Integer::sum);
        }
    }

    /** Returns N, the connections that the cold backend may get in one budget window now. */
    private double currentBudget() {
        double warmUpFraction =
                rules.initialWarmUpFraction()
                        + (1 - rules.initialWarmUpFraction())
                                * Math.min(1, (now - startedAt) / (double) rules.warmUpPeriod());
        return rules.maxWarmUpLoadMultiple()
                * warmUpFraction
                * WARM_CAPACITY_CONNECTIONS
                * rules.warmUpBudgetWindow()
                / rules.warmUpPeriod();
    }

    @ParameterizedTest
    @CsvSource({"2,8", "5,8", "20,8", "30,8", "100,8", "2,20", "5,20", "20,20", "30,20", "100,20"})
    void allRelaysHaveJustListedTheBackend(int size, int seconds) {
        setWarmUpSeconds(seconds);
        startFleet(size, false);
        double maxUse = maxBudgetUse(false, false);
        assertTrue(maxUse <= 1, maxUse + " of the budget");
    }

    @ParameterizedTest
    @CsvSource({"2,8", "5,8", "20,8", "30,8", "100,8", "2,20", "5,20", "20,20", "30,20", "100,20"})
    void loadReportsShowFreeCapacity(int size, int seconds) {
        setWarmUpSeconds(seconds);
        startFleet(size, false);
        double maxUse = maxBudgetUse(false, true);
        assertTrue(maxUse <= 1, maxUse + " of the budget");
    }

    @ParameterizedTest
    @CsvSource({"2,8", "5,8", "20,8", "30,8", "100,8", "2,20", "5,20", "20,20", "30,20", "100,20"})
    void trafficIsSkewed(int size, int seconds) {
        setWarmUpSeconds(seconds);
        startFleet(size, true);
        double maxUse = maxBudgetUse(true, true);
        assertTrue(maxUse <= 1, maxUse + " of the budget");
    }

    @ParameterizedTest
    @CsvSource({"2,8", "5,8", "20,8", "30,8", "100,8", "2,20", "5,20", "20,20", "30,20", "100,20"})
    void allRelaysHaveJustRestarted(int size, int seconds) {
        setWarmUpSeconds(seconds);
        now += 2 * LoadBalancerHarness.SECOND_MICROS;
        for (int i = 0; i < size; i++) {
            relays.add(newRelay(size, i + 1));
        }
        double maxUse = maxBudgetUse(false, true);
        assertTrue(maxUse <= 1, maxUse + " of the budget");
    }
}

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
 * Rule 4 for the sum of all processes: within any span that the settings name a cold server gets no
 * more than the budget N of its present capacity, and 2 * root of N + 2 for chance, however many
 * relays share it. No relay is told what the others do; what they have in common is the list, the
 * reports and the settings.
 */
class ColdBackendFleetTest {
    private static final int WARM_BACKENDS = 9;
    private static final double WARM_CAPACITY_CONNECTIONS =
            80; // connections of mean load that fill a warm server
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
     * So many relays that hold what the warm servers carry; skewed: the first half has four fifths
     * of it.
     */
    private void startFleet(int size, boolean skewed) {
        for (int i = 0; i < size; i++) {
            relays.add(newRelay(size, i + 1));
        }
        for (int server = 0; server < WARM_BACKENDS; server++) {
            for (int k = 0; k < INITIAL_UTILIZATION * WARM_CAPACITY_CONNECTIONS; k++) {
                randomRelay(skewed).restoreConnection("s" + server, 1);
                connectionsByBackend.merge("s" + server, 1, Integer::sum);
            }
        }
        for (LoadBalancerHarness harness : relays) {
            for (int i = 0; i < 40; i++) {
                harness.loadBalancer.timerFired(
                        harness.now, "probe"); // what is placed now is what reports speak of
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
     * Each relay is told what all servers hold of what they can, the cold one only where that is
     * meant.
     */
    private void reportLoad(boolean includeCold) {
        for (LoadBalancerHarness harness : relays) {
            connectionsByBackend.forEach(
                    (server, connections) -> {
                        if (includeCold || !server.equals("cold")) {
                            harness.loadBalancer.probeCompleted(
                                    now, server, Outcome.SERVED, connections / WARM_CAPACITY_CONNECTIONS);
                        }
                    });
        }
    }

    /**
     * The most of N + 2 * root of N + 2 that any span was sent, in a crowd that comes for two
     * spans.
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
            sent.removeIf(at -> at <= from);
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
        String server = harness.backendByRequest.get(id);
        if ("cold".equals(server)) {
            sent.add(now);
        }
        if (server != null) {
            harness.establish(id, 10_000);
            connectionsByBackend.merge(server, 1, Integer::sum);
        }
    }

    /** The connections that the cold backend may get now in one budget window: N. */
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

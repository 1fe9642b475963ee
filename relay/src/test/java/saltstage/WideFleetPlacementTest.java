package saltstage;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import saltstage.Api.BackendListKind;
import saltstage.Api.ListedBackend;
import saltstage.Api.Request;

/**
 * Guards against backends that get no slot in the placement table of the largest fleet to be
 * supported.
 */
class WideFleetPlacementTest {
    private static final int BACKENDS = 3_200;
    private static final int KEYS_PER_BACKEND = 8;

    @Test
    void nearlyEveryBackendOfAWideFleetIsSentRequests() {
        LoadBalancerHarness harness = LoadBalancerHarness.of(LoadBalancerHarness.idempotentClass());
        harness.receiveList(
                BackendListKind.FULL,
                IntStream.range(0, BACKENDS)
                        .mapToObj(i -> LoadBalancerHarness.backend("s" + i, 0))
                        .toArray(ListedBackend[]::new));
        for (long key = 0; key < KEYS_PER_BACKEND * BACKENDS; key++) {
            harness.now += 1_000;
            harness.loadBalancer.requestReceived(
                    harness.now,
                    new Request(key, 0, 0, key, key, 1, harness.now + 1_200_000, false, false));
            harness.establish(key, 10_000);
        }
        Set<String> reached = new HashSet<>(harness.backendByRequest.values());
        assertTrue(reached.size() > 0.95 * BACKENDS, "backends with requests: " + reached.size());
    }
}

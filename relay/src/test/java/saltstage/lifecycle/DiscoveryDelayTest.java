package saltstage.lifecycle;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.lang.reflect.Proxy;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import saltstage.Api;
import saltstage.Api.BackendListKind;
import saltstage.LoadBalancer;
import saltstage.config.SettingsReader;
import saltstage.wire.DiscoveryClient;

/**
 * Guards against pauses and time-outs that together exceed 6 s, after which a relay counts as
 * knowing a change of the backend list.
 */
class DiscoveryDelayTest {
    private static final Duration MAX_DELAY = Duration.ofSeconds(6);

    /** The time that a service that works through its calls in turn may need for an answer. */
    private static final Duration ANSWER_TIME = Duration.ofSeconds(1);

    /**
     * Returns the load balancer's longest pause after a number of consecutive failed calls, over
     * many seeds.
     */
    private static Duration longestPause(int failedCalls) {
        Map<String, String> settings =
                Map.of(
                        "Services.count",
                        "1",
                        "Services.0.Aim",
                        "1000",
                        "Services.0.GiveUp",
                        "1000",
                        "Services.0.Effect",
                        "retryable",
                        "Discovery",
                        "on_request");
        long longest = 0;
        for (long seed = 0; seed < 2_000; seed++) {
            List<Long> pauses = new ArrayList<>();
            Api.Actions actions =
                    (Api.Actions)
                            Proxy.newProxyInstance(
                                    Api.class.getClassLoader(),
                                    new Class<?>[] {Api.Actions.class},
                                    (proxy, method, arguments) -> {
                                        if (method.getName().equals("setTimer")
                                                && arguments[0].equals("list")) {
                                            pauses.add((Long) arguments[1]);
                                        }
                                        return null;
                                    });
            LoadBalancer loadBalancer =
                    new LoadBalancer(
                            new SettingsReader(
                                            settings,
                                            (key, problem) ->
                                                    new IllegalArgumentException(key + problem))
                                    .read(),
                            seed,
                            actions);
            for (int i = 0; i < failedCalls; i++) {
                loadBalancer.backendListReceived(i, BackendListKind.CALL_FAILED, List.of());
            }
            longest = Math.max(longest, pauses.get(failedCalls - 1));
        }
        return Duration.ofNanos(longest * 1_000);
    }

    @Test
    void watchThatFallsSilentIsReplacedThoughTheFirstCallHangs() {
        Duration delay =
                DiscoveryClient.SILENCE_TIMEOUT
                        .plus(longestPause(1))
                        .plus(DiscoverySubscription.ANSWER_TIMEOUT)
                        .plus(longestPause(2));
        assertTrue(delay.compareTo(MAX_DELAY) <= 0, delay.toString());
    }

    @Test
    void discoveryThatReturnsIsAskedInTimeHoweverLongItWasDown() {
        for (int failedCalls = 1; failedCalls < 8; failedCalls++) {
            Duration delay =
                    DiscoverySubscription.ANSWER_TIMEOUT
                            .plus(longestPause(failedCalls))
                            .plus(ANSWER_TIME);
            assertTrue(delay.compareTo(MAX_DELAY) <= 0, failedCalls + " failed: " + delay);
        }
    }
}

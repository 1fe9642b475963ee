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
    private static Duration longestPause(int failed) {
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
            Api.Actions acts =
                    (Api.Actions)
                            Proxy.newProxyInstance(
                                    Api.class.getClassLoader(),
                                    new Class<?>[] {Api.Actions.class},
                                    (proxy, method, given) -> {
                                        if (method.getName().equals("setTimer")
                                                && given[0].equals("list")) {
                                            pauses.add((Long) given[1]);
                                        }
                                        return null;
                                    });
            LoadBalancer logic =
                    new LoadBalancer(
                            new SettingsReader(
                                            settings,
                                            (key, what) -> new IllegalArgumentException(key + what))
                                    .read(),
                            seed,
                            acts);
            for (int i = 0; i < failed; i++) {
                logic.backendListReceived(i, BackendListKind.CALL_FAILED, List.of());
            }
            longest = Math.max(longest, pauses.get(failed - 1));
        }
        return Duration.ofNanos(longest * 1_000);
    }

    @Test
    void watchThatFallsSilentIsReplacedThoughTheFirstCallHangs() {
        Duration until =
                DiscoveryClient.SILENCE_TIMEOUT
                        .plus(longestPause(1))
                        .plus(DiscoverySubscription.ANSWER_TIMEOUT)
                        .plus(longestPause(2));
        assertTrue(until.compareTo(MAX_DELAY) <= 0, until.toString());
    }

    @Test
    void discoveryThatReturnsIsAskedInTimeHoweverLongItWasDown() {
        for (int failed = 1; failed < 8; failed++) {
            Duration until =
                    DiscoverySubscription.ANSWER_TIMEOUT
                            .plus(longestPause(failed))
                            .plus(ANSWER_TIME);
            assertTrue(until.compareTo(MAX_DELAY) <= 0, failed + " failed: " + until);
        }
    }
}

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

/** What a relay may miss of discovery, by its longest pauses: a change counts as told after 6 s. */
class DiscoveryDelayTest {
    private static final Duration MAX_DELAY = Duration.ofSeconds(6);

    /** A service that works through calls in turn needs some time for an answer. */
    private static final Duration ANSWER_TIME = Duration.ofSeconds(1);

    /** The longest of the module's pauses after so many failed calls in a row, over many seeds. */
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

package saltstage.configuration.follower;

import java.time.Duration;

/**
 * The waits and retry delays of a follower.
 *
 * @param pollWait how long a source may hold a request while it has nothing new
 * @param baseRetryDelay the maximum of the first delay after a failure, twice its mean; it doubles
 *     with each further failure
 * @param maxRetryDelay the longest delay after a failure
 * @param basePreferredRetryDelay the longest delay before the preferred source is tried again; the
 *     shortest delay is half of it, and both double while that source continues to fail
 * @param maxPreferredRetryDelay the upper bound of the delay before the preferred source is tried
 *     again
 */
public record FollowerTimings(
        Duration pollWait,
        Duration baseRetryDelay,
        Duration maxRetryDelay,
        Duration basePreferredRetryDelay,
        Duration maxPreferredRetryDelay) {
    /** Checks that each duration is positive; throws IllegalArgumentException otherwise. */
    public FollowerTimings {
        for (Duration duration :
                new Duration[] {
                    pollWait,
                    baseRetryDelay,
                    maxRetryDelay,
                    basePreferredRetryDelay,
                    maxPreferredRetryDelay
                }) {
            if (duration.isZero() || duration.isNegative()) {
                throw new IllegalArgumentException("a follower's time-outs must be positive");
            }
        }
    }

    /**
     * The default timings: a poll wait of 5 s, retry delays bounded by 0.2 s to 4 s, and a retry of
     * the preferred source after 15 to 30 s. A follower fails over from a silent source after the
     * poll wait and 2 s more; with a poll wait of 5 s, a change is applied within 9 s of its
     * acceptance even then.
     */
    public static FollowerTimings defaults() {
        return new FollowerTimings(
                Duration.ofSeconds(5),
                Duration.ofMillis(200),
                Duration.ofSeconds(4),
                Duration.ofSeconds(30),
                Duration.ofMinutes(5));
    }
}

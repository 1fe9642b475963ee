package saltstage.configuration.follower;

import java.time.Duration;

/**
 * How long a follower waits for what.
 *
 * @param poll how long a source may hold a request while it has nothing new
 * @param retryBase the mean of the first pause after a failure is half of this; it doubles
 * @param retryMost the longest pause after a failure
 * @param preferredPause the longest pause before the preferred source is tried again; the shortest
 *     is half of it, and both double while that source goes on failing
 * @param preferredMost the longest of all such pauses
 */
public record FollowerTimings(
        Duration pollWait,
        Duration baseRetryDelay,
        Duration maxRetryDelay,
        Duration basePreferredRetryDelay,
        Duration maxPreferredRetryDelay) {
    /** Checks that each is positive; throws IllegalArgumentException otherwise. */
    public FollowerTimings {
        for (Duration each :
                new Duration[] {
                    pollWait,
                    baseRetryDelay,
                    maxRetryDelay,
                    basePreferredRetryDelay,
                    maxPreferredRetryDelay
                }) {
            if (each.isZero() || each.isNegative()) {
                throw new IllegalArgumentException("a follower's time-outs must be positive");
            }
        }
    }

    /**
     * Requests of 5 s, pauses of 0.2 to 4 s, the preferred source again after 15 to 30 s. A source
     * that has gone silent is left after the request's wait and 2 s; with 5 s a change is in force
     * within 9 s of its acceptance even so.
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

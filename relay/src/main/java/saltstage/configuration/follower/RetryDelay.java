package saltstage.configuration.follower;

import java.time.Duration;
import java.util.random.RandomGenerator;

/** Random retry delays that grow exponentially with consecutive failures, up to a maximum. */
final class RetryDelay {
    private static final int MAX_DOUBLINGS = 20;

    private RetryDelay() {}

    /** A delay with full jitter: from 1 ms to the base, which doubles with each further failure. */
    static Duration fullJitter(Duration base, Duration max, int failures, RandomGenerator random) {
        return randomBetween(Duration.ofMillis(1), exponentialBound(base, max, failures), random);
    }

    /** A delay with equal jitter: from half of the exponential bound to the bound. */
    static Duration equalJitter(Duration base, Duration max, int failures, RandomGenerator random) {
        Duration bound = exponentialBound(base, max, failures);
        return randomBetween(bound.dividedBy(2), bound, random);
    }

    private static Duration exponentialBound(Duration base, Duration max, int failures) {
        int doublings = Math.min(MAX_DOUBLINGS, Math.max(0, failures - 1));
        Duration bound = base.multipliedBy(1L << doublings);
        return bound.compareTo(max) < 0 ? bound : max;
    }

    private static Duration randomBetween(Duration min, Duration max, RandomGenerator random) {
        long range = Math.max(1, max.toMillis() - min.toMillis() + 1);
        return min.plusMillis(random.nextLong(range));
    }
}

package saltstage.configuration.follower;

import java.time.Duration;
import java.util.random.RandomGenerator;

/** Random retry delays that grow exponentially with consecutive failures, up to a maximum. */
final class RetryDelay {
    private static final int MAX_DOUBLINGS = 20;

    private RetryDelay() {}

    /** A delay with full jitter: from 1 ms to the base, which doubles with each further failure. */
    static Duration fullJitter(Duration base, Duration most, int failures, RandomGenerator random) {
        return randomBetween(Duration.ofMillis(1), exponentialBound(base, most, failures), random);
    }

    /** A delay with equal jitter: from half of the exponential bound to the bound. */
    static Duration equalJitter(
            Duration base, Duration most, int failures, RandomGenerator random) {
        Duration bound = exponentialBound(base, most, failures);
        return randomBetween(bound.dividedBy(2), bound, random);
    }

    private static Duration exponentialBound(Duration base, Duration most, int failures) {
        int doublings = Math.min(MAX_DOUBLINGS, Math.max(0, failures - 1));
        Duration grown = base.multipliedBy(1L << doublings);
        return grown.compareTo(most) < 0 ? grown : most;
    }

    private static Duration randomBetween(Duration least, Duration most, RandomGenerator random) {
        long range = Math.max(1, most.toMillis() - least.toMillis() + 1);
        return least.plusMillis(random.nextLong(range));
    }
}

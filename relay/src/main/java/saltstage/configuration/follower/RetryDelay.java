package saltstage.configuration.follower;

import java.time.Duration;
import java.util.random.RandomGenerator;

/** Pauses that grow with consecutive failures, up to a bound, and are drawn at random. */
final class RetryDelay {
    private static final int MAX_DOUBLINGS = 20;

    private RetryDelay() {}

    /** A pause with full jitter: from nothing to the base, doubled with each further failure. */
    static Duration fullJitter(Duration base, Duration most, int failures, RandomGenerator random) {
        return randomBetween(Duration.ofMillis(1), exponentialBound(base, most, failures), random);
    }

    /** A pause from half of the bound to the bound. */
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

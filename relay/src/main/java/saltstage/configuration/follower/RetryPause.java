package saltstage.configuration.follower;

import java.time.Duration;
import java.util.random.RandomGenerator;

/** Pauses that grow with consecutive failures, up to a bound, and are drawn at random. */
final class RetryPause {
    private static final int MOST_DOUBLINGS = 20;

    private RetryPause() {}

    /** A pause with full jitter: from nothing to the base, doubled with each further failure. */
    static Duration fullJitter(Duration base, Duration most, int failures, RandomGenerator random) {
        return random(Duration.ofMillis(1), bound(base, most, failures), random);
    }

    /** A pause from half of the bound to the bound. */
    static Duration halfJitter(Duration base, Duration most, int failures, RandomGenerator random) {
        Duration bound = bound(base, most, failures);
        return random(bound.dividedBy(2), bound, random);
    }

    private static Duration bound(Duration base, Duration most, int failures) {
        int doublings = Math.min(MOST_DOUBLINGS, Math.max(0, failures - 1));
        Duration grown = base.multipliedBy(1L << doublings);
        return grown.compareTo(most) < 0 ? grown : most;
    }

    private static Duration random(Duration least, Duration most, RandomGenerator random) {
        long range = Math.max(1, most.toMillis() - least.toMillis() + 1);
        return least.plusMillis(random.nextLong(range));
    }
}

package saltstage.coordinator.lease;

import java.util.Map;
import saltstage.coordinator.model.Command;

/** The commands that act on leases. Durations are in milliseconds. */
public final class LeaseCommands {
    private LeaseCommands() {}

    /**
     * Requests a lease. A waiter keeps its place in the queue by repeating the request within
     * {@link Leases#WAITER_TIMEOUT_MS}. A lease that becomes free is reserved for the first waiter
     * until that waiter asks again, so a grant always answers a request that its holder has just
     * sent, and the holder can count the lease's duration from the time of sending.
     *
     * @param priority waiters with a higher priority go first; among equal priorities, the earlier
     *     waiter goes first
     * @param queue whether to wait in the queue if the lease is held
     */
    public record Acquire(String name, String owner, long ttlMs, int priority, boolean queue)
            implements Command {
        @Override
        public int minFeatureLevel() {
            return 1;
        }
    }

    /**
     * Extends leases by their full duration. Each lease is identified by its name and fencing
     * token.
     */
    public record Renew(String owner, Map<String, Long> fences) implements Command {
        @Override
        public int minFeatureLevel() {
            return 1;
        }
    }

    /** Releases a lease, or leaves its queue (with fencing token 0). */
    public record Release(String name, String owner, long fence) implements Command {
        @Override
        public int minFeatureLevel() {
            return 1;
        }
    }
}

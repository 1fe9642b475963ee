package saltstage.coordinator.lease;

import java.util.Map;
import saltstage.coordinator.model.Command;

/** What can be asked of leases. Spans are in milliseconds. */
public final class LeaseCommands {
    private LeaseCommands() {}

    /**
     * Wants a lease. Who waits keeps its place in the queue by asking again within {@link
     * Leases#WAITER_MS}; a lease that comes free is kept for the first of the queue until it asks,
     * so that a grant is always the answer to a question that its holder has just put: its time
     * counts from when that was sent.
     *
     * @param priority the higher goes first; among equals, who came first
     * @param queue whether to wait where it is held
     */
    public record Acquire(String name, String owner, long ttlMs, int priority, boolean queue)
            implements Command {
        @Override
        public int minFeatureLevel() {
            return 1;
        }
    }

    /** Holds leases for their whole span again; each by its fence. */
    public record Renew(String owner, Map<String, Long> fences) implements Command {
        @Override
        public int minFeatureLevel() {
            return 1;
        }
    }

    /** Gives a lease back, or leaves its queue (fence 0). */
    public record Release(String name, String owner, long fence) implements Command {
        @Override
        public int minFeatureLevel() {
            return 1;
        }
    }
}

package saltstage.coordinator.advice;

import java.util.List;

/**
 * The load report of a node. Its size is bounded, because small tenants are combined into one
 * figure.
 *
 * @param incarnation a number that increases with each start of the node's process
 * @param seq a number that increases with each snapshot of one incarnation
 * @param capacity the load that the node can hold, in thousandths of a mean connection load
 * @param delayMs the queueing delay: how much longer a set-up takes at the node than the shortest
 *     one seen
 * @param setupMs the mean duration of a set-up
 * @param tenants the node's largest tenants
 * @param others the total load of all other tenants
 */
public record NodeSnapshot(
        String node,
        String region,
        long incarnation,
        long seq,
        long capacity,
        double delayMs,
        double setupMs,
        List<Tenant> tenants,
        long others) {
    /** The maximum number of tenants that a snapshot lists. */
    public static final int MAX_TENANTS = 256;

    /**
     * The load of a tenant at a node: its connections, their load in thousandths of a mean
     * connection load, and the number of groups they belong to. Each group adds a small cost of its
     * own to the node.
     */
    public record Tenant(String name, int connections, long load, int groups) {}

    long load() {
        return others + tenants.stream().mapToLong(Tenant::load).sum();
    }

    /** Returns a description of what is invalid in the snapshot, or null if it is valid. */
    public String validationError() {
        boolean invalid =
                node == null
                        || node.isEmpty()
                        || node.length() > 200
                        || region == null
                        || capacity <= 0
                        || incarnation < 0
                        || seq < 0
                        || others < 0
                        || tenants == null
                        || tenants.size() > MAX_TENANTS
                        || !(delayMs >= 0 && delayMs < 1e6)
                        || !(setupMs > 0 && setupMs < 1e6)
                        || tenants.stream()
                                .anyMatch(
                                        tenant ->
                                                tenant == null
                                                        || tenant.name() == null
                                                        || tenant.name().length() > 200
                                                        || tenant.connections() < 0
                                                        || tenant.load() < 0
                                                        || tenant.groups() < 0);
        return invalid
                ? "a snapshot names its node, its region and a capacity, and up to "
                        + MAX_TENANTS
                        + " tenants; no figure is negative"
                : null;
    }
}

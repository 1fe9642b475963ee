package saltstage.coordinator.advice;

import java.util.List;

/**
 * How a node says that it stands; bounded in size, since small tenants come as one.
 *
 * @param incarnation grows with each start of the node's process
 * @param seq grows with each snapshot of one incarnation
 * @param capacity what it can hold, in thousandths of a mean connection load
 * @param delayMs what a set-up takes there beyond the lowest that was seen: the design's W
 * @param setupMs what a set-up takes in the mean
 * @param tenants its largest tenants
 * @param others the load of all others together
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
    /** The most tenants that a snapshot names. */
    public static final int MAX_TENANTS = 256;

    /**
     * A tenant at a node: connections, their load in thousandths of a mean one, and into how many
     * groups they fall, each of which costs its node a little for itself.
     */
    public record Tenant(String name, int connections, long load, int groups) {}

    long load() {
        return others + tenants.stream().mapToLong(Tenant::load).sum();
    }

    /** What is wrong with it, or null. */
    public String validationError() {
        boolean bad =
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
                                        t ->
                                                t == null
                                                        || t.name() == null
                                                        || t.name().length() > 200
                                                        || t.connections() < 0
                                                        || t.load() < 0
                                                        || t.groups() < 0);
        return bad
                ? "a snapshot names its node, its region and a capacity, and up to "
                        + MAX_TENANTS
                        + " tenants; no figure is negative"
                : null;
    }
}

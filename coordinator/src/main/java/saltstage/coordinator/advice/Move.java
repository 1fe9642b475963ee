package saltstage.coordinator.advice;

/**
 * A recommendation to move part of a tenant from one node to another.
 *
 * @param gain the delay that the move saves over the remaining lifetime of the connections, in
 *     milliseconds times mean loads
 * @param cost the cost of the reconnects, in the same unit
 * @param confidence from 0 to 1, by the age of the snapshots
 */
public record Move(
        String tenant,
        String from,
        String to,
        int connections,
        long load,
        double gain,
        double cost,
        double confidence,
        String why) {}

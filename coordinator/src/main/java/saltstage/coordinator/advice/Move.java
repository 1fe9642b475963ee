package saltstage.coordinator.advice;

/**
 * A recommendation: part of a tenant from one node to another.
 *
 * @param gain what waiting it spares over the life of the connections, in milliseconds times mean
 *     loads
 * @param cost what the reconnects cost, in the same unit
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

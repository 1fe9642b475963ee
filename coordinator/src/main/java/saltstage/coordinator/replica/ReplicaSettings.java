package saltstage.coordinator.replica;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.Collection;
import java.util.Map;
import java.util.function.LongSupplier;

/**
 * The settings of a replica.
 *
 * @param group the name of the group; replicas of another group are refused
 * @param name the name of this replica
 * @param initialMembers the names of the group's initial members
 * @param peerListenAddress the address on which this replica listens for its peers
 * @param clientListenAddress the address on which this replica listens for clients
 * @param peerAddresses the addresses at which this replica reaches its peers, by name
 * @param clientAddresses the addresses of other members for clients, by name, until the group's
 *     state has them
 * @param dir the directory of the replica's store
 * @param engineClockSpeed the factor by which the engine's clock runs faster than real time
 * @param snapshotIntervalEntries the number of log entries between two snapshots
 * @param maxPendingEntries the number of log entries that may wait for a majority; further commands
 *     are rejected
 * @param supportedFeatureLevel the highest feature level that this replica announces
 * @param clockRate the rate of the monotonic clock in time stamps; 1 in production, other values in
 *     tests
 * @param wallClock the time of day in milliseconds since 1970
 */
public record ReplicaSettings(
        String group,
        String name,
        Collection<String> initialMembers,
        InetSocketAddress peerListenAddress,
        InetSocketAddress clientListenAddress,
        Map<String, InetSocketAddress> peerAddresses,
        Map<String, String> clientAddresses,
        Path dir,
        double engineClockSpeed,
        int snapshotIntervalEntries,
        int maxPendingEntries,
        int supportedFeatureLevel,
        double clockRate,
        LongSupplier wallClock) {}

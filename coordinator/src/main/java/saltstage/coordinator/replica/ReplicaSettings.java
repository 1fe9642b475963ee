package saltstage.coordinator.replica;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.Collection;
import java.util.Map;
import java.util.function.LongSupplier;

/**
 * How a replica is set up.
 *
 * @param group the group's name; replicas of another one are refused
 * @param first who the group began with
 * @param peers where it hears other replicas
 * @param clients where it hears clients
 * @param reach where others are reached from here, by name
 * @param clientsOf where others take calls, by name, until the group itself knows
 * @param dir the folder of its store
 * @param speed how much faster than the world the engine's clock goes
 * @param snapshotEvery entries of the log between two snapshots
 * @param mostPending entries that may wait for a majority; beyond that calls are refused
 * @param speaks the highest feature level that it admits to
 * @param clockRate for tests: how fast its monotonic clock goes in its stamps; 1 in service
 * @param wall the time of day in milliseconds since 1970
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

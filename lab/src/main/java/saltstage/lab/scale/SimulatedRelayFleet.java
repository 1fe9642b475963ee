package saltstage.lab.scale;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import saltstage.lab.scale.Topology.Zone;

/** The simulated relays of all zones, in processes that can be killed and paused individually. */
final class SimulatedRelayFleet implements AutoCloseable {
    private static final int BASE_HEAP_MEGABYTES = 160;
    private static final int HEAP_MEGABYTES_PER_RELAY = 4;

    private record HostProcess(Zone zone, int relayCount, SimulatedRelayHost relayHost) {}

    private final Path folder;
    private final AppliedRevisionLog revisionLog = new AppliedRevisionLog();
    private final Map<Zone, List<String>> sourcesByZone = new EnumMap<>(Zone.class);
    private final List<HostProcess> hosts = new ArrayList<>();
    private int relayCount;

    SimulatedRelayFleet(ControlPlane controlPlane, Path folder) throws IOException {
        this.folder = folder;
        for (Zone zone : Zone.values()) {
            sourcesByZone.put(zone, controlPlane.addRelaySources(zone));
        }
    }

    /**
     * Starts one process for each size, with that number of relays, in a zone; {@link #awaitReady}
     * waits for them.
     */
    void add(Zone zone, int... sizes) throws IOException {
        for (int size : sizes) {
            SimulatedRelayHost process =
                    new SimulatedRelayHost(
                            relayCount,
                            size,
                            zone.lowerCaseName(),
                            sourcesByZone.get(zone),
                            BASE_HEAP_MEGABYTES + HEAP_MEGABYTES_PER_RELAY * size,
                            folder,
                            revisionLog);
            relayCount += size;
            hosts.add(new HostProcess(zone, size, process));
            process.start();
        }
    }

    /** Waits until the relays of all processes have started. */
    void awaitReady() throws IOException, InterruptedException {
        for (HostProcess host : hosts) {
            host.relayHost().awaitReady();
        }
    }

    int relayCount() {
        return relayCount;
    }

    AppliedRevisionLog revisionLog() {
        return revisionLog;
    }

    /** The indexes of the relays in the matching zones. */
    Set<Integer> relaysIn(Predicate<Zone> zoneFilter) {
        Set<Integer> indexes = new HashSet<>();
        hosts.stream()
                .filter(host -> zoneFilter.test(host.zone()))
                .forEach(host -> indexes.addAll(host.relayHost().relayIndexes()));
        return indexes;
    }

    /** The first process of a zone that has this number of relays. */
    SimulatedRelayHost findHost(Zone zone, int size) {
        return hosts.stream()
                .filter(host -> host.zone() == zone && host.relayCount() == size)
                .findFirst()
                .orElseThrow()
                .relayHost();
    }

    /** Kills all relay processes of a zone. */
    void kill(Zone zone) throws InterruptedException {
        for (HostProcess host : hosts) {
            if (host.zone() == zone) {
                host.relayHost().process().kill();
            }
        }
    }

    /** Restarts all relay processes of a zone at the same time. */
    void restart(Zone zone) throws IOException {
        for (HostProcess host : hosts) {
            if (host.zone() == zone) {
                host.relayHost().start();
            }
        }
    }

    /** Processor time used so far by all processes, in seconds. */
    double processorSeconds() throws IOException {
        double sum = 0;
        for (HostProcess host : hosts) {
            sum += host.relayHost().process().statistics().processorSeconds();
        }
        return sum;
    }

    /** Resident memory of all processes, in MB. */
    double residentMegabytes() throws IOException {
        double sum = 0;
        for (HostProcess host : hosts) {
            sum += host.relayHost().process().statistics().residentMegabytes();
        }
        return sum;
    }

    /** The distinct states of all relays; a single state if all relays agree. */
    Set<SimulatedRelayHost.RelayState> distinctStates() throws IOException, InterruptedException {
        Set<SimulatedRelayHost.RelayState> states = new HashSet<>();
        for (HostProcess host : hosts) {
            states.addAll(host.relayHost().states().values());
        }
        return states;
    }

    /**
     * Waits until these relays have applied the revision. Returns the seconds from the start until
     * the last relay applied it, or NaN after a timeout.
     */
    double awaitApplied(
            Collection<Integer> relays, long revision, long startNanos, double timeoutSeconds)
            throws InterruptedException {
        long deadlineNanos = System.nanoTime() + (long) (timeoutSeconds * 1e9);
        while (revisionLog.countWithRevision(relays, revision) < relays.size()) {
            if (System.nanoTime() > deadlineNanos) {
                return Double.NaN;
            }
            Thread.sleep(20);
        }
        double[] times = revisionLog.secondsUntilApplied(relays, revision, startNanos);
        return times.length == 0 ? Double.NaN : times[times.length - 1];
    }

    @Override
    public void close() throws InterruptedException {
        for (HostProcess host : hosts) {
            host.relayHost().close();
        }
    }
}

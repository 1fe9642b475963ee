package saltstage.lab.scale;

import saltstage.lab.scale.Topology.Zone;

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

/** The hollow relays of all zones, in processes that can be killed and paused one by one. */
final class HollowFleet implements AutoCloseable {
    private static final int HOST_MEGABYTES = 160;
    private static final int RELAY_MEGABYTES = 4;

    private record Host(Zone zone, int size, HollowHost process) {}

    private final Path folder;
    private final InForceLog log = new InForceLog();
    private final Map<Zone, List<String>> sources = new EnumMap<>(Zone.class);
    private final List<Host> hosts = new ArrayList<>();
    private int relays;

    HollowFleet(ControlPlane control, Path folder) throws IOException {
        this.folder = folder;
        for (Zone zone : Zone.values()) {
            sources.put(zone, control.sourcesOfRelays(zone));
        }
    }

    /** Starts processes of these sizes in a zone; {@link #awaitReady} waits for them. */
    void add(Zone zone, int... sizes) throws IOException {
        for (int size : sizes) {
            HollowHost process =
                    new HollowHost(
                            relays,
                            size,
                            zone.text(),
                            sources.get(zone),
                            HOST_MEGABYTES + RELAY_MEGABYTES * size,
                            folder,
                            log);
            relays += size;
            hosts.add(new Host(zone, size, process));
            process.start();
        }
    }

    void awaitReady() throws IOException, InterruptedException {
        for (Host host : hosts) {
            host.process().awaitReady();
        }
    }

    int size() {
        return relays;
    }

    InForceLog log() {
        return log;
    }

    /** The relays of these zones. */
    Set<Integer> relays(Predicate<Zone> of) {
        Set<Integer> numbers = new HashSet<>();
        hosts.stream()
                .filter(host -> of.test(host.zone()))
                .forEach(host -> numbers.addAll(host.process().relays()));
        return numbers;
    }

    /** The first process of a zone that has so many relays. */
    HollowHost host(Zone zone, int size) {
        return hosts.stream()
                .filter(host -> host.zone() == zone && host.size() == size)
                .findFirst()
                .orElseThrow()
                .process();
    }

    /** Kills all relays of a zone. */
    void kill(Zone zone) throws InterruptedException {
        for (Host host : hosts) {
            if (host.zone() == zone) {
                host.process().process().kill();
            }
        }
    }

    /** Starts all relays of a zone again, at once. */
    void restart(Zone zone) throws IOException {
        for (Host host : hosts) {
            if (host.zone() == zone) {
                host.process().start();
            }
        }
    }

    /** Processor time of all processes so far, in seconds. */
    double processorSeconds() throws IOException {
        double sum = 0;
        for (Host host : hosts) {
            sum += host.process().process().figures().processorSeconds();
        }
        return sum;
    }

    /** Resident memory of all processes, in MB. */
    double residentMegabytes() throws IOException {
        double sum = 0;
        for (Host host : hosts) {
            sum += host.process().process().figures().residentMegabytes();
        }
        return sum;
    }

    /** The different states that relays have; one where all agree. */
    Set<HollowHost.State> states() throws IOException, InterruptedException {
        Set<HollowHost.State> different = new HashSet<>();
        for (Host host : hosts) {
            different.addAll(host.process().states().values());
        }
        return different;
    }

    /** Waits until these relays have the revision; returns the seconds from the moment, or NaN. */
    double awaitInForce(
            Collection<Integer> which, long revision, long fromNanos, double mostSeconds)
            throws InterruptedException {
        long until = System.nanoTime() + (long) (mostSeconds * 1e9);
        while (log.count(which, revision) < which.size()) {
            if (System.nanoTime() > until) {
                return Double.NaN;
            }
            Thread.sleep(20);
        }
        double[] times = log.seconds(which, revision, fromNanos);
        return times.length == 0 ? Double.NaN : times[times.length - 1];
    }

    @Override
    public void close() throws InterruptedException {
        for (Host host : hosts) {
            host.process().close();
        }
    }
}

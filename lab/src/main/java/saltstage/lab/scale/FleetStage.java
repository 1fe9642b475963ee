package saltstage.lab.scale;

import saltstage.lab.scale.Topology.Zone;
import saltstage.net.Transport;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Random;
import java.util.concurrent.ExecutionException;
import java.util.stream.Stream;

/** Control processes and hollow relays together, with configuration loaded. */
final class FleetStage implements AutoCloseable {
    private static final int WRITERS = 5;
    private static final int DISCARD_PORT = 9;

    private final ZoneLinks links;
    private final ControlPlane control;
    private final ConfigurationLoad load;
    private final HollowFleet fleet;

    /** Starts the control processes and loads so many shards at backends that nobody calls. */
    FleetStage(Path folder, Transport transport, long seed, int shards)
            throws IOException, InterruptedException, ExecutionException {
        this(folder, transport, seed, shards, DISCARD_PORT);
    }

    /** Starts the control processes and loads so many shards; no relays yet. */
    FleetStage(Path folder, Transport transport, long seed, int shards, int backendPort)
            throws IOException, InterruptedException, ExecutionException {
        Random random = new Random(seed);
        links = new ZoneLinks(transport);
        control = new ControlPlane(folder, links);
        fleet = new HollowFleet(control, folder);
        control.start();
        load = new ConfigurationLoad(control.client(), random, backendPort);
        load.putBackends();
        putShards(shards);
    }

    /** Puts shards until there are so many. */
    final void putShards(int upTo) throws InterruptedException, ExecutionException {
        load.putShards(upTo, Stream.generate(control::client).limit(WRITERS).toList());
    }

    ZoneLinks links() {
        return links;
    }

    ControlPlane control() {
        return control;
    }

    ConfigurationLoad load() {
        return load;
    }

    HollowFleet fleet() {
        return fleet;
    }

    /** Starts a process with so many relays in each zone. */
    void addToEachZone(int relays) throws IOException {
        for (Zone zone : Zone.values()) {
            fleet.add(zone, relays);
        }
    }

    SteadyChanges change(double perSecond) {
        return new SteadyChanges(load, control.client(), perSecond);
    }

    @Override
    public void close() throws InterruptedException {
        fleet.close();
        control.close();
        links.close();
    }
}

package saltstage.lab.scale;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Random;
import java.util.concurrent.ExecutionException;
import java.util.stream.Stream;
import saltstage.lab.scale.Topology.Zone;
import saltstage.net.Transport;

/** Control processes and simulated relays together, with configuration loaded. */
final class FleetEnvironment implements AutoCloseable {
    private static final int WRITER_COUNT = 5;
    private static final int DISCARD_PORT = 9;

    private final ZoneLinks links;
    private final ControlPlane controlPlane;
    private final ConfigurationLoadGenerator configurationLoad;
    private final SimulatedRelayFleet fleet;

    /** Starts the control processes and loads shards on backends that receive no requests. */
    FleetEnvironment(Path folder, Transport transport, long seed, int shards)
            throws IOException, InterruptedException, ExecutionException {
        this(folder, transport, seed, shards, DISCARD_PORT);
    }

    /** Starts the control processes and loads shards; starts no relays. */
    FleetEnvironment(Path folder, Transport transport, long seed, int shards, int backendPort)
            throws IOException, InterruptedException, ExecutionException {
        Random random = new Random(seed);
        links = new ZoneLinks(transport);
        controlPlane = new ControlPlane(folder, links);
        fleet = new SimulatedRelayFleet(controlPlane, folder);
        controlPlane.start();
        configurationLoad =
                new ConfigurationLoadGenerator(controlPlane.client(), random, backendPort);
        configurationLoad.putBackends();
        putShards(shards);
    }

    /** Writes shards until there are as many as requested. */
    final void putShards(int targetCount) throws InterruptedException, ExecutionException {
        configurationLoad.putShards(
                targetCount, Stream.generate(controlPlane::client).limit(WRITER_COUNT).toList());
    }

    ZoneLinks links() {
        return links;
    }

    ControlPlane controlPlane() {
        return controlPlane;
    }

    ConfigurationLoadGenerator configurationLoad() {
        return configurationLoad;
    }

    SimulatedRelayFleet fleet() {
        return fleet;
    }

    /** Starts a process with the given number of simulated relays in each zone. */
    void addRelaysToEachZone(int relays) throws IOException {
        for (Zone zone : Zone.values()) {
            fleet.add(zone, relays);
        }
    }

    /** Starts changes at a steady rate; the caller stops them. */
    SteadyChanges startChanges(double perSecond) {
        return new SteadyChanges(configurationLoad, controlPlane.client(), perSecond);
    }

    @Override
    public void close() throws InterruptedException {
        fleet.close();
        controlPlane.close();
        links.close();
    }
}

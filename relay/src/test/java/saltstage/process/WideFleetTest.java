package saltstage.process;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.Test;
import saltstage.Api;
import saltstage.process.World.Line;

/**
 * A relay before far more backends than it has threads or descriptors, under the limits of the
 * platform.
 */
public class WideFleetTest {
    /** Sixteen times the largest usual fleet. */
    private static final int BACKENDS = 1_440;

    private static final int OPEN_BEFORE = 100;
    private static final int THREADS = 512;

    /** What a scored day allows beyond the standing connections, and those. */
    private static final int DESCRIPTORS = 1_024 + 2 * OPEN_BEFORE;

    /** Who was open before the run is lost if it is not up by then. */
    private static final int UP_WITHIN_MS = 40_000;

    private static final int PROBES_BEGIN_MS = 1_000;

    private static String withProbes(String config) {
        return config.replace(
                "\"Limits\":{",
                "\"Report\":{\"How\":\"probe\",\"Fields\":[\"x0\",\"queue\"]},"
                        + "\"Limits\":{\"Probes\":true,");
    }

    @Test
    public void openConnectionsComeUpBeforeMoreBackendsThanThreadsAndDescriptors()
            throws Exception {
        try (World world = new World();
                StandInFleet fleet = new StandInFleet(BACKENDS)) {
            world.platform = new NarrowPlatform().threads(THREADS).descriptors(DESCRIPTORS);
            world.startWith(withProbes(world.config(DESCRIPTORS, fleet.list(1))));
            Thread.sleep(PROBES_BEGIN_MS);
            List<Line> clients = new ArrayList<>();
            for (int i = 0; i < OPEN_BEFORE; i++) {
                clients.add(world.client());
            }
            for (int i = 0; i < OPEN_BEFORE; i++) {
                clients.get(i)
                        .say(
                                "OPEN id"
                                        + i
                                        + " 7f3a9c21e0b4d655 c=chat,t=acme,d="
                                        + UP_WITHIN_MS
                                        + ",g=5c0f6e1a,at="
                                        + StandInFleet.uid(i * BACKENDS / OPEN_BEFORE));
            }
            for (Line client : clients) {
                client.socket.setSoTimeout(UP_WITHIN_MS);
                assertEquals("UP r1", client.hear());
            }
            assertEquals("UP r1", world.open("new", 5_000).hear());
            World.await("backends with connections are probed", () -> fleet.probes.get() > 0);
            int probed = fleet.probeConnections.get();
            assertTrue("connections for probes: " + probed, probed <= Api.MOST_PROBED);
            assertTrue("discovery is asked", world.discovery.accept(UP_WITHIN_MS) != null);
        }
    }
}

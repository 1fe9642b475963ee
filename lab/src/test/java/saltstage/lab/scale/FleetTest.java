package saltstage.lab.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import saltstage.lab.scale.Topology.Zone;
import saltstage.net.NettyTransport;

/**
 * Guards against configuration changes that are lost or delayed too long when the leader of the
 * group is killed. Runs a small installation of real control processes with simulated relays.
 */
@Timeout(value = 2, unit = TimeUnit.MINUTES)
class FleetTest {
    private static final int SHARDS = 2_000;
    private static final int RELAYS_PER_ZONE = 12;
    private static final int EXTRA_RELAYS = 2;
    private static final double CHANGES_PER_SECOND = 4;

    /**
     * Allowance for slow machines: on top of the propagation limit, a change may take this multiple
     * of the time measured without a failure.
     */
    private static final double MAX_SLOWDOWN_FACTOR = 5;

    /** Maximum share of its byte budget that a relay may use while nothing changes. */
    private static final double MAX_QUIET_SHARE_OF_BUDGET = 0.5;

    @TempDir private Path folder;

    @Test
    void aChangeComesIntoForceEverywhereWhileTheLeaderDies() throws Exception {
        try (NettyTransport transport =
                        new NettyTransport(2, true, (where, fault) -> fault.printStackTrace());
                FleetEnvironment all = new FleetEnvironment(folder, transport, 1, SHARDS)) {
            all.addRelaysToEachZone(RELAYS_PER_ZONE);
            all.fleet().add(Zone.B1, EXTRA_RELAYS);
            all.fleet().awaitReady();
            Set<Integer> everywhere = all.fleet().relaysIn(zone -> true);
            assertEquals(50, everywhere.size());

            assertQuietRelaysKeepTheirBudget(all);
            SteadyChanges.PropagationTimes calm = measureChangesDuring(all, everywhere, () -> {});
            String leader = all.controlPlane().leader();
            SteadyChanges.PropagationTimes killed =
                    measureChangesDuring(all, everywhere, all.controlPlane().replica(leader)::kill);

            assertEquals(0, calm.missingCount());
            assertEquals(0, killed.missingCount());
            assertTrue(
                    killed.everywhereMaxSeconds()
                            <= CapacityTarget.MAX_PROPAGATION_SECONDS
                                    + MAX_SLOWDOWN_FACTOR * calm.everywhereMaxSeconds(),
                    calm + " and " + killed);
            assertEquals(
                    1,
                    all.fleet().distinctStates().size(),
                    "all relays have the same revision and digest");
        }
    }

    private static void assertQuietRelaysKeepTheirBudget(FleetEnvironment all) throws Exception {
        FleetResourceUsage before = FleetResourceUsage.measure(all);
        ScaleRun.sleepSeconds(4);
        FleetResourceUsage quiet = FleetResourceUsage.measure(all).since(before);
        double perRelay = quiet.relayTraffic().bytes() / quiet.seconds() / all.fleet().relayCount();
        assertTrue(
                perRelay <= MAX_QUIET_SHARE_OF_BUDGET * CapacityTarget.CONTROL_BYTES_PER_SECOND,
                perRelay + " bytes a second");
    }

    /** An event triggered while configuration changes are written. */
    private interface Event {
        void run() throws Exception;
    }

    private static SteadyChanges.PropagationTimes measureChangesDuring(
            FleetEnvironment all, Set<Integer> relays, Event event) throws Exception {
        SteadyChanges changes = all.startChanges(CHANGES_PER_SECOND);
        ScaleRun.sleepSeconds(1);
        event.run();
        ScaleRun.sleepSeconds(4);
        changes.stop();
        FleetRun.awaitApplied(all, relays, changes);
        return changes.propagationTimes(all.fleet().revisionLog(), relays);
    }
}

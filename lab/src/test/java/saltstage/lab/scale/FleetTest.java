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
                        new NettyTransport(2, true, (location, fault) -> fault.printStackTrace());
                FleetEnvironment environment = new FleetEnvironment(folder, transport, 1, SHARDS)) {
            environment.addRelaysToEachZone(RELAYS_PER_ZONE);
            environment.fleet().add(Zone.B1, EXTRA_RELAYS);
            environment.fleet().awaitReady();
            Set<Integer> allRelays = environment.fleet().relaysIn(zone -> true);
            assertEquals(50, allRelays.size());

            assertQuietRelaysKeepTheirBudget(environment);
            SteadyChanges.PropagationTimes withoutFailure =
                    measureChangesDuring(environment, allRelays, () -> {});
            String leader = environment.controlPlane().leader();
            SteadyChanges.PropagationTimes withLeaderKilled =
                    measureChangesDuring(
                            environment,
                            allRelays,
                            environment.controlPlane().replica(leader)::kill);

            assertEquals(0, withoutFailure.missingCount());
            assertEquals(0, withLeaderKilled.missingCount());
            assertTrue(
                    withLeaderKilled.everywhereMaxSeconds()
                            <= CapacityTarget.MAX_PROPAGATION_SECONDS
                                    + MAX_SLOWDOWN_FACTOR * withoutFailure.everywhereMaxSeconds(),
                    withoutFailure + " and " + withLeaderKilled);
            assertEquals(
                    1,
                    environment.fleet().distinctStates().size(),
                    "all relays have the same revision and digest");
        }
    }

    private static void assertQuietRelaysKeepTheirBudget(FleetEnvironment environment)
            throws Exception {
        FleetResourceUsage before = FleetResourceUsage.measure(environment);
        ScaleRun.sleepSeconds(4);
        FleetResourceUsage quiet = FleetResourceUsage.measure(environment).since(before);
        double perRelay =
                quiet.relayTraffic().bytes() / quiet.seconds() / environment.fleet().relayCount();
        assertTrue(
                perRelay <= MAX_QUIET_SHARE_OF_BUDGET * CapacityTarget.CONTROL_BYTES_PER_SECOND,
                perRelay + " bytes a second");
    }

    /** An event triggered while configuration changes are written. */
    private interface Event {
        void run() throws Exception;
    }

    private static SteadyChanges.PropagationTimes measureChangesDuring(
            FleetEnvironment environment, Set<Integer> relays, Event event) throws Exception {
        SteadyChanges changes = environment.startChanges(CHANGES_PER_SECOND);
        ScaleRun.sleepSeconds(1);
        event.run();
        ScaleRun.sleepSeconds(4);
        changes.stop();
        FleetRun.awaitApplied(environment, relays, changes);
        return changes.propagationTimes(environment.fleet().revisionLog(), relays);
    }
}

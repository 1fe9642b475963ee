package saltstage.lab.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

import saltstage.lab.scale.Topology.Zone;
import saltstage.net.NettyTransport;

import java.nio.file.Path;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * A small installation of real control processes: its leader is killed while configuration changes.
 */
@Timeout(value = 2, unit = TimeUnit.MINUTES)
class FleetTest {
    private static final int SHARDS = 2_000;
    private static final int RELAYS_A_ZONE = 12;
    private static final int RELAYS_MORE = 2;
    private static final double CHANGES_A_SECOND = 4;

    /** A slow machine may take so many times longer than what a change takes without a failure. */
    private static final double CALM_TIMES = 5;

    /** The bytes of a quiet relay against its budget. */
    private static final double QUIET_SHARE_OF_BUDGET = 0.5;

    @TempDir private Path folder;

    @Test
    void aChangeComesIntoForceEverywhereWhileTheLeaderDies() throws Exception {
        try (NettyTransport transport =
                        new NettyTransport(2, true, (where, fault) -> fault.printStackTrace());
                FleetStage all = new FleetStage(folder, transport, 1, SHARDS)) {
            all.addToEachZone(RELAYS_A_ZONE);
            all.fleet().add(Zone.B1, RELAYS_MORE);
            all.fleet().awaitReady();
            Set<Integer> everywhere = all.fleet().relays(zone -> true);
            assertEquals(50, everywhere.size());

            quietRelaysKeepTheirBudget(all);
            SteadyChanges.Times calm = changesThrough(all, everywhere, () -> {});
            String leader = all.control().leader();
            SteadyChanges.Times killed =
                    changesThrough(all, everywhere, all.control().replica(leader)::kill);

            assertEquals(0, calm.missing());
            assertEquals(0, killed.missing());
            assertTrue(
                    killed.everywhereMost()
                            <= Target.IN_FORCE_SECONDS + CALM_TIMES * calm.everywhereMost(),
                    calm + " and " + killed);
            assertEquals(
                    1, all.fleet().states().size(), "all relays have the same revision and digest");
        }
    }

    private static void quietRelaysKeepTheirBudget(FleetStage all) throws Exception {
        FleetUse before = FleetUse.now(all);
        ScaleRun.seconds(4);
        FleetUse quiet = FleetUse.now(all).since(before);
        double perRelay = quiet.relayTraffic().bytes() / quiet.seconds() / all.fleet().size();
        assertTrue(
                perRelay <= QUIET_SHARE_OF_BUDGET * Target.CONTROL_BYTES_A_SECOND,
                perRelay + " bytes a second");
    }

    /** Something that befalls it. */
    private interface Event {
        void happen() throws Exception;
    }

    private static SteadyChanges.Times changesThrough(
            FleetStage all, Set<Integer> relays, Event event) throws Exception {
        SteadyChanges changes = all.change(CHANGES_A_SECOND);
        ScaleRun.seconds(1);
        event.happen();
        ScaleRun.seconds(4);
        changes.end();
        FleetRun.await(all, relays, changes);
        return changes.times(all.fleet().log(), relays);
    }
}

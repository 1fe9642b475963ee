package saltstage.process;

import static org.junit.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.Test;
import saltstage.process.World.Line;

/** Open connections that come back at once, on a platform whose threads just suffice for them. */
public class RestoreBurstTest {
    private static final int OPEN_BEFORE = 90;

    /** Two for each, the JVM's and the relay's own, and the reserve. */
    private static final int THREADS = 2 * OPEN_BEFORE + 70;

    private static final int THREAD_END_MICROS = 30_000;
    private static final int UP_WITHIN_MS = 40_000;

    @Test
    public void proofOfRoomForThreadsTakesNoneFromConnectionsThatComeBack() throws Exception {
        try (World world = new World();
                StandInFleet fleet = new StandInFleet(8)) {
            world.platform =
                    new NarrowPlatform().threads(THREADS).threadEndMicros(THREAD_END_MICROS);
            world.startWith(world.config(1_024, fleet.list(1)));
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
                                        + StandInFleet.uid(i % 8));
            }
            for (Line client : clients) {
                client.socket.setSoTimeout(UP_WITHIN_MS);
                assertEquals("UP r1", client.hear());
            }
        }
    }
}

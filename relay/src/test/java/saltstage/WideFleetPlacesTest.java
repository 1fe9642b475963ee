package saltstage;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import saltstage.Api.Listing;
import saltstage.Api.Request;
import saltstage.Api.Server;

/** The largest fleet that the operators name. */
class WideFleetPlacesTest {
    private static final int SERVERS = 3_200;
    private static final int KEYS_PER_SERVER = 8;

    @Test
    void nearlyEveryServerOfAWideFleetIsSentRequests() {
        Rig rig = Rig.of(Rig.safe());
        rig.list(
                Listing.ALL,
                IntStream.range(0, SERVERS)
                        .mapToObj(i -> Rig.server("s" + i, 0))
                        .toArray(Server[]::new));
        for (long key = 0; key < KEYS_PER_SERVER * SERVERS; key++) {
            rig.now += 1_000;
            rig.node.request(
                    rig.now,
                    new Request(key, 0, 0, key, key, 1, rig.now + 1_200_000, false, false));
            rig.streams(key, 10_000);
        }
        Set<String> reached = new HashSet<>(rig.sentTo.values());
        assertTrue(reached.size() > 0.95 * SERVERS, "reached " + reached.size());
    }
}

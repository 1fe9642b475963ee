package saltstage.session;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.time.Instant;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import saltstage.session.RequestIdTable.Claim;

/** Guards against a request that runs twice because its id was forgotten. */
class RequestIdTableTest {
    private static final Instant NOW = Instant.parse("2026-12-06T10:00:00Z");
    private static final long SEED = 7;

    private final ByteBuffer buffer = ByteBuffer.allocateDirect(RequestIdTable.BYTES);
    private final RequestIdTable table = new RequestIdTable(buffer, SEED);

    @Test
    void idIsUsedUntilItsReleaseExpires() {
        assertEquals(Claim.NEW, table.claim("a", NOW));
        assertEquals(Claim.USED, table.claim("a", NOW.plusSeconds(600)));
        assertEquals(Claim.NEW, table.claim("b", NOW));
        table.release("a", NOW.plusSeconds(60));
        assertEquals(Claim.USED, table.claim("a", NOW.plusSeconds(59)));
        assertEquals(Claim.NEW, table.claim("a", NOW.plusSeconds(60)));
        table.release("b", NOW);
        assertEquals(Claim.NEW, table.claim("b", NOW));
    }

    @Test
    void otherTableOnTheSameBufferKnowsTheId() {
        assertEquals(Claim.NEW, table.claim("a", NOW));
        assertEquals(Claim.USED, new RequestIdTable(buffer, SEED).claim("a", NOW));
    }

    @Test
    void fullTableHasNoRoomAndForgetsNothing() {
        int claimed = 0;
        while (table.claim("id-" + claimed, NOW) == Claim.NEW) {
            claimed++;
        }
        assertTrue(claimed > 10_000, "claimed " + claimed);
        assertEquals(Claim.NO_ROOM, table.claim("id-" + claimed, NOW));
        for (int i = 0; i < claimed; i++) {
            assertEquals(Claim.USED, table.claim("id-" + i, NOW));
        }
    }

    @Test
    void onlyOneOfSeveralThreadsClaimsAnId() throws Exception {
        AtomicInteger claims = new AtomicInteger();
        int ids = 2_000;
        ExecutorService threads = Executors.newFixedThreadPool(4);
        for (int thread = 0; thread < 4; thread++) {
            threads.execute(
                    () -> {
                        for (int i = 0; i < ids; i++) {
                            claims.addAndGet(table.claim("id-" + i, NOW) == Claim.NEW ? 1 : 0);
                        }
                    });
        }
        threads.shutdown();
        assertTrue(threads.awaitTermination(20, TimeUnit.SECONDS));
        assertEquals(ids, claims.get());
    }
}

package saltstage.coordinator.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import saltstage.coordinator.lease.LeaseCommands.Acquire;
import saltstage.coordinator.lease.LeaseCommands.Release;
import saltstage.coordinator.lease.LeaseCommands.Renew;
import saltstage.coordinator.lease.LeaseReplies.Granted;
import saltstage.coordinator.lease.LeaseReplies.Held;
import saltstage.coordinator.model.Rejection;
import saltstage.coordinator.model.Reply;

/** Tests the rules of leases in group time. */
class LeasesTest {
    private final Leases leases = new Leases();

    private Reply acquire(String owner, int priority, boolean queue, long now) {
        return leases.acquire(new Acquire("x", owner, 1_000, priority, queue), now);
    }

    private static long grantedToken(Reply reply) {
        return assertInstanceOf(Granted.class, reply, String.valueOf(reply)).fence();
    }

    @Test
    void oneHolderUntilExpiryAndFencingTokensAreNeverReused() {
        long first = grantedToken(acquire("a", 0, false, 0));
        assertInstanceOf(Held.class, acquire("b", 0, false, 999));
        long second = grantedToken(acquire("b", 0, false, 1_000));
        assertTrue(second > first);
        assertFalse(leases.renew(new Renew("a", Map.of("x", first)), 1_001).lost().isEmpty());
        assertFalse(
                leases.release(new Release("x", "a", first), 1_002),
                "an old fencing token releases nothing");
        assertTrue(leases.isHeldBy("x", "b", second, 1_003));
    }

    @Test
    void repeatedAcquireReturnsTheSameGrantAndNeverShortensIt() {
        long fencingToken = grantedToken(acquire("a", 0, false, 0));
        assertEquals(
                fencingToken,
                grantedToken(leases.acquire(new Acquire("x", "a", 500, 0, false), 10)));
        assertInstanceOf(Held.class, acquire("b", 0, false, 999));
    }

    @Test
    void waitersAreServedByPriorityThenOrderAndKeepTheirPlaceByAskingAgain() {
        grantedToken(acquire("a", 0, false, 0));
        acquire("low", 0, true, 1);
        acquire("low2", 0, true, 2);
        acquire("high", 5, true, 3);
        acquire("low", 0, true, 900);
        assertEquals(1, ((Held) acquire("low", 0, true, 990)).ahead());
        acquire("low2", 0, true, 990);
        assertInstanceOf(
                Held.class,
                acquire("low", 0, true, 1_000),
                "the lease is reserved for the waiter of higher priority");
        long fencingToken = grantedToken(acquire("high", 5, true, 1_001));
        leases.release(new Release("x", "high", fencingToken), 1_002);
        assertInstanceOf(Held.class, acquire("low2", 0, true, 1_003));
        grantedToken(acquire("low", 0, true, 1_004));
    }

    @Test
    void deadWaiterIsSkipped() {
        grantedToken(acquire("a", 0, false, 0));
        acquire("dead", 9, true, 1);
        acquire("b", 0, true, 900);
        assertInstanceOf(
                Held.class,
                acquire("b", 0, true, 1_010),
                "the lease is reserved for the first waiter");
        grantedToken(acquire("b", 0, true, 1_010 + Leases.CLAIM_TIMEOUT_MS));
    }

    @Test
    void expiredLeaseWithoutWaitersIsRemoved() {
        grantedToken(acquire("a", 0, false, 0));
        acquire("b", 0, true, 1);
        leases.advance(100_000);
        assertEquals(0, leases.size());
        assertEquals(Long.MAX_VALUE, leases.nextDeadline());
    }

    @Test
    void invalidNameOrTtlIsRejectedWithoutEffect() {
        for (String name : new String[] {null, "", "a b", "x".repeat(201), "\u00e9"}) {
            assertInstanceOf(
                    Rejection.class, leases.acquire(new Acquire(name, "a", 1_000, 0, false), 0));
        }
        for (long ttl : new long[] {0, -1, 499, 3_600_001, Long.MAX_VALUE}) {
            assertInstanceOf(
                    Rejection.class, leases.acquire(new Acquire("x", "a", ttl, 0, true), 0));
        }
        assertEquals(0, leases.size());
    }

    @Test
    void thousandsOfLeasesExpiringTogetherAllExpire() {
        for (int i = 0; i < 10_000; i++) {
            grantedToken(leases.acquire(new Acquire("l" + i, "o" + i, 1_000, 0, false), 0));
        }
        leases.advance(1_000);
        assertEquals(0, leases.size());
    }

    /**
     * Compares the leases with a simple model under random operations: a holder keeps the lease
     * until it expires or is released, nobody else is granted it meanwhile, fencing tokens only
     * grow, and a copy restored from an image behaves the same.
     */
    @Property(tries = 300)
    void grantsNeverOverlapForRandomOperations(@ForAll long seed) {
        LeaseModel model = new LeaseModel(new Random(seed));
        for (long now = 0; now < 40_000; now += model.random.nextInt(400)) {
            model.step(now);
        }
    }

    /** The simple model, and the leases that it is compared with after each step. */
    private static final class LeaseModel {
        private final Random random;
        private final Map<String, Long> expiry = new HashMap<>();
        private final Map<String, String> holder = new HashMap<>();
        private final Map<String, Long> fencingTokens = new HashMap<>();
        private Leases actual = new Leases();
        private long lastFencingToken;

        private LeaseModel(Random random) {
            this.random = random;
        }

        private void step(long now) {
            String name = "n" + random.nextInt(2);
            String owner = "o" + random.nextInt(4);
            if (expiry.getOrDefault(name, 0L) <= now) {
                holder.remove(name);
            }
            switch (random.nextInt(4)) {
                case 0, 1 -> acquire(name, owner, now);
                case 2 -> release(name, owner, now);
                default -> restoreFromImage();
            }
            String currentHolder = holder.get(name);
            assertEquals(
                    currentHolder != null,
                    currentHolder != null
                            && actual.isHeldBy(name, currentHolder, fencingTokens.get(name), now));
        }

        private void acquire(String name, String owner, long now) {
            long ttl = 500 + random.nextInt(1_000);
            Acquire request =
                    new Acquire(name, owner, ttl, random.nextInt(3), random.nextBoolean());
            if (actual.acquire(request, now) instanceof Granted granted) {
                boolean isRepeated = owner.equals(holder.get(name));
                assertTrue(isRepeated || holder.get(name) == null, "granted to a second holder");
                assertTrue(
                        isRepeated
                                ? granted.fence() == fencingTokens.get(name)
                                : granted.fence() > lastFencingToken);
                lastFencingToken = Math.max(lastFencingToken, granted.fence());
                expiry.merge(
                        name,
                        now + ttl,
                        isRepeated ? Math::max : (previous, renewedExpiry) -> renewedExpiry);
                holder.put(name, owner);
                fencingTokens.put(name, granted.fence());
            }
        }

        private void release(String name, String owner, long now) {
            long fencingToken =
                    random.nextBoolean() ? fencingTokens.getOrDefault(name, 1L) : random.nextInt(5);
            actual.release(new Release(name, owner, fencingToken), now);
            if (owner.equals(holder.get(name)) && fencingToken == fencingTokens.get(name)) {
                holder.remove(name);
            }
        }

        private void restoreFromImage() {
            Leases.Image image = actual.image();
            actual = new Leases(image);
            assertEquals(image, actual.image());
        }
    }

    @Test
    void renewalReportsLostLeasesAndExtendsTheRest() {
        List<Long> fencingTokens = new ArrayList<>();
        for (String name : List.of("a", "b")) {
            fencingTokens.add(
                    grantedToken(leases.acquire(new Acquire(name, "o", 1_000, 0, false), 0)));
        }
        leases.release(new Release("a", "o", fencingTokens.get(0)), 1);
        var renewed =
                leases.renew(
                        new Renew(
                                "o", Map.of("a", fencingTokens.get(0), "b", fencingTokens.get(1))),
                        900);
        assertEquals(List.of("a"), renewed.lost());
        assertTrue(leases.isHeldBy("b", "o", fencingTokens.get(1), 1_899));
        assertFalse(leases.isHeldBy("b", "o", fencingTokens.get(1), 1_900));
    }
}

package saltstage.amqp;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeSet;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.apache.qpid.protonj2.types.messaging.Accepted;
import org.apache.qpid.protonj2.types.messaging.Modified;
import org.apache.qpid.protonj2.types.messaging.Released;
import org.apache.qpid.protonj2.types.transport.DeliveryState;
import org.junit.jupiter.api.Test;
import saltstage.amqp.Forwarding.Delivery;

/** Deliveries against backends that are lost, slow, short of credit and gone, in every order. */
class ForwardingTest {
    private static final Forwarding.Bounds BOUNDS =
            new Forwarding.Bounds(20, 2_000, 300, 3, Duration.ofSeconds(10));
    private static final Instant START = Instant.parse("2026-12-01T00:00:00Z");

    /** Both sides, which note what they are told and check it. */
    private static final class Sides implements Forwarding.Client {
        private final Map<Object, DeliveryState> told = new LinkedHashMap<>();
        private int credit;

        @Override
        public void grant(int more) {
            assertTrue(more > 0);
            credit += more;
        }

        @Override
        public void outcome(Delivery delivery, DeliveryState state, boolean settled) {
            assertFalse(delivery.settled(), "an outcome that nobody is owed");
            assertEquals(null, told.put(delivery.clients(), state), "a second outcome");
        }
    }

    /** A backend with room for so many bytes and deliveries. */
    private static final class Far implements Forwarding.Backend {
        private final Map<Delivery, Integer> got = new LinkedHashMap<>();
        private final List<Delivery> whole = new ArrayList<>();
        private final TreeSet<Integer> order = new TreeSet<>();
        private int bytes;
        private int credit;

        @Override
        public boolean sendable() {
            return bytes > 0 && credit > 0;
        }

        @Override
        public int stream(Delivery delivery, byte[] piece, int from, boolean last) {
            int taken = Math.min(bytes, piece.length - from);
            bytes -= Math.max(1, taken);
            got.merge(delivery, taken, Integer::sum);
            if (last && from + taken == piece.length) {
                credit--;
                whole.add(delivery);
                int number = (Integer) delivery.clients();
                assertTrue(order.isEmpty() || order.last() < number, "order");
                order.add(number);
            }
            return taken;
        }

        @Override
        public void abort(Delivery delivery) {
            assertFalse(whole.contains(delivery), "abort after the end");
            got.remove(delivery);
        }

        @Override
        public void settle(Delivery delivery, DeliveryState state) {
            assertTrue(whole.remove(delivery), "settled what is not out");
        }
    }

    @Property(tries = 2_000)
    void everyDeliveryHasOneOutcomeAndNoneIsTriedTooOften(
            @ForAll long seed, @ForAll boolean repeatable) {
        Play play = new Play(new Random(seed), repeatable);
        for (int step = 0; step < 200; step++) {
            play.step();
        }
        play.end();
    }

    /** A link's life from a seed. */
    private static final class Play {
        private final Random random;
        private final Sides sides = new Sides();
        private final Forwarding forwarding;
        private final Map<Integer, Delivery> sent = new LinkedHashMap<>();
        private final Map<Delivery, Integer> sizes = new LinkedHashMap<>();
        private final Map<Delivery, Integer> tries = new LinkedHashMap<>();
        private Delivery open;
        private Far far;
        private Instant now = START;

        Play(Random random, boolean repeatable) {
            this.random = random;
            forwarding = new Forwarding(BOUNDS, repeatable, sides);
        }

        void step() {
            now = now.plusMillis(random.nextInt(200));
            switch (random.nextInt(8)) {
                case 0, 1, 2 -> backendHasRoom();
                case 3, 4 -> clientSends();
                case 5 -> backendAnswers();
                case 6 -> somethingBreaks();
                default -> forwarding.expire(now);
            }
            assertTrue(forwarding.size() <= BOUNDS.unsettled(), "too many are held");
            assertTrue(
                    forwarding.held() >= 0 && forwarding.held() <= BOUNDS.heldBytes() + 200,
                    "bytes held");
            assertTrue(tries.values().stream().allMatch(count -> count <= BOUNDS.tries()), "tries");
        }

        private void backendHasRoom() {
            if (far == null) {
                far = new Far();
                forwarding.stands(far);
            } else {
                far.bytes += random.nextInt(400);
                far.credit += random.nextInt(4);
                forwarding.credit(far.credit);
            }
        }

        private void clientSends() {
            if (open == null && sides.credit > 0) {
                sides.credit--;
                open = new Delivery(sent.size(), random.nextInt(10) == 0);
                sent.put(sent.size(), open);
                assertTrue(forwarding.begins(open));
            }
            if (open != null && forwarding.wantsBytes()) {
                boolean whole = random.nextBoolean();
                byte[] piece = new byte[random.nextInt(200)];
                sizes.merge(open, piece.length, Integer::sum);
                forwarding.came(open, piece, whole, now);
                open = whole ? null : open;
            }
        }

        private void backendAnswers() {
            if (far != null && !far.whole.isEmpty()) {
                Delivery answered = far.whole.remove(random.nextInt(far.whole.size()));
                if (!answered.settled()) {
                    assertEquals(
                            sizes.get(answered), far.got.get(answered), "bytes of the delivery");
                    forwarding.outcome(answered, Accepted.getInstance(), true);
                }
            }
        }

        private void somethingBreaks() {
            if (far != null && random.nextInt(3) == 0) {
                far.got.keySet().forEach(one -> tries.merge(one, 1, Integer::sum));
                far = null;
                forwarding.lost();
            } else if (open != null && random.nextInt(4) == 0) {
                forwarding.aborted(open);
                sides.told.putIfAbsent(open.clients(), null);
                open = null;
            }
        }

        void end() {
            if (open != null) {
                forwarding.came(open, new byte[0], true, now);
            }
            forwarding.end();
            assertEquals(0, forwarding.size());
            assertEquals(0, forwarding.held());
            for (Delivery one : sent.values()) {
                assertTrue(one.settled() || sides.told.containsKey(one.clients()), "no outcome");
            }
        }
    }

    private final Sides client = new Sides();
    private final Forwarding forwarding = new Forwarding(BOUNDS, true, client);
    private int number;

    private Delivery send(Forwarding to, int bytes) {
        Delivery made = new Delivery(number++, false);
        assertTrue(to.begins(made));
        to.came(made, new byte[bytes], true, START);
        return made;
    }

    private Far stands(Forwarding at, int credit, int bytes) {
        Far far = new Far();
        far.credit = credit;
        far.bytes = bytes;
        at.stands(far);
        at.credit(credit);
        return far;
    }

    @Test
    void creditIsTheBackendsAndBoundedHere() {
        assertEquals(0, client.credit); // before there is a backend nothing is welcome
        stands(forwarding, 5, 1_000);
        assertEquals(5, client.credit);
        forwarding.credit(1_000);
        assertEquals(BOUNDS.unsettled(), client.credit);
    }

    @Test
    void senderWithoutCreditIsNotTaken() {
        stands(forwarding, 1, 1_000);
        send(forwarding, 10);
        assertFalse(forwarding.begins(new Delivery(99, false)));
    }

    @Test
    void lostBackendsDeliveriesGoToTheNextInOrderAndThenFail() {
        for (int tries = 1; tries <= BOUNDS.tries(); tries++) {
            Far far = stands(forwarding, 10, 1_000);
            if (tries == 1) {
                send(forwarding, 10);
                send(forwarding, 20);
            }
            assertEquals(List.of(0, 1), far.whole.stream().map(Delivery::clients).toList());
            assertEquals(Map.of(), client.told);
            forwarding.lost();
        }
        assertEquals(
                List.of(new Modified(true, false), new Modified(true, false)).toString(),
                List.copyOf(client.told.values()).toString());
    }

    @Test
    void whatMayNotBeRepeatedFailsAtTheFirstLoss() {
        Forwarding once = new Forwarding(BOUNDS, false, client);
        stands(once, 10, 15);
        send(once, 10);
        send(once, 10);
        send(once, 10);
        once.lost();
        assertEquals(2, client.told.size()); // the third had not begun: it may still go
        once.end();
        assertEquals(Released.getInstance(), client.told.get(2));
    }

    @Test
    void whatWasTooLargeToKeepFailsAtTheFirstLoss() {
        stands(forwarding, 10, 10_000);
        send(forwarding, BOUNDS.repeatBytes() + 1);
        assertEquals(0, forwarding.held());
        forwarding.lost();
        assertTrue(client.told.get(0) instanceof Modified);
    }

    @Test
    void whatIsGivenUpIsAnsweredAtItsTimeAndNotLater() {
        Far far = stands(forwarding, 10, 1_000);
        Delivery late = send(forwarding, 10);
        assertEquals(0, forwarding.expire(START.plus(BOUNDS.within()).minusMillis(1)));
        assertEquals(1, forwarding.expire(START.plus(BOUNDS.within())));
        assertTrue(client.told.get(0) instanceof Modified);
        assertEquals(List.of(), far.whole); // and the backend's copy is settled, not left open
        forwarding.outcome(late, Accepted.getInstance(), true); // its late word changes nothing
        assertTrue(client.told.get(0) instanceof Modified);
    }

    @Test
    void lostBackendsLateWordIsNoOutcome() {
        stands(forwarding, 10, 1_000);
        Delivery repeated = send(forwarding, 10);
        forwarding.lost();
        forwarding.outcome(repeated, Accepted.getInstance(), true);
        assertEquals(Map.of(), client.told);
    }

    @Test
    void abortedDeliveryIsTakenBackAndOwedNothing() {
        Far far = stands(forwarding, 10, 1_000);
        Delivery half = new Delivery(number++, false);
        forwarding.begins(half);
        forwarding.came(half, new byte[50], false, START);
        assertEquals(50, far.got.get(half));
        forwarding.aborted(half);
        assertEquals(Map.of(), far.got);
        assertEquals(Map.of(), client.told);
        assertEquals(0, forwarding.size());
    }
}

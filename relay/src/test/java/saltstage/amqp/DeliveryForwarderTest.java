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
import saltstage.amqp.DeliveryForwarder.Delivery;

/**
 * Guards against lost, duplicated and reordered deliveries and outcomes, and against exceeded
 * limits, when backends are slow, short of credit or lost, in random order.
 */
class DeliveryForwarderTest {
    private static final DeliveryForwarder.Limits LIMITS =
            new DeliveryForwarder.Limits(20, 2_000, 300, 3, Duration.ofSeconds(10));
    private static final Instant START = Instant.parse("2026-12-01T00:00:00Z");

    /** A client that records its credit and outcomes and checks that no delivery gets two. */
    private static final class RecordingClient implements DeliveryForwarder.ClientEndpoint {
        private final Map<Object, DeliveryState> outcomes = new LinkedHashMap<>();
        private int credit;

        @Override
        public void grantCredit(int increment) {
            assertTrue(increment > 0);
            credit += increment;
        }

        @Override
        public void sendOutcome(Delivery delivery, DeliveryState state, boolean settled) {
            assertFalse(delivery.isPresettled(), "outcome for a presettled delivery");
            assertEquals(
                    null,
                    outcomes.put(delivery.clientDelivery(), state),
                    "second outcome for a delivery");
        }
    }

    /** A backend with a limited capacity of bytes and deliveries, which checks their order. */
    private static final class FakeBackend implements DeliveryForwarder.BackendEndpoint {
        private final Map<Delivery, Integer> receivedBytes = new LinkedHashMap<>();
        private final List<Delivery> completeDeliveries = new ArrayList<>();
        private final TreeSet<Integer> completeNumbers = new TreeSet<>();
        private int byteCapacity;
        private int credit;

        @Override
        public boolean canSend() {
            return byteCapacity > 0 && credit > 0;
        }

        @Override
        public int send(Delivery delivery, byte[] chunk, int offset, boolean last) {
            int sent = Math.min(byteCapacity, chunk.length - offset);
            byteCapacity -= Math.max(1, sent);
            receivedBytes.merge(delivery, sent, Integer::sum);
            if (last && offset + sent == chunk.length) {
                credit--;
                completeDeliveries.add(delivery);
                int number = (Integer) delivery.clientDelivery();
                assertTrue(
                        completeNumbers.isEmpty() || completeNumbers.last() < number,
                        "deliveries out of order");
                completeNumbers.add(number);
            }
            return sent;
        }

        @Override
        public void abort(Delivery delivery) {
            assertFalse(completeDeliveries.contains(delivery), "abort of a complete delivery");
            receivedBytes.remove(delivery);
        }

        @Override
        public void settle(Delivery delivery, DeliveryState state) {
            assertTrue(
                    completeDeliveries.remove(delivery),
                    "settled a delivery that is not complete or was settled before");
        }
    }

    @Property(tries = 2_000)
    void everyDeliveryHasOneOutcomeWithinMaxAttempts(
            @ForAll long seed, @ForAll boolean idempotent) {
        RandomScenario scenario = new RandomScenario(new Random(seed), idempotent);
        for (int step = 0; step < 200; step++) {
            scenario.step();
        }
        scenario.finish();
    }

    /** A sequence of random events of one link, derived from a seed. */
    private static final class RandomScenario {
        private final Random random;
        private final RecordingClient client = new RecordingClient();
        private final DeliveryForwarder forwarder;
        private final Map<Integer, Delivery> deliveries = new LinkedHashMap<>();
        private final Map<Delivery, Integer> deliveryBytes = new LinkedHashMap<>();
        private final Map<Delivery, Integer> attempts = new LinkedHashMap<>();
        private Delivery currentDelivery;
        private FakeBackend backend;
        private Instant now = START;
        private long memoryUse;

        RandomScenario(Random random, boolean idempotent) {
            this.random = random;
            forwarder =
                    new DeliveryForwarder(LIMITS, idempotent, client, bytes -> memoryUse += bytes);
        }

        void step() {
            now = now.plusMillis(random.nextInt(200));
            switch (random.nextInt(9)) {
                case 0, 1, 2 -> backendGrantsCapacity();
                case 3, 4 -> clientSends();
                case 5 -> backendAccepts();
                case 6 -> backendIsLostOrClientAborts();
                case 7 -> discardSentChunksNowAndThen();
                default -> forwarder.expireDeliveries(now);
            }
            assertTrue(forwarder.size() <= LIMITS.maxUnsettled(), "too many unsettled deliveries");
            assertTrue(
                    forwarder.bufferedBytes() >= 0
                            && forwarder.bufferedBytes() <= LIMITS.maxBufferedBytes() + 200,
                    "buffered bytes out of bounds");
            assertEquals(
                    forwarder.bufferedBytes()
                            + (long) forwarder.size() * MemoryEstimates.DELIVERY_BYTES,
                    memoryUse,
                    "memory reported");
            assertTrue(
                    attempts.values().stream().allMatch(count -> count <= LIMITS.maxAttempts()),
                    "too many attempts");
        }

        private void backendGrantsCapacity() {
            if (backend == null) {
                backend = new FakeBackend();
                forwarder.backendAttached(backend);
            } else {
                backend.byteCapacity += random.nextInt(400);
                backend.credit += random.nextInt(4);
                forwarder.creditReceived(backend.credit);
            }
        }

        private void clientSends() {
            if (currentDelivery == null && client.credit > 0) {
                client.credit--;
                currentDelivery = new Delivery(deliveries.size(), random.nextInt(10) == 0);
                deliveries.put(deliveries.size(), currentDelivery);
                assertTrue(forwarder.startDelivery(currentDelivery));
            }
            if (currentDelivery != null && forwarder.canBufferMore()) {
                boolean last = random.nextBoolean();
                byte[] chunk = new byte[random.nextInt(200)];
                deliveryBytes.merge(currentDelivery, chunk.length, Integer::sum);
                forwarder.bytesReceived(currentDelivery, chunk, last, now);
                currentDelivery = last ? null : currentDelivery;
            }
        }

        private void discardSentChunksNowAndThen() {
            if (random.nextInt(4) == 0) {
                forwarder.discardSentChunksOfPartialDeliveries();
            }
        }

        private void backendAccepts() {
            if (backend != null && !backend.completeDeliveries.isEmpty()) {
                Delivery accepted =
                        backend.completeDeliveries.remove(
                                random.nextInt(backend.completeDeliveries.size()));
                if (!accepted.isPresettled()) {
                    assertEquals(
                            deliveryBytes.get(accepted),
                            backend.receivedBytes.get(accepted),
                            "bytes received by the backend");
                    forwarder.outcomeReceived(accepted, Accepted.getInstance(), true);
                }
            }
        }

        private void backendIsLostOrClientAborts() {
            if (backend != null && random.nextInt(3) == 0) {
                backend.receivedBytes
                        .keySet()
                        .forEach(delivery -> attempts.merge(delivery, 1, Integer::sum));
                backend = null;
                forwarder.backendLost();
            } else if (currentDelivery != null && random.nextInt(4) == 0) {
                forwarder.deliveryAborted(currentDelivery);
                client.outcomes.putIfAbsent(currentDelivery.clientDelivery(), null);
                currentDelivery = null;
            }
        }

        void finish() {
            if (currentDelivery != null) {
                forwarder.bytesReceived(currentDelivery, new byte[0], true, now);
            }
            forwarder.endWithoutBackend();
            assertEquals(0, forwarder.size());
            assertEquals(0, forwarder.bufferedBytes());
            for (Delivery delivery : deliveries.values()) {
                assertTrue(
                        delivery.isPresettled()
                                || client.outcomes.containsKey(delivery.clientDelivery()),
                        "delivery without an outcome");
            }
        }
    }

    private final RecordingClient client = new RecordingClient();
    private final DeliveryForwarder forwarder =
            new DeliveryForwarder(LIMITS, true, client, bytes -> {});
    private int nextDeliveryNumber;

    private Delivery sendDelivery(DeliveryForwarder target, int bytes) {
        Delivery delivery = new Delivery(nextDeliveryNumber++, false);
        assertTrue(target.startDelivery(delivery));
        target.bytesReceived(delivery, new byte[bytes], true, START);
        return delivery;
    }

    private FakeBackend attachBackend(DeliveryForwarder target, int credit, int bytes) {
        FakeBackend backend = new FakeBackend();
        backend.credit = credit;
        backend.byteCapacity = bytes;
        target.backendAttached(backend);
        target.creditReceived(credit);
        return backend;
    }

    @Test
    void creditFollowsTheBackendUpToTheLimit() {
        assertEquals(0, client.credit); // no credit is granted before a backend is attached
        attachBackend(forwarder, 5, 1_000);
        assertEquals(5, client.credit);
        forwarder.creditReceived(1_000);
        assertEquals(LIMITS.maxUnsettled(), client.credit);
    }

    @Test
    void deliveryWithoutCreditIsNotStarted() {
        attachBackend(forwarder, 1, 1_000);
        sendDelivery(forwarder, 10);
        assertFalse(forwarder.startDelivery(new Delivery(99, false)));
    }

    @Test
    void deliveriesOfALostBackendGoToTheNextInOrderAndThenFail() {
        for (int attempt = 1; attempt <= LIMITS.maxAttempts(); attempt++) {
            FakeBackend backend = attachBackend(forwarder, 10, 1_000);
            if (attempt == 1) {
                sendDelivery(forwarder, 10);
                sendDelivery(forwarder, 20);
            }
            assertEquals(
                    List.of(0, 1),
                    backend.completeDeliveries.stream().map(Delivery::clientDelivery).toList());
            assertEquals(Map.of(), client.outcomes);
            forwarder.backendLost();
        }
        assertEquals(
                List.of(new Modified(true, false), new Modified(true, false)).toString(),
                List.copyOf(client.outcomes.values()).toString());
    }

    @Test
    void nonIdempotentDeliveryFailsAtTheFirstLoss() {
        DeliveryForwarder nonIdempotent = new DeliveryForwarder(LIMITS, false, client, bytes -> {});
        attachBackend(nonIdempotent, 10, 15);
        sendDelivery(nonIdempotent, 10);
        sendDelivery(nonIdempotent, 10);
        sendDelivery(nonIdempotent, 10);
        nonIdempotent.backendLost();
        assertEquals(2, client.outcomes.size()); // the third was not started and may still be sent
        nonIdempotent.endWithoutBackend();
        assertEquals(Released.getInstance(), client.outcomes.get(2));
    }

    @Test
    void tooLargeDeliveryFailsAtTheFirstLoss() {
        attachBackend(forwarder, 10, 10_000);
        sendDelivery(forwarder, LIMITS.maxRetainedDeliveryBytes() + 1);
        assertEquals(0, forwarder.bufferedBytes());
        forwarder.backendLost();
        assertTrue(client.outcomes.get(0) instanceof Modified);
    }

    @Test
    void expiredDeliveryFailsAtItsDeadline() {
        FakeBackend backend = attachBackend(forwarder, 10, 1_000);
        Delivery expired = sendDelivery(forwarder, 10);
        assertEquals(
                0, forwarder.expireDeliveries(START.plus(LIMITS.deliveryTimeout()).minusMillis(1)));
        assertEquals(1, forwarder.expireDeliveries(START.plus(LIMITS.deliveryTimeout())));
        assertTrue(client.outcomes.get(0) instanceof Modified);
        assertEquals(List.of(), backend.completeDeliveries); // it is settled at the backend as well
        forwarder.outcomeReceived(
                expired, Accepted.getInstance(), true); // a late outcome is ignored
        assertTrue(client.outcomes.get(0) instanceof Modified);
    }

    @Test
    void outcomeFromALostBackendIsIgnored() {
        attachBackend(forwarder, 10, 1_000);
        Delivery repeated = sendDelivery(forwarder, 10);
        forwarder.backendLost();
        forwarder.outcomeReceived(repeated, Accepted.getInstance(), true);
        assertEquals(Map.of(), client.outcomes);
    }

    @Test
    void abortedDeliveryIsAbortedAtTheBackendWithoutOutcome() {
        FakeBackend backend = attachBackend(forwarder, 10, 1_000);
        Delivery aborted = new Delivery(nextDeliveryNumber++, false);
        forwarder.startDelivery(aborted);
        forwarder.bytesReceived(aborted, new byte[50], false, START);
        assertEquals(50, backend.receivedBytes.get(aborted));
        forwarder.deliveryAborted(aborted);
        assertEquals(Map.of(), backend.receivedBytes);
        assertEquals(Map.of(), client.outcomes);
        assertEquals(0, forwarder.size());
    }
}

package saltstage;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import org.junit.jupiter.api.Test;
import saltstage.Api.BackendListKind;
import saltstage.Api.Outcome;

/**
 * Guards against attempts that time out too early in a reconnect storm. Clients of failed relays
 * reconnect through the others, and each set-up waits in the queue of a store that all backends
 * share. The store still processes the set-ups that timed out, so each retry lengthens the queue.
 */
class ReconnectStormTest {
    private static final int RELAY_COUNT = 14;
    private static final int CLIENT_COUNT = 120;

    /** Time in which all clients reconnect, at 1.4 times the rate that the store can handle. */
    private static final long RECONNECT_SPAN_MICROS = 600_000;

    /** Duration of one set-up at the store. */
    private static final long STORE_SETUP_MICROS = 7_000;

    private record ScheduledEvent(long timeMicros, int order, Runnable action)
            implements Comparable<ScheduledEvent> {
        @Override
        public int compareTo(ScheduledEvent other) {
            return timeMicros != other.timeMicros
                    ? Long.compare(timeMicros, other.timeMicros)
                    : Integer.compare(order, other.order);
        }
    }

    /** Simulates the relays of a fleet, their clients and the store on one clock. */
    private static final class StormSimulation {
        private final PriorityQueue<ScheduledEvent> eventQueue = new PriorityQueue<>();
        private final List<LoadBalancerHarness> relays = new ArrayList<>();

        /** Number of attempts by relay and request id. */
        private final Map<String, Integer> attemptsByRequest = new HashMap<>();

        private long storeFreeAt;
        private int nextOrder;
        private int attemptCount;
        private int establishedCount;

        StormSimulation() {
            for (int i = 0; i < RELAY_COUNT; i++) {
                LoadBalancerHarness relay =
                        new LoadBalancerHarness(
                                LoadBalancerHarness.settings(
                                        0.02, false, LoadBalancerHarness.idempotentClass()),
                                i + 1);
                relays.add(
                        relay.receiveList(BackendListKind.FULL, LoadBalancerHarness.backends(7)));
                // Before the storm the relay learns a low set-up latency.
                for (long key = 0; key < 10; key++) {
                    relay.route(key);
                }
            }
        }

        void schedule(long timeMicros, Runnable action) {
            eventQueue.add(new ScheduledEvent(timeMicros, nextOrder++, action));
        }

        void run() {
            long start = relays.get(0).now;
            for (int i = 0; i < CLIENT_COUNT; i++) {
                LoadBalancerHarness relay = relays.get(i % RELAY_COUNT);
                long key = 1000 + i;
                schedule(
                        start + i * RECONNECT_SPAN_MICROS / CLIENT_COUNT,
                        () -> startRequest(relay, key));
            }
            while (!eventQueue.isEmpty()) {
                ScheduledEvent next = eventQueue.remove();
                relays.forEach(relay -> relay.now = next.timeMicros);
                next.action.run();
            }
        }

        private void startRequest(LoadBalancerHarness relay, long key) {
            long attemptsBefore = relay.attemptCount();
            long id = relay.request(key);
            followAttempt(relay, id, attemptsBefore);
        }

        /**
         * Follows an attempt that was started since {@code attemptsBefore}, if any: it waits for
         * the store until it is established or times out.
         */
        private void followAttempt(LoadBalancerHarness relay, long id, long attemptsBefore) {
            if (relay.attemptCount() == attemptsBefore) {
                return;
            }
            attemptCount++;
            String request = relays.indexOf(relay) + "/" + id;
            int attempt = attemptsByRequest.merge(request, 1, Integer::sum);
            long now = relay.now;
            storeFreeAt = Math.max(storeFreeAt, now) + STORE_SETUP_MICROS;
            long setupDoneAt = storeFreeAt;
            long timeoutAt =
                    relay.lastAttemptTimeout == 0 ? Long.MAX_VALUE : now + relay.lastAttemptTimeout;
            schedule(
                    Math.min(setupDoneAt, timeoutAt),
                    () -> {
                        if (attemptsByRequest.get(request) != attempt) {
                            return;
                        }
                        if (setupDoneAt <= timeoutAt) {
                            establishedCount++;
                            relay.establish(id, setupDoneAt - now);
                        } else {
                            long attemptsSoFar = relay.attemptCount();
                            relay.endAttempt(id, Outcome.TIMEOUT);
                            followAttempt(relay, id, attemptsSoFar);
                        }
                    });
        }
    }

    @Test
    void overloadedStoreGetsOneAttemptPerReconnectingClient() {
        StormSimulation storm = new StormSimulation();
        storm.run();
        assertEquals(CLIENT_COUNT, storm.establishedCount);
        assertEquals(CLIENT_COUNT, storm.attemptCount);
    }
}

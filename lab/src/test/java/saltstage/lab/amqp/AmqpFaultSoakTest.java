package saltstage.lab.amqp;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import saltstage.lab.fleet.FakeBackend;
import saltstage.net.NettyTransport;

/**
 * Injects random backend faults from a seed while thousands of deliveries pass: backends drain,
 * die, reset connections in the middle of a frame, freeze, slow down and return. The test guards
 * against deliveries that get no outcome or more than one, or that are outstanding at two backends
 * at once, and against new links at a backend later than a second after its drain.
 */
@Timeout(180)
class AmqpFaultSoakTest {
    private static final int BACKENDS = 5;
    private static final int CONNECTIONS = 4;
    private static final int LINKS_PER_CONNECTION = 8;
    private static final int DELIVERIES = 15_000;
    private static final int BURST = 25;
    private static final long MAX_LINK_AFTER_DRAIN_MS = 1_000;
    private static final long DISCOVERY_TOLERANCE_MS = 100;

    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void eachDeliveryHasOneOutcomeDespiteBackendFaults(long seed) throws Exception {
        Random random = new Random(seed);
        Map<String, Long> drainTimes = new TreeMap<>();
        List<String> lateLinks = new ArrayList<>();
        try (AmqpTestEnvironment env =
                        new AmqpTestEnvironment(BACKENDS, "  backend_idle = \"1s\"\n");
                NettyTransport transport =
                        new NettyTransport(1, false, (context, fault) -> fault.printStackTrace())) {
            DeliveryTracker tracker = new DeliveryTracker();
            List<AmqpLoadClient> clients = openClients(env, transport, tracker);
            env.await(
                    "all attached",
                    () ->
                            clients.stream()
                                    .allMatch(c -> c.attachedCount() == LINKS_PER_CONNECTION));
            sendDeliveriesDespiteFaults(env, clients, seed, random, drainTimes, lateLinks);
            restoreBackends(env, drainTimes, lateLinks);
            awaitOutcomes(env, clients, tracker);
            List<String> accepted = new ArrayList<>();
            env.fleet().amqpBackends().forEach(backend -> accepted.addAll(backend.acceptedIds()));
            Map<DeliveryTracker.DeliveryOutcome, Long> counts = tracker.outcomeCounts();
            System.out.println(
                    "seed "
                            + seed
                            + ": "
                            + counts
                            + ", links detached "
                            + clients.stream().map(AmqpLoadClient::detachCounts).toList());
            assertEquals(List.of(), tracker.findFaults(accepted));
            assertEquals(
                    0,
                    env.fleet().duplicateDetector().duplicateCount(),
                    env.fleet().duplicateDetector().example());
            assertEquals(List.of(), lateLinks);
            assertTrue(
                    counts.get(DeliveryTracker.DeliveryOutcome.ACCEPTED) > DELIVERIES / 2,
                    counts.toString());
            clients.forEach(AmqpLoadClient::close);
            env.await(
                    "no link is left",
                    () -> env.fleet().amqpBackends().stream().allMatch(b -> b.linkCount() == 0));
            assertTrue(!env.readLog().contains("fault"), env.readLog());
        }
    }

    private static List<AmqpLoadClient> openClients(
            AmqpTestEnvironment env, NettyTransport transport, DeliveryTracker tracker)
            throws Exception {
        List<AmqpLoadClient> clients = new ArrayList<>();
        for (int i = 0; i < CONNECTIONS; i++) {
            clients.add(
                    new AmqpLoadClient(
                            transport,
                            transport.loops().get(0),
                            env.amqpAddress(),
                            "soak" + i,
                            LINKS_PER_CONNECTION,
                            "status-report",
                            100,
                            tracker));
        }
        return clients;
    }

    private static void sendDeliveriesDespiteFaults(
            AmqpTestEnvironment env,
            List<AmqpLoadClient> clients,
            long seed,
            Random random,
            Map<String, Long> drainTimes,
            List<String> lateLinks)
            throws Exception {
        for (int sent = 0; sent < DELIVERIES; sent += BURST) {
            for (int i = 0; i < BURST; i++) {
                clients.get(random.nextInt(CONNECTIONS))
                        .scheduleDelivery(
                                random.nextInt(LINKS_PER_CONNECTION),
                                seed + "-" + (sent + i),
                                System.nanoTime());
            }
            if (sent % (BURST * 20) == 0) {
                injectRandomFault(env, random, drainTimes, lateLinks);
            }
            Thread.sleep(10);
        }
    }

    private static void restoreBackends(
            AmqpTestEnvironment env, Map<String, Long> drainTimes, List<String> lateLinks)
            throws Exception {
        for (int i = 0; i < BACKENDS; i++) {
            checkDrained(env, i, drainTimes, lateLinks);
            env.runCommand("start g" + i);
            env.runCommand("slow g" + i + " 0");
        }
    }

    private static void awaitOutcomes(
            AmqpTestEnvironment env, List<AmqpLoadClient> clients, DeliveryTracker tracker)
            throws Exception {
        env.await(
                () ->
                        "all sent "
                                + clients.stream()
                                        .map(AmqpLoadClient::describeBlockedLinks)
                                        .toList(),
                () -> clients.stream().allMatch(client -> client.unsentCount() == 0));
        env.await("all answered", () -> tracker.pendingCount() == 0);
    }

    /** Applies a random fault to one backend, or restores it; at least two backends stay ready. */
    private static void injectRandomFault(
            AmqpTestEnvironment env,
            Random random,
            Map<String, Long> drainTimes,
            List<String> lateLinks)
            throws Exception {
        int index = random.nextInt(BACKENDS);
        FakeBackend backend = env.fleet().backends().get(index);
        String uid = backend.uid();
        long ready =
                env.fleet().backends().stream()
                        .filter(candidate -> candidate.state() == FakeBackend.State.READY)
                        .count();
        if (backend.state() != FakeBackend.State.READY) {
            checkDrained(env, index, drainTimes, lateLinks);
            env.runCommand("start " + uid);
            return;
        }
        if (ready <= 2) {
            return;
        }
        switch (random.nextInt(5)) {
            case 0 -> {
                env.runCommand("drain " + uid);
                drainTimes.put(uid, Instant.now().toEpochMilli());
            }
            case 1 -> env.runCommand("kill " + uid);
            case 2 -> env.runCommand("tear " + uid);
            case 3 -> env.runCommand("stop " + uid);
            default -> env.runCommand("slow " + uid + " " + random.nextInt(100));
        }
    }

    private static void checkDrained(
            AmqpTestEnvironment env,
            int index,
            Map<String, Long> drainTimes,
            List<String> lateLinks) {
        FakeAmqpBackend backend = env.fleet().amqpBackends().get(index);
        Long drainMillis = drainTimes.remove("g" + index);
        if (drainMillis != null
                && backend.lastLinkMillis()
                        > drainMillis + MAX_LINK_AFTER_DRAIN_MS + DISCOVERY_TOLERANCE_MS) {
            lateLinks.add(
                    "g"
                            + index
                            + ": a link came "
                            + (backend.lastLinkMillis() - drainMillis)
                            + " ms after the drain");
        }
    }
}

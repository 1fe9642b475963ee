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
 * Nights of trouble from seeds: gateways drain, die, reset in the middle of a frame, freeze, slow
 * down and come back while tens of thousands of deliveries pass. Each has one outcome, none is out
 * twice, and a gateway that drains gets no link later than a second after it was told.
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
        Map<String, Long> drained = new TreeMap<>();
        List<String> late = new ArrayList<>();
        try (AmqpTestEnvironment stage =
                        new AmqpTestEnvironment(BACKENDS, "  backend_idle = \"1s\"\n");
                NettyTransport transport =
                        new NettyTransport(1, false, (at, fault) -> fault.printStackTrace())) {
            DeliveryTracker ledger = new DeliveryTracker();
            List<AmqpLoadClient> clients = openClients(stage, transport, ledger);
            stage.await(
                    "all attached",
                    () ->
                            clients.stream()
                                    .allMatch(c -> c.attachedCount() == LINKS_PER_CONNECTION));
            sendDeliveriesDespiteFaults(stage, clients, seed, random, drained, late);
            restoreBackends(stage, drained, late);
            awaitOutcomes(stage, clients, ledger);
            List<String> accepted = new ArrayList<>();
            stage.fleet().amqpBackends().forEach(g -> accepted.addAll(g.acceptedIds()));
            Map<DeliveryTracker.DeliveryOutcome, Long> counts = ledger.outcomeCounts();
            System.out.println(
                    "night "
                            + seed
                            + ": "
                            + counts
                            + ", links detached "
                            + clients.stream().map(AmqpLoadClient::detachCounts).toList());
            assertEquals(List.of(), ledger.findFaults(accepted));
            assertEquals(
                    0,
                    stage.fleet().duplicateDetector().duplicateCount(),
                    stage.fleet().duplicateDetector().example());
            assertEquals(List.of(), late);
            assertTrue(
                    counts.get(DeliveryTracker.DeliveryOutcome.ACCEPTED) > DELIVERIES / 2,
                    counts.toString());
            clients.forEach(AmqpLoadClient::close);
            stage.await(
                    "no link is left",
                    () -> stage.fleet().amqpBackends().stream().allMatch(g -> g.linkCount() == 0));
            assertTrue(!stage.readLog().contains("fault"), stage.readLog());
        }
    }

    private static List<AmqpLoadClient> openClients(
            AmqpTestEnvironment stage, NettyTransport transport, DeliveryTracker ledger)
            throws Exception {
        List<AmqpLoadClient> clients = new ArrayList<>();
        for (int i = 0; i < CONNECTIONS; i++) {
            clients.add(
                    new AmqpLoadClient(
                            transport,
                            transport.loops().get(0),
                            stage.amqpAddress(),
                            "night" + i,
                            LINKS_PER_CONNECTION,
                            "status-report",
                            100,
                            ledger));
        }
        return clients;
    }

    private static void sendDeliveriesDespiteFaults(
            AmqpTestEnvironment stage,
            List<AmqpLoadClient> clients,
            long seed,
            Random random,
            Map<String, Long> drained,
            List<String> late)
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
                injectRandomFault(stage, random, drained, late);
            }
            Thread.sleep(10);
        }
    }

    private static void restoreBackends(
            AmqpTestEnvironment stage, Map<String, Long> drained, List<String> late)
            throws Exception {
        for (int i = 0; i < BACKENDS; i++) {
            checkDrained(stage, i, drained, late);
            stage.runCommand("start g" + i);
            stage.runCommand("slow g" + i + " 0");
        }
    }

    private static void awaitOutcomes(
            AmqpTestEnvironment stage, List<AmqpLoadClient> clients, DeliveryTracker ledger)
            throws Exception {
        stage.await(
                () ->
                        "all sent "
                                + clients.stream()
                                        .map(AmqpLoadClient::describeBlockedLinks)
                                        .toList(),
                () -> clients.stream().allMatch(c -> c.unsentCount() == 0));
        stage.await("all answered", () -> ledger.pendingCount() == 0);
    }

    /** One thing happens to one gateway; two at least are left alone. */
    private static void injectRandomFault(
            AmqpTestEnvironment stage, Random random, Map<String, Long> drained, List<String> late)
            throws Exception {
        int chosen = random.nextInt(BACKENDS);
        FakeBackend gateway = stage.fleet().backends().get(chosen);
        String g = gateway.uid();
        long ready =
                stage.fleet().backends().stream()
                        .filter(any -> any.state() == FakeBackend.State.READY)
                        .count();
        if (gateway.state() != FakeBackend.State.READY) {
            checkDrained(stage, chosen, drained, late);
            stage.runCommand("start " + g);
            return;
        }
        if (ready <= 2) {
            return;
        }
        switch (random.nextInt(5)) {
            case 0 -> {
                stage.runCommand("drain " + g);
                drained.put(g, Instant.now().toEpochMilli());
            }
            case 1 -> stage.runCommand("kill " + g);
            case 2 -> stage.runCommand("tear " + g);
            case 3 -> stage.runCommand("stop " + g);
            default -> stage.runCommand("slow " + g + " " + random.nextInt(100));
        }
    }

    private static void checkDrained(
            AmqpTestEnvironment stage, int chosen, Map<String, Long> drained, List<String> late) {
        FakeAmqpBackend gateway = stage.fleet().amqpBackends().get(chosen);
        Long since = drained.remove("g" + chosen);
        if (since != null
                && gateway.lastLinkMillis()
                        > since + MAX_LINK_AFTER_DRAIN_MS + DISCOVERY_TOLERANCE_MS) {
            late.add(
                    "g"
                            + chosen
                            + ": a link came "
                            + (gateway.lastLinkMillis() - since)
                            + " ms after the drain");
        }
    }
}

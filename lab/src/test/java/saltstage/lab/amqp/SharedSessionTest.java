package saltstage.lab.amqp;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.apache.qpid.protonj2.client.Client;
import org.apache.qpid.protonj2.client.Connection;
import org.apache.qpid.protonj2.client.DeliveryState;
import org.apache.qpid.protonj2.client.Message;
import org.apache.qpid.protonj2.client.Sender;
import org.apache.qpid.protonj2.client.SenderOptions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import saltstage.net.NettyTransport;

/** How clients' links lie on sessions towards backends: shared, and nobody's harm. */
@Timeout(120)
class SharedSessionTest {
    private static List<String> acceptedIds(AmqpTestEnvironment stage) {
        return stage.fleet().amqpBackends().stream()
                .flatMap(g -> g.acceptedIds().stream())
                .toList();
    }

    private static AmqpLoadClient openClient(
            AmqpTestEnvironment stage,
            NettyTransport transport,
            String name,
            int links,
            DeliveryTracker ledger)
            throws Exception {
        return new AmqpLoadClient(
                transport,
                transport.loops().get(0),
                stage.amqpAddress(),
                name,
                links,
                "session-check",
                64,
                ledger);
    }

    @Test
    void linksOfAClientSessionShareABackendSessionAndAClosedWindowBlocksNobody() throws Exception {
        try (AmqpTestEnvironment stage = new AmqpTestEnvironment(1, "");
                NettyTransport transport =
                        new NettyTransport(1, false, (at, fault) -> fault.printStackTrace())) {
            FakeAmqpBackend gateway = stage.fleet().amqpBackends().get(0);
            gateway.setSessionWindowBytes(32 << 10); // two frames
            DeliveryTracker ledger = new DeliveryTracker();
            AmqpLoadClient client = openClient(stage, transport, "shared", 40, ledger);
            AmqpLoadClient other = openClient(stage, transport, "other", 1, ledger);
            stage.await(
                    "attached", () -> client.attachedCount() == 40 && other.attachedCount() == 1);
            assertTrue(gateway.sessionCount() <= 4, "sessions: " + gateway.sessionCount());
            for (int round = 0; round < 5; round++) {
                for (int i = 0; i < 1_000; i++) {
                    client.scheduleDelivery(i % 40, "s" + round + "-" + i, System.nanoTime());
                }
                other.scheduleDelivery(0, "o" + round, System.nanoTime());
                stage.await(
                        () -> ledger.pendingCount() + " wait, " + client.describeBlockedLinks(),
                        () -> ledger.pendingCount() == 0);
            }
            assertEquals(List.of(), ledger.findFaults(acceptedIds(stage)));
            assertEquals(
                    5_005, ledger.outcomeCounts().get(DeliveryTracker.DeliveryOutcome.ACCEPTED));
            client.close();
            other.close();
            stage.await("no links left", () -> gateway.linkCount() == 0);
        }
    }

    /**
     * Its own links wait, with a bounded number of deliveries each; those of the others go on as
     * before.
     */
    @Test
    void unresponsiveBackendBlocksOnlyItsOwnLinks() throws Exception {
        try (AmqpTestEnvironment stage = new AmqpTestEnvironment(2, "  unsettled = 50\n");
                NettyTransport transport =
                        new NettyTransport(1, false, (at, fault) -> fault.printStackTrace())) {
            DeliveryTracker ledger = new DeliveryTracker();
            AmqpLoadClient client =
                    new AmqpLoadClient(
                            transport,
                            transport.loops().get(0),
                            stage.amqpAddress(),
                            "slow",
                            40,
                            "session-check",
                            64,
                            ledger);
            stage.await("attached", () -> client.attachedCount() == 40);
            FakeAmqpBackend slow = stage.fleet().amqpBackends().get(0);
            FakeAmqpBackend other = stage.fleet().amqpBackends().get(1);
            int stood = slow.linkCount();
            assertTrue(stood > 0 && other.linkCount() > 0, "links at both: " + stood + " of 40");
            slow.setOutcomeDelay(
                    Duration.ofSeconds(60)); // takes what its credit allows, and answers nothing
            for (int i = 0; i < 40 * 500; i++) {
                client.scheduleDelivery(i % 40, "w" + i, System.nanoTime());
            }
            int neighbours = (40 - stood) * 500;
            stage.await(
                    () -> other.acceptedIds().size() + " of " + neighbours + " at the neighbour",
                    () -> other.acceptedIds().size() == neighbours);
            stage.await("all else waits at its sender", () -> client.unsentCount() == stood * 450);
            assertEquals(0, slow.acceptedIds().size());
            assertEquals(stood * 500, ledger.pendingCount());
        }
    }

    @Test
    void clientsWithTheSameLinkNameDoNotStealEachOthersLink() throws Exception {
        try (AmqpTestEnvironment stage = new AmqpTestEnvironment(1, "");
                Client client = Client.create()) {
            List<Sender> senders = new ArrayList<>();
            for (int i = 0; i < 3; i++) {
                Connection connection =
                        client.connect(
                                stage.amqpAddress().getHostString(), stage.amqpAddress().getPort());
                senders.add(
                        connection.openSender(
                                "status-report/one",
                                new SenderOptions().linkName("the-name-that-all-choose")));
            }
            for (int i = 0; i < 9; i++) {
                assertEquals(
                        DeliveryState.Type.ACCEPTED,
                        senders.get(i % 3)
                                .send(Message.create("x").property("id", "n" + i))
                                .awaitSettlement(20, TimeUnit.SECONDS)
                                .remoteState()
                                .getType());
            }
            assertEquals(0, stage.fleet().amqpBackends().get(0).stolenLinkCount());
            assertEquals(9, acceptedIds(stage).size());
        }
    }
}

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

/**
 * Tests that client links share sessions towards backends without affecting each other: a closed
 * session window, a backend that does not respond or an equal link name must not block the links of
 * others.
 */
@Timeout(120)
class SharedSessionTest {
    private static List<String> acceptedIds(AmqpTestEnvironment env) {
        return env.fleet().amqpBackends().stream()
                .flatMap(backend -> backend.acceptedIds().stream())
                .toList();
    }

    private static AmqpLoadClient openClient(
            AmqpTestEnvironment env,
            NettyTransport transport,
            String name,
            int links,
            DeliveryTracker tracker)
            throws Exception {
        return new AmqpLoadClient(
                transport,
                transport.loops().get(0),
                env.amqpAddress(),
                name,
                links,
                "session-check",
                64,
                tracker);
    }

    @Test
    void linksOfAClientSessionShareABackendSessionAndAClosedWindowBlocksNobody() throws Exception {
        try (AmqpTestEnvironment env = new AmqpTestEnvironment(1, "");
                NettyTransport transport =
                        new NettyTransport(1, false, (context, fault) -> fault.printStackTrace())) {
            FakeAmqpBackend backend = env.fleet().amqpBackends().get(0);
            backend.setSessionWindowBytes(32 << 10); // the size of two frames
            DeliveryTracker tracker = new DeliveryTracker();
            AmqpLoadClient client = openClient(env, transport, "shared", 40, tracker);
            AmqpLoadClient other = openClient(env, transport, "other", 1, tracker);
            env.await("attached", () -> client.attachedCount() == 40 && other.attachedCount() == 1);
            assertTrue(backend.sessionCount() <= 4, "sessions: " + backend.sessionCount());
            for (int round = 0; round < 5; round++) {
                for (int i = 0; i < 1_000; i++) {
                    client.scheduleDelivery(i % 40, "s" + round + "-" + i, System.nanoTime());
                }
                other.scheduleDelivery(0, "o" + round, System.nanoTime());
                env.await(
                        () -> tracker.pendingCount() + " wait, " + client.describeBlockedLinks(),
                        () -> tracker.pendingCount() == 0);
            }
            assertEquals(List.of(), tracker.findFaults(acceptedIds(env)));
            assertEquals(
                    5_005, tracker.outcomeCounts().get(DeliveryTracker.DeliveryOutcome.ACCEPTED));
            client.close();
            other.close();
            env.await("no links left", () -> backend.linkCount() == 0);
        }
    }

    /**
     * The links of the unresponsive backend wait with a bounded number of deliveries each; the
     * links of the other backend continue.
     */
    @Test
    void unresponsiveBackendBlocksOnlyItsOwnLinks() throws Exception {
        try (AmqpTestEnvironment env = new AmqpTestEnvironment(2, "  unsettled = 50\n");
                NettyTransport transport =
                        new NettyTransport(1, false, (context, fault) -> fault.printStackTrace())) {
            DeliveryTracker tracker = new DeliveryTracker();
            AmqpLoadClient client =
                    new AmqpLoadClient(
                            transport,
                            transport.loops().get(0),
                            env.amqpAddress(),
                            "slow",
                            40,
                            "session-check",
                            64,
                            tracker);
            env.await("attached", () -> client.attachedCount() == 40);
            FakeAmqpBackend slow = env.fleet().amqpBackends().get(0);
            FakeAmqpBackend other = env.fleet().amqpBackends().get(1);
            int slowLinks = slow.linkCount();
            assertTrue(
                    slowLinks > 0 && other.linkCount() > 0,
                    "links at both: " + slowLinks + " of 40");
            // The backend takes as many deliveries as its credit allows and sends no outcome.
            slow.setOutcomeDelay(Duration.ofSeconds(60));
            for (int i = 0; i < 40 * 500; i++) {
                client.scheduleDelivery(i % 40, "w" + i, System.nanoTime());
            }
            int otherDeliveries = (40 - slowLinks) * 500;
            env.await(
                    () ->
                            other.acceptedIds().size()
                                    + " of "
                                    + otherDeliveries
                                    + " at the other backend",
                    () -> other.acceptedIds().size() == otherDeliveries);
            env.await(
                    "the remaining deliveries wait at their sender",
                    () -> client.unsentCount() == slowLinks * 450);
            assertEquals(0, slow.acceptedIds().size());
            // The last outcomes of the other backend may still be on their way to the client.
            env.await(
                    () -> tracker.pendingCount() + " pending of " + slowLinks * 500,
                    () -> tracker.pendingCount() == slowLinks * 500);
        }
    }

    @Test
    void clientsWithTheSameLinkNameDoNotStealEachOthersLink() throws Exception {
        try (AmqpTestEnvironment env = new AmqpTestEnvironment(1, "");
                Client client = Client.create()) {
            List<Sender> senders = new ArrayList<>();
            for (int i = 0; i < 3; i++) {
                Connection connection =
                        client.connect(
                                env.amqpAddress().getHostString(), env.amqpAddress().getPort());
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
            assertEquals(0, env.fleet().amqpBackends().get(0).stolenLinkCount());
            assertEquals(9, acceptedIds(env).size());
        }
    }
}

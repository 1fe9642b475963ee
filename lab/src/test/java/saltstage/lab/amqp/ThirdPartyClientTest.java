package saltstage.lab.amqp;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.apache.qpid.protonj2.client.Client;
import org.apache.qpid.protonj2.client.ClientOptions;
import org.apache.qpid.protonj2.client.Connection;
import org.apache.qpid.protonj2.client.Delivery;
import org.apache.qpid.protonj2.client.DeliveryState;
import org.apache.qpid.protonj2.client.Message;
import org.apache.qpid.protonj2.client.Receiver;
import org.apache.qpid.protonj2.client.ReceiverOptions;
import org.apache.qpid.protonj2.client.Sender;
import org.apache.qpid.protonj2.client.Tracker;
import org.apache.qpid.protonj2.client.exceptions.ClientException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests that an unmodified third-party AMQP client works with the relay as with any server. */
@Timeout(120)
class ThirdPartyClientTest {

    private static Message<String> message(String id) throws ClientException {
        return Message.create("an event").messageId(id).property("id", id);
    }

    @Test
    void sendsReceivesAndGetsTheOutcomesOfBackends() throws Exception {
        try (AmqpTestEnvironment env = new AmqpTestEnvironment(3, "");
                Client client = Client.create(new ClientOptions().id("back-office"))) {
            Connection connection =
                    client.connect(env.amqpAddress().getHostString(), env.amqpAddress().getPort());
            connection.openFuture().get(20, TimeUnit.SECONDS);
            Sender sender = connection.openSender("status-report/station-7");
            sender.openFuture().get(20, TimeUnit.SECONDS);
            Set<String> sent = sendAndAwaitAcceptance(sender);
            List<String> accepted =
                    env.fleet().amqpBackends().stream()
                            .flatMap(backend -> backend.acceptedIds().stream())
                            .toList();
            assertEquals(500, accepted.size());
            assertEquals(sent, new HashSet<>(accepted));
            for (int i = 0; i < 3; i++) {
                env.runCommand("reject g" + i + " 100");
            }
            assertEquals(
                    DeliveryState.Type.REJECTED,
                    sender.send(message("bad"))
                            .awaitSettlement(20, TimeUnit.SECONDS)
                            .remoteState()
                            .getType());
            Receiver receiver = receiveInOrder(connection);
            env.await(
                    "ten accepted",
                    () ->
                            env.fleet().amqpBackends().stream()
                                            .mapToLong(
                                                    backend ->
                                                            backend.receivedOutcomeCounts()
                                                                    .getOrDefault("accepted", 0L))
                                            .sum()
                                    == 10);
            receiver.close();
            sender.close();
            connection.close();
            env.await(
                    "no links left",
                    () ->
                            env.fleet().amqpBackends().stream()
                                    .allMatch(backend -> backend.linkCount() == 0));
        }
    }

    private static Set<String> sendAndAwaitAcceptance(Sender sender) throws Exception {
        Set<String> sent = new HashSet<>();
        for (int i = 0; i < 500; i++) {
            Tracker tracker = sender.send(message("m" + i));
            sent.add("m" + i);
            assertEquals(
                    DeliveryState.Type.ACCEPTED,
                    tracker.awaitSettlement(20, TimeUnit.SECONDS).remoteState().getType());
        }
        return sent;
    }

    private static Receiver receiveInOrder(Connection connection) throws Exception {
        Receiver receiver =
                connection.openReceiver("session-check", new ReceiverOptions().creditWindow(4));
        for (int i = 0; i < 10; i++) {
            Delivery delivery = receiver.receive(20, TimeUnit.SECONDS);
            assertTrue(delivery.message().property("id").toString().endsWith(":" + i), "order");
        }
        return receiver;
    }

    @Test
    void unknownClassesAndUnsupportedFeaturesAreRejectedWithAnError() throws Exception {
        try (AmqpTestEnvironment env = new AmqpTestEnvironment(1, "");
                Client client = Client.create()) {
            Connection connection =
                    client.connect(env.amqpAddress().getHostString(), env.amqpAddress().getPort());
            ClientException unknown =
                    assertThrows(
                            ClientException.class,
                            () -> connection.openSender("no-such-class").send(message("x")));
            assertTrue(unknown.toString().contains("amqp:not-found"), unknown.toString());
            ExecutionException dynamic =
                    assertThrows(
                            ExecutionException.class,
                            () ->
                                    connection
                                            .openDynamicReceiver()
                                            .openFuture()
                                            .get(20, TimeUnit.SECONDS)
                                            .address());
            assertTrue(dynamic.toString().contains("amqp:not-implemented"), dynamic.toString());
        }
    }
}

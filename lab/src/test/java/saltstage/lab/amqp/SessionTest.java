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
class SessionTest {
    private static List<String> accepted(Stage stage) {
        return stage.fleet().amqp().stream().flatMap(g -> g.accepted().stream()).toList();
    }

    @Test
    void linksOfOneSessionShareOneAndAShutWindowKeepsNobody() throws Exception {
        try (Stage stage = new Stage(1, "");
            NettyTransport transport = new NettyTransport(1, false, (at, fault) -> fault.printStackTrace())) {
            AmqpGateway gateway = stage.fleet().amqp().get(0);
            gateway.window(32 << 10); // two frames
            Ledger ledger = new Ledger();
            LoadClient client = new LoadClient(transport, transport.loops().get(0), stage.amqp(), "shared",
                40, "session-check", 64, ledger);
            LoadClient other = new LoadClient(transport, transport.loops().get(0), stage.amqp(), "other",
                1, "session-check", 64, ledger);
            stage.await("attached", () -> client.attached() == 40 && other.attached() == 1);
            assertTrue(gateway.sessions() <= 4, "sessions: " + gateway.sessions());
            for (int round = 0; round < 5; round++) {
                for (int i = 0; i < 1_000; i++) {
                    client.due(i % 40, "s" + round + "-" + i, System.nanoTime());
                }
                other.due(0, "o" + round, System.nanoTime());
                stage.await(() -> ledger.waiting() + " wait, " + client.stuck(),
                    () -> ledger.waiting() == 0);
            }
            assertEquals(List.of(), ledger.faults(accepted(stage)));
            assertEquals(5_005, ledger.counts().get(Ledger.Told.ACCEPTED));
            client.end();
            other.end();
            stage.await("no links left", () -> gateway.links() == 0);
        }
    }

    /** Its own links wait, with a bounded number of deliveries each; those of the others go on as before. */
    @Test
    void aBackendThatReadsNothingHoldsUpItsOwnLinksAlone() throws Exception {
        try (Stage stage = new Stage(2, "  unsettled = 50\n");
            NettyTransport transport = new NettyTransport(1, false, (at, fault) -> fault.printStackTrace())) {
            Ledger ledger = new Ledger();
            LoadClient client = new LoadClient(transport, transport.loops().get(0), stage.amqp(), "slow", 40,
                "session-check", 64, ledger);
            stage.await("attached", () -> client.attached() == 40);
            AmqpGateway slow = stage.fleet().amqp().get(0);
            AmqpGateway other = stage.fleet().amqp().get(1);
            int stood = slow.links();
            assertTrue(stood > 0 && other.links() > 0, "links at both: " + stood + " of 40");
            slow.slow(Duration.ofSeconds(60)); // takes what its credit allows, and answers nothing
            for (int i = 0; i < 40 * 500; i++) {
                client.due(i % 40, "w" + i, System.nanoTime());
            }
            int neighbours = (40 - stood) * 500;
            stage.await(() -> other.accepted().size() + " of " + neighbours + " at the neighbour",
                () -> other.accepted().size() == neighbours);
            stage.await("all else waits at its sender", () -> client.unsent() == stood * 450);
            assertEquals(0, slow.accepted().size());
            assertEquals(stood * 500, ledger.waiting());
        }
    }

    @Test
    void clientsThatChooseTheSameLinkNameDoNotTakeEachOthersLink() throws Exception {
        try (Stage stage = new Stage(1, ""); Client client = Client.create()) {
            List<Sender> senders = new ArrayList<>();
            for (int i = 0; i < 3; i++) {
                Connection connection =
                    client.connect(stage.amqp().getHostString(), stage.amqp().getPort());
                senders.add(connection.openSender("status-report/one",
                    new SenderOptions().linkName("the-name-that-all-choose")));
            }
            for (int i = 0; i < 9; i++) {
                assertEquals(DeliveryState.Type.ACCEPTED, senders.get(i % 3)
                    .send(Message.create("x").property("id", "n" + i)).awaitSettlement(20, TimeUnit.SECONDS)
                    .remoteState().getType());
            }
            assertEquals(0, stage.fleet().amqp().get(0).stolen());
            assertEquals(9, accepted(stage).size());
        }
    }
}

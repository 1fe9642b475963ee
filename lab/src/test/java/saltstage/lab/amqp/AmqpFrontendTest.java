package saltstage.lab.amqp;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.apache.qpid.protonj2.client.Client;
import org.apache.qpid.protonj2.client.Connection;
import org.apache.qpid.protonj2.client.ConnectionOptions;
import org.apache.qpid.protonj2.client.DeliveryState;
import org.apache.qpid.protonj2.client.Message;
import org.apache.qpid.protonj2.client.OutputStreamOptions;
import org.apache.qpid.protonj2.client.StreamSender;
import org.apache.qpid.protonj2.client.StreamSenderMessage;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import saltstage.lab.fleet.SimulatedClients;
import saltstage.net.NettyTransport;

/**
 * Tests the AMQP frontend with malformed and flooding clients, limits, authentication, settings
 * reloads, large and aborted deliveries, and a shutdown under load while line clients are
 * connected.
 */
@Timeout(150)
class AmqpFrontendTest {
    private static final byte[] PROTOCOL_HEADER = {'A', 'M', 'Q', 'P', 0, 1, 0, 0};
    private static final byte[] EMPTY_FRAME = {0, 0, 0, 8, 2, 0, 0, 0};

    /** An open frame with the container id "x" (AMQP 1.0, 2.7.1). */
    private static final byte[] OPEN_FRAME = {
        0, 0, 0, 17, 2, 0, 0, 0, 0, 0x53, 0x10, (byte) 0xc0, 4, 1, (byte) 0xa1, 1, 'x'
    };

    private static String exchange(AmqpTestEnvironment env, byte[]... pieces) throws IOException {
        try (Socket socket =
                new Socket(env.amqpAddress().getAddress(), env.amqpAddress().getPort())) {
            socket.setSoTimeout(20_000);
            ByteArrayOutputStream received = new ByteArrayOutputStream();
            try {
                for (byte[] piece : pieces) {
                    socket.getOutputStream().write(piece);
                }
                InputStream in = socket.getInputStream();
                for (int b = in.read(); b >= 0; b = in.read()) {
                    received.write(b);
                }
            } catch (SocketTimeoutException timeout) {
                throw new AssertionError("the connection stays open", timeout);
            } catch (IOException connectionReset) { // a reset ends the connection as well
                return received.toString(StandardCharsets.ISO_8859_1);
            }
            return received.toString(StandardCharsets.ISO_8859_1);
        }
    }

    @Test
    void silentMalformedAndFloodingClientsAreDisconnected() throws Exception {
        try (AmqpTestEnvironment env =
                new AmqpTestEnvironment(1, "  open_within = \"500ms\"\n  frame = \"4KiB\"\n")) {
            exchange(env);
            exchange(env, PROTOCOL_HEADER); // the protocol header and nothing else
            exchange(
                    env, "GET / HTTP/1.1\r\nHost: x\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
            exchange(
                    env,
                    PROTOCOL_HEADER,
                    new byte[] {0, 0, 0, 1, 2, 0, 0, 0, 0}); // a frame size below the minimum of 8
            exchange(
                    env,
                    PROTOCOL_HEADER,
                    new byte[] {0x7f, 0, 0, 0, 2, 0, 0, 0}); // a frame size far above the maximum
            String flooded = exchange(env, PROTOCOL_HEADER, OPEN_FRAME, emptyFrames(1_000));
            assertTrue(flooded.contains("amqp:resource-limit-exceeded"), flooded);
            env.await("amqp.flood", () -> hasLogged(env, "amqp.flood"));
            assertTrue(hasLogged(env, "amqp.client.silent"));
            try (Client client = Client.create()) { // the relay still serves other clients
                Connection connection =
                        client.connect(
                                env.amqpAddress().getHostString(), env.amqpAddress().getPort());
                assertEquals(
                        DeliveryState.Type.ACCEPTED,
                        connection
                                .openSender("status-report")
                                .send(Message.create("x").messageId("after"))
                                .awaitSettlement(20, TimeUnit.SECONDS)
                                .remoteState()
                                .getType());
            }
        }
    }

    private static byte[] emptyFrames(int count) {
        byte[] all = new byte[count * EMPTY_FRAME.length];
        for (int i = 0; i < count; i++) {
            System.arraycopy(EMPTY_FRAME, 0, all, i * EMPTY_FRAME.length, EMPTY_FRAME.length);
        }
        return all;
    }

    private static boolean hasLogged(AmqpTestEnvironment env, String event) {
        try {
            return env.readLog().contains(event);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    @Test
    void connectionsAndLinksBeyondTheLimitAreRejected() throws Exception {
        try (AmqpTestEnvironment env =
                        new AmqpTestEnvironment(
                                1, "  connections = 2\n  links_per_connection = 1\n");
                Client client = Client.create()) {
            List<Connection> connections = new ArrayList<>();
            for (int i = 0; i < 2; i++) {
                connections.add(
                        client.connect(
                                env.amqpAddress().getHostString(), env.amqpAddress().getPort()));
                connections.get(i).openFuture().get(20, TimeUnit.SECONDS);
            }
            connections.get(0).openSender("status-report").openFuture().get(20, TimeUnit.SECONDS);
            Exception linkError =
                    assertThrows(
                            Exception.class,
                            () ->
                                    connections
                                            .get(0)
                                            .openSender("status-report")
                                            .send(Message.create("x"))
                                            .awaitSettlement(20, TimeUnit.SECONDS));
            assertTrue(
                    linkError.toString().contains("amqp:resource-limit-exceeded"),
                    linkError.toString());
            Exception connectionError =
                    assertThrows(
                            Exception.class,
                            () ->
                                    client.connect(
                                                    env.amqpAddress().getHostString(),
                                                    env.amqpAddress().getPort())
                                            .openSender("status-report")
                                            .openFuture()
                                            .get(20, TimeUnit.SECONDS));
            assertTrue(
                    connectionError.toString().contains("amqp:resource-limit-exceeded"),
                    connectionError.toString());
        }
    }

    @Test
    void usersMustAuthenticateWithTheirSecret() throws Exception {
        Path secrets = Files.createTempFile("saltstage", "secrets");
        Files.writeString(secrets, "# users\ndosan-power:right\n");
        try (AmqpTestEnvironment env =
                        new AmqpTestEnvironment(1, "  secrets = \"" + secrets + "\"\n");
                Client client = Client.create()) {
            Connection authenticated =
                    client.connect(
                            env.amqpAddress().getHostString(),
                            env.amqpAddress().getPort(),
                            new ConnectionOptions().user("dosan-power").password("right"));
            assertEquals(
                    DeliveryState.Type.ACCEPTED,
                    authenticated
                            .openSender("session-check")
                            .send(Message.create("x").messageId("m"))
                            .awaitSettlement(20, TimeUnit.SECONDS)
                            .remoteState()
                            .getType());
            for (String[] wrong :
                    new String[][] {
                        {"dosan-power", "wrong"},
                        {"nobody", "right"},
                        {"nobody", "nobody has this one"}
                    }) {
                ConnectionOptions options =
                        new ConnectionOptions().user(wrong[0]).password(wrong[1]);
                options.saslOptions().addAllowedMechanism("PLAIN");
                options.reconnectEnabled(false);
                assertThrows(
                        ExecutionException.class,
                        () ->
                                client.connect(
                                                env.amqpAddress().getHostString(),
                                                env.amqpAddress().getPort(),
                                                options)
                                        .openFuture()
                                        .get(20, TimeUnit.SECONDS),
                        wrong[0]);
            }
            env.await("amqp.login.failed", () -> hasLogged(env, "amqp.login.failed"));
        } finally {
            Files.delete(secrets);
        }
    }

    private static boolean canSend(Client client, AmqpTestEnvironment env, String secret)
            throws Exception {
        ConnectionOptions options = new ConnectionOptions().user("dosan-power").password(secret);
        options.saslOptions().addAllowedMechanism("PLAIN");
        options.reconnectEnabled(false);
        Connection connection =
                client.connect(
                        env.amqpAddress().getHostString(), env.amqpAddress().getPort(), options);
        try {
            connection.openFuture().get(20, TimeUnit.SECONDS);
            connection
                    .openSender("session-check")
                    .send(Message.create("x"))
                    .awaitSettlement(20, TimeUnit.SECONDS);
            return true;
        } catch (Exception rejected) {
            return false;
        }
    }

    private static long countLogLines(AmqpTestEnvironment env, String text) {
        try {
            return env.readLog().lines().filter(line -> line.contains(text)).count();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    @Test
    void sighupAppliesNewLimitsAndSecretsAndRejectsInvalidOnesCompletely() throws Exception {
        Path secrets = Files.createTempFile("saltstage", "secrets");
        Files.writeString(secrets, "dosan-power:first\n");
        String access = "  secrets = \"" + secrets + "\"\n";
        try (AmqpTestEnvironment env = new AmqpTestEnvironment(1, access + "  connections = 1\n");
                Client client = Client.create()) {
            assertTrue(canSend(client, env, "first"));
            assertFalse(canSend(client, env, "first"), "only one connection is allowed");
            Files.writeString(secrets, "dosan-power:second\n");
            env.reloadSettings(access + "  connections = 20\n");
            env.await("reload.done", () -> countLogLines(env, "reload.done") == 1);
            assertTrue(canSend(client, env, "second"));
            assertFalse(canSend(client, env, "first"));
            Files.writeString(secrets, "no colon\n");
            env.reloadSettings(access + "  connections = 1\n");
            env.await("reload.refused", () -> countLogLines(env, "reload.refused") == 1);
            assertTrue(
                    canSend(client, env, "second"), "a rejected reload must not change anything");
            Files.writeString(secrets, "dosan-power:second\n");
            env.reloadSettings(access + "  connections = 20\n  loops = 2\n");
            env.await(
                    "the log names the setting that needs a restart",
                    () -> countLogLines(env, "amqp.loops") == 1);
            assertTrue(canSend(client, env, "second"));
        } finally {
            Files.delete(secrets);
        }
    }

    @Test
    void largeDeliveryIsForwardedAndAnAbortedOneIsNotDelivered() throws Exception {
        try (AmqpTestEnvironment env = new AmqpTestEnvironment(2, "  link_bytes = \"128KiB\"\n");
                Client client = Client.create()) {
            Connection connection =
                    client.connect(env.amqpAddress().getHostString(), env.amqpAddress().getPort());
            StreamSender sender = connection.openStreamSender("status-report");
            startDelivery(sender, "large", 12 << 20).close();
            env.await("accepted", () -> acceptedIds(env).contains("large"));
            OutputStream half = startDelivery(sender, "half", 1 << 20);
            half.flush();
            connection.close();
            env.await(
                    "no links",
                    () ->
                            env.fleet().amqpBackends().stream()
                                    .allMatch(backend -> backend.linkCount() == 0));
            assertEquals(List.of("large"), acceptedIds(env));
        }
    }

    private static OutputStream startDelivery(StreamSender sender, String id, int bytes)
            throws Exception {
        StreamSenderMessage message = sender.beginMessage();
        message.property("id", id);
        OutputStream out = message.body(new OutputStreamOptions());
        byte[] piece = new byte[64 << 10];
        for (int written = 0; written < bytes; written += piece.length) {
            out.write(piece);
        }
        return out;
    }

    private static List<String> acceptedIds(AmqpTestEnvironment env) {
        return env.fleet().amqpBackends().stream()
                .flatMap(backend -> backend.acceptedIds().stream())
                .toList();
    }

    private static SimulatedClients startLineClients(AmqpTestEnvironment env) {
        String[] address = env.fleet().listenAddress().split(":");
        return new SimulatedClients(
                new InetSocketAddress(address[0], Integer.parseInt(address[1])),
                50,
                Duration.ofMillis(200),
                Duration.ofSeconds(30));
    }

    private static void sendDeliveries(AmqpLoadClient client) throws InterruptedException {
        for (int i = 0; i < 2_000; i++) {
            client.scheduleDelivery(i % 20, "l" + i, System.nanoTime());
            if (i % 20 == 0) {
                Thread.sleep(2);
            }
        }
    }

    @Test
    void relayThatShutsDownDetachesItsLinksAndLosesNoDelivery() throws Exception {
        try (AmqpTestEnvironment env = new AmqpTestEnvironment(3, "");
                NettyTransport transport =
                        new NettyTransport(1, false, (context, fault) -> fault.printStackTrace())) {
            SimulatedClients lineClients = startLineClients(env);
            DeliveryTracker tracker = new DeliveryTracker();
            AmqpLoadClient client =
                    new AmqpLoadClient(
                            transport,
                            transport.loops().get(0),
                            env.amqpAddress(),
                            "leave",
                            20,
                            "session-check",
                            64,
                            tracker);
            env.await("attached", () -> client.attachedCount() == 20);
            env.await(
                    "line clients established",
                    () ->
                            env.fleet().backends().stream()
                                            .mapToInt(backend -> backend.establishedCount())
                                            .sum()
                                    >= 45);
            sendDeliveries(client);
            env.await("answered", () -> tracker.pendingCount() == 0);
            assertEquals(List.of(), tracker.findFaults(acceptedIds(env)));
            assertEquals(
                    2_000, tracker.outcomeCounts().get(DeliveryTracker.DeliveryOutcome.ACCEPTED));
            assertEquals(0, lineClients.brokenCount());
            env.relay().destroy();
            assertTrue(
                    env.relay().waitFor(10, TimeUnit.SECONDS),
                    "the relay did not shut down within 10 s");
            lineClients.stop();
            assertEquals(
                    20,
                    client.detachCounts().getOrDefault("amqp:link:detach-forced", 0L).intValue(),
                    client.detachCounts().toString());
        }
    }
}

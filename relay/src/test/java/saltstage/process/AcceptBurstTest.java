package saltstage.process;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.junit.Test;

/**
 * Guards against connections that are lost in a burst: after a start all clients that were
 * connected before return at once, while threads start slowly.
 */
public class AcceptBurstTest {
    private static final int CLIENTS = 1_500;
    private static final int THREAD_START_MICROS = 2_000;
    private static final int MAX_DESCRIPTORS = 1_200;

    /** The kernel sends a SYN that a full listen queue has dropped again after a second. */
    private static final int CONNECTED_WITHIN_MS = 1_000;

    private static final int UP_WITHIN_MS = 40_000;

    /** One client of the burst. */
    private static final class Client {
        private final int number;
        private final ByteBuffer received = ByteBuffer.allocate(64);

        Client(int number) {
            this.number = number;
        }

        byte[] request() {
            return ("OPEN id"
                            + number
                            + " 7f3a9c21e0b4d655 c=chat,t=acme,d="
                            + UP_WITHIN_MS
                            + ",at="
                            + FakeBackendFleet.uid(number % 20)
                            + "\r\n")
                    .getBytes(StandardCharsets.US_ASCII);
        }

        /** Returns the first word of the answer, or how the connection ended. */
        String read(SocketChannel channel) {
            try {
                return channel.read(received) < 0
                        ? "end"
                        : new String(
                                        received.array(),
                                        0,
                                        received.position(),
                                        StandardCharsets.US_ASCII)
                                .split("[ \r]")[0];
            } catch (java.io.IOException reset) {
                return "reset";
            }
        }
    }

    private final Map<String, Integer> answers = new TreeMap<>();
    private int connected;
    private int answered;

    @Test
    public void listenQueueAbsorbsABurstFasterThanThreadsStart() throws Exception {
        try (RelayTestEnvironment environment = new RelayTestEnvironment();
                FakeBackendFleet fleet = new FakeBackendFleet(20);
                Selector selector = Selector.open()) {
            environment.platformLimits =
                    new PlatformLimits()
                            .threadStartDelayMicros(THREAD_START_MICROS)
                            .maxDescriptors(MAX_DESCRIPTORS);
            environment.startWith(environment.config(MAX_DESCRIPTORS, fleet.list(1)));
            long start = System.nanoTime();
            for (int i = 0; i < CLIENTS; i++) {
                SocketChannel channel = SocketChannel.open();
                channel.configureBlocking(false);
                channel.register(selector, SelectionKey.OP_CONNECT, new Client(i));
                channel.connect(new InetSocketAddress("127.0.0.1", environment.clientPort()));
            }
            long connectedBy = start + TimeUnit.MILLISECONDS.toNanos(CONNECTED_WITHIN_MS);
            while (connected < CLIENTS && System.nanoTime() < connectedBy) {
                serve(selector);
            }
            assertEquals("connected without a retransmitted SYN", CLIENTS, connected);
            long answeredBy = start + TimeUnit.MILLISECONDS.toNanos(UP_WITHIN_MS);
            while (answered < CLIENTS && System.nanoTime() < answeredBy) {
                serve(selector);
            }
            System.out.println("answers to a burst: " + answers);
            assertEquals("answered: " + answers, CLIENTS, answered);
            assertEquals(
                    "each request is established or rejected",
                    CLIENTS,
                    answers.getOrDefault("UP", 0) + answers.getOrDefault("BUSY", 0));
            assertTrue(answers.containsKey("UP"));
        }
    }

    private void serve(Selector selector) throws Exception {
        selector.select(10);
        for (SelectionKey key : selector.selectedKeys()) {
            SocketChannel channel = (SocketChannel) key.channel();
            Client client = (Client) key.attachment();
            if (key.isConnectable()) {
                channel.finishConnect();
                connected++;
                channel.write(ByteBuffer.wrap(client.request()));
                key.interestOps(SelectionKey.OP_READ);
            } else {
                answered++;
                answers.merge(client.read(channel), 1, Integer::sum);
                key.interestOps(0);
            }
        }
        selector.selectedKeys().clear();
    }
}

package saltstage.lab.amqp;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Attaches that are larger than what a backend's connection can take when they are sent. Guards
 * against one client's attach that ends the connection which all clients share.
 */
@Timeout(120)
class LargeAttachTest {
    private static final int SMALL_FRAME_BYTES = 1_024;
    private static final int READ_TIMEOUT_MS = 20_000;

    private static RawAmqpClient attach(AmqpTestEnvironment env, String name, int properties)
            throws IOException {
        RawAmqpClient client = new RawAmqpClient(env.amqpAddress(), name);
        client.setReadTimeout(READ_TIMEOUT_MS);
        client.readProtocolHeader();
        client.write(RawAmqpClient.attachSender(name, 0, "status-report", properties));
        return client;
    }

    /** Returns the next frame that is one of these two. */
    private static RawAmqpClient.ReceivedFrame await(RawAmqpClient client, int one, int other)
            throws IOException {
        RawAmqpClient.ReceivedFrame frame = client.readFrame();
        while (frame.performative() != one && frame.performative() != other) {
            frame = client.readFrame();
        }
        return frame;
    }

    @Test
    void firstAttachOnANewConnectionMayBeLargerThanTheSmallestFrame() throws Exception {
        try (AmqpTestEnvironment env = new AmqpTestEnvironment(1, "");
                RawAmqpClient client = attach(env, "large", 1_000)) {
            assertEquals(
                    RawAmqpClient.FLOW,
                    await(client, RawAmqpClient.FLOW, RawAmqpClient.DETACH).performative());
            assertFalse(env.readLog().contains("amqp.backend.lost"), env.readLog());
        }
    }

    @Test
    void attachThatExceedsTheBackendsFramesIsRejectedAndOtherLinksStay() throws Exception {
        try (AmqpTestEnvironment env = new AmqpTestEnvironment(1, "")) {
            env.fleet().amqpBackends().get(0).setMaxFrameBytes(SMALL_FRAME_BYTES);
            try (RawAmqpClient other = attach(env, "other", 0)) {
                await(other, RawAmqpClient.FLOW, RawAmqpClient.DETACH);
                try (RawAmqpClient large = attach(env, "large", 200)) {
                    RawAmqpClient.ReceivedFrame answer =
                            await(large, RawAmqpClient.FLOW, RawAmqpClient.DETACH);
                    assertEquals(RawAmqpClient.DETACH, answer.performative());
                    assertTrue(
                            answer.text().contains("amqp:resource-limit-exceeded"), answer.text());
                }
                other.write(RawAmqpClient.transfer(0, 0, false, MessageCodec.encode("after", 8)));
                await(other, RawAmqpClient.DISPOSITION, RawAmqpClient.DETACH);
                assertTrue(env.readLog().contains("amqp.attach.large"), env.readLog());
                assertFalse(env.readLog().contains("amqp.backend.lost"), env.readLog());
            }
        }
    }
}

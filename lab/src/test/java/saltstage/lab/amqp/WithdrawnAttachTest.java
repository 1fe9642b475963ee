package saltstage.lab.amqp;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * A client that detaches before its attach was answered. Guards against links that the relay keeps
 * for as long as the session lasts because it answers neither frame.
 */
@Timeout(120)
class WithdrawnAttachTest {
    private static final int LINKS = 100;
    private static final int READ_TIMEOUT_MS = 5_000;

    @Test
    void attachAndDetachAreAnsweredAndTheHandleIsFree() throws Exception {
        try (AmqpTestEnvironment env = new AmqpTestEnvironment(1, "");
                RawAmqpClient client = new RawAmqpClient(env.amqpAddress(), "x")) {
            client.setReadTimeout(READ_TIMEOUT_MS);
            client.readProtocolHeader();
            ByteArrayOutputStream frames = new ByteArrayOutputStream();
            for (int i = 0; i < LINKS; i++) {
                frames.writeBytes(RawAmqpClient.attachSender("l" + i, 0, "status-report", 0));
                frames.writeBytes(RawAmqpClient.detach(0));
            }
            client.write(frames.toByteArray());
            List<Integer> answers = new ArrayList<>();
            List<Integer> expected = new ArrayList<>();
            for (int i = 0; i < LINKS; i++) {
                expected.add(RawAmqpClient.ATTACH);
                expected.add(RawAmqpClient.DETACH);
            }
            while (answers.size() < expected.size()) {

                int performative = client.readFrame().performative();
                if (performative == RawAmqpClient.ATTACH || performative == RawAmqpClient.DETACH) {
                    answers.add(performative);
                }
            }
            assertEquals(expected, answers);
        }
    }
}

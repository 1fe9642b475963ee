package saltstage.lab.amqp;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/**
 * A well-behaved AMQP client beside others: attaches, sends one delivery, awaits its outcome and
 * leaves, again and again, and measures how long that takes. A refusal with a reason counts as an
 * answer but not as service.
 */
final class AnswerTimeProbe implements AutoCloseable {
    private static final long PAUSE_MS = 50;
    private static final int MESSAGE_BYTES = 64;

    private final InetSocketAddress address;
    private final int timeoutMs;
    private final Thread thread = new Thread(this::run, "probe");
    private final List<String> unanswered = new ArrayList<>();
    private Duration slowest = Duration.ZERO;
    private int served;
    private final List<String> refusals = new ArrayList<>();
    private String lastRefusal = "";
    private volatile boolean ended;

    /** Starts the probe; an answer that takes longer than the timeout counts as none. */
    AnswerTimeProbe(InetSocketAddress address, Duration timeout) {
        this.address = address;
        timeoutMs = (int) timeout.toMillis();
        thread.setDaemon(true);
        thread.start();
    }

    private void run() {
        for (int i = 0; !ended; i++) {
            long start = System.nanoTime();
            String failure = null;
            boolean accepted = false;
            try {
                accepted = sendOneDelivery("probe-" + i);
            } catch (IOException noAnswer) {
                failure = "probe " + i + ": " + noAnswer;
            }
            record(Duration.ofNanos(System.nanoTime() - start), accepted, failure);
            try {
                Thread.sleep(PAUSE_MS);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private synchronized void record(Duration took, boolean accepted, String failure) {
        if (failure != null) {
            unanswered.add(failure + " after " + took.toMillis() + " ms");
        } else if (accepted) {
            served++;
        } else {
            refusals.add(lastRefusal);
        }
        slowest = took.compareTo(slowest) > 0 ? took : slowest;
    }

    /** Returns true if the delivery got an outcome, false if the relay refused with a reason. */
    private boolean sendOneDelivery(String id) throws IOException {
        try (RawAmqpClient client = new RawAmqpClient(address, id)) {
            client.setReadTimeout(timeoutMs);
            client.write(RawAmqpClient.attachSender(id, 0, "status-report", 0));
            client.readProtocolHeader();
            while (true) {
                RawAmqpClient.ReceivedFrame frame = client.readFrame();
                if (frame.performative() == RawAmqpClient.FLOW) {
                    break;
                }
                if (isRefusal(frame)) {
                    return false;
                }
            }
            client.write(
                    RawAmqpClient.transfer(0, 0, false, MessageCodec.encode(id, MESSAGE_BYTES)));
            while (true) {
                RawAmqpClient.ReceivedFrame frame = client.readFrame();
                if (frame.performative() == RawAmqpClient.DISPOSITION) {
                    return true;
                }
                if (isRefusal(frame)) {
                    return false;
                }
            }
        }
    }

    private boolean isRefusal(RawAmqpClient.ReceivedFrame frame) {
        lastRefusal = frame.text().replaceAll("[^ -~]+", " ");
        return frame.performative() == RawAmqpClient.DETACH
                || frame.performative() == RawAmqpClient.CLOSE;
    }

    /** The exchanges that got no answer in time or lost their connection, with the reasons. */
    synchronized List<String> unanswered() {
        return List.copyOf(unanswered);
    }

    /** The number of deliveries that got an outcome. */
    synchronized int served() {
        return served;
    }

    /** The number of exchanges that the relay refused with a reason. */
    synchronized int refused() {
        return refusals.size();
    }

    /** The frames with which the relay refused. */
    synchronized List<String> refusals() {
        return List.copyOf(refusals);
    }

    synchronized Duration slowest() {
        return slowest;
    }

    @Override
    public void close() throws InterruptedException {
        ended = true;
        thread.join(2L * timeoutMs);
    }
}

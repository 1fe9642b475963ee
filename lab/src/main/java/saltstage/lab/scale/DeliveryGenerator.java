package saltstage.lab.scale;

import java.io.IOException;
import org.HdrHistogram.Histogram;

/** Makes backends deliver lines at a steady rate to established clients in turn. */
final class DeliveryGenerator {
    private static final double LAST_ARRIVALS_WAIT_SECONDS = 0.5;
    private static final long STEP_NANOS = 1_000_000;

    /**
     * The result of a series of deliveries.
     *
     * @param delivered lines that reached their client
     * @param processorSeconds processor time that the relay used meanwhile
     * @param p50Ms median time from the backend's write to the client's read
     * @param p99Ms 99th percentile of the same time
     */
    record Result(long delivered, double processorSeconds, double p50Ms, double p99Ms) {}

    private final FakeLineBackends backends;
    private final LineClients clients;
    private long nextClient;

    DeliveryGenerator(FakeLineBackends backends, LineClients clients) {
        this.backends = backends;
        this.clients = clients;
    }

    Result run(RelayProcess relay, int perSecond, double seconds)
            throws IOException, InterruptedException {
        clients.takeDeliveryMicros();
        double processorSecondsBefore = relay.statistics().processorSeconds();
        long startNanos = System.nanoTime();
        long endNanos = startNanos + (long) (seconds * 1e9);
        long sent = 0;
        for (long now = startNanos; now < endNanos; now = System.nanoTime()) {
            long due = (long) ((now - startNanos) / 1e9 * perSecond);
            for (; sent < due; sent++) {
                backends.deliver(nextClient++);
            }
            Thread.sleep(STEP_NANOS / 1_000_000);
        }
        ScaleRun.sleepSeconds(LAST_ARRIVALS_WAIT_SECONDS);
        double processorSeconds = relay.statistics().processorSeconds() - processorSecondsBefore;
        Histogram deliveryMicros = clients.takeDeliveryMicros();
        return new Result(
                deliveryMicros.getTotalCount(),
                processorSeconds,
                deliveryMicros.getValueAtPercentile(50) / 1e3,
                deliveryMicros.getValueAtPercentile(99) / 1e3);
    }
}

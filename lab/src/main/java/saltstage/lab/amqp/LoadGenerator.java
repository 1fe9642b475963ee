package saltstage.lab.amqp;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.HdrHistogram.Histogram;
import saltstage.net.NettyTransport;

/**
 * Sends deliveries or lines at a fixed rate; the latency of each counts from the time at which it
 * was due.
 */
final class LoadGenerator implements AutoCloseable {
    private static final int LINKS_PER_CONNECTION = 250;
    private static final int MESSAGE_BYTES = 128;
    private static final long SETTLE_TIMEOUT_SECONDS = 20;

    private final NettyTransport transport =
            new NettyTransport(
                    2,
                    true,
                    (context, fault) -> System.err.println("fault in " + context + ": " + fault));
    private final List<AmqpLoadClient> amqpClients = new ArrayList<>();
    private final List<LineLoadClient> lineClients = new ArrayList<>();
    private final int linkCount;
    private final String name;
    private final DeliveryTracker deliveryTracker = new DeliveryTracker();
    private long nextDeliveryNumber;

    /**
     * Opens this many links or line connections, spread over the targets, and waits until all are
     * attached.
     */
    LoadGenerator(boolean speaksAmqp, List<InetSocketAddress> targets, int linkCount, String name)
            throws InterruptedException {
        this.linkCount = linkCount;
        this.name = name;
        if (speaksAmqp) {
            int connections =
                    Math.max(
                            targets.size(),
                            (linkCount + LINKS_PER_CONNECTION - 1) / LINKS_PER_CONNECTION);
            connections = Math.min(linkCount, connections);
            for (int i = 0; i < connections; i++) {
                int clientLinks = linkCount / connections + (i < linkCount % connections ? 1 : 0);
                amqpClients.add(
                        new AmqpLoadClient(
                                transport,
                                transport.loops().get(i % 2),
                                targets.get(i % targets.size()),
                                name + i,
                                clientLinks,
                                "status-report",
                                MESSAGE_BYTES,
                                deliveryTracker));
            }
        } else {
            for (int i = 0; i < linkCount; i++) {
                lineClients.add(
                        new LineLoadClient(
                                transport,
                                transport.loops().get(i % 2),
                                targets.get(i % targets.size()),
                                name + i,
                                deliveryTracker));
            }
        }
        await(() -> attachedCount() == linkCount, "all of " + linkCount + " attached");
    }

    private static void await(BooleanSupplier condition, String description)
            throws InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(60);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > deadlineNanos) {
                throw new IllegalStateException("timed out after 60 s: " + description);
            }
            Thread.sleep(5);
        }
    }

    int attachedCount() {
        return amqpClients.stream().mapToInt(AmqpLoadClient::attachedCount).sum()
                + (int) lineClients.stream().filter(LineLoadClient::isEstablished).count();
    }

    DeliveryTracker deliveryTracker() {
        return deliveryTracker;
    }

    Map<String, Long> detachCounts() {
        Map<String, Long> counts = new TreeMap<>();
        amqpClients.forEach(
                client ->
                        client.detachCounts()
                                .forEach(
                                        (condition, count) ->
                                                counts.merge(condition, count, Long::sum)));
        return counts;
    }

    /**
     * Sends at this rate per second for the given time, then waits for the outcomes.
     *
     * @param progress whether to print a line of counts every second
     */
    void run(double rate, double seconds, boolean progress) throws InterruptedException {
        long start = System.nanoTime();
        long deliveryCount = (long) (rate * seconds);
        long lastShownSecond = 0;
        for (long i = 0; i < deliveryCount; i++) {
            long dueNanos = start + (long) (i * 1e9 / rate);
            long waitNanos = dueNanos - System.nanoTime();
            if (waitNanos > 100_000) {
                Thread.sleep(waitNanos / 1_000_000, (int) (waitNanos % 1_000_000));
            }
            send((int) (i % linkCount), dueNanos);
            long second = (dueNanos - start) / 1_000_000_000L;
            if (progress && second > lastShownSecond) {
                lastShownSecond = second;
                System.out.println(
                        second
                                + " s: sent "
                                + deliveryTracker.sentCount()
                                + ", waiting "
                                + deliveryTracker.pendingCount()
                                + ", links "
                                + attachedCount());
            }
        }
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(SETTLE_TIMEOUT_SECONDS);
        while (deliveryTracker.pendingCount() > 0 && System.nanoTime() < deadlineNanos) {
            Thread.sleep(10);
        }
    }

    private void send(int link, long dueNanos) {
        String id = name + "-" + nextDeliveryNumber++;
        if (lineClients.isEmpty()) {
            AmqpLoadClient client = amqpClients.get(link % amqpClients.size());
            client.scheduleDelivery(link / amqpClients.size() % client.linkCount(), id, dueNanos);
        } else {
            lineClients.get(link).scheduleLine(id, dueNanos);
        }
    }

    /** Returns latency percentiles in milliseconds, by names such as {@code p99.9}. */
    Map<String, Object> latencyPercentilesMillis() {
        Histogram latencies = deliveryTracker.latencies();
        Map<String, Object> percentiles = new TreeMap<>();
        for (double percentile : new double[] {50, 90, 99, 99.9, 100}) {
            percentiles.put(
                    "p"
                            + (percentile == Math.rint(percentile)
                                    ? String.valueOf((int) percentile)
                                    : String.valueOf(percentile)),
                    latencies.getValueAtPercentile(percentile) / 1e6);
        }
        return percentiles;
    }

    @Override
    public void close() {
        amqpClients.forEach(AmqpLoadClient::close);
        lineClients.forEach(LineLoadClient::close);
        transport.close();
    }
}

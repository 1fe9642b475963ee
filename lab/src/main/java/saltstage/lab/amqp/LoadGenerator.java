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

/** A load of deliveries or lines at a rate, each measured from when it was due. */
final class LoadGenerator implements AutoCloseable {
    private static final int LINKS_PER_CONNECTION = 250;
    private static final int MESSAGE_BYTES = 128;
    private static final long SETTLE_TIMEOUT_SECONDS = 20;

    private final NettyTransport transport =
            new NettyTransport(
                    2,
                    true,
                    (where, fault) -> System.err.println("fault in " + where + ": " + fault));
    private final List<AmqpLoadClient> amqpClients = new ArrayList<>();
    private final List<LineLoadClient> lineClients = new ArrayList<>();
    private final int linkCount;
    private final String name;
    private final DeliveryTracker deliveryTracker = new DeliveryTracker();
    private long nextDeliveryNumber;

    /** So many links or line connections, spread over these addresses; returns once they stand. */
    LoadGenerator(boolean speaksAmqp, List<InetSocketAddress> to, int links, String name)
            throws InterruptedException {
        this.linkCount = links;
        this.name = name;
        if (speaksAmqp) {
            int connections =
                    Math.max(to.size(), (links + LINKS_PER_CONNECTION - 1) / LINKS_PER_CONNECTION);
            connections = Math.min(links, connections);
            for (int i = 0; i < connections; i++) {
                int count = links / connections + (i < links % connections ? 1 : 0);
                amqpClients.add(
                        new AmqpLoadClient(
                                transport,
                                transport.loops().get(i % 2),
                                to.get(i % to.size()),
                                name + i,
                                count,
                                "status-report",
                                MESSAGE_BYTES,
                                deliveryTracker));
            }
        } else {
            for (int i = 0; i < links; i++) {
                lineClients.add(
                        new LineLoadClient(
                                transport,
                                transport.loops().get(i % 2),
                                to.get(i % to.size()),
                                name + i,
                                deliveryTracker));
            }
        }
        await(() -> attachedCount() == links, "all of " + links + " attached");
    }

    private static void await(BooleanSupplier holds, String what) throws InterruptedException {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(60);
        while (!holds.getAsBoolean()) {
            if (System.nanoTime() > until) {
                throw new IllegalStateException("not within 60 s: " + what);
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
        Map<String, Long> all = new TreeMap<>();
        amqpClients.forEach(
                one ->
                        one.detachCounts()
                                .forEach((what, count) -> all.merge(what, count, Long::sum)));
        return all;
    }

    /**
     * Sends at this rate for so long, then waits for the outcomes; shows a line a second where
     * asked to.
     */
    void run(double rate, double seconds, boolean progress) throws InterruptedException {
        long start = System.nanoTime();
        long all = (long) (rate * seconds);
        long shown = 0;
        for (long i = 0; i < all; i++) {
            long due = start + (long) (i * 1e9 / rate);
            long wait = due - System.nanoTime();
            if (wait > 100_000) {
                Thread.sleep(wait / 1_000_000, (int) (wait % 1_000_000));
            }
            send((int) (i % linkCount), due);
            long second = (due - start) / 1_000_000_000L;
            if (progress && second > shown) {
                shown = second;
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
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(SETTLE_TIMEOUT_SECONDS);
        while (deliveryTracker.pendingCount() > 0 && System.nanoTime() < until) {
            Thread.sleep(10);
        }
    }

    private void send(int link, long due) {
        String id = name + "-" + nextDeliveryNumber++;
        if (lineClients.isEmpty()) {
            AmqpLoadClient client = amqpClients.get(link % amqpClients.size());
            client.scheduleDelivery(link / amqpClients.size() % client.linkCount(), id, due);
        } else {
            lineClients.get(link).scheduleLine(id, due);
        }
    }

    /** Percentiles in milliseconds. */
    Map<String, Object> latencyPercentilesMillis() {
        Histogram times = deliveryTracker.latencies();
        Map<String, Object> all = new TreeMap<>();
        for (double percentile : new double[] {50, 90, 99, 99.9, 100}) {
            all.put(
                    "p"
                            + (percentile == Math.rint(percentile)
                                    ? String.valueOf((int) percentile)
                                    : String.valueOf(percentile)),
                    times.getValueAtPercentile(percentile) / 1e6);
        }
        return all;
    }

    @Override
    public void close() {
        amqpClients.forEach(AmqpLoadClient::close);
        lineClients.forEach(LineLoadClient::close);
        transport.close();
    }
}

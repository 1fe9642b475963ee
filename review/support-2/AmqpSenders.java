import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import saltstage.lab.amqp.AmqpLoadClient;
import saltstage.lab.amqp.DeliveryTracker;
import saltstage.net.NettyTransport;

/**
 * Back offices that send deliveries over AMQP at a fixed rate, with the project's own client: ADDRESS
 * CONNECTIONS LINKS_PER_CONNECTION BYTES RATE SECONDS SETTLE_SECONDS. The last lines say what became of the
 * deliveries. A delivery counts as unanswered if it was sent and its link or connection ended without an outcome.
 */
public final class AmqpSenders {
    private AmqpSenders() {}

    public static void main(String[] args) throws Exception {
        InetSocketAddress relay = StandIn.address(args[0]);
        int connections = Integer.parseInt(args[1]);
        int links = Integer.parseInt(args[2]);
        int bytes = Integer.parseInt(args[3]);
        double rate = Double.parseDouble(args[4]);
        int seconds = Integer.parseInt(args[5]);
        int settleSeconds = Integer.parseInt(args[6]);
        NettyTransport transport =
                new NettyTransport(
                        2, true, (context, fault) -> System.out.println("fault " + context + " " + fault));
        DeliveryTracker tracker = new DeliveryTracker();
        List<AmqpLoadClient> clients = new ArrayList<>();
        for (int i = 0; i < connections; i++) {
            clients.add(
                    new AmqpLoadClient(
                            transport,
                            transport.loops().get(i % 2),
                            relay,
                            "office" + i,
                            links,
                            "status-report",
                            bytes,
                            tracker));
        }
        long attachDeadline = System.nanoTime() + 20_000_000_000L;
        while (attached(clients) < connections * links) {
            if (System.nanoTime() > attachDeadline) {
                System.out.println("cannot attach " + connections * links + " links");
                System.exit(2);
            }
            Thread.sleep(20);
        }
        System.out.println("attached");
        long start = System.nanoTime();
        long count = (long) (rate * seconds);
        long shown = -1;
        for (long i = 0; i < count; i++) {
            long due = start + (long) (i * 1e9 / rate);
            long wait = due - System.nanoTime();
            if (wait > 100_000) {
                Thread.sleep(wait / 1_000_000, (int) (wait % 1_000_000));
            }
            AmqpLoadClient client = clients.get((int) (i % connections));
            client.scheduleDelivery((int) (i / connections % links), "d-" + i, due);
            long second = (due - start) / 1_000_000_000L;
            if (second > shown) {
                shown = second;
                show(second, tracker, clients);
            }
        }
        long end = System.nanoTime() + settleSeconds * 1_000_000_000L;
        while (tracker.pendingCount() > 0 && System.nanoTime() < end) {
            Thread.sleep(20);
        }
        show(seconds + settleSeconds, tracker, clients);
        Map<String, Long> ends = new TreeMap<>();
        for (AmqpLoadClient client : clients) {
            client.detachCounts().forEach((why, times) -> ends.merge(why, times, Long::sum));
        }
        System.out.println("ends of links and connections: " + ends);
        Map<DeliveryTracker.DeliveryOutcome, Long> outcomes = tracker.outcomeCounts();
        System.out.println("outcomes: " + outcomes);
        System.out.println(
                "unanswered "
                        + outcomes.getOrDefault(DeliveryTracker.DeliveryOutcome.NOTHING, 0L));
        System.exit(0);
    }

    private static int attached(List<AmqpLoadClient> clients) {
        return clients.stream().mapToInt(AmqpLoadClient::attachedCount).sum();
    }

    private static void show(
            long second, DeliveryTracker tracker, List<AmqpLoadClient> clients) {
        System.out.println(
                System.currentTimeMillis()
                        + " second "
                        + second
                        + ": due "
                        + tracker.sentCount()
                        + ", without an outcome yet "
                        + tracker.pendingCount()
                        + ", links "
                        + attached(clients));
    }
}

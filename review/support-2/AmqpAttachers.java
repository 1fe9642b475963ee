import java.util.ArrayDeque;
import java.util.Deque;
import saltstage.lab.amqp.AmqpLoadClient;
import saltstage.lab.amqp.DeliveryTracker;
import saltstage.net.NettyTransport;

/**
 * Back offices that come one after another, with the project's own client: ADDRESS INTERVAL_MS SECONDS. Each attaches
 * one link, sends a delivery a second and leaves after 6 s.
 */
public final class AmqpAttachers {
    private static final long STAY_MS = 6_000;

    private AmqpAttachers() {}

    private record Office(AmqpLoadClient client, long leavesAt) {}

    public static void main(String[] args) throws Exception {
        int intervalMs = Integer.parseInt(args[1]);
        long end = System.currentTimeMillis() + Integer.parseInt(args[2]) * 1_000L;
        NettyTransport transport =
                new NettyTransport(
                        1, true, (context, fault) -> System.out.println("fault " + context + " " + fault));
        DeliveryTracker tracker = new DeliveryTracker();
        Deque<Office> offices = new ArrayDeque<>();
        long deliveries = 0;
        for (int i = 0; System.currentTimeMillis() < end; i++) {
            AmqpLoadClient client =
                    new AmqpLoadClient(
                            transport,
                            transport.loops().get(0),
                            StandIn.address(args[0]),
                            "office" + i,
                            1,
                            "status-report",
                            200,
                            tracker);
            offices.add(new Office(client, System.currentTimeMillis() + STAY_MS));
            if (i % Math.max(1, 1_000 / intervalMs) == 0) {
                for (Office office : offices) {
                    office.client().scheduleDelivery(0, "d-" + deliveries++, System.nanoTime());
                }
            }
            while (offices.peek().leavesAt() < System.currentTimeMillis()) {
                offices.poll().client().close();
            }
            Thread.sleep(intervalMs);
        }
        System.out.println("outcomes: " + tracker.outcomeCounts());
        System.exit(0);
    }
}

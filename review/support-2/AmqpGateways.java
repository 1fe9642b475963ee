import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import saltstage.lab.amqp.DuplicateDeliveryDetector;
import saltstage.lab.amqp.FakeAmqpBackend;
import saltstage.net.NettyTransport;

/** The project's own AMQP stand-ins of gateways: LOG NAME=ADDRESS... Logs each link that one of them takes. */
public final class AmqpGateways {
    private AmqpGateways() {}

    public static void main(String[] args) throws Exception {
        PrintStream log = new PrintStream(Files.newOutputStream(Path.of(args[0])));
        NettyTransport transport =
                new NettyTransport(
                        1, true, (context, fault) -> System.out.println("fault " + context + " " + fault));
        DuplicateDeliveryDetector detector = new DuplicateDeliveryDetector();
        List<String> names = new ArrayList<>();
        List<FakeAmqpBackend> gateways = new ArrayList<>();
        for (String argument : args) {
            if (argument.contains("=")) {
                String[] parts = argument.split("=");
                names.add(parts[0]);
                gateways.add(
                        new FakeAmqpBackend(
                                parts[0], transport, StandIn.address(parts[1]), detector));
            }
        }
        System.out.println("ready");
        long[] counts = new long[names.size()];
        while (true) {
            for (int i = 0; i < counts.length; i++) {
                long served = gateways.get(i).servedLinkCount();
                for (; counts[i] < served; counts[i]++) {
                    log.println(gateways.get(i).lastLinkMillis() + " link " + names.get(i));
                    log.flush();
                }
            }
            Thread.sleep(5);
        }
    }
}

package saltstage.lab.fleet;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import saltstage.lab.Installation;

/** Shows a relay at work: fake backends, simulated clients and a drained backend. */
@Command(
        name = "demo",
        mixinStandardHelpOptions = true,
        description = {
            "Starts fake backends, the built relay and some hundred clients, prints a row of counts"
                    + " each second,",
            "drains a backend halfway through and ends. Exits with 1 if a client was cut off."
        })
public final class DemoCommand implements Callable<Integer> {
    @Option(
            names = "--gateways",
            defaultValue = "4",
            description = "number of fake backends (default 4)")
    private int gateways;

    @Option(
            names = "--clients",
            defaultValue = "300",
            description = "number of clients (default 300)")
    private int clients;

    @Option(
            names = "--seconds",
            defaultValue = "15",
            description = "duration in seconds (default 15)")
    private int seconds;

    @Override
    public Integer call() throws IOException, InterruptedException {
        Path dir = Files.createTempDirectory("saltstage-demo");
        Process relay = null;
        try {
            FakeFleet fleet = new FakeFleet(gateways);
            fleet.writeFiles(dir, "log {\n  level = \"warn\"\n}\n");
            relay = startRelay(dir);
            String[] hostAndPort = fleet.listenAddress().split(":");
            InetSocketAddress address =
                    new InetSocketAddress(hostAndPort[0], Integer.parseInt(hostAndPort[1]));
            Installation.awaitPong(address, relay, Duration.ofSeconds(30));
            System.out.println(
                    "relay at "
                            + fleet.listenAddress()
                            + ", "
                            + gateways
                            + " gateways, "
                            + clients
                            + " clients; the log is "
                            + dir.resolve("log")
                            + " until the end");
            SimulatedClients simulated =
                    new SimulatedClients(
                            address, clients, Duration.ofMillis(500), Duration.ofSeconds(20));
            printProgress(fleet, simulated);
            long broken = simulated.brokenCount();
            System.out.println(
                    "served "
                            + fleet.backends().stream().mapToLong(FakeBackend::servedCount).sum()
                            + " connections, moved "
                            + simulated.movedCount()
                            + ", cut off "
                            + broken);
            simulated.stop();
            return broken == 0 ? 0 : 1;
        } finally {
            stopRelay(relay, dir);
        }
    }

    private static Process startRelay(Path dir) throws IOException {
        return new ProcessBuilder(
                        Installation.relayScript().toString(),
                        "serve",
                        "--config",
                        dir.resolve("config.json").toString(),
                        "--settings",
                        dir.resolve("saltstage.hcl").toString())
                .redirectError(dir.resolve("log").toFile())
                .start();
    }

    private void printProgress(FakeFleet fleet, SimulatedClients simulated)
            throws IOException, InterruptedException {
        System.out.println("  s " + SimulatedClients.ROW_HEADER + "  at the gateways");
        for (int second = 1; second <= seconds; second++) {
            Thread.sleep(1_000);
            System.out.printf(
                    "%3d %s  %s%n", second, simulated.statusRow(), fleet.runCommand("row"));
            if (second == seconds / 2) {
                System.out.println("    g0 drains: its clients are to be moved, none cut off");
                fleet.runCommand("drain g0");
            }
        }
    }

    private static void stopRelay(Process relay, Path dir)
            throws IOException, InterruptedException {
        if (relay != null) {
            relay.destroy();
            if (!relay.waitFor(10, TimeUnit.SECONDS)) {
                relay.destroyForcibly().waitFor();
            }
        }
        Installation.deleteRecursively(dir);
    }
}

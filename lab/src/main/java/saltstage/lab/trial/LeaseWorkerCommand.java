package saltstage.lab.trial;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import saltstage.coordinator.client.GroupClient;
import saltstage.coordinator.client.LeaseClient;
import saltstage.coordinator.client.Ticker;

/** Acquires a lease repeatedly and performs operations at the fenced resource while holding it. */
@Command(name = "trial-worker", description = "Runs one lease holder of a trial.", hidden = true)
public final class LeaseWorkerCommand implements Callable<Integer> {
    @Option(names = "--at", split = ",", required = true)
    private List<String> groupAddresses;

    @Option(names = "--witness", required = true)
    private int resourcePort;

    @Option(names = "--name", required = true)
    private String name;

    @Option(names = "--ttl-ms", defaultValue = "1500")
    private int ttlMs;

    @Option(names = "--clock-permille", defaultValue = "1000")
    private int clockPermille;

    @Option(names = "--seed", defaultValue = "1")
    private long seed;

    @Override
    public Integer call() throws Exception {
        Random random = new Random(seed);
        Ticker ticker = () -> (long) (System.nanoTime() * (clockPermille / 1000.0));
        LeaseClient leaseClient =
                new LeaseClient(
                        new GroupClient(groupAddresses, ticker),
                        new GroupClient(groupAddresses, ticker),
                        ticker,
                        name);
        while (true) {
            try (LeaseClient.Lease lease =
                            leaseClient.acquire(
                                    "job",
                                    Duration.ofMillis(ttlMs),
                                    Duration.ofSeconds(5),
                                    random.nextInt(3),
                                    () -> {});
                    Socket socket = new Socket("127.0.0.1", resourcePort)) {
                socket.setTcpNoDelay(true);
                performOperations(socket, lease, 10 + random.nextInt(150), random);
            } catch (LeaseClient.LeaseNotGrantedException
                    | LeaseClient.LeaseLostException
                    | IOException failure) {
                System.out.println(failure.getMessage());
            }
        }
    }

    private void performOperations(
            Socket socket, LeaseClient.Lease lease, int operationCount, Random random)
            throws IOException, LeaseClient.LeaseLostException, InterruptedException {
        BufferedReader in =
                new BufferedReader(
                        new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
        for (int i = 0; i < operationCount; i++) {
            lease.checkStillHeld();
            socket.getOutputStream()
                    .write(
                            (name
                                            + "-"
                                            + ProcessHandle.current().pid()
                                            + " "
                                            + lease.fencingToken()
                                            + "\n")
                                    .getBytes(StandardCharsets.US_ASCII));
            if (!"ok".equals(in.readLine())) {
                System.out.println(
                        "rejected because of the outdated fencing token " + lease.fencingToken());
                return;
            }
            Thread.sleep(2 + random.nextInt(12));
        }
    }
}

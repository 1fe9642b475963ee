package saltstage.lab.trial;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.HdrHistogram.Histogram;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import saltstage.coordinator.client.GroupClient;
import saltstage.coordinator.client.Ticker;
import saltstage.coordinator.group.GroupCodec;
import saltstage.coordinator.lease.LeaseCommands.Acquire;
import saltstage.coordinator.lease.LeaseCommands.Release;
import saltstage.coordinator.lease.LeaseReplies.Granted;
import saltstage.lab.Installation;
import saltstage.lab.store.Report;

/**
 * Measures a group of coordinators: lease grants and releases per second, and how long the group
 * has no leader after the leader is killed or leadership is transferred.
 */
@Command(
        name = "coordinator",
        mixinStandardHelpOptions = true,
        description = "Measures coordinator groups: command rates and time without a leader.")
public final class CoordinatorBenchmark implements Callable<Integer> {
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(30);

    @Option(
            names = "--kills",
            defaultValue = "20",
            description = "number of leaders killed (default 20)")
    private int kills;

    @Option(
            names = "--transfers",
            defaultValue = "20",
            description = "number of transfers (default 20)")
    private int transfers;

    @Option(
            names = "--seconds",
            defaultValue = "5",
            description = "seconds of load for each row (default 5)")
    private int seconds;

    @Override
    public Integer call() throws Exception {
        Report rates =
                new Report(
                        "coordinator-rates",
                        "replicas",
                        "clients",
                        "grants and releases a second",
                        "p50 in ms",
                        "p99 in ms");
        for (int replicas : new int[] {1, 3, 5}) {
            for (int clients : new int[] {1, 16, 64}) {
                measureRate(replicas, clients, rates);
            }
        }
        rates.setBarChart("Grants and releases", "clients", "a second", 0, 1, 2);
        rates.writeFiles(Installation.measurementsDirectory());
        Report gaps = new Report("coordinator-gaps", "what", "times", "p50 in ms", "most in ms");
        measureGaps(gaps);
        gaps.writeFiles(Installation.measurementsDirectory());
        return 0;
    }

    private void measureRate(int replicas, int clients, Report report) throws Exception {
        Path dir = Files.createTempDirectory("coordinator-");
        Histogram latencies = new Histogram(60_000_000L, 3);
        long operationCount = 0;
        try (GroupUnderTest group =
                new GroupUnderTest(dir, replicas, List.of(TrialProcess.coordinatorJar()), "")
                        .start()) {
            group.leader(CALL_TIMEOUT);
            ExecutorService executor = Executors.newFixedThreadPool(clients);
            List<Future<Histogram>> loads = new ArrayList<>();
            for (int i = 0; i < clients; i++) {
                int clientNumber = i;
                loads.add(executor.submit(() -> runLoad(group.client(), "c" + clientNumber)));
            }
            for (Future<Histogram> load : loads) {
                latencies.add(load.get());
            }
            executor.shutdown();
            operationCount = latencies.getTotalCount();
        }
        Installation.deleteRecursively(dir);
        report.addRow(
                replicas,
                clients,
                operationCount / seconds,
                latencies.getValueAtPercentile(50) / 1_000.0,
                latencies.getValueAtPercentile(99) / 1_000.0);
    }

    private Histogram runLoad(GroupClient client, String name)
            throws IOException, InterruptedException {
        Histogram latencies = new Histogram(60_000_000L, 3);
        long deadlineNanos = System.nanoTime() + seconds * 1_000_000_000L;
        while (System.nanoTime() < deadlineNanos) {
            long startNanos = System.nanoTime();
            Granted granted =
                    (Granted)
                            client.send(new Acquire(name, name, 5_000, 0, false), CALL_TIMEOUT)
                                    .reply();
            latencies.recordValue((System.nanoTime() - startNanos) / 1_000);
            startNanos = System.nanoTime();
            client.send(new Release(name, name, granted.fence()), CALL_TIMEOUT);
            latencies.recordValue((System.nanoTime() - startNanos) / 1_000);
        }
        return latencies;
    }

    /** An event that affects the current leader, for example its death. */
    private interface LeaderEvent {
        void apply(String leader) throws Exception;
    }

    /**
     * Measures the longest time, in microseconds, between two answered commands during an event.
     */
    private long measureGap(GroupUnderTest group, LeaderEvent event) throws Exception {
        String leader = group.leader(CALL_TIMEOUT);
        boolean[] stopped = {false};
        long[] maxGapNanos = {0};
        Thread writer =
                new Thread(
                        () -> {
                            GroupClient client =
                                    new GroupClient(group.clientAddresses(), Ticker.SYSTEM);
                            long lastReplyNanos = System.nanoTime();
                            for (int i = 0; !stopped[0]; i++) {
                                try {
                                    client.send(
                                            new Acquire("gap", "me", 5_000, 0, false),
                                            CALL_TIMEOUT);
                                } catch (IOException | InterruptedException failure) {
                                    return;
                                }
                                maxGapNanos[0] =
                                        i == 0
                                                ? 0
                                                : Math.max(
                                                        maxGapNanos[0],
                                                        System.nanoTime() - lastReplyNanos);
                                lastReplyNanos = System.nanoTime();
                            }
                        });
        writer.start();
        Thread.sleep(300);
        event.apply(leader);
        Thread.sleep(3_000);
        stopped[0] = true;
        writer.join();
        return maxGapNanos[0] / 1_000;
    }

    private static void transferLeadership(GroupUnderTest group, String leader)
            throws IOException, InterruptedException {
        String target =
                group.names().stream()
                        .filter(name -> !name.equals(leader))
                        .findFirst()
                        .orElseThrow();
        group.client()
                .post(
                        "/v1/transfer",
                        GroupCodec.jsonMapper().createObjectNode().put("to", target),
                        CALL_TIMEOUT);
    }

    private void measureGaps(Report report) throws Exception {
        Path dir = Files.createTempDirectory("coordinator-");
        Histogram killGaps = new Histogram(60_000_000L, 3);
        Histogram transferGaps = new Histogram(60_000_000L, 3);
        try (GroupUnderTest group =
                new GroupUnderTest(dir, 3, List.of(TrialProcess.coordinatorJar()), "").start()) {
            for (int i = 0; i < kills; i++) {
                String[] killedLeader = new String[1];
                killGaps.recordValue(
                        measureGap(
                                group,
                                leader -> {
                                    killedLeader[0] = leader;
                                    group.process(leader).kill();
                                }));
                group.process(killedLeader[0]).start();
                Thread.sleep(2_000);
            }
            for (int i = 0; i < transfers; i++) {
                transferGaps.recordValue(
                        measureGap(group, leader -> transferLeadership(group, leader)));
            }
        }
        Installation.deleteRecursively(dir);
        report.addRow(
                "leader killed",
                kills,
                killGaps.getValueAtPercentile(50) / 1_000.0,
                killGaps.getMaxValue() / 1_000.0);
        report.addRow(
                "transfer",
                transfers,
                transferGaps.getValueAtPercentile(50) / 1_000.0,
                transferGaps.getMaxValue() / 1_000.0);
    }
}

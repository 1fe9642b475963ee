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
import saltstage.lab.Home;
import saltstage.lab.store.Report;

/**
 * What a group of coordinators gives: grants a second, and how long nobody leads after a kill or a
 * transfer.
 */
@Command(name = "coordinator", mixinStandardHelpOptions = true,
    description = "Measures groups of coordinators: rates, and time without a leader.")
public final class LeaderCommand implements Callable<Integer> {
    private static final Duration CALL = Duration.ofSeconds(30);

    @Option(names = "--kills", defaultValue = "20", description = "leaders killed (default 20)")
    private int kills;

    @Option(names = "--transfers", defaultValue = "20", description = "transfers (default 20)")
    private int transfers;

    @Option(names = "--seconds", defaultValue = "5", description = "of load, each row (default 5)")
    private int seconds;

    @Override
    public Integer call() throws Exception {
        Report rates = new Report("coordinator-rates", "replicas", "clients",
            "grants and releases a second", "p50 in ms", "p99 in ms");
        for (int replicas : new int[] {1, 3, 5}) {
            for (int clients : new int[] {1, 16, 64}) {
                rate(replicas, clients, rates);
            }
        }
        rates.bars("Grants and releases", "clients", "a second", 0, 1, 2);
        rates.write(Home.measurements());
        Report gaps = new Report("coordinator-gaps", "what", "times", "p50 in ms", "most in ms");
        gaps(gaps);
        gaps.write(Home.measurements());
        return 0;
    }

    private void rate(int replicas, int clients, Report report) throws Exception {
        Path dir = Files.createTempDirectory("coordinator-");
        Histogram took = new Histogram(60_000_000L, 3);
        long done = 0;
        try (GroupUnderTest group = new GroupUnderTest(dir, replicas, List.of(Proc.builtJar()), "").start()) {
            group.leader(CALL);
            ExecutorService threads = Executors.newFixedThreadPool(clients);
            List<Future<Histogram>> parts = new ArrayList<>();
            for (int i = 0; i < clients; i++) {
                int me = i;
                parts.add(threads.submit(() -> load(group.client(), "c" + me)));
            }
            for (Future<Histogram> part : parts) {
                took.add(part.get());
            }
            threads.shutdown();
            done = took.getTotalCount();
        }
        Home.delete(dir);
        report.row(replicas, clients, done / seconds, took.getValueAtPercentile(50) / 1_000.0,
            took.getValueAtPercentile(99) / 1_000.0);
    }

    private Histogram load(GroupClient client, String name) throws IOException, InterruptedException {
        Histogram took = new Histogram(60_000_000L, 3);
        long until = System.nanoTime() + seconds * 1_000_000_000L;
        while (System.nanoTime() < until) {
            long start = System.nanoTime();
            Granted granted = (Granted) client.send(new Acquire(name, name, 5_000, 0, false), CALL).reply();
            took.recordValue((System.nanoTime() - start) / 1_000);
            start = System.nanoTime();
            client.send(new Release(name, name, granted.fence()), CALL);
            took.recordValue((System.nanoTime() - start) / 1_000);
        }
        return took;
    }

    /** The longest time from one answered command to the next, while something befalls the leader. */
    private interface Befalls {
        void it(String leader) throws Exception;
    }

    private long gap(GroupUnderTest group, Befalls befalls) throws Exception {
        String leader = group.leader(CALL);
        boolean[] over = {false};
        long[] most = {0};
        Thread writer = new Thread(() -> {
            GroupClient client = new GroupClient(group.places(), Ticker.SYSTEM);
            long last = System.nanoTime();
            for (int i = 0; !over[0]; i++) {
                try {
                    client.send(new Acquire("gap", "me", 5_000, 0, false), CALL);
                } catch (IOException | InterruptedException lost) {
                    return;
                }
                most[0] = i == 0 ? 0 : Math.max(most[0], System.nanoTime() - last);
                last = System.nanoTime();
            }
        });
        writer.start();
        Thread.sleep(300);
        befalls.it(leader);
        Thread.sleep(3_000);
        over[0] = true;
        writer.join();
        return most[0] / 1_000;
    }

    private void gaps(Report report) throws Exception {
        Path dir = Files.createTempDirectory("coordinator-");
        Histogram killed = new Histogram(60_000_000L, 3);
        Histogram handed = new Histogram(60_000_000L, 3);
        try (GroupUnderTest group = new GroupUnderTest(dir, 3, List.of(Proc.builtJar()), "").start()) {
            for (int i = 0; i < kills; i++) {
                String[] victim = new String[1];
                killed.recordValue(gap(group, leader -> {
                    victim[0] = leader;
                    group.proc(leader).kill();
                }));
                group.proc(victim[0]).start();
                Thread.sleep(2_000);
            }
            for (int i = 0; i < transfers; i++) {
                handed.recordValue(gap(group, leader -> {
                    String to = group.names().stream().filter(n -> !n.equals(leader)).findFirst()
                        .orElseThrow();
                    group.client().post("/v1/transfer",
                        GroupCodec.jsonMapper().createObjectNode().put("to", to), CALL);
                }));
            }
        }
        Home.delete(dir);
        report.row("leader killed", kills, killed.getValueAtPercentile(50) / 1_000.0,
            killed.getMaxValue() / 1_000.0);
        report.row("transfer", transfers, handed.getValueAtPercentile(50) / 1_000.0,
            handed.getMaxValue() / 1_000.0);
    }
}

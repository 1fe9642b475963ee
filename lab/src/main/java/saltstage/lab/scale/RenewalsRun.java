package saltstage.lab.scale;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import saltstage.coordinator.client.GroupClient;
import saltstage.coordinator.lease.LeaseCommands.Acquire;
import saltstage.coordinator.lease.LeaseCommands.Renew;
import saltstage.coordinator.lease.LeaseReplies.Granted;
import saltstage.coordinator.lease.LeaseReplies.Renewed;
import saltstage.lab.trial.GroupUnderTest;
import saltstage.lab.trial.TrialProcess;

/**
 * Measures the cost of lease renewals through the group's log to its leader, at rising renewal
 * rates.
 */
@Command(
        name = "renewals",
        mixinStandardHelpOptions = true,
        description = "Three real replicas; holders that renew one lease each, at rising rates.")
class RenewalsRun extends ScaleRun {
    private static final int REPLICAS = 3;
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(20);
    private static final int[] RATES_PER_SECOND = {
        10, 25, 50, 100, 200, 400, 800, 1_600, 3_200, 6_400
    };
    private static final int HOLDER_COUNT = 192;
    private static final long TTL_MS = 600_000;
    private static final double WARM_UP_SECONDS = 4;

    /**
     * The run ends when less than this share of the offered rate is achieved, because a higher rate
     * would not increase the throughput.
     */
    private static final double MIN_ACHIEVED_SHARE = 0.5;

    @Option(
            names = "--seconds",
            defaultValue = "4",
            description = "seconds measured at each rate (default 4)")
    private int seconds;

    private final int leasesPerHolder;

    RenewalsRun() {
        this("renewals", 1);
    }

    RenewalsRun(String name, int leasesPerHolder) {
        super(name);
        this.leasesPerHolder = leasesPerHolder;
    }

    @Override
    boolean run(RunContext context) throws Exception {
        try (GroupUnderTest group =
                new GroupUnderTest(
                                context.folder(),
                                REPLICAS,
                                List.of(TrialProcess.coordinatorJar()),
                                "")
                        .start()) {
            List<LeaseHolder> holders = new ArrayList<>();
            for (int i = 0; i < HOLDER_COUNT; i++) {
                holders.add(new LeaseHolder(group.client(), "holder-" + i));
            }
            acquire(holders);
            renew(holders, Integer.MAX_VALUE, WARM_UP_SECONDS, new ConcurrentHistogram(3));
            for (int rate : RATES_PER_SECOND) {
                if (!measure(context.file(), group, holders, rate)) {
                    break;
                }
            }
        }
        return true;
    }

    private void acquire(List<LeaseHolder> holders) throws Exception {
        printProgress("renewals: " + holders.size() * leasesPerHolder + " leases");
        Parallel.forEach(holders, holder -> holder.acquire(leasesPerHolder));
    }

    private boolean measure(
            MeasurementFile file, GroupUnderTest group, List<LeaseHolder> holders, int rate)
            throws Exception {
        printProgress("renewals: " + rate + " a second");
        long leaderPid = group.pid(group.leader(CALL_TIMEOUT));
        ProcessStatistics before = ProcessStatistics.read(leaderPid);
        Histogram answerMicros = new ConcurrentHistogram(3);
        long startNanos = System.nanoTime();
        renew(holders, rate, seconds, answerMicros);
        double elapsedSeconds = (System.nanoTime() - startNanos) / 1e9;
        ProcessStatistics after = ProcessStatistics.read(leaderPid);
        double achievedRate = answerMicros.getTotalCount() / elapsedSeconds;
        file.beginPoint(achievedRate);
        file.addFigure("offered_per_s", rate);
        file.addFigure(
                "leader_processor_share",
                (after.processorSeconds() - before.processorSeconds()) / elapsedSeconds);
        file.addFigure("leader_resident_mb", after.residentMegabytes());
        file.addFigure("answer_p50_ms", answerMicros.getValueAtPercentile(50) / 1e3);
        file.addFigure("answer_p99_ms", answerMicros.getValueAtPercentile(99) / 1e3);
        return achievedRate >= rate * MIN_ACHIEVED_SHARE;
    }

    /**
     * Each holder renews at its share of the rate; a holder that is late renews without a pause.
     */
    private static void renew(
            List<LeaseHolder> holders, int rate, double seconds, Histogram answerMicros)
            throws Exception {
        long startNanos = System.nanoTime();
        long endNanos = startNanos + (long) (seconds * 1e9);
        double intervalNanos = 1e9 * holders.size() / rate;
        Parallel.forEach(
                holders,
                holder -> {
                    long firstDueNanos =
                            startNanos
                                    + (long)
                                            (intervalNanos
                                                    * holders.indexOf(holder)
                                                    / holders.size());
                    holder.renew(firstDueNanos, intervalNanos, endNanos, answerMicros);
                });
    }

    /** A client that holds leases and renews all of them in one command. */
    private static final class LeaseHolder {
        private final GroupClient client;
        private final String name;
        private final Map<String, Long> fencingTokens = new TreeMap<>();

        LeaseHolder(GroupClient client, String name) {
            this.client = client;
            this.name = name;
        }

        void acquire(int leaseCount) throws IOException, InterruptedException {
            for (int i = 0; i < leaseCount; i++) {
                String lease = name + "-" + i;
                Granted granted =
                        (Granted)
                                client.send(
                                                new Acquire(lease, name, TTL_MS, 0, false),
                                                CALL_TIMEOUT)
                                        .reply();
                fencingTokens.put(lease, granted.fence());
            }
        }

        void renew(long firstDueNanos, double intervalNanos, long endNanos, Histogram answerMicros)
                throws IOException, InterruptedException {
            double dueNanos = firstDueNanos;
            while (dueNanos < endNanos && System.nanoTime() < endNanos) {
                Thread.sleep(Math.max(0, (long) ((dueNanos - System.nanoTime()) / 1e6)));
                long callStartNanos = System.nanoTime();
                Renewed renewed =
                        (Renewed) client.send(new Renew(name, fencingTokens), CALL_TIMEOUT).reply();
                if (!renewed.lost().isEmpty()) {
                    throw new IOException("a lease of " + name + " was lost");
                }
                answerMicros.recordValue((System.nanoTime() - callStartNanos) / 1_000);
                dueNanos = dueNanos + intervalNanos;
            }
        }
    }
}

package saltstage.lab.scale;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import saltstage.coordinator.client.GroupClient;
import saltstage.coordinator.lease.LeaseCommands.Acquire;
import saltstage.coordinator.lease.LeaseCommands.Renew;
import saltstage.coordinator.lease.LeaseReplies.Granted;
import saltstage.coordinator.lease.LeaseReplies.Renewed;
import saltstage.coordinator.model.Reply;
import saltstage.lab.trial.GroupUnderTest;
import saltstage.lab.trial.TrialProcess;

/**
 * Measures the cost of many leases of one holder, which renews all of them in one command as the
 * lease client does.
 */
@Command(
        name = "leases",
        mixinStandardHelpOptions = true,
        description =
                "Three real replicas; one holder of a growing number of leases that renews all"
                        + " of them in one command.")
final class LeasesRun extends ScaleRun {
    private static final int REPLICAS = 3;
    private static final int[] LEASE_COUNTS = {500, 2_000, 8_000, 16_000, 32_000, 59_000};
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(15);
    private static final int ACQUIRER_COUNT = 64;
    private static final long TTL_MS = 3_600_000;
    private static final String OWNER = "holder";

    /**
     * The lease client renews a lease of 5 s when a quarter of its duration has passed since the
     * last renewal.
     */
    private static final double RENEWAL_INTERVAL_SECONDS = 1.25;

    @Option(
            names = "--renewals",
            defaultValue = "4",
            description = "renewals measured at each point (default 4)")
    private int renewals;

    LeasesRun() {
        super("leases");
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
            ConcurrentSkipListMap<String, Long> fencingTokens = new ConcurrentSkipListMap<>();
            for (int leaseCount : LEASE_COUNTS) {
                printProgress("leases: " + leaseCount);
                context.file().beginPoint(leaseCount);
                acquire(context.file(), group, fencingTokens, leaseCount);
                if (!measure(context.file(), group, fencingTokens)) {
                    break;
                }
            }
        }
        return true;
    }

    private static void acquire(
            MeasurementFile file,
            GroupUnderTest group,
            Map<String, Long> fencingTokens,
            int targetCount)
            throws Exception {
        int initialCount = fencingTokens.size();
        AtomicInteger next = new AtomicInteger(initialCount);
        long startNanos = System.nanoTime();
        List<GroupClient> clients = Stream.generate(group::client).limit(ACQUIRER_COUNT).toList();
        Parallel.forEach(
                clients,
                client -> {
                    for (int n = next.getAndIncrement();
                            n < targetCount;
                            n = next.getAndIncrement()) {
                        Acquire acquire = new Acquire("shard-" + n, OWNER, TTL_MS, 0, false);
                        fencingTokens.put(
                                "shard-" + n,
                                ((Granted) client.send(acquire, CALL_TIMEOUT).reply()).fence());
                    }
                });
        file.addFigure(
                "acquired_per_s",
                (targetCount - initialCount) * 1e9 / (System.nanoTime() - startNanos));
    }

    private boolean measure(
            MeasurementFile file, GroupUnderTest group, Map<String, Long> fencingTokens)
            throws Exception {
        GroupClient client = group.client();
        Renew renew = new Renew(OWNER, new TreeMap<>(fencingTokens));
        if (!renewAll(client, renew)) {
            file.addFigure("renewed", 0);
            return false;
        }
        long leaderPid = group.pid(group.leader(CALL_TIMEOUT));
        ProcessStatistics before = ProcessStatistics.read(leaderPid);
        long startNanos = System.nanoTime();
        double answerSeconds = 0;
        for (int i = 0; i < renewals; i++) {
            long callStartNanos = System.nanoTime();
            boolean answered = renewAll(client, renew);
            double callSeconds = (System.nanoTime() - callStartNanos) / 1e9;
            if (!answered) {
                file.addFigure("renewed", 0);
                return false;
            }
            answerSeconds += callSeconds;
            sleepSeconds(Math.max(0, RENEWAL_INTERVAL_SECONDS - callSeconds));
        }
        ProcessStatistics after = ProcessStatistics.read(leaderPid);
        double elapsedSeconds = (System.nanoTime() - startNanos) / 1e9;
        file.addFigure("renewed", 1);
        file.addFigure("answer_ms", answerSeconds * 1e3 / renewals);
        file.addFigure(
                "leader_processor_share",
                (after.processorSeconds() - before.processorSeconds()) / elapsedSeconds);
        file.addFigure("leader_resident_mb", after.residentMegabytes());
        return true;
    }

    /** Returns false if the group rejects a command of this size or does not answer in time. */
    private static boolean renewAll(GroupClient client, Renew renew) throws InterruptedException {
        try {
            Reply reply = client.send(renew, CALL_TIMEOUT).reply();
            return reply instanceof Renewed renewed && renewed.lost().isEmpty();
        } catch (IOException | IllegalArgumentException failure) {
            printProgress(
                    "leases: "
                            + renew.fences().size()
                            + " in one command: "
                            + failure.getMessage());
            return false;
        }
    }
}

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
    boolean run(RunContext stage) throws Exception {
        try (GroupUnderTest group =
                new GroupUnderTest(
                                stage.folder(),
                                REPLICAS,
                                List.of(TrialProcess.coordinatorJar()),
                                "")
                        .start()) {
            ConcurrentSkipListMap<String, Long> fences = new ConcurrentSkipListMap<>();
            for (int leases : LEASE_COUNTS) {
                printProgress("leases: " + leases);
                stage.file().beginPoint(leases);
                acquire(stage.file(), group, fences, leases);
                if (!measure(stage.file(), group, fences)) {
                    break;
                }
            }
        }
        return true;
    }

    private static void acquire(
            MeasurementFile file, GroupUnderTest group, Map<String, Long> fences, int upTo)
            throws Exception {
        int first = fences.size();
        AtomicInteger next = new AtomicInteger(first);
        long begun = System.nanoTime();
        List<GroupClient> clients = Stream.generate(group::client).limit(ACQUIRER_COUNT).toList();
        Parallel.forEach(
                clients,
                client -> {
                    for (int n = next.getAndIncrement(); n < upTo; n = next.getAndIncrement()) {
                        Acquire acquire = new Acquire("shard-" + n, OWNER, TTL_MS, 0, false);
                        fences.put(
                                "shard-" + n,
                                ((Granted) client.send(acquire, CALL_TIMEOUT).reply()).fence());
                    }
                });
        file.addFigure("acquired_per_s", (upTo - first) * 1e9 / (System.nanoTime() - begun));
    }

    private boolean measure(MeasurementFile file, GroupUnderTest group, Map<String, Long> fences)
            throws Exception {
        GroupClient client = group.client();
        Renew renew = new Renew(OWNER, new TreeMap<>(fences));
        if (!renewAll(client, renew)) {
            file.addFigure("renewed", 0);
            return false;
        }
        long leader = group.pid(group.leader(CALL_TIMEOUT));
        ProcessStatistics before = ProcessStatistics.read(leader);
        long begun = System.nanoTime();
        double took = 0;
        for (int i = 0; i < renewals; i++) {
            long start = System.nanoTime();
            boolean answered = renewAll(client, renew);
            double one = (System.nanoTime() - start) / 1e9;
            if (!answered) {
                file.addFigure("renewed", 0);
                return false;
            }
            took += one;
            sleepSeconds(Math.max(0, RENEWAL_INTERVAL_SECONDS - one));
        }
        ProcessStatistics after = ProcessStatistics.read(leader);
        double spent = (System.nanoTime() - begun) / 1e9;
        file.addFigure("renewed", 1);
        file.addFigure("answer_ms", took * 1e3 / renewals);
        file.addFigure(
                "leader_processor_share",
                (after.processorSeconds() - before.processorSeconds()) / spent);
        file.addFigure("leader_resident_mb", after.residentMegabytes());
        return true;
    }

    /** Returns false if the group rejects a command of this size or does not answer in time. */
    private static boolean renewAll(GroupClient client, Renew renew) throws InterruptedException {
        try {
            Reply reply = client.send(renew, CALL_TIMEOUT).reply();
            return reply instanceof Renewed all && all.lost().isEmpty();
        } catch (IOException | IllegalArgumentException refused) {
            printProgress(
                    "leases: "
                            + renew.fences().size()
                            + " in one command: "
                            + refused.getMessage());
            return false;
        }
    }
}

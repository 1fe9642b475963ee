package saltstage.lab.trial;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import saltstage.lab.Installation;

/**
 * Trials of leases, one seed after the other; a seed that fails is shrunk to the faults that it
 * takes.
 */
@Command(
        name = "trial",
        mixinStandardHelpOptions = true,
        subcommands = ConfigurationTrialCommand.class,
        description = "Real processes with faults between them; exit 1 with the seeds that failed.")
public final class TrialCommand implements Callable<Integer> {
    @Option(
            names = "--seeds",
            defaultValue = "1..10",
            description = "A..B (default: ${DEFAULT-VALUE})")
    private String seeds;

    @Option(names = "--replicas", defaultValue = "3")
    private int replicas;

    @Option(names = "--workers", defaultValue = "3")
    private int workers;

    @Option(names = "--seconds", defaultValue = "12", description = "of faults, each seed")
    private int seconds;

    @Option(
            names = "--jars",
            split = ",",
            description = "a coordinator jar a replica, to pair versions")
    private List<Path> jars;

    @Option(names = "--keep", description = "keep the folder of each trial")
    private boolean keep;

    @Option(
            names = "--windows",
            description = "the table of a window's steps and faults, each cell once")
    private boolean windows;

    private int runWindowTable() throws Exception {
        Path dir = Files.createTempDirectory("trial-windows-");
        int failed = 0;
        try (WindowTrial trial =
                new WindowTrial(
                        dir, jars == null ? List.of(TrialProcess.coordinatorJar()) : jars)) {
            for (String step : WindowTrial.STEPS) {
                for (String fault : WindowTrial.FAULTS) {
                    String came;
                    try {
                        came = "done after " + trial.runCase(step, fault) + " ms";
                    } catch (java.io.IOException not) {
                        came = not.getMessage();
                        failed++;
                    }
                    System.out.printf(
                            "%-10s %-12s %s, least so far %d%n",
                            step, fault, came, trial.minCapacity());
                }
            }
            System.out.println(
                    "under the floor: " + trial.violations() + (failed > 0 ? ", in " + dir : ""));
            return failed > 0 || !trial.violations().isEmpty() ? 1 : 0;
        }
    }

    @Override
    public Integer call() throws Exception {
        if (windows) {
            return runWindowTable();
        }
        String[] ends = seeds.split("\\.\\.");
        long first = Long.parseLong(ends[0]);
        long last = Long.parseLong(ends[ends.length - 1]);
        List<Long> failed = new ArrayList<>();
        long acts = 0;
        long grants = 0;
        int stale = 0;
        for (long seed = first; seed <= last; seed++) {
            LeaseTrial.Verdict verdict = runSeed(seed, null);
            System.out.printf(
                    "seed %d: %d acts, %d grants, %d late acts of paused holders refused, longest"
                            + " gap %d ms%s%n",
                    seed,
                    verdict.operationCount(),
                    verdict.grantCount(),
                    verdict.rejectedOperationCount(),
                    verdict.maxGapMs(),
                    verdict.violations().isEmpty() ? "" : ", BROKEN " + verdict.violations());
            acts += verdict.operationCount();
            grants += verdict.grantCount();
            stale += verdict.rejectedOperationCount();
            if (!verdict.violations().isEmpty()) {
                failed.add(seed);
                shrink(seed, verdict.faults());
            }
        }
        System.out.printf(
                "%d trials, %d acts, %d grants, %d late acts refused, failed: %s%n",
                last - first + 1, acts, grants, stale, failed);
        return failed.isEmpty() ? 0 : 1;
    }

    private LeaseTrial.Verdict runSeed(long seed, List<LeaseTrial.Fault> faults) throws Exception {
        Path dir = Files.createTempDirectory("trial-" + seed + "-");
        LeaseTrial trial =
                new LeaseTrial(
                        dir,
                        replicas,
                        workers,
                        seconds * 1_000,
                        jars == null ? List.of(TrialProcess.coordinatorJar()) : jars);
        LeaseTrial.Verdict verdict =
                trial.run(seed, faults == null ? trial.randomFaults(seed) : faults);
        if (keep || !verdict.violations().isEmpty()) {
            System.out.println("  in " + dir);
        } else {
            Installation.deleteRecursively(dir);
        }
        return verdict;
    }

    /**
     * Leaves out fault after fault as long as it still fails; real time may need luck to fail
     * again.
     */
    private void shrink(long seed, List<LeaseTrial.Fault> faults) throws Exception {
        List<LeaseTrial.Fault> left = new ArrayList<>(faults);
        for (LeaseTrial.Fault each : faults) {
            List<LeaseTrial.Fault> fewer = new ArrayList<>(left);
            fewer.remove(each);
            if (!runSeed(seed, fewer).violations().isEmpty()) {
                left = fewer;
            }
        }
        System.out.println("  seed " + seed + " fails with:");
        left.forEach(fault -> System.out.println("    " + fault));
    }
}

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
 * Runs lease trials, one seed after the other. The faults of a failed seed are reduced to those
 * that are needed for the failure.
 */
@Command(
        name = "trial",
        mixinStandardHelpOptions = true,
        subcommands = ConfigurationTrialCommand.class,
        description = "Runs trials with real processes under faults; exits with 1 if one failed.")
public final class TrialCommand implements Callable<Integer> {
    @Option(
            names = "--seeds",
            defaultValue = "1..10",
            description = "first..last seed (default: ${DEFAULT-VALUE})")
    private String seeds;

    @Option(names = "--replicas", defaultValue = "3")
    private int replicas;

    @Option(names = "--workers", defaultValue = "3")
    private int workers;

    @Option(
            names = "--seconds",
            defaultValue = "12",
            description = "duration of the faults of each seed")
    private int seconds;

    @Option(
            names = "--jars",
            split = ",",
            description = "coordinator jar of each replica, to combine versions")
    private List<Path> jars;

    @Option(names = "--keep", description = "keep the directory of each trial")
    private boolean keep;

    @Option(
            names = "--windows",
            description = "run each combination of window step and fault once instead")
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
                            "%-10s %-12s %s, minimum capacity so far %d%n",
                            step, fault, came, trial.minCapacity());
                }
            }
            System.out.println(
                    "capacity under the floor: "
                            + trial.violations()
                            + (failed > 0 ? ", files kept in " + dir : ""));
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
                    "seed %d: %d operations, %d grants, %d late ones of paused holders rejected,"
                            + " longest gap %d ms%s%n",
                    seed,
                    verdict.operationCount(),
                    verdict.grantCount(),
                    verdict.rejectedOperationCount(),
                    verdict.maxGapMs(),
                    verdict.violations().isEmpty() ? "" : ", VIOLATIONS " + verdict.violations());
            acts += verdict.operationCount();
            grants += verdict.grantCount();
            stale += verdict.rejectedOperationCount();
            if (!verdict.violations().isEmpty()) {
                failed.add(seed);
                shrink(seed, verdict.faults());
            }
        }
        System.out.printf(
                "%d trials, %d operations, %d grants, %d late operations rejected, failed: %s%n",
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
            System.out.println("  files kept in " + dir);
        } else {
            Installation.deleteRecursively(dir);
        }
        return verdict;
    }

    /**
     * Removes one fault after the other while the trial still fails. Trials run in real time, so a
     * repeated run may pass by chance and keep a fault that is not needed.
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

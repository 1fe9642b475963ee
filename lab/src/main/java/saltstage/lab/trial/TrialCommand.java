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
        int failureCount = 0;
        try (WindowTrial trial =
                new WindowTrial(
                        dir, jars == null ? List.of(TrialProcess.coordinatorJar()) : jars)) {
            for (String step : WindowTrial.STEPS) {
                for (String fault : WindowTrial.FAULTS) {
                    String result;
                    try {
                        result = "done after " + trial.runCase(step, fault) + " ms";
                    } catch (java.io.IOException failure) {
                        result = failure.getMessage();
                        failureCount++;
                    }
                    System.out.printf(
                            "%-10s %-12s %s, minimum capacity so far %d%n",
                            step, fault, result, trial.minCapacity());
                }
            }
            System.out.println(
                    "capacity under the floor: "
                            + trial.violations()
                            + (failureCount > 0 ? ", files kept in " + dir : ""));
            return failureCount > 0 || !trial.violations().isEmpty() ? 1 : 0;
        }
    }

    @Override
    public Integer call() throws Exception {
        if (windows) {
            return runWindowTable();
        }
        String[] range = seeds.split("\\.\\.");
        long first = Long.parseLong(range[0]);
        long last = Long.parseLong(range[range.length - 1]);
        List<Long> failedSeeds = new ArrayList<>();
        long operationCount = 0;
        long grantCount = 0;
        int rejectedCount = 0;
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
            operationCount += verdict.operationCount();
            grantCount += verdict.grantCount();
            rejectedCount += verdict.rejectedOperationCount();
            if (!verdict.violations().isEmpty()) {
                failedSeeds.add(seed);
                shrink(seed, verdict.faults());
            }
        }
        System.out.printf(
                "%d trials, %d operations, %d grants, %d late operations rejected, failed: %s%n",
                last - first + 1, operationCount, grantCount, rejectedCount, failedSeeds);
        return failedSeeds.isEmpty() ? 0 : 1;
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
        List<LeaseTrial.Fault> needed = new ArrayList<>(faults);
        for (LeaseTrial.Fault fault : faults) {
            List<LeaseTrial.Fault> candidate = new ArrayList<>(needed);
            candidate.remove(fault);
            if (!runSeed(seed, candidate).violations().isEmpty()) {
                needed = candidate;
            }
        }
        System.out.println("  seed " + seed + " fails with:");
        needed.forEach(fault -> System.out.println("    " + fault));
    }
}

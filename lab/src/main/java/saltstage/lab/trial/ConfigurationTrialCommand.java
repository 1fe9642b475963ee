package saltstage.lab.trial;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import saltstage.lab.Installation;

/** Runs trials of the propagation of configuration changes from the group to followers. */
@Command(
        name = "configuration",
        mixinStandardHelpOptions = true,
        description = "Writes changes under faults; exits with 1 if any check failed.")
public final class ConfigurationTrialCommand implements Callable<Integer> {
    @Option(names = "--seed", defaultValue = "1", description = "first seed (default: 1)")
    private long seed;

    @Option(names = "--seeds", defaultValue = "1", description = "number of seeds (default: 1)")
    private int seeds;

    @Option(
            names = "--faults",
            defaultValue = "9",
            description = "faults for each seed (default: 9)")
    private int faults;

    @Option(
            names = "--followers",
            defaultValue = "5",
            description = "followers in each zone (default: 5)")
    private int followers;

    @Option(names = "--steps", description = "kill each process at each step of a change instead")
    private boolean steps;

    @Override
    public Integer call() throws Exception {
        Path dir = Files.createTempDirectory("trial-configuration-");
        boolean passed;
        try (ConfigurationTrial trial = new ConfigurationTrial(dir, followers)) {
            passed = steps ? runStepTable(trial) : runSeeds(trial);
        }
        if (passed) {
            Installation.deleteRecursively(dir);
        } else {
            System.out.println("files kept in " + dir);
        }
        return passed ? 0 : 1;
    }

    private boolean runSeeds(ConfigurationTrial trial) throws Exception {
        boolean passed = true;
        for (long currentSeed = seed; currentSeed < seed + seeds && passed; currentSeed++) {
            ConfigurationTrial.Verdict verdict = trial.run(currentSeed, faults);
            System.out.printf(
                    "seed %d: %d changes, %d observations; applied after p50 %d, p99 %d, max"
                            + " %d ms; max by fault %s%s%n",
                    currentSeed,
                    verdict.changeCount(),
                    verdict.observationCount(),
                    verdict.medianMs(),
                    verdict.p99Ms(),
                    verdict.maxMs(),
                    verdict.maxMsByFault(),
                    verdict.violations().isEmpty() ? "" : ", VIOLATIONS " + verdict.violations());
            passed = verdict.violations().isEmpty();
        }
        return passed;
    }

    private static boolean runStepTable(ConfigurationTrial trial) throws InterruptedException {
        ConfigurationStepTrial stepTrial = new ConfigurationStepTrial(trial);
        int failureCount = 0;
        for (ConfigurationStepTrial.Step step : ConfigurationStepTrial.Step.values()) {
            for (ConfigurationStepTrial.Victim victim : ConfigurationStepTrial.Victim.values()) {
                String result;
                try {
                    result =
                            "applied by all followers after "
                                    + stepTrial.runCase(step, victim)
                                    + " ms";
                } catch (IOException failure) {
                    result = failure.getMessage();
                    failureCount++;
                }
                System.out.printf("%-15s %-12s %s%n", step, victim, result);
            }
        }
        System.out.println("violations: " + trial.observer().violations());
        return failureCount == 0 && trial.observer().violations().isEmpty();
    }
}

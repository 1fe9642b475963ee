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
        boolean sound;
        try (ConfigurationTrial trial = new ConfigurationTrial(dir, followers)) {
            sound = steps ? runStepTable(trial) : runSeeds(trial);
        }
        if (sound) {
            Installation.deleteRecursively(dir);
        } else {
            System.out.println("files kept in " + dir);
        }
        return sound ? 0 : 1;
    }

    private boolean runSeeds(ConfigurationTrial trial) throws Exception {
        boolean sound = true;
        for (long each = seed; each < seed + seeds && sound; each++) {
            ConfigurationTrial.Verdict verdict = trial.run(each, faults);
            System.out.printf(
                    "seed %d: %d changes, %d observations; applied after p50 %d, p99 %d, max"
                            + " %d ms; max by fault %s%s%n",
                    each,
                    verdict.changeCount(),
                    verdict.observationCount(),
                    verdict.medianMs(),
                    verdict.p99Ms(),
                    verdict.maxMs(),
                    verdict.maxMsByFault(),
                    verdict.violations().isEmpty() ? "" : ", VIOLATIONS " + verdict.violations());
            sound = verdict.violations().isEmpty();
        }
        return sound;
    }

    private static boolean runStepTable(ConfigurationTrial trial) throws InterruptedException {
        ConfigurationStepTrial cells = new ConfigurationStepTrial(trial);
        int failed = 0;
        for (ConfigurationStepTrial.Step step : ConfigurationStepTrial.Step.values()) {
            for (ConfigurationStepTrial.Victim victim : ConfigurationStepTrial.Victim.values()) {
                String came;
                try {
                    came = "applied by all followers after " + cells.runCase(step, victim) + " ms";
                } catch (IOException not) {
                    came = not.getMessage();
                    failed++;
                }
                System.out.printf("%-15s %-12s %s%n", step, victim, came);
            }
        }
        System.out.println("violations: " + trial.observer().violations());
        return failed == 0 && trial.observer().violations().isEmpty();
    }
}

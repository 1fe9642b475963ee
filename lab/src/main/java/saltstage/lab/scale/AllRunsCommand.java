package saltstage.lab.scale;

import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** Executes every scale run in sequence, then computes the fits and the tables of the page. */
@Command(
        name = "all",
        mixinStandardHelpOptions = true,
        description =
                "All runs, the fits and the page's tables; exits with 1 if a bound is missed.")
final class AllRunsCommand implements Callable<Integer> {
    private static final List<String> RUNS =
            List.of(
                    "list",
                    "renewals",
                    "renewals-grouped",
                    "leases",
                    "connections",
                    "deliveries",
                    "configuration",
                    "real-relays",
                    "fleet",
                    "fleet-events");
    private static final List<String> RESULTS = List.of("fit", "page");

    @Spec private CommandSpec spec;

    @Override
    public Integer call() {
        CommandLine scale = spec.parent().commandLine();
        int failedRuns = 0;
        for (String run : RUNS) {
            long startNanos = System.nanoTime();
            int exitCode = scale.execute(run);
            failedRuns += exitCode == 0 ? 0 : 1;
            ScaleRun.printProgress(
                    run
                            + ": exit "
                            + exitCode
                            + " after "
                            + (System.nanoTime() - startNanos) / 1_000_000_000
                            + " s");
        }
        for (String result : RESULTS) {
            failedRuns += scale.execute(result) == 0 ? 0 : 1;
        }
        return failedRuns == 0 ? 0 : 1;
    }
}

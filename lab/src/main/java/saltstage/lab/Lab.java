package saltstage.lab;

import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import saltstage.lab.amqp.AmqpBenchmark;
import saltstage.lab.amqp.LoadCommand;
import saltstage.lab.fleet.DemoCommand;
import saltstage.lab.fleet.FleetCommand;
import saltstage.lab.measure.RestartCommand;
import saltstage.lab.measure.StartupCommand;
import saltstage.lab.scale.ScaleCommand;
import saltstage.lab.store.StoreBenchmark;
import saltstage.lab.trial.CoordinatorBenchmark;
import saltstage.lab.trial.DemoFleetCommand;
import saltstage.lab.trial.LeaseWorkerCommand;
import saltstage.lab.trial.TrialCommand;
import saltstage.lab.trial.TrialFollowersCommand;

/** The entry point of the lab's command line, with all its commands. */
@Command(
        name = "lab",
        description =
                "Fake backends, load, benchmarks and trials for saltstage; not for production.",
        mixinStandardHelpOptions = true,
        subcommands = {
            FleetCommand.class,
            DemoCommand.class,
            StartupCommand.class,
            StoreBenchmark.class,
            RestartCommand.class,
            LoadCommand.class,
            AmqpBenchmark.class,
            TrialCommand.class,
            LeaseWorkerCommand.class,
            CoordinatorBenchmark.class,
            DemoFleetCommand.class,
            TrialFollowersCommand.class,
            ScaleCommand.class,
            CommandLine.HelpCommand.class
        })
public final class Lab implements Callable<Integer> {
    static final int EXIT_FAILED = 1;
    static final int EXIT_USAGE = 2;

    /** Runs a command; exits with 0 on success, 1 on a failure, 2 on an invalid command line. */
    public static void main(String[] args) {
        CommandLine commandLine = new CommandLine(new Lab());
        commandLine.setParameterExceptionHandler(
                (e, arguments) -> reportError(e.getMessage(), EXIT_USAGE));
        commandLine.setExecutionExceptionHandler(
                (e, command, parsed) -> reportError(String.valueOf(e.getMessage()), EXIT_FAILED));
        System.exit(commandLine.execute(args));
    }

    /** Prints the message as one line on standard error and returns the exit code. */
    static int reportError(String message, int code) {
        System.err.println("lab: " + message.replaceAll("\\s+", " "));
        return code;
    }

    @Override
    public Integer call() {
        return reportError("a sub-command is needed; see 'help'", EXIT_USAGE);
    }
}

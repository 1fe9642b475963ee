package saltstage.lab;

import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import saltstage.lab.amqp.AmqpBench;
import saltstage.lab.amqp.LoadCommand;
import saltstage.lab.fleet.DemoCommand;
import saltstage.lab.fleet.FleetCommand;
import saltstage.lab.measure.RestartCommand;
import saltstage.lab.measure.StartupCommand;
import saltstage.lab.scale.ScaleCommand;
import saltstage.lab.store.StoreBench;
import saltstage.lab.trial.DemoFleetCommand;
import saltstage.lab.trial.FollowersCommand;
import saltstage.lab.trial.LeaderCommand;
import saltstage.lab.trial.TrialCommand;
import saltstage.lab.trial.WorkerCommand;

/** The laboratory's command line. */
@Command(name = "lab", description = "Stand-ins, load and measurements for saltstage; never in service.",
    mixinStandardHelpOptions = true,
    subcommands = {FleetCommand.class, DemoCommand.class, StartupCommand.class, StoreBench.class,
        RestartCommand.class, LoadCommand.class, AmqpBench.class, TrialCommand.class, WorkerCommand.class,
        LeaderCommand.class, DemoFleetCommand.class, FollowersCommand.class,
        ScaleCommand.class, CommandLine.HelpCommand.class})
public final class Lab implements Callable<Integer> {
    static final int FAILED = 1;
    static final int USAGE = 2;

    /** Exits 0 when done, 1 on a failure, 2 on a wrong command line. */
    public static void main(String[] args) {
        CommandLine line = new CommandLine(new Lab());
        line.setParameterExceptionHandler((e, words) -> complain(e.getMessage(), USAGE));
        line.setExecutionExceptionHandler((e, at, all) -> complain(String.valueOf(e.getMessage()), FAILED));
        System.exit(line.execute(args));
    }

    static int complain(String what, int code) {
        System.err.println("lab: " + what.replaceAll("\\s+", " "));
        return code;
    }

    @Override
    public Integer call() {
        return complain("a sub-command is needed; see 'help'", USAGE);
    }
}

package saltstage.lab.scale;

import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** Command group of the scale runs and of the capacity page that is computed from them. */
@Command(
        name = "scale",
        mixinStandardHelpOptions = true,
        subcommands = {
            ListRun.class,
            BackendsRun.class,
            RenewalsRun.class,
            GroupedRenewalsRun.class,
            LeasesRun.class,
            ConnectionsRun.class,
            DeliveriesRun.class,
            FleetRun.class,
            ConfigurationRun.class,
            FleetEventsRun.class,
            RealRelaysRun.class,
            AllRunsCommand.class,
            SimulatedRelayHostCommand.class,
            FitCommand.class,
            PageCommand.class
        },
        description =
                "Measures the cost of each role as its quantities grow; writes CSV files to"
                        + " docs/measurements/scale-*.csv.")
public final class ScaleCommand implements Callable<Integer> {
    @Spec private CommandSpec spec;

    @Override
    public Integer call() {
        throw new CommandLine.ParameterException(
                spec.commandLine(), "a sub-command is needed; see 'help'");
    }
}

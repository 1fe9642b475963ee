package saltstage.lab.scale;

import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** Scale runs and the page that is computed from them. */
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
                "What each role costs as its quantities grow; CSVs go to"
                        + " docs/measurements/scale-*.csv.")
public final class ScaleCommand implements Callable<Integer> {
    @Spec private CommandSpec spec;

    @Override
    public Integer call() {
        throw new CommandLine.ParameterException(
                spec.commandLine(), "a sub-command is needed; see 'help'");
    }
}

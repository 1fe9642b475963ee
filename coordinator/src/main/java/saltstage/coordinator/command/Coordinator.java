package saltstage.coordinator.command;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import org.slf4j.LoggerFactory;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import saltstage.coordinator.client.GroupClient;
import saltstage.wire.MalformedException;

/** The command line of the coordinator: replicas, and whoever asks them. */
@Command(
        name = "saltstage",
        description = "Leases and maintenance for a fleet of relays.",
        mixinStandardHelpOptions = true,
        subcommands = {
            ClusterCommand.class,
            DistributorCommand.class,
            LeaseCommand.class,
            WindowCommand.class,
            AgentCommand.class,
            AdviceCommand.class,
            GroupConfigCommand.class
        })
public final class Coordinator {
    /** No group could be reached. */
    static final int UNREACHABLE = 69;

    /** The lease was lost, or not had in time. */
    static final int LOST = 75;

    private Coordinator() {}

    /**
     * Runs a command; exit 0 done, 1 bad settings or refused, 2 usage, 69 no group, 75 no lease, 78
     * too old.
     */
    public static void main(String... args) {
        System.exit(run(args));
    }

    static int run(String... args) {
        ((Logger) LoggerFactory.getLogger("io.microraft"))
                .setLevel(Level.WARN); // it tells of each vote
        return new CommandLine(new Coordinator())
                .setExecutionExceptionHandler(
                        (failed, line, parsed) -> {
                            System.err.println(
                                    "saltstage: "
                                            + (failed.getMessage() == null
                                                    ? failed
                                                    : failed.getMessage()));
                            return failed instanceof GroupClient.Unreachable
                                    ? UNREACHABLE
                                    : failed instanceof MalformedException
                                            ? 1
                                            : CommandLine.ExitCode.SOFTWARE;
                        })
                .execute(args);
    }
}

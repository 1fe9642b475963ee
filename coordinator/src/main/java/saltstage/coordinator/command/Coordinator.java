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
                .setExecutionExceptionHandler((failure, line, parsed) -> fail(failure))
                .execute(args);
    }

    private static int fail(Exception failure) {
        Object message = failure.getMessage() == null ? failure : failure.getMessage();
        System.err.println("saltstage: " + message);
        if (failure instanceof GroupClient.GroupUnreachableException) {
            return ExitCode.UNREACHABLE;
        }
        if (failure instanceof CommandRejectedException || failure instanceof MalformedException) {
            return ExitCode.REJECTED;
        }
        return CommandLine.ExitCode.SOFTWARE;
    }
}

package saltstage.coordinator.command;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import org.slf4j.LoggerFactory;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import saltstage.coordinator.client.GroupClient;
import saltstage.wire.MalformedException;

/** The main class of the coordinator: runs its replicas and the commands for their clients. */
@Command(
        name = "saltstage",
        description = "Coordinates a fleet of relays: leases, configuration and maintenance.",
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
     * Runs a command and exits the process. The exit codes are 0 (success), 1 (malformed settings,
     * or rejected by the group), 2 (usage error), 69 (the group is unreachable), 75 (the lease was
     * lost or not granted) and 78 (a replica whose build is too old or that the group refuses).
     */
    public static void main(String... args) {
        System.exit(run(args));
    }

    static int run(String... args) {
        ((Logger) LoggerFactory.getLogger("io.microraft"))
                .setLevel(Level.WARN); // the engine logs each vote
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

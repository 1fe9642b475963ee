package saltstage.coordinator.command;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import saltstage.coordinator.distribution.DistributorProcess;
import saltstage.coordinator.settings.CoordinatorSettings;
import saltstage.coordinator.settings.DistributorSettings;

/** Commands for the distributors of the group's configuration. */
@Command(
        name = "distributor",
        description = "Distributes the group's configuration to the relays of a zone.",
        mixinStandardHelpOptions = true,
        subcommands = {DistributorCommand.Serve.class})
final class DistributorCommand {
    /** The directory or the address cannot be used: EX_IOERR of sysexits.h. */
    private static final int EXIT_CANNOT_START = 74;

    /** The stored and the served configuration differ: EX_SOFTWARE of sysexits.h. */
    private static final int EXIT_FAULT = 70;

    private DistributorCommand() {}

    /** Runs one distributor. */
    @Command(
            name = "serve",
            description = "Runs a distributor until SIGTERM.",
            mixinStandardHelpOptions = true)
    static final class Serve implements Callable<Integer> {
        @Option(names = "--settings", required = true, paramLabel = "FILE")
        private Path settingsFile;

        @Option(
                names = "--name",
                required = true,
                description = "name of the distributor in the settings")
        private String name;

        @Override
        public Integer call() throws Exception {
            DistributorSettings settings =
                    CoordinatorSettings.read(settingsFile).distributorSettings(name);
            DistributorProcess process;
            try {
                process = new DistributorProcess(settings, Serve::haltAfterFault);
            } catch (IOException e) {
                System.err.println("saltstage: " + e.getMessage());
                return EXIT_CANNOT_START;
            }
            Runtime.getRuntime().addShutdownHook(new Thread(() -> close(process)));
            new CountDownLatch(1).await(); // SIGTERM ends the process
            return 0;
        }

        private static void close(DistributorProcess process) {
            try {
                process.close();
            } catch (IOException e) {
                System.err.println("saltstage: " + e.getMessage());
            }
        }

        private static void haltAfterFault(RuntimeException cause) {
            System.err.println("saltstage: " + cause.getMessage());
            Runtime.getRuntime().halt(EXIT_FAULT);
        }
    }
}

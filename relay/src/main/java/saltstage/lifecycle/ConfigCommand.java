package saltstage.lifecycle;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import saltstage.config.Configuration;
import saltstage.config.OperatorSettings;
import saltstage.log.Log;
import saltstage.persistence.ConfigurationVersions;
import saltstage.store.FileDisk;
import saltstage.store.Store;
import saltstage.wire.MalformedException;

/**
 * The {@code config} command: shows the configuration versions that a relay has accepted, and
 * restores one.
 */
@Command(
        name = "config",
        mixinStandardHelpOptions = true,
        description = {
            "Shows the configurations that a relay has accepted, and restores one.",
            "They are read from the store that the settings name, also while the relay runs."
        },
        subcommands = {
            ConfigCommand.ListVersions.class,
            ConfigCommand.Show.class,
            ConfigCommand.Rollback.class,
            CommandLine.HelpCommand.class
        })
final class ConfigCommand implements Callable<Integer> {
    @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

    @Override
    public Integer call() {
        throw new CommandLine.ParameterException(
                spec.commandLine(), "a sub-command is needed; see 'config help'");
    }

    private interface StoreReader<T> {
        T read(Store store) throws IOException;
    }

    /** The store that holds the versions, found by the operator's settings. */
    static final class SettingsStore {
        @Option(
                names = "--settings",
                paramLabel = "FILE",
                required = true,
                description = "the operator's settings, whose store block names the directory")
        private Path file;

        private <T> T read(StoreReader<T> reader) throws IOException, MalformedException {
            OperatorSettings.PersistenceSettings persistence =
                    OperatorSettings.read(file)
                            .persistence()
                            .orElseThrow(
                                    () ->
                                            new MalformedException(
                                                    file + ": there is no store block"));
            if (!Files.isDirectory(persistence.dir())) {
                throw new IOException(persistence.dir() + ": there is no store");
            }
            try (Store store = Store.openToRead(new FileDisk(persistence.dir()), Log::warn)) {
                return reader.read(store);
            } catch (IOException e) {
                throw new IOException(persistence.dir() + ": " + e.getMessage(), e);
            }
        }

        private ConfigurationVersions.Version find(long number)
                throws IOException, MalformedException {
            return read(store -> ConfigurationVersions.find(store, number))
                    .orElseThrow(() -> new MalformedException("there is no version " + number));
        }
    }

    /** Lists the versions. */
    @Command(
            name = "history",
            mixinStandardHelpOptions = true,
            description =
                    "Lists the stored versions: number, time, hash, and the sizes of the two"
                            + " texts.")
    static final class ListVersions implements Callable<Integer> {
        @CommandLine.Mixin private SettingsStore settingsStore;

        @Option(names = "--json", description = "one JSON object a line")
        private boolean json;

        @Override
        public Integer call() throws IOException, MalformedException {
            for (ConfigurationVersions.Version version :
                    settingsStore.read(ConfigurationVersions::all)) {
                int configuration = version.configuration().getBytes(StandardCharsets.UTF_8).length;
                int settings = version.settings().getBytes(StandardCharsets.UTF_8).length;
                System.out.printf(
                        json
                                ? "{\"version\":%d,\"at\":\"%s\",\"hash\":\"%s\","
                                        + "\"configuration_bytes\":%d,\"settings_bytes\":%d}%n"
                                : "%d %s %s configuration=%d settings=%d%n",
                        version.number(),
                        version.at(),
                        version.hash(),
                        configuration,
                        settings);
            }
            return 0;
        }
    }

    /** The two texts of a version. */
    enum Part {
        configuration,
        settings
    }

    /** Prints one version. */
    @Command(
            name = "show",
            mixinStandardHelpOptions = true,
            description = "Prints a version as it was accepted.")
    static final class Show implements Callable<Integer> {
        @CommandLine.Mixin private SettingsStore settingsStore;

        @Parameters(index = "0", paramLabel = "N", description = "the version")
        private long number;

        @Option(
                names = "--part",
                defaultValue = "configuration",
                description =
                        "configuration (the platform's JSON, default) or settings (the operator's"
                                + " HCL)")
        private Part part;

        @Override
        public Integer call() throws IOException, MalformedException {
            ConfigurationVersions.Version version = settingsStore.find(number);
            System.out.print(part == Part.settings ? version.settings() : version.configuration());
            System.out.flush();
            return 0;
        }
    }

    /** Restores the files of one version. */
    @Command(
            name = "rollback",
            mixinStandardHelpOptions = true,
            description = {
                "Checks a version and replaces the files by its texts, each file atomically."
                        + " The relay reads",
                "them on SIGHUP or at its next start, as a new version. An invalid version"
                        + " is rejected."
            })
    static final class Rollback implements Callable<Integer> {
        @CommandLine.Mixin private SettingsStore settingsStore;

        @Parameters(index = "0", paramLabel = "N", description = "the version")
        private long number;

        @Option(
                names = "--config",
                paramLabel = "FILE",
                required = true,
                description = "the configuration file to replace")
        private Path config;

        @Option(names = "--keep-settings", description = "replace the configuration only")
        private boolean keepSettings;

        @Override
        public Integer call() throws IOException, MalformedException {
            ConfigurationVersions.Version version = settingsStore.find(number);
            Configuration.parse(version.configuration());
            OperatorSettings settings =
                    OperatorSettings.parse("version " + number, version.settings());
            if (!keepSettings && settings.persistence().isEmpty()) {
                throw new MalformedException(
                        "version "
                                + number
                                + ": its settings keep no history; give --keep-settings");
            }
            replace(config, version.configuration());
            if (!keepSettings) {
                replace(settingsStore.file, version.settings());
            }
            System.out.println(
                    "version "
                            + number
                            + " is in "
                            + config
                            + (keepSettings ? "" : " and " + settingsStore.file)
                            + "; send SIGHUP to the relay");
            return 0;
        }

        private static void replace(Path file, String text) throws IOException {
            Path temporary = file.resolveSibling(file.getFileName() + ".next");
            Files.writeString(temporary, text);
            try (FileChannel channel = FileChannel.open(temporary, StandardOpenOption.WRITE)) {
                channel.force(true);
            }
            Files.move(temporary, file, StandardCopyOption.ATOMIC_MOVE);
        }
    }
}

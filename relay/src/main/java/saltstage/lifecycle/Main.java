package saltstage.lifecycle;

import java.io.BufferedReader;
import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStreamWriter;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.IVersionProvider;
import picocli.CommandLine.Option;
import saltstage.config.Configuration;
import saltstage.config.OperatorSettings;
import saltstage.log.Log;
import saltstage.log.LogSetup;
import saltstage.sim.MalformedMessageException;
import saltstage.sim.SimulatorAdapter;
import saltstage.wire.MalformedException;

/** The command line of the relay. */
@Command(
        name = "saltstage",
        description = "A relay for long-lived connections.",
        mixinStandardHelpOptions = true,
        versionProvider = Main.Version.class,
        subcommands = {
            Main.Serve.class,
            Main.Check.class,
            Main.Wirehost.class,
            Main.ShowVersion.class,
            CommandLine.HelpCommand.class
        })
public final class Main implements Callable<Integer> {
    private static final HangupSignal HANGUP_SIGNAL = new HangupSignal();
    private static final int EXIT_FAILED = 1;
    private static final int EXIT_USAGE = 2;

    /** Exits with 0 on success, 1 on invalid configuration or input, 2 on a wrong command line. */
    public static void main(String[] args) {
        boolean serving = args.length > 0 && args[0].equals("serve");
        if (serving) {
            HANGUP_SIGNAL.install(); // before anything that takes time
        }
        System.exit(commandLine(serving).execute(args));
    }

    /**
     * Builds the command line. The serve command skips the operators' commands: loading them would
     * delay a relay that restarts on half a core.
     */
    private static CommandLine commandLine(boolean serving) {
        CommandLine commandLine = new CommandLine(new Main());
        if (!serving) {
            commandLine
                    .addSubcommand(new StoreCommand())
                    .addSubcommand(new ConfigCommand())
                    .addSubcommand(new OperatorCommand());
        }
        // Every error is printed as one plain line; by default picocli would add the whole usage.
        commandLine.setParameterExceptionHandler(
                (e, args) -> reportError(e.getMessage(), EXIT_USAGE));
        commandLine.setExecutionExceptionHandler(
                (e, command, parseResult) ->
                        reportError(String.valueOf(e.getMessage()), EXIT_FAILED));
        return commandLine;
    }

    private static int reportError(String message, int exitCode) {
        System.err.println("saltstage: " + message.replaceAll("\\s+", " "));
        return exitCode;
    }

    @Override
    public Integer call() {
        return reportError("a sub-command is needed; see 'help'", EXIT_USAGE);
    }

    /** The version that the jar was built with. */
    static final class Version implements IVersionProvider {
        @Override
        public String[] getVersion() {
            String version = Main.class.getPackage().getImplementationVersion();
            return new String[] {"saltstage " + (version == null ? "development" : version)};
        }
    }

    /** The option that names the configuration file. */
    static final class ConfigOption {
        @Option(
                names = "--config",
                description = "the configuration file (default: the path in GW_CONFIG)",
                defaultValue = "${env:GW_CONFIG}")
        private Path file;

        boolean isGiven() {
            return file != null && !file.toString().isEmpty();
        }

        Configuration read() throws MalformedException {
            if (!isGiven()) {
                throw new MalformedException("no configuration: set GW_CONFIG or give --config");
            }
            return Configuration.read(file);
        }
    }

    /** The option that names the operator's settings file, if there is one. */
    static final class SettingsOption {
        @Option(
                names = "--settings",
                paramLabel = "FILE",
                description = "the operator's settings in HCL (default: none, as on the platform)")
        private Path file;

        OperatorSettings read() throws MalformedException {
            return file == null ? OperatorSettings.defaults() : OperatorSettings.read(file);
        }
    }

    /** Runs the relay. */
    @Command(
            name = "serve",
            description = "Runs the relay until SIGTERM; SIGHUP reads the configuration again.",
            mixinStandardHelpOptions = true)
    static final class Serve implements Callable<Integer> {
        @CommandLine.Mixin private ConfigOption config;

        @CommandLine.Mixin private SettingsOption settings;

        @Override
        public Integer call() throws MalformedException, IOException, InterruptedException {
            OperatorSettings operatorSettings = settings.read();
            LogSetup.reconfigure(
                    operatorSettings.logging().format(), operatorSettings.logging().level().name());
            if (HANGUP_SIGNAL.isIgnored()) {
                Log.warn("reload.ignored", "why", "the process was started with SIGHUP ignored");
            }
            RelayServer server =
                    new RelayServer(
                            config.read(),
                            operatorSettings,
                            ProcessEnvironment.of(System.getenv()));
            Runtime.getRuntime()
                    .addShutdownHook(
                            new Thread(
                                    () -> {
                                        if (server.drain()) {
                                            Runtime.getRuntime()
                                                    .halt(0); // a planned end is no failure
                                        }
                                    },
                                    "drain"));
            server.start();
            HANGUP_SIGNAL.setHandler(() -> server.reload(config::read, settings::read));
            new CountDownLatch(1).await();
            return 0;
        }
    }

    /** Checks the configuration and the settings. */
    @Command(
            name = "check",
            description = "Reads the configuration and reports whether it is valid.",
            mixinStandardHelpOptions = true)
    static final class Check implements Callable<Integer> {
        @CommandLine.Mixin private ConfigOption config;

        @CommandLine.Mixin private SettingsOption settings;

        @Override
        public Integer call() throws MalformedException {
            boolean checksConfiguration = config.isGiven() || settings.file == null;
            if (settings.file != null) {
                settings.read();
                System.out.println("sound: settings " + settings.file);
            }
            if (checksConfiguration) {
                Configuration configuration = config.read();
                int backends = configuration.knownBackends().entries().size();
                System.out.println(
                        "sound: " + configuration.name() + ", " + backends + " backends known");
            }
            return 0;
        }
    }

    /** Prints the version. */
    @Command(name = "version", description = "Prints the version.", mixinStandardHelpOptions = true)
    static final class ShowVersion implements Callable<Integer> {
        @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

        @Override
        public Integer call() {
            PrintWriter out = spec.commandLine().getOut();
            out.println(new Version().getVersion()[0]);
            out.flush();
            return 0;
        }
    }

    /** Runs the simulator's adapter on standard input and output. */
    @Command(
            name = "wirehost",
            description = "Speaks the simulator's protocol on standard input and output.",
            mixinStandardHelpOptions = true)
    static final class Wirehost implements Callable<Integer> {
        @Override
        public Integer call() throws IOException {
            BufferedReader in =
                    new BufferedReader(
                            new InputStreamReader(System.in, StandardCharsets.UTF_8), 1 << 16);
            OutputStreamWriter out =
                    new OutputStreamWriter(
                            new FileOutputStream(FileDescriptor.out), StandardCharsets.UTF_8);
            try {
                new SimulatorAdapter(in, out).run();
                return 0;
            } catch (MalformedMessageException e) {
                return reportError(e.getMessage(), EXIT_FAILED);
            }
        }
    }
}

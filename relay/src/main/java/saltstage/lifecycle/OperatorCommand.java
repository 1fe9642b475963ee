package saltstage.lifecycle;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import saltstage.wire.BackendList;
import saltstage.wire.MalformedException;

/** The {@code call} command: operator calls to a running relay. */
@Command(
        name = "call",
        mixinStandardHelpOptions = true,
        description = {
            "Calls a running relay at its GW_ADMIN address or its configured admin address.",
            "Exits with 0 if the relay accepted the call, 1 if it rejected it, 3 on no answer."
        },
        subcommands = {
            OperatorCommand.Status.class,
            OperatorCommand.Metrics.class,
            OperatorCommand.Suspend.class,
            OperatorCommand.Restore.class,
            CommandLine.HelpCommand.class
        })
final class OperatorCommand implements Callable<Integer> {
    private static final int EXIT_REJECTED = 1;
    private static final int EXIT_NO_ANSWER = 3;

    @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

    @Override
    public Integer call() {
        throw new CommandLine.ParameterException(
                spec.commandLine(), "a sub-command is needed; see 'call help'");
    }

    /**
     * The options of every operator call: the relay's admin address, the time-out and the output
     * format.
     */
    static final class RelayClientOptions {
        private static final int MAX_ANSWER_BYTES = 1 << 20;

        @Option(
                names = "--admin",
                paramLabel = "IP:PORT",
                defaultValue = "${env:GW_ADMIN}",
                description = "the relay's admin address (default: the value of GW_ADMIN)")
        private String admin;

        @Option(
                names = "--timeout",
                paramLabel = "MS",
                defaultValue = "2000",
                description = "how long to wait, in milliseconds (default: ${DEFAULT-VALUE})")
        private int timeoutMillis;

        @Option(names = "--json", description = "one JSON object instead of lines")
        private boolean json;

        private int call(String command) throws MalformedException {
            if (admin == null || admin.isEmpty()) {
                throw new MalformedException("no address: set GW_ADMIN or give --admin");
            }
            InetSocketAddress address = BackendList.parseAddress(admin);
            List<String> lines;
            try {
                lines = exchange(address, command);
            } catch (IOException failure) {
                System.err.println(
                        "saltstage: " + admin + " did not answer: " + failure.getMessage());
                return EXIT_NO_ANSWER;
            }
            String last = lines.isEmpty() ? "" : lines.get(lines.size() - 1);
            boolean succeeded = last.equals("end") || last.startsWith("done");
            if (!succeeded && !last.startsWith("error")) {
                System.err.println("saltstage: " + admin + " did not answer whole");
                return EXIT_NO_ANSWER;
            }
            System.out.println(
                    json ? toJson(succeeded, lines) : String.join(System.lineSeparator(), lines));
            return succeeded ? 0 : EXIT_REJECTED;
        }

        private List<String> exchange(InetSocketAddress address, String command)
                throws IOException {
            long deadlineNs = System.nanoTime() + Duration.ofMillis(timeoutMillis).toNanos();
            try (Socket socket = new Socket()) {
                socket.connect(address, timeoutMillis);
                socket.getOutputStream()
                        .write((command + "\r\n").getBytes(StandardCharsets.US_ASCII));
                InputStream in = socket.getInputStream();
                StringBuilder text = new StringBuilder();
                for (int next = 0; next >= 0 && text.length() < MAX_ANSWER_BYTES; ) {
                    socket.setSoTimeout(
                            (int) Math.max(1, (deadlineNs - System.nanoTime()) / 1_000_000));
                    next = in.read();
                    if (next >= 0) {
                        text.append((char) next);
                    }
                }
                return text.toString().lines().toList();
            }
        }

        /** Formats an answer as JSON. The metric names are the relay's own and need no escaping. */
        private static String toJson(boolean succeeded, List<String> lines) {
            List<String> members = new ArrayList<>(List.of("\"ok\":" + succeeded));
            Map<String, String> metrics = new TreeMap<>();
            for (String line : lines) {
                int colon = line.indexOf(':');
                int bar = line.indexOf('|');
                if (line.startsWith("app.") && colon > 0 && bar > colon) {
                    metrics.put(line.substring(0, colon), line.substring(colon + 1, bar));
                } else if (!line.equals("end")) {
                    members.add("\"said\":\"" + line.replace('\\', '/').replace('"', '\'') + "\"");
                }
            }
            metrics.forEach((name, value) -> members.add("\"" + name + "\":" + value));
            return "{" + String.join(",", members) + "}";
        }
    }

    /** Prints whether the relay serves. */
    @Command(
            name = "status",
            description = "Prints whether this process serves.",
            mixinStandardHelpOptions = true)
    static final class Status implements Callable<Integer> {
        @CommandLine.Mixin private RelayClientOptions relay;

        @Override
        public Integer call() throws MalformedException {
            return relay.call("STATUS");
        }
    }

    /** Prints the relay's metrics. */
    @Command(
            name = "metrics",
            description = "Prints the metrics of this process.",
            mixinStandardHelpOptions = true)
    static final class Metrics implements Callable<Integer> {
        @CommandLine.Mixin private RelayClientOptions relay;

        @Override
        public Integer call() throws MalformedException {
            return relay.call("METRICS");
        }
    }

    /** Suspends a backend. */
    @Command(
            name = "suspend",
            description = "Suspends a backend: it gets no more requests until it is restored.",
            mixinStandardHelpOptions = true)
    static final class Suspend implements Callable<Integer> {
        @CommandLine.Mixin private RelayClientOptions relay;

        @Parameters(paramLabel = "ID", description = "the id of the backend in discovery")
        private String id;

        @Override
        public Integer call() throws MalformedException {
            return relay.call("SUSPEND " + id);
        }
    }

    /** Restores a suspended backend. */
    @Command(
            name = "restore",
            description = "Ends the suspension of a backend.",
            mixinStandardHelpOptions = true)
    static final class Restore implements Callable<Integer> {
        @CommandLine.Mixin private RelayClientOptions relay;

        @Parameters(paramLabel = "ID", description = "the id of the backend in discovery")
        private String id;

        @Override
        public Integer call() throws MalformedException {
            return relay.call("RESTORE " + id);
        }
    }
}

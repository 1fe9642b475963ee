package saltstage.coordinator.command;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import saltstage.coordinator.group.GroupCodec;
import saltstage.coordinator.model.Command;
import saltstage.coordinator.model.Reply;
import saltstage.coordinator.settings.FleetSettings;
import saltstage.coordinator.window.Window;
import saltstage.coordinator.window.WindowCommands;
import saltstage.coordinator.window.WindowReplies;
import saltstage.coordinator.window.WindowRequest;

/** Commands for maintenance windows. */
@CommandLine.Command(
        name = "window",
        description = "Maintenance windows across regions.",
        mixinStandardHelpOptions = true,
        subcommands = {
            WindowCommand.Agree.class,
            WindowCommand.Propose.class,
            WindowCommand.ListWindows.class,
            WindowCommand.Withdraw.class,
            WindowCommand.Pause.class,
            WindowCommand.Timeline.class
        })
final class WindowCommand {
    private WindowCommand() {}

    private static String formatWindow(Window window) {
        return String.format(
                "%d %s %s %s: %s for %s, by %s%s; %s",
                window.id(),
                window.state(),
                window.wish().region(),
                window.wish().nodes(),
                window.start() == 0 ? "no time yet" : Instant.ofEpochMilli(window.start()),
                Duration.ofMillis(window.wish().durationMs()),
                window.wish().by(),
                window.begun() == 0 ? "" : ", begun " + Instant.ofEpochMilli(window.begun()),
                window.why());
    }

    private static Reply sendOrPrintRejection(GroupOptions group, Command command)
            throws Exception {
        try {
            return group.send(command);
        } catch (CommandRejectedException rejected) {
            if (group.isJson()) {
                System.out.println(
                        GroupCodec.jsonMapper().writeValueAsString(rejected.rejection()));
            }
            throw rejected;
        }
    }

    /** Sends a command and prints the reply. */
    private static int sendAndPrint(GroupOptions group, Command command) throws Exception {
        Reply reply = sendOrPrintRejection(group, command);
        if (reply instanceof WindowReplies.Planned planned) {
            group.print(
                    planned,
                    String.join(
                                    "\n",
                                    planned.windows().stream()
                                            .map(WindowCommand::formatWindow)
                                            .toList())
                            + (planned.known() ? "\nit was asked for before" : ""));
        } else {
            group.print(
                    reply,
                    reply instanceof WindowReplies.Now now ? formatWindow(now.window()) : "done");
        }
        return ExitCode.OK;
    }

    /** Replaces the plan of the fleet. */
    @CommandLine.Command(
            name = "agree",
            mixinStandardHelpOptions = true,
            description =
                    "Applies the block 'fleet' of a file: regions, nodes, floors and"
                            + " black-outs.")
    static final class Agree implements Callable<Integer> {
        @CommandLine.Mixin private GroupOptions group;

        @Parameters(paramLabel = "FILE")
        private Path file;

        @Override
        public Integer call() throws Exception {
            return sendAndPrint(
                    group,
                    new WindowCommands.SetFleet(
                            FleetSettings.read(file, Instant.now()),
                            System.getProperty("user.name")));
        }
    }

    /** Requests a window. */
    @CommandLine.Command(
            name = "propose",
            description = "Requests a window.",
            mixinStandardHelpOptions = true)
    static final class Propose implements Callable<Integer> {
        @CommandLine.Mixin private GroupOptions group;

        @Parameters(index = "0", paramLabel = "REGION")
        private String region;

        @Parameters(index = "1..*", arity = "1..*", paramLabel = "NODE")
        private List<String> nodes;

        @Option(names = "--purpose", required = true, description = "reason for the window")
        private String purpose;

        @Option(names = "--by", description = "author of the request (default: the user's name)")
        private String by = System.getProperty("user.name");

        @Option(
                names = "--drain",
                converter = GroupOptions.DurationConverter.class,
                defaultValue = "2m")
        private Duration drain;

        @Option(
                names = "--work",
                converter = GroupOptions.DurationConverter.class,
                defaultValue = "30m")
        private Duration work;

        @Option(
                names = "--warm",
                converter = GroupOptions.DurationConverter.class,
                defaultValue = "1m")
        private Duration warm;

        @Option(
                names = "--earliest",
                description = "earliest begin, such as 2026-12-02T22:00:00Z (default: now)")
        private Instant earliest;

        @Option(names = "--latest", description = "latest end (default: a week after --earliest)")
        private Instant latest;

        @Option(names = "--priority", defaultValue = "0")
        private int priority;

        @Option(
                names = "--emergency",
                description = "takes precedence over planned windows; floors still hold")
        private boolean emergency;

        @Option(names = "--split", description = "the nodes may be spread over several windows")
        private boolean split;

        @Option(
                names = "--after",
                split = ",",
                description = "numbers of windows that must end first")
        private List<Long> after = List.of();

        @Option(
                names = "--apart",
                split = ",",
                description = "labels; windows that share a label never overlap")
        private List<String> apart = List.of();

        @Override
        public Integer call() throws Exception {
            Instant from = earliest == null ? Instant.now() : earliest;
            Instant to = latest == null ? from.plus(Duration.ofDays(7)) : latest;
            return sendAndPrint(
                    group,
                    new WindowCommands.Propose(
                            new WindowRequest(
                                    region,
                                    nodes,
                                    drain.toMillis(),
                                    work.toMillis(),
                                    warm.toMillis(),
                                    from.toEpochMilli(),
                                    to.toEpochMilli(),
                                    priority,
                                    emergency,
                                    split,
                                    after,
                                    apart,
                                    by,
                                    purpose)));
        }
    }

    /** Shows all windows, or one. */
    @CommandLine.Command(
            name = "list",
            aliases = {"show", "explain"},
            mixinStandardHelpOptions = true,
            description = "Shows windows with their states and the reasons.")
    static final class ListWindows implements Callable<Integer> {
        @CommandLine.Mixin private GroupOptions group;

        @Parameters(arity = "0..1", paramLabel = "NUMBER")
        private Long id;

        @Override
        public Integer call() throws Exception {
            JsonNode response = group.get("/v1/windows");
            boolean found = id == null;
            for (JsonNode row : response.path("windows")) {
                Window window = GroupCodec.jsonMapper().treeToValue(row, Window.class);
                if (id == null || window.id() == id) {
                    group.print(window, formatWindow(window));
                    found = true;
                }
            }
            if (!found) {
                System.err.println("saltstage: no window " + id);
            }
            return found ? 0 : 1;
        }
    }

    /** Withdraws a window. */
    @CommandLine.Command(
            name = "withdraw",
            description = "Withdraws a window; aborts its drain.",
            mixinStandardHelpOptions = true)
    static final class Withdraw implements Callable<Integer> {
        @CommandLine.Mixin private GroupOptions group;

        @Parameters(paramLabel = "NUMBER")
        private long id;

        @Override
        public Integer call() throws Exception {
            return sendAndPrint(
                    group, new WindowCommands.Withdraw(id, System.getProperty("user.name")));
        }
    }

    /** Pauses a window. */
    @CommandLine.Command(
            name = "pause",
            description = "Pauses a window that has not begun.",
            mixinStandardHelpOptions = true)
    static final class Pause implements Callable<Integer> {
        @CommandLine.Mixin private GroupOptions group;

        @Parameters(paramLabel = "NUMBER")
        private long id;

        @Option(names = "--off", description = "resumes the window")
        private boolean off;

        @Override
        public Integer call() throws Exception {
            return sendAndPrint(
                    group, new WindowCommands.Pause(id, !off, System.getProperty("user.name")));
        }
    }

    /** Shows the capacity over time. */
    @CommandLine.Command(
            name = "timeline",
            description = "Shows the planned capacity and each floor, from now on.",
            mixinStandardHelpOptions = true)
    static final class Timeline implements Callable<Integer> {
        private static final int BAR_WIDTH_CHARS = 40;

        @CommandLine.Mixin private GroupOptions group;

        @Option(
                names = "--for",
                converter = GroupOptions.DurationConverter.class,
                defaultValue = "24h")
        private Duration span;

        @Override
        public Integer call() throws Exception {
            long now = System.currentTimeMillis();
            JsonNode response =
                    group.get("/v1/levels?most=48&from=" + now + "&to=" + (now + span.toMillis()));
            if (group.isJson()) {
                System.out.println(response);
                return ExitCode.OK;
            }
            for (JsonNode level : response) {
                long totalCapacity =
                        level.path("capacity").asLong() + level.path("missing").asLong();
                int filled =
                        (int)
                                (BAR_WIDTH_CHARS
                                        * level.path("capacity").asLong()
                                        / Math.max(1, totalCapacity));
                int floor =
                        (int)
                                Math.min(
                                        BAR_WIDTH_CHARS,
                                        BAR_WIDTH_CHARS
                                                * level.path("need").asLong()
                                                / Math.max(1, totalCapacity));
                StringBuilder bar =
                        new StringBuilder(
                                "#".repeat(filled) + ".".repeat(BAR_WIDTH_CHARS - filled));
                bar.insert(floor, '|');
                System.out.printf(
                        "%-12s %s %s %d of %d, floor %d%n",
                        level.path("floor").asText(),
                        Instant.ofEpochMilli(level.path("at").asLong()),
                        bar,
                        level.path("capacity").asLong() / 1000,
                        totalCapacity / 1000,
                        level.path("need").asLong() / 1000);
            }
            return ExitCode.OK;
        }
    }
}

package saltstage.coordinator.command;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import saltstage.coordinator.advice.AdviceCommands;
import saltstage.coordinator.advice.Advisor;
import saltstage.coordinator.advice.NodeSnapshots;
import saltstage.coordinator.client.GroupClient;
import saltstage.coordinator.client.LeaseClient;
import saltstage.coordinator.client.Ticker;
import saltstage.coordinator.group.GroupCodec;
import saltstage.coordinator.model.Rejection;
import saltstage.coordinator.model.Reply;
import saltstage.log.Log;

/** Commands for the advice on which tenants to move between nodes. */
@Command(
        name = "advice",
        description = "Advice on which tenants to move between nodes.",
        mixinStandardHelpOptions = true,
        subcommands = {
            AdviceCommand.ListAdvice.class,
            AdviceCommand.Accept.class,
            AdviceCommand.Refuse.class,
            AdviceCommand.Serve.class
        })
final class AdviceCommand {
    private AdviceCommand() {}

    private static int decide(GroupOptions group, long id, boolean accept) throws Exception {
        String by = System.getProperty("user.name");
        Reply reply = group.send(new AdviceCommands.Decide(id, accept, by));
        group.print(reply, id + ": " + (accept ? "accepted" : "refused"));
        return ExitCode.OK;
    }

    /** Lists the recommendations with their states. */
    @Command(
            name = "list",
            aliases = "history",
            description = "Shows recommendations and their states.",
            mixinStandardHelpOptions = true)
    static final class ListAdvice implements Callable<Integer> {
        @CommandLine.Mixin private GroupOptions group;

        @Override
        public Integer call() throws Exception {
            JsonNode response = group.get("/v1/advice");
            if (group.isJson()) {
                System.out.println(response);
                return ExitCode.OK;
            }
            System.out.println(response.path("book").path("why").asText());
            for (JsonNode row : response.path("book").path("rows")) {
                JsonNode move = row.path("move");
                System.out.printf(
                        "%d %s: %d connections of %s from %s to %s, gain %.0f for %.0f,"
                                + " confidence %.2f; %s%n",
                        row.path("id").asLong(),
                        row.path("state").asText(),
                        move.path("connections").asInt(),
                        move.path("tenant").asText(),
                        move.path("from").asText(),
                        move.path("to").asText(),
                        move.path("gain").asDouble(),
                        move.path("cost").asDouble(),
                        move.path("confidence").asDouble(),
                        move.path("why").asText());
            }
            return ExitCode.OK;
        }
    }

    /** Accepts a recommendation. */
    @Command(
            name = "accept",
            description = "Accepts a recommendation.",
            mixinStandardHelpOptions = true)
    static final class Accept implements Callable<Integer> {
        @CommandLine.Mixin private GroupOptions group;

        @Parameters(paramLabel = "NUMBER")
        private long id;

        @Override
        public Integer call() throws Exception {
            return decide(group, id, true);
        }
    }

    /** Refuses a recommendation. */
    @Command(
            name = "refuse",
            description = "Refuses a recommendation.",
            mixinStandardHelpOptions = true)
    static final class Refuse implements Callable<Integer> {
        @CommandLine.Mixin private GroupOptions group;

        @Parameters(paramLabel = "NUMBER")
        private long id;

        @Override
        public Integer call() throws Exception {
            return decide(group, id, false);
        }
    }

    /** Runs an advisor. Of several advisors only the holder of the lease gives advice. */
    @Command(
            name = "serve",
            description = "Runs an advisor; of several, only the holder of a lease gives advice.",
            mixinStandardHelpOptions = true)
    static final class Serve implements Callable<Integer> {
        private static final java.time.Duration LEASE_TTL = java.time.Duration.ofSeconds(5);
        private static final java.time.Duration LEASE_WAIT = java.time.Duration.ofSeconds(30);

        @CommandLine.Mixin private GroupOptions group;

        @Option(
                names = "--every",
                converter = GroupOptions.DurationConverter.class,
                defaultValue = "2s")
        private java.time.Duration every;

        @Override
        public Integer call() throws Exception {
            LeaseClient leases =
                    new LeaseClient(
                            group.createClient(),
                            group.createClient(),
                            Ticker.SYSTEM,
                            "advisor-" + ProcessHandle.current().pid());
            Runtime.getRuntime().addShutdownHook(new Thread(leases::close));
            GroupClient client = group.createClient();
            while (true) {
                try (LeaseClient.Lease lease =
                        leases.acquire(
                                AdviceCommands.LEASE_NAME, LEASE_TTL, LEASE_WAIT, 0, () -> {})) {
                    Log.info("advisor.speaks", "fence", lease.fencingToken());
                    while (true) {
                        lease.checkStillHeld();
                        advise(client, lease, leases.owner());
                        Thread.sleep(every.toMillis());
                    }
                } catch (LeaseClient.LeaseLostException
                        | LeaseClient.LeaseNotGrantedException
                        | java.io.IOException e) {
                    Log.info("advisor.waits", "why", e.getMessage());
                    Thread.sleep(200);
                }
            }
        }

        private void advise(GroupClient client, LeaseClient.Lease lease, String owner)
                throws java.io.IOException, InterruptedException, LeaseClient.LeaseLostException {
            JsonNode response = client.get("/v1/advice", group.timeout());
            List<NodeSnapshots.View> views = new ArrayList<>();
            for (JsonNode view : response.path("views")) {
                views.add(GroupCodec.jsonMapper().treeToValue(view, NodeSnapshots.View.class));
            }
            List<Advisor.RecentMove> recentMoves = new ArrayList<>();
            for (JsonNode move : response.path("made")) {
                recentMoves.add(
                        GroupCodec.jsonMapper().treeToValue(move, Advisor.RecentMove.class));
            }
            Set<String> avoid = new HashSet<>();
            response.path("avoid").forEach(name -> avoid.add(name.asText()));
            Advisor.Advice advice =
                    new Advisor(Advisor.Rules.defaults()).advise(views, avoid, recentMoves, 0);
            lease.checkStillHeld();
            Reply reply =
                    client.send(
                                    new AdviceCommands.Advise(
                                            owner,
                                            lease.fencingToken(),
                                            advice.moves(),
                                            advice.why()),
                                    group.timeout())
                            .reply();
            if (reply instanceof Rejection rejection) {
                Log.warn("advisor.refused", "why", rejection.why());
            }
        }
    }
}

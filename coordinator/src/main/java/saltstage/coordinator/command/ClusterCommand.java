package saltstage.coordinator.command;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import saltstage.coordinator.api.ApiHandler;
import saltstage.coordinator.api.HttpListener;
import saltstage.coordinator.client.GroupClient;
import saltstage.coordinator.client.Ticker;
import saltstage.coordinator.group.GroupCodec;
import saltstage.coordinator.model.HostPort;
import saltstage.coordinator.replica.Replica;
import saltstage.coordinator.replica.ReplicaSettings;
import saltstage.coordinator.replica.ReplicaStatus;
import saltstage.coordinator.settings.CoordinatorSettings;
import saltstage.log.Log;
import saltstage.net.NettyTransport;
import saltstage.store.FileDisk;
import saltstage.store.Store;
import saltstage.store.StoreOptions;
import saltstage.wire.BackendList;
import saltstage.wire.MalformedException;

/** Commands that run replicas and change the members of the group. */
@Command(
        name = "cluster",
        description = "The replicas of a group.",
        mixinStandardHelpOptions = true,
        subcommands = {
            ClusterCommand.Serve.class,
            ClusterCommand.Status.class,
            ClusterCommand.Leave.class,
            ClusterCommand.Transfer.class
        })
final class ClusterCommand {
    private ClusterCommand() {}

    private static int changeMember(GroupOptions group, String path, String field, String member)
            throws Exception {
        JsonNode response = group.post(path, field, member);
        group.print(response, member + ": " + response.path("state").asText());
        return ExitCode.OK;
    }

    /** Runs one replica. */
    @Command(
            name = "serve",
            description = "Runs a replica until SIGTERM.",
            mixinStandardHelpOptions = true)
    static final class Serve implements Callable<Integer> {
        private static final Duration JOIN_RETRY_DELAY = Duration.ofMillis(300);

        @Option(names = "--settings", required = true, paramLabel = "FILE")
        private Path settingsFile;

        @Option(
                names = "--name",
                required = true,
                description = "name of the replica, as in the settings unless it joins")
        private String name;

        @Option(names = "--dir", description = "data directory, instead of the one in the settings")
        private Path dir;

        @Option(
                names = "--join",
                description = "joins as a new member that listens at PEERS,CLIENTS")
        private String join;

        @Override
        @SuppressWarnings("try") // the listener is only closed, not used
        public Integer call() throws Exception {
            CoordinatorSettings groupSettings = CoordinatorSettings.read(settingsFile);
            CoordinatorSettings.MemberAddresses joiningAddresses = joiningAddresses();
            ReplicaSettings settings = groupSettings.replicaSettings(name, dir, joiningAddresses);
            CountDownLatch stop = new CountDownLatch(1);
            CountDownLatch stopped = new CountDownLatch(1);
            Files.createDirectories(settings.dir());
            Store store =
                    Store.open(new FileDisk(settings.dir()), StoreOptions.defaults(), Log::info);
            try (Replica replica =
                            new Replica(
                                    settings,
                                    store,
                                    new NettyTransport(
                                            1,
                                            true,
                                            (where, fault) ->
                                                    Log.error("loop.fault." + where, fault)),
                                    Serve::halt);
                    HttpListener listener =
                            new HttpListener(
                                    settings.clientListenAddress(), new ApiHandler(replica))) {
                Runtime.getRuntime().addShutdownHook(new Thread(() -> stopAndAwait(stop, stopped)));
                Log.info(
                        "replica.ready",
                        "name",
                        name,
                        "group",
                        settings.group(),
                        "clients",
                        settings.clientListenAddress(),
                        "disk",
                        replica.diskId());
                if (joiningAddresses != null) {
                    joinGroup(groupSettings, settings, replica.diskId());
                }
                stop.await();
                transferLeadership(replica);
            } finally {
                stopped.countDown();
            }
            return ExitCode.OK;
        }

        /** The listen addresses of a new member, or null for a member that the settings name. */
        private CoordinatorSettings.MemberAddresses joiningAddresses() throws MalformedException {
            if (join == null) {
                return null;
            }
            String[] parts = join.split(",");
            if (parts.length != 2) {
                throw new MalformedException("--join takes PEERS,CLIENTS, each as ADDRESS:PORT");
            }
            return new CoordinatorSettings.MemberAddresses(
                    BackendList.parseAddress(parts[0]), BackendList.parseAddress(parts[1]));
        }

        private static void stopAndAwait(CountDownLatch stop, CountDownLatch stopped) {
            stop.countDown();
            try {
                stopped.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        /** Ends the process at once, without another write, because its state is not reliable. */
        private static void halt(int code, String why) {
            System.err.println("saltstage: " + why);
            Runtime.getRuntime().halt(code);
        }

        /** Transfers the leadership before a shutdown, so that clients see no gap. */
        private static void transferLeadership(Replica replica) {
            try {
                ReplicaStatus status = replica.status().get(1, TimeUnit.SECONDS);
                String successor =
                        status.voters().stream()
                                .filter(voter -> status.links().getOrDefault(voter, false))
                                .findFirst()
                                .orElse(null);
                if (status.name().equals(status.leader()) && successor != null) {
                    replica.transferLeadership(successor).get(2, TimeUnit.SECONDS);
                    Log.info("replica.handed-over", "to", successor);
                }
            } catch (InterruptedException | ExecutionException | TimeoutException e) {
                Log.warn("replica.kept-lead", "why", e.toString());
            }
        }

        /** Asks the group to accept this replica until it is a voter. */
        private void joinGroup(
                CoordinatorSettings groupSettings, ReplicaSettings settings, String diskId)
                throws InterruptedException, MalformedException, IOException {
            GroupClient client =
                    new GroupClient(
                            groupSettings.members().values().stream()
                                    .map(member -> HostPort.format(member.clientAddress()))
                                    .toList(),
                            Ticker.SYSTEM);
            JsonNode body =
                    GroupCodec.jsonMapper()
                            .createObjectNode()
                            .put("name", name)
                            .put("disk", diskId)
                            .put("peers", HostPort.format(settings.peerListenAddress()))
                            .put("clients", HostPort.format(settings.clientListenAddress()));
            for (String state = "";
                    !state.equals("votes");
                    Thread.sleep(JOIN_RETRY_DELAY.toMillis())) {
                String newState =
                        client.post("/v1/join", body, Duration.ofSeconds(30))
                                .path("state")
                                .asText();
                if (!newState.equals(state)) {
                    Log.info("replica.joins", "state", newState);
                }
                state = newState;
            }
        }
    }

    /** Shows the status of each replica. */
    @Command(
            name = "status",
            description = "Shows the status of each replica; exit code 1 if there is no leader.",
            mixinStandardHelpOptions = true)
    static final class Status implements Callable<Integer> {
        private static final Duration STATUS_TIMEOUT = Duration.ofSeconds(2);

        @CommandLine.Mixin private GroupOptions group;

        @Override
        public Integer call() throws Exception {
            Map<String, Object> statusByAddress = new LinkedHashMap<>();
            int answers = 0;
            boolean hasLeader = false;
            for (String address : group.replicaAddresses()) {
                try {
                    JsonNode status =
                            new GroupClient(List.of(address), Ticker.SYSTEM)
                                    .get("/v1/status", STATUS_TIMEOUT);
                    statusByAddress.put(address, status);
                    answers++;
                    hasLeader |= status.path("role").asText().equals("leader");
                    printLine(group, formatStatus(status));
                } catch (GroupClient.GroupUnreachableException e) {
                    statusByAddress.put(address, Map.of("error", e.getMessage()));
                    printLine(group, address + ": " + e.getMessage());
                }
            }
            if (group.isJson()) {
                System.out.println(GroupCodec.jsonMapper().writeValueAsString(statusByAddress));
            }
            if (answers == 0) {
                return ExitCode.UNREACHABLE;
            }
            return hasLeader ? ExitCode.OK : ExitCode.REJECTED;
        }

        private static void printLine(GroupOptions group, String line) {
            if (!group.isJson()) {
                System.out.println(line);
            }
        }

        private static String formatStatus(JsonNode status) {
            return String.format(
                    "%-8s %-9s term %d, commit %d of %d, snapshot %d, level %d of %d, voters %s",
                    status.path("name").asText(),
                    status.path("role").asText(),
                    status.path("term").asInt(),
                    status.path("commitIndex").asLong(),
                    status.path("lastIndex").asLong(),
                    status.path("snapshotIndex").asLong(),
                    status.path("level").asInt(),
                    status.path("speaks").asInt(),
                    status.path("voters"));
        }
    }

    /** Removes a member from the group. */
    @Command(
            name = "leave",
            description = "Removes a member that leaves, is dead or has lost its data.",
            mixinStandardHelpOptions = true)
    static final class Leave implements Callable<Integer> {
        @CommandLine.Mixin private GroupOptions group;

        @Parameters(paramLabel = "NAME")
        private String name;

        @Override
        public Integer call() throws Exception {
            return changeMember(group, "/v1/leave", "name", name);
        }
    }

    /** Transfers the leadership. */
    @Command(
            name = "transfer",
            description = "Transfers the leadership to a member.",
            mixinStandardHelpOptions = true)
    static final class Transfer implements Callable<Integer> {
        @CommandLine.Mixin private GroupOptions group;

        @Parameters(paramLabel = "NAME")
        private String name;

        @Override
        public Integer call() throws Exception {
            return changeMember(group, "/v1/transfer", "to", name);
        }
    }
}

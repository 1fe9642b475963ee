package saltstage.coordinator.command;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import saltstage.coordinator.client.GroupClient;
import saltstage.coordinator.client.LeaseClient;
import saltstage.coordinator.client.Ticker;
import saltstage.coordinator.lease.LeaseCommands;
import saltstage.coordinator.lease.LeaseReplies;
import saltstage.coordinator.model.Acknowledgement;
import saltstage.coordinator.model.Reply;

/** Commands that manage leases, and one that runs a program under a lease. */
@Command(
        name = "lease",
        description = "Leases for tasks that only one process of the fleet may do.",
        mixinStandardHelpOptions = true,
        subcommands = {
            LeaseCommand.Acquire.class,
            LeaseCommand.Renew.class,
            LeaseCommand.Release.class,
            LeaseCommand.ListLeases.class,
            LeaseCommand.Watch.class,
            LeaseCommand.Exec.class
        })
final class LeaseCommand {
    private LeaseCommand() {}

    /** Acquires a lease for a duration. It is renewed only by further commands. */
    @Command(
            name = "acquire",
            description = "Acquires a lease for an owner and prints its fencing token.",
            mixinStandardHelpOptions = true)
    static final class Acquire implements Callable<Integer> {
        @CommandLine.Mixin private GroupOptions group;

        @Parameters(paramLabel = "NAME")
        private String name;

        @Option(names = "--owner", required = true)
        private String owner;

        @Option(
                names = "--ttl",
                converter = GroupOptions.DurationConverter.class,
                defaultValue = "30s")
        private Duration ttl;

        @Override
        public Integer call() throws Exception {
            Reply reply =
                    group.send(new LeaseCommands.Acquire(name, owner, ttl.toMillis(), 0, false));
            if (reply instanceof LeaseReplies.Held held) {
                group.print(
                        held,
                        name + ": held by " + held.holder() + " for " + held.remainingMs() + " ms");
                return ExitCode.LEASE_LOST;
            }
            group.print(reply, Long.toString(((LeaseReplies.Granted) reply).fence()));
            return ExitCode.OK;
        }
    }

    /** Renews a lease. */
    @Command(
            name = "renew",
            description = "Renews a lease for its duration.",
            mixinStandardHelpOptions = true)
    static final class Renew implements Callable<Integer> {
        @CommandLine.Mixin private GroupOptions group;

        @CommandLine.Mixin private LeaseHolderOptions holder;

        @Override
        public Integer call() throws Exception {
            Reply reply =
                    group.send(
                            new LeaseCommands.Renew(
                                    holder.owner(), Map.of(holder.name(), holder.fencingToken())));
            boolean renewed = ((LeaseReplies.Renewed) reply).lost().isEmpty();
            group.print(reply, renewed ? "renewed" : "lost");
            return renewed ? ExitCode.OK : ExitCode.LEASE_LOST;
        }
    }

    /** Releases a lease. */
    @Command(name = "release", description = "Releases a lease.", mixinStandardHelpOptions = true)
    static final class Release implements Callable<Integer> {
        @CommandLine.Mixin private GroupOptions group;

        @CommandLine.Mixin private LeaseHolderOptions holder;

        @Override
        public Integer call() throws Exception {
            Reply reply =
                    group.send(
                            new LeaseCommands.Release(
                                    holder.name(), holder.owner(), holder.fencingToken()));
            group.print(reply, ((Acknowledgement) reply).what());
            return ExitCode.OK;
        }
    }

    /** Lists the leases. */
    @Command(name = "list", description = "Shows leases.", mixinStandardHelpOptions = true)
    static final class ListLeases implements Callable<Integer> {
        @CommandLine.Mixin private GroupOptions group;

        @Option(names = "--prefix", defaultValue = "")
        private String prefix;

        @Option(names = "--stale", description = "read from any replica, even if it is behind")
        private boolean stale;

        @Override
        public Integer call() throws Exception {
            JsonNode response =
                    group.get(
                            "/v1/leases?prefix="
                                    + URLEncoder.encode(prefix, StandardCharsets.UTF_8)
                                    + (stale ? "&stale=1" : ""));
            if (group.isJson()) {
                System.out.println(response);
                return ExitCode.OK;
            }
            for (JsonNode row : response.path("leases")) {
                System.out.printf(
                        "%-30s %-40s fence %d, %d ms left, %d waiting%n",
                        row.path("name").asText(),
                        row.path("owner").asText("(free)"),
                        row.path("fence").asLong(),
                        Math.max(
                                0,
                                row.path("expires").asLong() - response.path("groupNow").asLong()),
                        row.path("waiters").size());
            }
            return ExitCode.OK;
        }
    }

    /** Prints each change of a lease. */
    @Command(
            name = "watch",
            description = "Prints a line at each change of a lease, until it is stopped.",
            mixinStandardHelpOptions = true)
    static final class Watch implements Callable<Integer> {
        @CommandLine.Mixin private GroupOptions group;

        @Parameters(paramLabel = "NAME")
        private String name;

        @Option(
                names = "--changes",
                description = "exit after this many changes",
                defaultValue = "2147483647")
        private int changes;

        @Override
        public Integer call() throws Exception {
            GroupClient client = group.createClient();
            long after = -1;
            for (int seen = 0; seen < changes; ) {
                JsonNode response =
                        client.get(
                                "/v1/lease?waitMs=1500&after="
                                        + Math.max(0, after)
                                        + "&name="
                                        + URLEncoder.encode(name, StandardCharsets.UTF_8),
                                group.timeout());
                JsonNode row = response.path("leases").path(0);
                long revision = row.path("revision").asLong(0);
                if (revision != after) {
                    after = revision;
                    seen++;
                    group.print(
                            response,
                            row.path("owner").isTextual()
                                    ? row.path("owner").asText()
                                            + " fence "
                                            + row.path("fence").asLong()
                                    : "free");
                }
            }
            return ExitCode.OK;
        }
    }

    /** Runs a program under a lease. */
    @Command(
            name = "exec",
            description =
                    "Runs a command while a lease is held and renewed;"
                            + " the environment has SALTSTAGE_LEASE and SALTSTAGE_FENCE."
                            + " The command is terminated before the lease can expire.",
            mixinStandardHelpOptions = true)
    static final class Exec implements Callable<Integer> {
        /**
         * The part of the TTL that is reserved for the termination of the command. Both SIGTERM and
         * SIGKILL must have taken effect before the lease expires.
         */
        private static final double TERMINATION_TTL_FRACTION = 0.4;

        @CommandLine.Mixin private GroupOptions group;

        @Parameters(index = "0", paramLabel = "NAME")
        private String name;

        @Option(
                names = "--ttl",
                converter = GroupOptions.DurationConverter.class,
                defaultValue = "10s")
        private Duration ttl;

        @Option(
                names = "--wait",
                converter = GroupOptions.DurationConverter.class,
                defaultValue = "0s",
                description = "how long to wait for the lease")
        private Duration wait;

        @Option(names = "--priority", defaultValue = "0")
        private int priority;

        @Parameters(index = "1..*", arity = "1..*", paramLabel = "COMMAND")
        private List<String> command;

        @Override
        public Integer call() throws Exception {
            AtomicBoolean lost = new AtomicBoolean();
            LeaseClient leases =
                    new LeaseClient(
                            group.createClient(),
                            group.createClient(),
                            Ticker.SYSTEM,
                            "exec-" + ProcessHandle.current().pid());
            try (leases;
                    LeaseClient.Lease lease =
                            leases.acquire(name, ttl, wait, priority, () -> lost.set(true))) {
                ProcessBuilder builder = new ProcessBuilder(command).inheritIO();
                builder.environment().put("SALTSTAGE_LEASE", name);
                builder.environment().put("SALTSTAGE_FENCE", Long.toString(lease.fencingToken()));
                return supervise(builder.start(), lease, lost);
            } catch (LeaseClient.LeaseNotGrantedException e) {
                System.err.println("saltstage: " + e.getMessage());
                return ExitCode.LEASE_LOST;
            }
        }

        private int supervise(Process child, LeaseClient.Lease lease, AtomicBoolean lost)
                throws InterruptedException {
            Thread killHook = new Thread(child::destroyForcibly);
            Runtime.getRuntime().addShutdownHook(killHook);
            try {
                while (!child.waitFor(20, TimeUnit.MILLISECONDS)) {
                    if (lost.get()
                            || lease.remaining().toMillis()
                                    < ttl.toMillis() * TERMINATION_TTL_FRACTION) {
                        return terminate(child, lease);
                    }
                }
                return child.exitValue();
            } finally {
                child.destroyForcibly();
            }
        }

        /**
         * Sends SIGTERM, and SIGKILL after half of the remaining time, so that the child has ended
         * before the lease expires.
         */
        private int terminate(Process child, LeaseClient.Lease lease) throws InterruptedException {
            System.err.println(
                    "saltstage: lease " + name + " cannot be renewed; ending the command");
            child.destroy();
            if (!child.waitFor(lease.remaining().toMillis() / 2, TimeUnit.MILLISECONDS)) {
                child.destroyForcibly().waitFor();
            }
            return ExitCode.LEASE_LOST;
        }
    }
}

package saltstage.coordinator.command;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import saltstage.configuration.Change;
import saltstage.configuration.ChangesResponse;
import saltstage.configuration.ConfigurationJson;
import saltstage.configuration.ConfigurationLimits;
import saltstage.configuration.Entry;
import saltstage.configuration.Mutation;
import saltstage.configuration.SnapshotPage;
import saltstage.coordinator.client.GroupClient;
import saltstage.coordinator.configuration.AcceptedChange;
import saltstage.coordinator.configuration.ConfigurationCommands.ChangeConfiguration;
import saltstage.coordinator.configuration.ConfigurationRegistry;
import saltstage.coordinator.configuration.ConfigurationReplies.Changed;
import saltstage.coordinator.configuration.ConfigurationReplies.Rejected;
import saltstage.coordinator.configuration.RollbackPlan;
import saltstage.coordinator.group.GroupCodec;
import saltstage.coordinator.model.Rejection;
import saltstage.coordinator.model.Reply;
import saltstage.wire.MalformedException;

/** Commands for the configuration that a group stores for its relays. */
@Command(
        name = "config",
        description = "The configuration that a group stores for its relays.",
        mixinStandardHelpOptions = true,
        subcommands = {
            GroupConfigCommand.Put.class,
            GroupConfigCommand.Get.class,
            GroupConfigCommand.Watch.class,
            GroupConfigCommand.History.class,
            GroupConfigCommand.Rollback.class,
            GroupConfigCommand.Status.class
        })
final class GroupConfigCommand {
    private static final String API_PATH = "/v1/configuration/";
    private static final int HISTORY_PAGE_SIZE = 100;

    private GroupConfigCommand() {}

    /** Sends a change and prints the reply; returns the exit code, 1 if it was rejected. */
    private static int sendChange(
            GroupOptions group, GroupClient client, ChangeConfiguration change) throws Exception {
        Reply reply = client.send(change, group.timeout()).reply();
        if (reply instanceof Changed changed) {
            String text =
                    "revision " + changed.revision() + ", " + changed.mutations() + " changed";
            group.print(changed, text);
            return 0;
        }
        if (group.isJson()) {
            System.out.println(GroupCodec.jsonMapper().writeValueAsString(reply));
        }
        String why =
                reply instanceof Rejected rejected
                        ? rejected.message()
                        : reply instanceof Rejection rejection
                                ? rejection.why()
                                : "the group sent an unexpected reply";
        System.err.println("saltstage: " + why);
        return 1;
    }

    /** Reads the accepted changes after a revision from the group, at most {@code limit}. */
    private static ConfigurationRegistry.History readHistory(
            GroupOptions group, GroupClient client, long after, int limit) throws Exception {
        JsonNode response =
                client.get(
                        API_PATH + "history?after=" + after + "&limit=" + limit, group.timeout());
        return GroupCodec.jsonMapper().treeToValue(response, ConfigurationRegistry.History.class);
    }

    /** Sets or deletes entries. */
    @Command(
            name = "put",
            description = "Sets or deletes entries atomically, as one revision.",
            mixinStandardHelpOptions = true)
    static final class Put implements Callable<Integer> {
        @CommandLine.Mixin private GroupOptions group;

        @Parameters(
                paramLabel = "KEY VALUE",
                description = {
                    "setting/BLOCK.NAME TEXT, shard/TOPIC/NUMBER BACKEND, suspension/BACKEND"
                            + " REASON,",
                    "backend/NAME"
                            + " address=HOST:PORT,zone=Z,cell=N,state=READY|DRAINING|GONE,weight=W"
                })
        private List<String> pairs = List.of();

        @Option(names = "--file", paramLabel = "FILE", description = "JSON: {\"mutations\":[...]}")
        private Path file;

        @Option(
                names = "--delete",
                paramLabel = "KEY",
                description = "deletes an entry; may be repeated")
        private List<String> deleted = List.of();

        @Option(
                names = "--expect",
                paramLabel = "KEY=REVISION",
                description =
                        "reject unless the entry is at this revision; 0: absent; may be repeated")
        private Map<String, Long> expected = Map.of();

        @Option(names = "--by", description = "author of the change (default: the user's name)")
        private String by = System.getProperty("user.name");

        @Override
        public Integer call() throws Exception {
            ChangeConfiguration change =
                    new ChangeConfiguration(by, mutations(), new TreeMap<>(expected));
            return sendChange(group, group.createClient(), change);
        }

        private List<Mutation> mutations() throws Exception {
            if (pairs.size() % 2 != 0) {
                throw new MalformedException("'" + pairs.get(pairs.size() - 1) + "' has no value");
            }
            List<Mutation> mutations = new ArrayList<>();
            if (file != null) {
                mutations.addAll(ConfigurationJson.parseMutations(Files.readString(file)));
            }
            for (int i = 0; i < pairs.size(); i += 2) {
                mutations.add(MutationText.parsePut(pairs.get(i), pairs.get(i + 1)));
            }
            for (String key : deleted) {
                mutations.add(new Mutation(MutationText.parseKey(key), null));
            }
            if (mutations.isEmpty()) {
                throw new MalformedException(
                        "no entries are given: use KEY VALUE, --file or --delete");
            }
            return mutations;
        }
    }

    /** Shows entries. */
    @Command(
            name = "get",
            description =
                    "Shows the entries whose keys begin with PREFIX; exit code 1 if there are"
                            + " none.",
            mixinStandardHelpOptions = true)
    static final class Get implements Callable<Integer> {
        /** Sorts before the names of all entries of a kind. */
        private static final String FIRST_NAME = "!";

        @CommandLine.Mixin private GroupOptions group;

        @Parameters(arity = "0..1", paramLabel = "PREFIX", defaultValue = "")
        private String prefix;

        @Override
        public Integer call() throws Exception {
            GroupClient client = group.createClient();
            List<Entry> found = new ArrayList<>();
            SnapshotPage page = readPage(client, 0, firstKey());
            while (addMatching(page, found) && page.next() != null) {
                page = readPage(client, page.revision(), page.next().text());
            }
            if (group.isJson()) {
                System.out.println(
                        ConfigurationJson.toJson(
                                new SnapshotPage(page.revision(), page.digest(), found, null)));
            } else {
                found.forEach(entry -> System.out.println(MutationText.formatLine(entry)));
            }
            return found.isEmpty() ? 1 : 0;
        }

        private String firstKey() {
            return prefix.endsWith("/") ? prefix + FIRST_NAME : prefix.contains("/") ? prefix : "";
        }

        /** Adds the entries that match the prefix; false once the keys have passed it. */
        private boolean addMatching(SnapshotPage page, List<Entry> found) {
            for (Entry entry : page.entries()) {
                String key = entry.key().text();
                if (key.startsWith(prefix)) {
                    found.add(entry);
                } else if (key.compareTo(prefix) > 0) {
                    return false;
                }
            }
            return true;
        }

        private SnapshotPage readPage(GroupClient client, long revision, String from)
                throws Exception {
            String key =
                    from.isEmpty()
                            ? ""
                            : "&from=" + URLEncoder.encode(from, StandardCharsets.UTF_8);
            String path = API_PATH + "snapshot?current=1&revision=" + revision + key;
            return ConfigurationJson.parseSnapshotPage(
                    client.get(path, group.timeout()).toString());
        }
    }

    /** Prints each change from now on. */
    @Command(
            name = "watch",
            description = "Prints each change from now on, until it is stopped.",
            mixinStandardHelpOptions = true)
    static final class Watch implements Callable<Integer> {
        private static final int WAIT_MS = 1_500;

        @CommandLine.Mixin private GroupOptions group;

        @Option(
                names = "--changes",
                description = "exit after this many changes",
                defaultValue = "2147483647")
        private int changes;

        @Override
        public Integer call() throws Exception {
            GroupClient client = group.createClient();
            JsonNode status = client.get(API_PATH + "status", group.timeout());
            long revision = status.path("revision").asLong();
            String digest = status.path("digest").asText();
            for (int seen = 0; seen < changes; ) {
                String path =
                        String.format(
                                "%schanges?after=%d&digest=%s&waitMs=%d",
                                API_PATH, revision, digest, WAIT_MS);
                String responseJson = client.get(path, group.timeout()).toString();
                ChangesResponse response = ConfigurationJson.parseChanges(responseJson);
                for (Change change :
                        response.changes().subList(0, shownCount(response, changes - seen))) {
                    print(change);
                    seen++;
                    revision = change.revision();
                    digest = ConfigurationJson.formatDigest(change.digest());
                }
            }
            return 0;
        }

        private static int shownCount(ChangesResponse response, int limit) {
            return Math.min(response.changes().size(), limit);
        }

        private void print(Change change) {
            if (group.isJson()) {
                System.out.println(
                        ConfigurationJson.toJson(
                                new ChangesResponse(
                                        change.revision(), change.digest(), List.of(change))));
                return;
            }
            System.out.println("revision " + change.revision());
            change.mutations()
                    .forEach(
                            mutation ->
                                    System.out.println("  " + MutationText.formatLine(mutation)));
        }
    }

    /** Shows the accepted changes. */
    @Command(
            name = "history",
            description = "Shows accepted changes with author and time, oldest first.",
            mixinStandardHelpOptions = true)
    static final class History implements Callable<Integer> {
        @CommandLine.Mixin private GroupOptions group;
        @CommandLine.Mixin private GroupHistoryOption historyOption;

        @Option(
                names = "--after",
                description = "only changes after this revision",
                defaultValue = "0")
        private long after;

        @Option(names = "--limit", description = "maximum number of changes", defaultValue = "100")
        private int limit;

        @Override
        public Integer call() throws Exception {
            ConfigurationRegistry.History history =
                    readHistory(group, group.createClient(), after, limit);
            if (group.isJson()) {
                System.out.println(GroupCodec.jsonMapper().writeValueAsString(history));
                return 0;
            }
            if (after < history.oldest()) {
                System.out.println(
                        "changes up to revision " + history.oldest() + " are no longer kept");
            }
            for (AcceptedChange change : history.changes()) {
                System.out.printf(
                        "%d %s %s, %d changed%n",
                        change.revision(),
                        Instant.ofEpochMilli(change.dayMs()),
                        change.author(),
                        change.mutations().size());
                change.mutations()
                        .forEach(
                                mutation ->
                                        System.out.println(
                                                "  " + MutationText.formatLine(mutation)));
            }
            return 0;
        }
    }

    /**
     * The option by which {@code bin/saltstage} tells a command for a group from the command of the
     * same name for a relay.
     */
    static final class GroupHistoryOption {
        @Option(
                names = "--group",
                description = "use the group's history with --settings; --at implies it")
        private boolean groupHistory;
    }

    /** Restores the entries of an earlier revision. */
    @Command(
            name = "rollback",
            description = {
                "Restores all entries to their values at a revision by means of new"
                        + " revisions:",
                "one if it is small enough, else several." + " Fails if the history does not reach",
                "back that far, or if one of the entries is changed by others meanwhile."
            },
            mixinStandardHelpOptions = true)
    static final class Rollback implements Callable<Integer> {
        @CommandLine.Mixin private GroupOptions group;
        @CommandLine.Mixin private GroupHistoryOption historyOption;

        @Parameters(paramLabel = "REVISION")
        private long revision;

        @Option(names = "--by", description = "author of the change (default: the user's name)")
        private String by = System.getProperty("user.name");

        @Override
        public Integer call() throws Exception {
            GroupClient client = group.createClient();
            List<ChangeConfiguration> changes = RollbackPlan.of(readChanges(client), by);
            if (changes.isEmpty()) {
                group.print(Map.of("changes", 0), "all is as it was at revision " + revision);
            }
            for (ChangeConfiguration change : changes) {
                int exitCode = sendChange(group, client, change);
                if (exitCode != 0) {
                    return exitCode;
                }
            }
            return 0;
        }

        /** Reads all changes after the revision; fails if some are no longer in the history. */
        private List<AcceptedChange> readChanges(GroupClient client) throws Exception {
            List<AcceptedChange> changes = new ArrayList<>();
            long afterRevision = revision;
            while (true) {
                ConfigurationRegistry.History history =
                        readHistory(group, client, afterRevision, HISTORY_PAGE_SIZE);
                if (revision > history.revision()) {
                    throw new MalformedException("the newest revision is " + history.revision());
                }
                if (afterRevision < history.oldest()) {
                    throw new MalformedException(
                            "the history begins after revision "
                                    + history.oldest()
                                    + "; nothing was changed");
                }
                changes.addAll(history.changes());
                if (afterRevision >= history.revision() || history.changes().isEmpty()) {
                    return changes;
                }
                afterRevision = history.changes().get(history.changes().size() - 1).revision();
            }
        }
    }

    /** Shows which relays have confirmed a revision. */
    @Command(
            name = "status",
            description =
                    "Shows by zone how many relays have confirmed a revision, and which are"
                            + " behind.",
            mixinStandardHelpOptions = true)
    static final class Status implements Callable<Integer> {
        @CommandLine.Mixin private GroupOptions group;

        @Option(names = "--revision", description = "default: the newest", defaultValue = "0")
        private long revision;

        @Override
        public Integer call() throws Exception {
            if (revision < 0 || revision > ConfigurationLimits.MAX_SAFE_INTEGER) {
                throw new MalformedException("--revision takes a whole number from 0 on");
            }
            JsonNode response =
                    group.createClient()
                            .get(API_PATH + "status?revision=" + revision, group.timeout());
            if (group.isJson()) {
                System.out.println(response);
                return 0;
            }
            System.out.printf(
                    "revision %d, digest %s; asked about %d%n",
                    response.path("revision").asLong(),
                    response.path("digest").asText(),
                    response.path("asked").asLong());
            response.path("zones").forEach(Status::print);
            return 0;
        }

        private static void print(JsonNode zone) {
            System.out.printf(
                    "%s by %s: %d of %d have it, told %d ms ago%n",
                    zone.path("zone").asText(),
                    zone.path("distributor").asText(),
                    zone.path("confirmed").asInt(),
                    zone.path("followers").asInt(),
                    zone.path("reportAgeMs").asLong());
            for (JsonNode follower : zone.path("behind")) {
                System.out.printf(
                        "  %s is at %d, behind for %d ms%n",
                        follower.path("follower").asText(),
                        follower.path("revision").asLong(),
                        follower.path("sinceMs").asLong());
            }
        }
    }
}

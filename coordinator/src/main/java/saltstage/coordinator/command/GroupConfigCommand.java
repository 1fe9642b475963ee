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

/** The configuration that a group keeps for its relays. */
@Command(
        name = "config",
        description = "The configuration that a group keeps for its relays.",
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

    /** Sends a change and prints what came of it; 1 where it was refused. */
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
                reply instanceof Rejected no
                        ? no.message()
                        : reply instanceof Rejection no ? no.why() : "an answer of another kind";
        System.err.println("saltstage: " + why);
        return 1;
    }

    /** Accepted changes after a revision, up to this many, as the group has them now. */
    private static ConfigurationRegistry.History readHistory(
            GroupOptions group, GroupClient client, long after, int limit) throws Exception {
        JsonNode response =
                client.get(
                        API_PATH + "history?after=" + after + "&limit=" + limit, group.timeout());
        return GroupCodec.jsonMapper().treeToValue(response, ConfigurationRegistry.History.class);
    }

    /** Puts or deletes entries. */
    @Command(
            name = "put",
            description = "Puts entries in force, all or none of them, as one revision.",
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
                        "refuse unless the entry is at this revision; 0: absent; may be repeated")
        private Map<String, Long> expected = Map.of();

        @Option(names = "--by", description = "who asks (default: the user's name)")
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
                throw new MalformedException("name entries: KEY VALUE, --file or --delete");
            }
            return mutations;
        }
    }

    /** Shows entries. */
    @Command(
            name = "get",
            description =
                    "Shows the entries in force whose keys begin so; exit code 1 where there is"
                            + " none.",
            mixinStandardHelpOptions = true)
    static final class Get implements Callable<Integer> {
        /** The first name of any kind, in the order of keys. */
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

        /** Adds what begins so; false once the keys are beyond it. */
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

    /** Each change from now on. */
    @Command(
            name = "watch",
            description = "Prints each change from now on, until it is ended.",
            mixinStandardHelpOptions = true)
    static final class Watch implements Callable<Integer> {
        private static final int WAIT_MS = 1_500;

        @CommandLine.Mixin private GroupOptions group;

        @Option(names = "--changes", description = "end after so many", defaultValue = "2147483647")
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

    /** What was accepted. */
    @Command(
            name = "history",
            description = "Shows accepted changes with author and time, oldest first.",
            mixinStandardHelpOptions = true)
    static final class History implements Callable<Integer> {
        @CommandLine.Mixin private GroupOptions group;
        @CommandLine.Mixin private GroupHistoryOption historyOption;

        @Option(
                names = "--after",
                description = "only what came after this revision",
                defaultValue = "0")
        private long after;

        @Option(names = "--limit", description = "at most so many", defaultValue = "100")
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

    /** Marks a call for a group where a relay has one of the same name. */
    static final class GroupHistoryOption {
        @Option(
                names = "--group",
                description = "the group's history, with --settings; --at says so by itself")
        private boolean groupHistory;
    }

    /** Back to an earlier revision. */
    @Command(
            name = "rollback",
            description = {
                "Writes what brings all entries back to what they were at a revision, as new"
                        + " revisions:",
                "one where that is small enough, else several. Refused where the history does not"
                        + " reach",
                "back so far, or somebody else changes one of the entries meanwhile."
            },
            mixinStandardHelpOptions = true)
    static final class Rollback implements Callable<Integer> {
        @CommandLine.Mixin private GroupOptions group;
        @CommandLine.Mixin private GroupHistoryOption historyOption;

        @Parameters(paramLabel = "REVISION")
        private long revision;

        @Option(names = "--by", description = "who asks (default: the user's name)")
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

        /** All changes after the revision; refused where some are no longer kept. */
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

    /** Who has it. */
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

package saltstage.configuration;

import java.util.ArrayList;
import java.util.List;
import saltstage.wire.Json;
import saltstage.wire.MalformedException;

/**
 * Parses and formats the JSON of the read API. Parsing is strict: an unknown member or kind, a
 * wrong type or an exceeded limit gives one error that names the fault and its place, and nothing
 * of the text is used.
 */
public final class ConfigurationJson {
    private static final int DIGEST_DIGITS = 16;

    private ConfigurationJson() {}

    /** Parses a source's response to a request for changes. */
    public static ChangesResponse parseChanges(String text) throws MalformedException {
        JsonFields root = new JsonFields(Json.parseObject(text), "answer");
        long revision = root.integer("revision", ConfigurationLimits.MAX_SAFE_INTEGER);
        long digest = parseDigest(root.string("digest"), root.pathOf("digest"));
        List<Object> items = root.list("changes", ConfigurationLimits.MAX_CHANGES_PER_RESPONSE);
        root.rejectUnknown();
        List<Change> changes = new ArrayList<>(items.size());
        for (int i = 0; i < items.size(); i++) {
            changes.add(parseChange(items.get(i), "changes[" + i + "]"));
        }
        return new ChangesResponse(revision, digest, changes);
    }

    private static Change parseChange(Object item, String path) throws MalformedException {
        JsonFields fields = new JsonFields(Json.asObject(item, path), path);
        long revision = fields.integer("revision", ConfigurationLimits.MAX_SAFE_INTEGER);
        long digest = parseDigest(fields.string("digest"), fields.pathOf("digest"));
        List<Mutation> mutations = parseMutations(fields);
        fields.rejectUnknown();
        return new Change(revision, digest, mutations);
    }

    /** Parses a text {@code {"mutations":[…]}}, as operators write it. */
    public static List<Mutation> parseMutations(String text) throws MalformedException {
        JsonFields fields = new JsonFields(Json.parseObject(text), "text");
        List<Mutation> mutations = parseMutations(fields);
        fields.rejectUnknown();
        return mutations;
    }

    private static List<Mutation> parseMutations(JsonFields fields) throws MalformedException {
        List<Object> items = fields.list("mutations", ConfigurationLimits.MAX_MUTATIONS_PER_CHANGE);
        List<Mutation> mutations = new ArrayList<>(items.size());
        for (int i = 0; i < items.size(); i++) {
            mutations.add(parseMutation(items.get(i), fields.pathOf("mutations[" + i + "]")));
        }
        return mutations;
    }

    private static Mutation parseMutation(Object item, String path) throws MalformedException {
        JsonFields fields = new JsonFields(Json.asObject(item, path), path);
        EntryKey key = parseKey(fields.string("key"), fields.pathOf("key"));
        EntryValue value = null;
        if (!fields.has("deleted")) {
            value = parseValue(key, fields);
        } else if (!fields.bool("deleted")) {
            throw new MalformedException(fields.pathOf("deleted") + " takes only true");
        }
        fields.rejectUnknown();
        return new Mutation(key, value);
    }

    /** Parses a page of a snapshot. */
    public static SnapshotPage parseSnapshotPage(String text) throws MalformedException {
        JsonFields root = new JsonFields(Json.parseObject(text), "answer");
        long revision = root.integer("revision", ConfigurationLimits.MAX_SAFE_INTEGER);
        long digest = parseDigest(root.string("digest"), root.pathOf("digest"));
        List<Object> items = root.list("entries", ConfigurationLimits.MAX_ENTRIES_PER_PAGE);
        EntryKey next =
                root.has("next") ? parseKey(root.string("next"), root.pathOf("next")) : null;
        root.rejectUnknown();
        List<Entry> entries = new ArrayList<>(items.size());
        for (int i = 0; i < items.size(); i++) {
            entries.add(parseEntry(items.get(i), "entries[" + i + "]"));
        }
        return new SnapshotPage(revision, digest, entries, next);
    }

    private static Entry parseEntry(Object item, String path) throws MalformedException {
        JsonFields fields = new JsonFields(Json.asObject(item, path), path);
        EntryKey key = parseKey(fields.string("key"), fields.pathOf("key"));
        long revision = fields.integer("revision", ConfigurationLimits.MAX_SAFE_INTEGER);
        EntryValue value = parseValue(key, fields);
        fields.rejectUnknown();
        return new Entry(key, value, revision);
    }

    /** Parses an error. Unknown members are ignored, because an error changes no entries. */
    public static ErrorResponse parseError(String text) throws MalformedException {
        JsonFields root = new JsonFields(Json.parseObject(text), "error");
        long max = ConfigurationLimits.MAX_SAFE_INTEGER;
        return new ErrorResponse(
                root.string("error"),
                root.has("revision") ? root.integer("revision", max) : 0,
                root.has("retryMs") ? root.integer("retryMs", max) : 0);
    }

    /** Parses a digest of 16 hexadecimal digits, as used in requests. */
    public static long parseDigest(String text, String path) throws MalformedException {
        if (!text.matches("[0-9a-f]{" + DIGEST_DIGITS + "}")) {
            throw new MalformedException(path + " takes 16 hexadecimal digits");
        }
        return Long.parseUnsignedLong(text, DIGEST_DIGITS);
    }

    private static EntryKey parseKey(String text, String path) throws MalformedException {
        try {
            return EntryKey.parse(text);
        } catch (IllegalArgumentException malformed) {
            throw new MalformedException(path + ": " + malformed.getMessage());
        }
    }

    private static EntryValue parseValue(EntryKey key, JsonFields parent)
            throws MalformedException {
        String wireName = key.kind().wireName();
        String path = parent.pathOf(wireName);
        JsonFields fields = new JsonFields(parent.object(wireName), path);
        EntryValue value =
                switch (key.kind()) {
                    case SETTING -> new EntryValue.Setting(fields.string("text"));
                    case BACKEND -> parseBackend(fields);
                    case SHARD -> new EntryValue.Shard(fields.string("backend"));
                    case SUSPENSION -> new EntryValue.Suspension(fields.string("reason"));
                };
        fields.rejectUnknown();
        String error = ValueRules.validationError(value);
        if (error != null) {
            throw new MalformedException(path + ": " + error);
        }
        return value;
    }

    private static EntryValue parseBackend(JsonFields fields) throws MalformedException {
        EntryValue.BackendState state;
        try {
            state = EntryValue.BackendState.valueOf(fields.string("state"));
        } catch (IllegalArgumentException unknown) {
            throw new MalformedException(fields.pathOf("state") + " is no state of a backend");
        }
        return new EntryValue.Backend(
                fields.string("address"),
                fields.string("zone"),
                (int) fields.integer("cell", Integer.MAX_VALUE),
                state,
                fields.number("weight"),
                fields.integer("startedAtMs", ConfigurationLimits.MAX_SAFE_INTEGER));
    }

    /** Formats a source's response to a request for changes. */
    public static String toJson(ChangesResponse response) {
        JsonWriter json = new JsonWriter();
        json.open('{').name("revision").number(response.revision());
        json.name("digest").string(formatDigest(response.digest()));
        json.name("changes").open('[');
        response.changes().forEach(change -> write(json, change));
        return json.close(']').close('}').toString();
    }

    private static void write(JsonWriter json, Change change) {
        json.open('{').name("revision").number(change.revision());
        json.name("digest").string(formatDigest(change.digest()));
        write(json, change.mutations());
        json.close('}');
    }

    private static void write(JsonWriter json, List<Mutation> mutations) {
        json.name("mutations").open('[');
        for (Mutation mutation : mutations) {
            json.open('{').name("key").string(mutation.key().text());
            if (mutation.isDeletion()) {
                json.name("deleted").bool(true);
            } else {
                write(json, mutation.value());
            }
            json.close('}');
        }
        json.close(']');
    }

    /** Formats mutations in the form that operators write. */
    public static String toJson(List<Mutation> mutations) {
        JsonWriter json = new JsonWriter();
        json.open('{');
        write(json, mutations);
        return json.close('}').toString();
    }

    /** Formats a page of a snapshot. */
    public static String toJson(SnapshotPage page) {
        JsonWriter json = new JsonWriter();
        json.open('{').name("revision").number(page.revision());
        json.name("digest").string(formatDigest(page.digest()));
        json.name("entries").open('[');
        for (Entry entry : page.entries()) {
            json.open('{').name("key").string(entry.key().text());
            json.name("revision").number(entry.revision());
            write(json, entry.value());
            json.close('}');
        }
        json.close(']');
        if (page.next() != null) {
            json.name("next").string(page.next().text());
        }
        return json.close('}').toString();
    }

    /** Formats an error; the revision and the retry time are omitted if they are 0. */
    public static String toJson(ErrorResponse response) {
        JsonWriter json = new JsonWriter();
        json.open('{').name("error").string(response.error());
        if (response.revision() != 0) {
            json.name("revision").number(response.revision());
        }
        if (response.retryMs() != 0) {
            json.name("retryMs").number(response.retryMs());
        }
        return json.close('}').toString();
    }

    /** Formats a digest as 16 hexadecimal digits. */
    public static String formatDigest(long digest) {
        return String.format("%016x", digest);
    }

    private static void write(JsonWriter json, EntryValue value) {
        json.name(value.kind().wireName()).open('{');
        if (value instanceof EntryValue.Setting setting) {
            json.name("text").string(setting.text());
        } else if (value instanceof EntryValue.Shard shard) {
            json.name("backend").string(shard.backend());
        } else if (value instanceof EntryValue.Suspension suspension) {
            json.name("reason").string(suspension.reason());
        } else {
            write(json, (EntryValue.Backend) value);
        }
        json.close('}');
    }

    private static void write(JsonWriter json, EntryValue.Backend backend) {
        json.name("address").string(backend.address());
        json.name("zone").string(backend.zone());
        json.name("cell").number(backend.cell());
        json.name("state").string(backend.state().name());
        json.name("weight").number(backend.weight());
        json.name("startedAtMs").number(backend.startedAtMs());
    }
}

package saltstage.configuration;

import java.util.ArrayList;
import java.util.List;
import saltstage.wire.Json;
import saltstage.wire.MalformedException;

/**
 * The read API's JSON, read strictly: an unknown member or kind, a wrong type or too much of
 * anything gives one error that names what and where, and nothing of the text is used.
 */
public final class ConfigurationJson {
    private static final int DIGEST_DIGITS = 16;

    private ConfigurationJson() {}

    // ---- reading

    /** Changes as a source answers them. */
    public static ChangesResponse changes(String text) throws MalformedException {
        JsonFields top = new JsonFields(Json.parseObject(text), "answer");
        long revision = top.whole("revision", ConfigurationLimits.LARGEST_NUMBER);
        long digest = digest(top.text("digest"), top.where("digest"));
        List<Object> items = top.list("changes", ConfigurationLimits.CHANGES_PER_ANSWER);
        top.end();
        List<Change> changes = new ArrayList<>(items.size());
        for (int i = 0; i < items.size(); i++) {
            changes.add(change(items.get(i), "changes[" + i + "]"));
        }
        return new ChangesResponse(revision, digest, changes);
    }

    private static Change change(Object item, String where) throws MalformedException {
        JsonFields fields = new JsonFields(Json.asObject(item, where), where);
        long revision = fields.whole("revision", ConfigurationLimits.LARGEST_NUMBER);
        long digest = digest(fields.text("digest"), fields.where("digest"));
        List<Mutation> mutations = mutations(fields);
        fields.end();
        return new Change(revision, digest, mutations);
    }

    /** A text {@code {"mutations":[…]}}, as operators write it. */
    public static List<Mutation> mutations(String text) throws MalformedException {
        JsonFields fields = new JsonFields(Json.parseObject(text), "text");
        List<Mutation> mutations = mutations(fields);
        fields.end();
        return mutations;
    }

    private static List<Mutation> mutations(JsonFields of) throws MalformedException {
        List<Object> items = of.list("mutations", ConfigurationLimits.MUTATIONS_PER_CHANGE);
        List<Mutation> mutations = new ArrayList<>(items.size());
        for (int i = 0; i < items.size(); i++) {
            mutations.add(mutation(items.get(i), of.where("mutations[" + i + "]")));
        }
        return mutations;
    }

    private static Mutation mutation(Object item, String where) throws MalformedException {
        JsonFields fields = new JsonFields(Json.asObject(item, where), where);
        EntryKey key = key(fields.text("key"), fields.where("key"));
        EntryValue value = null;
        if (!fields.has("deleted")) {
            value = value(key, fields);
        } else if (!fields.truth("deleted")) {
            throw new MalformedException(fields.where("deleted") + " takes only true");
        }
        fields.end();
        return new Mutation(key, value);
    }

    /** A page of a snapshot. */
    public static SnapshotPage snapshotPage(String text) throws MalformedException {
        JsonFields top = new JsonFields(Json.parseObject(text), "answer");
        long revision = top.whole("revision", ConfigurationLimits.LARGEST_NUMBER);
        long digest = digest(top.text("digest"), top.where("digest"));
        List<Object> items = top.list("entries", ConfigurationLimits.ENTRIES_PER_PAGE);
        EntryKey next = top.has("next") ? key(top.text("next"), top.where("next")) : null;
        top.end();
        List<Entry> entries = new ArrayList<>(items.size());
        for (int i = 0; i < items.size(); i++) {
            entries.add(entry(items.get(i), "entries[" + i + "]"));
        }
        return new SnapshotPage(revision, digest, entries, next);
    }

    private static Entry entry(Object item, String where) throws MalformedException {
        JsonFields fields = new JsonFields(Json.asObject(item, where), where);
        EntryKey key = key(fields.text("key"), fields.where("key"));
        long revision = fields.whole("revision", ConfigurationLimits.LARGEST_NUMBER);
        EntryValue value = value(key, fields);
        fields.end();
        return new Entry(key, value, revision);
    }

    /** An error; members that this build does not know are skipped, as it changes nothing. */
    public static ErrorResponse error(String text) throws MalformedException {
        JsonFields top = new JsonFields(Json.parseObject(text), "error");
        long most = ConfigurationLimits.LARGEST_NUMBER;
        return new ErrorResponse(
                top.text("error"),
                top.has("revision") ? top.whole("revision", most) : 0,
                top.has("retryMs") ? top.whole("retryMs", most) : 0);
    }

    /** A digest of 16 hexadecimal digits, as in requests. */
    public static long digest(String text, String where) throws MalformedException {
        if (!text.matches("[0-9a-f]{" + DIGEST_DIGITS + "}")) {
            throw new MalformedException(where + " takes 16 hexadecimal digits");
        }
        return Long.parseUnsignedLong(text, DIGEST_DIGITS);
    }

    private static EntryKey key(String text, String where) throws MalformedException {
        try {
            return EntryKey.parse(text);
        } catch (IllegalArgumentException bad) {
            throw new MalformedException(where + ": " + bad.getMessage());
        }
    }

    private static EntryValue value(EntryKey key, JsonFields of) throws MalformedException {
        String word = key.kind().word();
        String where = of.where(word);
        JsonFields fields = new JsonFields(of.object(word), where);
        EntryValue value =
                switch (key.kind()) {
                    case SETTING -> new EntryValue.Setting(fields.text("text"));
                    case BACKEND -> backend(fields);
                    case SHARD -> new EntryValue.Shard(fields.text("backend"));
                    case SUSPENSION -> new EntryValue.Suspension(fields.text("reason"));
                };
        fields.end();
        String fault = ValueRules.fault(value);
        if (fault != null) {
            throw new MalformedException(where + ": " + fault);
        }
        return value;
    }

    private static EntryValue backend(JsonFields fields) throws MalformedException {
        EntryValue.BackendState state;
        try {
            state = EntryValue.BackendState.valueOf(fields.text("state"));
        } catch (IllegalArgumentException unknown) {
            throw new MalformedException(fields.where("state") + " is no state of a backend");
        }
        return new EntryValue.Backend(
                fields.text("address"),
                fields.text("zone"),
                (int) fields.whole("cell", Integer.MAX_VALUE),
                state,
                fields.number("weight"),
                fields.whole("startedAtMs", ConfigurationLimits.LARGEST_NUMBER));
    }

    // ---- writing

    /** Changes as a source answers them. */
    public static String text(ChangesResponse response) {
        JsonText json = new JsonText();
        json.open('{').name("revision").number(response.revision());
        json.name("digest").string(text(response.digest()));
        json.name("changes").open('[');
        response.changes().forEach(change -> write(json, change));
        return json.close(']').close('}').toString();
    }

    private static void write(JsonText json, Change change) {
        json.open('{').name("revision").number(change.revision());
        json.name("digest").string(text(change.digest()));
        write(json, change.mutations());
        json.close('}');
    }

    private static void write(JsonText json, List<Mutation> mutations) {
        json.name("mutations").open('[');
        for (Mutation mutation : mutations) {
            json.open('{').name("key").string(mutation.key().text());
            if (mutation.deletes()) {
                json.name("deleted").truth(true);
            } else {
                write(json, mutation.value());
            }
            json.close('}');
        }
        json.close(']');
    }

    /** Mutations as operators write them. */
    public static String text(List<Mutation> mutations) {
        JsonText json = new JsonText();
        json.open('{');
        write(json, mutations);
        return json.close('}').toString();
    }

    /** A page of a snapshot. */
    public static String text(SnapshotPage page) {
        JsonText json = new JsonText();
        json.open('{').name("revision").number(page.revision());
        json.name("digest").string(text(page.digest()));
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

    /** An error; what it does not say is left out. */
    public static String text(ErrorResponse response) {
        JsonText json = new JsonText();
        json.open('{').name("error").string(response.error());
        if (response.revision() != 0) {
            json.name("revision").number(response.revision());
        }
        if (response.retryMs() != 0) {
            json.name("retryMs").number(response.retryMs());
        }
        return json.close('}').toString();
    }

    /** A digest as 16 hexadecimal digits. */
    public static String text(long digest) {
        return String.format("%016x", digest);
    }

    private static void write(JsonText json, EntryValue value) {
        json.name(value.kind().word()).open('{');
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

    private static void write(JsonText json, EntryValue.Backend backend) {
        json.name("address").string(backend.address());
        json.name("zone").string(backend.zone());
        json.name("cell").number(backend.cell());
        json.name("state").string(backend.state().name());
        json.name("weight").number(backend.weight());
        json.name("startedAtMs").number(backend.startedAtMs());
    }
}

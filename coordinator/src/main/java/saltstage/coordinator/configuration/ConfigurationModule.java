package saltstage.coordinator.configuration;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.JsonDeserializer;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.JsonSerializer;
import com.fasterxml.jackson.databind.SerializerProvider;
import com.fasterxml.jackson.databind.module.SimpleModule;
import java.io.IOException;
import saltstage.configuration.Entry;
import saltstage.configuration.EntryKey;
import saltstage.configuration.EntryValue;
import saltstage.configuration.Mutation;

/**
 * Serializers for entries and mutations in the log, in snapshots and in JSON. The format is that of
 * the read API, and the member names are part of it. An unknown member is rejected.
 */
public final class ConfigurationModule extends SimpleModule {
    private static final long serialVersionUID = 1L;
    private static final String KEY = "key";
    private static final String DELETED = "deleted";
    private static final String REVISION = "revision";

    /** Registers the serializers and deserializers of entries and mutations. */
    public ConfigurationModule() {
        super("configuration");
        addSerializer(Mutation.class, new MutationSerializer());
        addDeserializer(Mutation.class, new MutationDeserializer());
        addSerializer(Entry.class, new EntrySerializer());
        addDeserializer(Entry.class, new EntryDeserializer());
    }

    private static final class MutationSerializer extends JsonSerializer<Mutation> {
        @Override
        public void serialize(Mutation mutation, JsonGenerator out, SerializerProvider provider)
                throws IOException {
            out.writeStartObject();
            out.writeStringField(KEY, mutation.key().text());
            if (mutation.isDeletion()) {
                out.writeBooleanField(DELETED, true);
            } else {
                provider.defaultSerializeField(
                        mutation.key().kind().wireName(), mutation.value(), out);
            }
            out.writeEndObject();
        }
    }

    private static final class EntrySerializer extends JsonSerializer<Entry> {
        @Override
        public void serialize(Entry entry, JsonGenerator out, SerializerProvider provider)
                throws IOException {
            out.writeStartObject();
            out.writeStringField(KEY, entry.key().text());
            out.writeNumberField(REVISION, entry.revision());
            provider.defaultSerializeField(entry.key().kind().wireName(), entry.value(), out);
            out.writeEndObject();
        }
    }

    private static final class MutationDeserializer extends JsonDeserializer<Mutation> {
        @Override
        public Mutation deserialize(JsonParser in, DeserializationContext context)
                throws IOException {
            JsonNode tree = in.readValueAsTree();
            EntryKey key = readKey(tree, context);
            String member = tree.has(DELETED) ? DELETED : key.kind().wireName();
            checkMembers(tree, 2, member, context);
            if (!member.equals(DELETED)) {
                return new Mutation(key, readValue(tree, key, context));
            }
            if (!tree.get(DELETED).isBoolean() || !tree.get(DELETED).booleanValue()) {
                return context.reportInputMismatch(
                        Mutation.class, "%s: 'deleted' takes only true", key.text());
            }
            return new Mutation(key, null);
        }
    }

    private static final class EntryDeserializer extends JsonDeserializer<Entry> {
        @Override
        public Entry deserialize(JsonParser in, DeserializationContext context) throws IOException {
            JsonNode tree = in.readValueAsTree();
            EntryKey key = readKey(tree, context);
            checkMembers(tree, 3, key.kind().wireName(), context);
            if (!tree.path(REVISION).isIntegralNumber()) {
                return context.reportInputMismatch(
                        Entry.class, "%s: 'revision' is no number", key.text());
            }
            return new Entry(key, readValue(tree, key, context), tree.get(REVISION).longValue());
        }
    }

    private static EntryKey readKey(JsonNode tree, DeserializationContext context)
            throws IOException {
        if (!tree.path(KEY).isTextual()) {
            return context.reportInputMismatch(EntryKey.class, "'key' takes a text");
        }
        try {
            return EntryKey.parse(tree.get(KEY).textValue());
        } catch (IllegalArgumentException invalid) {
            return context.reportInputMismatch(EntryKey.class, "'key': %s", invalid.getMessage());
        }
    }

    private static void checkMembers(
            JsonNode tree, int count, String member, DeserializationContext context)
            throws IOException {
        if (tree.size() != count || !tree.hasNonNull(member)) {
            context.reportInputMismatch(
                    Mutation.class,
                    "%s: '%s' and nothing more is taken",
                    tree.get(KEY).textValue(),
                    member);
        }
    }

    private static EntryValue readValue(JsonNode tree, EntryKey key, DeserializationContext context)
            throws IOException {
        JsonNode value = tree.get(key.kind().wireName());
        return switch (key.kind()) {
            case SETTING -> context.readTreeAsValue(value, EntryValue.Setting.class);
            case BACKEND -> context.readTreeAsValue(value, EntryValue.Backend.class);
            case SHARD -> context.readTreeAsValue(value, EntryValue.Shard.class);
            case SUSPENSION -> context.readTreeAsValue(value, EntryValue.Suspension.class);
        };
    }
}

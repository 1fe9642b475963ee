package saltstage.coordinator.command;

import java.util.LinkedHashMap;
import java.util.Map;
import saltstage.configuration.Entry;
import saltstage.configuration.EntryKey;
import saltstage.configuration.EntryValue;
import saltstage.configuration.EntryValue.Backend;
import saltstage.configuration.EntryValue.BackendState;
import saltstage.configuration.Mutation;
import saltstage.configuration.ValueRules;
import saltstage.wire.MalformedException;

/** Keys and values as operators type and read them on the command line. */
final class MutationText {
    private static final String ADDRESS = "address";
    private static final String ZONE = "zone";
    private static final String CELL = "cell";
    private static final String STATE = "state";
    private static final String WEIGHT = "weight";
    private static final String STARTED_AT = "startedAtMs";

    private MutationText() {}

    /** The key that a text names. */
    static EntryKey parseKey(String text) throws MalformedException {
        try {
            return EntryKey.parse(text);
        } catch (IllegalArgumentException bad) {
            throw new MalformedException(text + ": " + bad.getMessage());
        }
    }

    /**
     * The mutation that puts a value; a backend's is {@code
     * address=…,zone=…,cell=…,state=…,weight=…}.
     */
    static Mutation parsePut(String keyText, String value) throws MalformedException {
        EntryKey key = parseKey(keyText);
        EntryValue read =
                switch (key.kind()) {
                    case SETTING -> new EntryValue.Setting(value);
                    case BACKEND -> parseBackend(keyText, value);
                    case SHARD -> new EntryValue.Shard(value);
                    case SUSPENSION -> new EntryValue.Suspension(value);
                };
        String fault = ValueRules.validationError(read);
        if (fault != null) {
            throw new MalformedException(keyText + ": '" + value + "' is not accepted; " + fault);
        }
        return new Mutation(key, read);
    }

    private static Backend parseBackend(String key, String value) throws MalformedException {
        Map<String, String> parts = new LinkedHashMap<>();
        for (String part : value.split(",")) {
            int equals = part.indexOf('=');
            if (equals < 1) {
                throw new MalformedException(key + ": '" + part + "' is no NAME=VALUE");
            }
            parts.put(part.substring(0, equals), part.substring(equals + 1));
        }
        try {
            Backend backend =
                    new Backend(
                            removeOrDefault(parts, ADDRESS, ""),
                            removeOrDefault(parts, ZONE, ""),
                            Integer.parseInt(removeOrDefault(parts, CELL, "0")),
                            BackendState.valueOf(
                                    removeOrDefault(parts, STATE, BackendState.READY.name())),
                            Double.parseDouble(removeOrDefault(parts, WEIGHT, "1")),
                            Long.parseLong(removeOrDefault(parts, STARTED_AT, "0")));
            if (parts.isEmpty()) {
                return backend;
            }
        } catch (IllegalArgumentException bad) {
            throw new MalformedException(key + ": '" + value + "': " + bad.getMessage());
        }
        throw new MalformedException(key + ": a backend has no " + parts.keySet());
    }

    private static String removeOrDefault(Map<String, String> parts, String name, String absent) {
        String value = parts.remove(name);
        return value == null ? absent : value;
    }

    /** A value as {@link #parsePut} takes it. */
    static String formatValue(EntryValue value) {
        if (value instanceof Backend backend) {
            return String.join(
                    ",",
                    ADDRESS + "=" + backend.address(),
                    ZONE + "=" + backend.zone(),
                    CELL + "=" + backend.cell(),
                    STATE + "=" + backend.state(),
                    WEIGHT + "=" + backend.weight(),
                    STARTED_AT + "=" + backend.startedAtMs());
        }
        return value.canonicalText();
    }

    /** A line of text for an entry. */
    static String formatLine(Entry entry) {
        return entry.key().text()
                + " "
                + formatValue(entry.value())
                + " (revision "
                + entry.revision()
                + ")";
    }

    /** A line of text for a mutation. */
    static String formatLine(Mutation mutation) {
        return mutation.key().text()
                + (mutation.isDeletion() ? " deleted" : " " + formatValue(mutation.value()));
    }
}

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

/** Parses and formats keys and values in the form that operators use on the command line. */
final class MutationText {
    private static final String ADDRESS = "address";
    private static final String ZONE = "zone";
    private static final String CELL = "cell";
    private static final String STATE = "state";
    private static final String WEIGHT = "weight";
    private static final String STARTED_AT = "startedAtMs";

    private MutationText() {}

    /** Parses a key such as {@code setting/log.level}. */
    static EntryKey parseKey(String text) throws MalformedException {
        try {
            return EntryKey.parse(text);
        } catch (IllegalArgumentException e) {
            throw new MalformedException(text + ": " + e.getMessage());
        }
    }

    /**
     * Parses a key and a value into the mutation that sets the entry. The value of a backend has
     * the form {@code address=…,zone=…,cell=…,state=…,weight=…}.
     */
    static Mutation parsePut(String keyText, String value) throws MalformedException {
        EntryKey key = parseKey(keyText);
        EntryValue parsedValue =
                switch (key.kind()) {
                    case SETTING -> new EntryValue.Setting(value);
                    case BACKEND -> parseBackend(keyText, value);
                    case SHARD -> new EntryValue.Shard(value);
                    case SUSPENSION -> new EntryValue.Suspension(value);
                };
        String error = ValueRules.validationError(parsedValue);
        if (error != null) {
            throw new MalformedException(keyText + ": '" + value + "' is not accepted; " + error);
        }
        return new Mutation(key, parsedValue);
    }

    private static Backend parseBackend(String key, String value) throws MalformedException {
        Map<String, String> attributes = new LinkedHashMap<>();
        for (String attribute : value.split(",")) {
            int equals = attribute.indexOf('=');
            if (equals < 1) {
                throw new MalformedException(
                        key + ": '" + attribute + "' is not of the form NAME=VALUE");
            }
            attributes.put(attribute.substring(0, equals), attribute.substring(equals + 1));
        }
        try {
            Backend backend =
                    new Backend(
                            removeOrDefault(attributes, ADDRESS, ""),
                            removeOrDefault(attributes, ZONE, ""),
                            Integer.parseInt(removeOrDefault(attributes, CELL, "0")),
                            BackendState.valueOf(
                                    removeOrDefault(attributes, STATE, BackendState.READY.name())),
                            Double.parseDouble(removeOrDefault(attributes, WEIGHT, "1")),
                            Long.parseLong(removeOrDefault(attributes, STARTED_AT, "0")));
            if (attributes.isEmpty()) {
                return backend;
            }
        } catch (IllegalArgumentException e) {
            throw new MalformedException(key + ": '" + value + "': " + e.getMessage());
        }
        throw new MalformedException(key + ": a backend has no " + attributes.keySet());
    }

    private static String removeOrDefault(
            Map<String, String> attributes, String name, String defaultValue) {
        String value = attributes.remove(name);
        return value == null ? defaultValue : value;
    }

    /** Formats a value in the form that {@link #parsePut} reads. */
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

    /** Formats an entry as a line of text. */
    static String formatLine(Entry entry) {
        return entry.key().text()
                + " "
                + formatValue(entry.value())
                + " (revision "
                + entry.revision()
                + ")";
    }

    /** Formats a mutation as a line of text. */
    static String formatLine(Mutation mutation) {
        return mutation.key().text()
                + (mutation.isDeletion() ? " deleted" : " " + formatValue(mutation.value()));
    }
}

package saltstage.coordinator.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.regex.Pattern;
import saltstage.config.OperatorSettings;
import saltstage.wire.MalformedException;

/**
 * The settings that a relay can reload, and the validation of their values: the settings are
 * composed into an operator's settings file, which the relay's own parser reads. Replicas must
 * agree on each result, so a new name here, or a changed rule for a value, needs a new feature
 * level.
 */
final class SettingRules {
    /** By block, the attributes that a relay applies without a restart. */
    private static final Map<String, Set<String>> RELOADABLE_SETTINGS =
            Map.of(
                    "log",
                    Set.of("format", "level"),
                    "amqp",
                    Set.of(
                            "connections",
                            "sessions",
                            "links_per_connection",
                            "links",
                            "unsettled",
                            "link_bytes",
                            "repeat_bytes",
                            "attaches_per_second",
                            "idle",
                            "backend_idle",
                            "open_within",
                            "delivery_within",
                            "settle_within"));

    /** Lines that the parser requires in a block; they are never sent to a relay. */
    private static final Map<String, List<String>> REQUIRED_SETTINGS =
            Map.of("amqp", List.of("listen = \"127.0.0.1:1\"", "anonymous_tenant = \"any\""));

    private static final Pattern VALUE_PATTERN =
            Pattern.compile("\"[^\"\\\\$%]*\"|-?\\d{1,15}(\\.\\d{1,9})?|true|false");
    private static final String FILE_NAME = "settings";

    private SettingRules() {}

    /** Returns whether relays can reload the setting of this name, {@code block.attribute}. */
    static boolean isReloadable(String name) {
        int dot = name.indexOf('.');
        return dot > 0
                && RELOADABLE_SETTINGS
                        .getOrDefault(name.substring(0, dot), Set.of())
                        .contains(name.substring(dot + 1));
    }

    /** Returns the names of all reloadable settings, for rejections. */
    static String reloadableNames() {
        List<String> names = new ArrayList<>();
        RELOADABLE_SETTINGS.forEach(
                (block, attributes) -> attributes.forEach(name -> names.add(block + "." + name)));
        names.sort(null);
        return String.join(", ", names);
    }

    /**
     * Returns why these settings, text by name, are invalid together, or null if they are valid.
     */
    static String validationError(SortedMap<String, String> settings) {
        for (String text : settings.values()) {
            if (!VALUE_PATTERN.matcher(text).matches()) {
                return "a quoted text without escapes, a number, true or false would do";
            }
        }
        try {
            OperatorSettings.parse(FILE_NAME, compose(settings));
            return null;
        } catch (MalformedException malformed) {
            return malformed.getMessage();
        }
    }

    private static String compose(SortedMap<String, String> settings) {
        Map<String, List<String>> blocks = new TreeMap<>();
        settings.forEach(
                (name, text) -> {
                    int dot = name.indexOf('.');
                    blocks.computeIfAbsent(name.substring(0, dot), key -> new ArrayList<>())
                            .add(name.substring(dot + 1) + " = " + text);
                });
        StringBuilder file = new StringBuilder();
        blocks.forEach(
                (block, lines) -> {
                    file.append(block).append(" {\n");
                    REQUIRED_SETTINGS
                            .getOrDefault(block, List.of())
                            .forEach(line -> file.append(line).append('\n'));
                    lines.forEach(line -> file.append(line).append('\n'));
                    file.append("}\n");
                });
        return file.toString();
    }
}

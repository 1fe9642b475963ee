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
 * Which settings a relay takes while it runs, and how their values are checked: composed to an
 * operator's file and read by the relay's own reader. Replicas must agree on each verdict: another
 * name here, or another rule of a name's value, takes a new feature level.
 */
final class SettingRules {
    /** By block, the attributes that a relay puts in force without a restart. */
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

    /** What a block must say besides, for the reader to take it; no relay gets it from here. */
    private static final Map<String, List<String>> REQUIRED_SETTINGS =
            Map.of("amqp", List.of("listen = \"127.0.0.1:1\"", "anonymous_tenant = \"any\""));

    private static final Pattern VALUE_PATTERN =
            Pattern.compile("\"[^\"\\\\$%]*\"|-?\\d{1,15}(\\.\\d{1,9})?|true|false");
    private static final String FILE_NAME = "settings";

    private SettingRules() {}

    /** Whether relays take a setting of this name, {@code block.attribute}, while they run. */
    static boolean isReloadable(String name) {
        int dot = name.indexOf('.');
        return dot > 0
                && RELOADABLE_SETTINGS
                        .getOrDefault(name.substring(0, dot), Set.of())
                        .contains(name.substring(dot + 1));
    }

    /** The names that are taken, for refusals. */
    static String reloadableNames() {
        List<String> names = new ArrayList<>();
        RELOADABLE_SETTINGS.forEach(
                (block, attributes) -> attributes.forEach(name -> names.add(block + "." + name)));
        names.sort(null);
        return String.join(", ", names);
    }

    /** Why these settings, text by name, cannot be in force together; null where they can. */
    static String validationError(SortedMap<String, String> settings) {
        for (String text : settings.values()) {
            if (!VALUE_PATTERN.matcher(text).matches()) {
                return "a quoted text without escapes, a number, true or false would do";
            }
        }
        try {
            OperatorSettings.parse(FILE_NAME, compose(settings));
            return null;
        } catch (MalformedException bad) {
            return bad.getMessage();
        }
    }

    private static String compose(SortedMap<String, String> settings) {
        Map<String, List<String>> blocks = new TreeMap<>();
        settings.forEach(
                (name, text) -> {
                    int dot = name.indexOf('.');
                    blocks.computeIfAbsent(name.substring(0, dot), any -> new ArrayList<>())
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

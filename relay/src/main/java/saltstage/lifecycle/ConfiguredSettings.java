package saltstage.lifecycle;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import saltstage.config.OperatorSettings;
import saltstage.log.Log;
import saltstage.log.LogSetup;

/**
 * The settings that the shared configuration can change while the relay runs: {@code log.level} and
 * {@code log.format}. They take precedence over those of the operator's file, which apply again
 * once the former are deleted. All other settings take a restart with another file; each of them is
 * logged once.
 */
final class ConfiguredSettings {
    private static final String LOG_LEVEL = "log.level";
    private static final String LOG_FORMAT = "log.format";

    private final Map<String, String> values = new HashMap<>();
    private final Set<String> reportedNames = new HashSet<>();
    private OperatorSettings.Logging fileSettings;
    private OperatorSettings.Logging inForce;

    /** Starts with the logging settings of the operator's file. */
    ConfiguredSettings(OperatorSettings.Logging fileSettings) {
        this.fileSettings = fileSettings;
        inForce = fileSettings;
    }

    /** Replaces and applies the settings of the operator's file, which was read again. */
    synchronized void setFileSettings(OperatorSettings.Logging newSettings) {
        fileSettings = newSettings;
        apply();
    }

    /** Removes all settings of the shared configuration. */
    synchronized void clear() {
        values.clear();
    }

    /** Changes a setting; null deletes it. */
    synchronized void set(String name, String text) {
        if (!name.equals(LOG_LEVEL) && !name.equals(LOG_FORMAT)) {
            if (reportedNames.add(name)) {
                Log.warn("configuration.setting", "name", name, "why", "takes a restart");
            }
            return;
        }
        if (text == null) {
            values.remove(name);
        } else {
            values.put(name, text);
        }
    }

    /** Applies the settings to the log. */
    synchronized void apply() {
        OperatorSettings.Logging effective =
                new OperatorSettings.Logging(
                        parseSetting(LOG_FORMAT, LogSetup.Format.class, fileSettings.format()),
                        parseSetting(
                                LOG_LEVEL, OperatorSettings.Level.class, fileSettings.level()));
        if (!effective.equals(inForce)) {
            inForce = effective;
            LogSetup.reconfigure(effective.format(), effective.level().name());
        }
    }

    private <E extends Enum<E>> E parseSetting(String name, Class<E> type, E defaultValue) {
        String text = values.get(name);
        if (text == null) {
            return defaultValue;
        }
        for (E constant : type.getEnumConstants()) {
            if (constant.name().toLowerCase(Locale.ROOT).equals(text)) {
                return constant;
            }
        }
        values.remove(name);
        Log.warn("configuration.setting", "name", name, "why", "unknown word: " + text);
        return defaultValue;
    }
}

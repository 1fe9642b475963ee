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
 * The settings that configuration changes while the relay runs: {@code log.level} and {@code
 * log.format}. They go before those of the operator's file, which hold again once they are deleted.
 * All others take a restart with another file; each is named in the log once.
 */
final class ConfiguredSettings {
    private static final String LEVEL = "log.level";
    private static final String FORMAT = "log.format";

    private final Map<String, String> texts = new HashMap<>();
    private final Set<String> told = new HashSet<>();
    private OperatorSettings.Logging file;
    private OperatorSettings.Logging inForce;

    /** Over these of the operator's file. */
    ConfiguredSettings(OperatorSettings.Logging file) {
        this.file = file;
        inForce = file;
    }

    /** The operator's file was read anew. */
    synchronized void useFile(OperatorSettings.Logging read) {
        file = read;
        apply();
    }

    /** Forgets all. */
    synchronized void clear() {
        texts.clear();
    }

    /** A setting says this from now on; null: it is deleted. */
    synchronized void set(String name, String text) {
        if (!name.equals(LEVEL) && !name.equals(FORMAT)) {
            if (told.add(name)) {
                Log.warn("configuration.setting", "name", name, "why", "takes a restart");
            }
            return;
        }
        if (text == null) {
            texts.remove(name);
        } else {
            texts.put(name, text);
        }
    }

    /** Puts what was set in force. */
    synchronized void apply() {
        OperatorSettings.Logging wanted =
                new OperatorSettings.Logging(
                        word(FORMAT, LogSetup.Format.class, file.format()),
                        word(LEVEL, OperatorSettings.Level.class, file.level()));
        if (!wanted.equals(inForce)) {
            inForce = wanted;
            LogSetup.use(wanted.format(), wanted.level().name());
        }
    }

    private <E extends Enum<E>> E word(String name, Class<E> type, E otherwise) {
        String text = texts.get(name);
        if (text == null) {
            return otherwise;
        }
        for (E constant : type.getEnumConstants()) {
            if (constant.name().toLowerCase(Locale.ROOT).equals(text)) {
                return constant;
            }
        }
        texts.remove(name);
        Log.warn("configuration.setting", "name", name, "why", "unknown word: " + text);
        return otherwise;
    }
}

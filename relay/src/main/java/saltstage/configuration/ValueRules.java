package saltstage.configuration;

import java.util.regex.Pattern;

/**
 * Rules that each value must meet to be transferred: texts have bounded lengths and can be encoded
 * as UTF-8, and numbers can be represented in JSON. The coordinator group checks whether a value
 * makes sense.
 */
public final class ValueRules {
    private static final Pattern ZONE_PATTERN =
            Pattern.compile("[A-Za-z0-9._-]{0," + ConfigurationLimits.MAX_ZONE_LENGTH + "}");
    private static final Pattern ADDRESS_PATTERN =
            Pattern.compile(
                    "[A-Za-z0-9.:\\[\\]_-]{1," + ConfigurationLimits.MAX_ADDRESS_LENGTH + "}");
    private static final Pattern IDENTIFIER_PATTERN =
            Pattern.compile("[!-~]{1," + ConfigurationLimits.MAX_IDENTIFIER_LENGTH + "}");

    private ValueRules() {}

    /** Returns why the value violates the rules, as one sentence, or null if it is valid. */
    public static String validationError(EntryValue value) {
        if (value instanceof EntryValue.Setting setting) {
            return textError("text", setting.text(), ConfigurationLimits.MAX_SETTING_LENGTH);
        }
        if (value instanceof EntryValue.Backend backend) {
            return backendError(backend);
        }
        if (value instanceof EntryValue.Shard shard) {
            return IDENTIFIER_PATTERN.matcher(shard.backend()).matches()
                    ? null
                    : "'backend' takes an identifier of 1 to 160 visible ASCII characters";
        }
        return textError(
                "reason",
                ((EntryValue.Suspension) value).reason(),
                ConfigurationLimits.MAX_REASON_LENGTH);
    }

    private static String backendError(EntryValue.Backend backend) {
        if (!ADDRESS_PATTERN.matcher(backend.address()).matches()) {
            return "'address' takes host:port, up to 100 characters";
        }
        if (!ZONE_PATTERN.matcher(backend.zone()).matches()) {
            return "'zone' takes up to 60 letters, digits, '.', '_' and '-'";
        }
        if (backend.cell() < 0) {
            return "'cell' takes a whole number from 0 on";
        }
        if (!Double.isFinite(backend.weight()) || backend.weight() < 0) {
            return "'weight' takes a finite number from 0 on";
        }
        long startedAtMs = backend.startedAtMs();
        return startedAtMs >= 0 && startedAtMs <= ConfigurationLimits.MAX_SAFE_INTEGER
                ? null
                : "'startedAtMs' takes milliseconds since 1970";
    }

    private static String textError(String name, String text, int maxLength) {
        if (text.length() > maxLength) {
            return "'" + name + "' takes up to " + maxLength + " characters";
        }
        boolean valid =
                text.codePoints()
                        .noneMatch(
                                c ->
                                        Character.isISOControl(c)
                                                || Character.getType(c) == Character.SURROGATE);
        return valid ? null : "'" + name + "' takes no control characters or half characters";
    }
}

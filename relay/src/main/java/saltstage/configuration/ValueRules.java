package saltstage.configuration;

import java.util.regex.Pattern;

/**
 * What any value must be to be carried at all: texts of bounded length that survive UTF-8, numbers
 * that survive JSON. What a value must be to make sense is the group's to check.
 */
public final class ValueRules {
    private static final Pattern ZONE =
            Pattern.compile("[A-Za-z0-9._-]{0," + ConfigurationLimits.ZONE_LENGTH + "}");
    private static final Pattern ADDRESS =
            Pattern.compile("[A-Za-z0-9.:\\[\\]_-]{1," + ConfigurationLimits.ADDRESS_LENGTH + "}");
    private static final Pattern IDENTIFIER =
            Pattern.compile("[!-~]{1," + ConfigurationLimits.IDENTIFIER_LENGTH + "}");

    private ValueRules() {}

    /** Why the value cannot be carried, as one sentence; null where it can be. */
    public static String fault(EntryValue value) {
        if (value instanceof EntryValue.Setting setting) {
            return text("text", setting.text(), ConfigurationLimits.SETTING_LENGTH);
        }
        if (value instanceof EntryValue.Backend backend) {
            return backend(backend);
        }
        if (value instanceof EntryValue.Shard shard) {
            return IDENTIFIER.matcher(shard.backend()).matches()
                    ? null
                    : "'backend' takes an identifier of 1 to 160 visible ASCII characters";
        }
        return text(
                "reason",
                ((EntryValue.Suspension) value).reason(),
                ConfigurationLimits.REASON_LENGTH);
    }

    private static String backend(EntryValue.Backend backend) {
        if (!ADDRESS.matcher(backend.address()).matches()) {
            return "'address' takes host:port, up to 100 characters";
        }
        if (!ZONE.matcher(backend.zone()).matches()) {
            return "'zone' takes up to 60 letters, digits, '.', '_' and '-'";
        }
        if (backend.cell() < 0) {
            return "'cell' takes a whole number from 0 on";
        }
        if (!Double.isFinite(backend.weight()) || backend.weight() < 0) {
            return "'weight' takes a finite number from 0 on";
        }
        long started = backend.startedAtMs();
        return started >= 0 && started <= ConfigurationLimits.LARGEST_NUMBER
                ? null
                : "'startedAtMs' takes milliseconds since 1970";
    }

    private static String text(String name, String text, int longest) {
        if (text.length() > longest) {
            return "'" + name + "' takes up to " + longest + " characters";
        }
        boolean carried =
                text.codePoints()
                        .noneMatch(
                                c ->
                                        Character.isISOControl(c)
                                                || Character.getType(c) == Character.SURROGATE);
        return carried ? null : "'" + name + "' takes no control characters or half characters";
    }
}

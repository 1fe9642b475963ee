package saltstage.config;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import saltstage.wire.MalformedException;

/**
 * One block of an operator's settings file. Each attribute is checked when it is read by name;
 * {@link #rejectUnknown} then rejects every attribute and block that was not read. Every error
 * names the file, the line and the attribute or block.
 */
public final class HclBlock {
    private static final Pattern DURATION = Pattern.compile("(\\d{1,9})(ms|s|m|h|d)");
    private static final Pattern SIZE = Pattern.compile("(\\d{1,12})(B|KiB|MiB|GiB)?");

    private record Attribute(Object value, int line) {}

    private final String file;
    private final String type;
    private final List<String> labels;
    private final int line;
    private final Map<String, Attribute> attributes = new LinkedHashMap<>();
    private final List<HclBlock> blocks = new ArrayList<>();
    private final Set<String> requested = new HashSet<>();

    HclBlock(String file, String type, List<String> labels, int line) {
        this.file = file;
        this.type = type;
        this.labels = List.copyOf(labels);
        this.line = line;
    }

    void addAttribute(String name, Object value, int attributeLine) throws MalformedException {
        if (!HclFile.isIdentifier(name)) {
            throw errorAt(attributeLine, "'" + name + "' is no name");
        }
        if (attributes.put(name, new Attribute(value, attributeLine)) != null) {
            throw errorAt(attributeLine, "'" + name + "' is given twice");
        }
    }

    void addBlock(HclBlock inner) {
        blocks.add(inner);
    }

    /** The labels of the block, in order. */
    public List<String> labels() {
        return labels;
    }

    /** All inner blocks of a type, in order. */
    public List<HclBlock> blocks(String name) {
        requested.add("block " + name);
        return blocks.stream().filter(inner -> inner.type.equals(name)).toList();
    }

    /** The one inner block of a type, without labels, or null. */
    public HclBlock block(String name) throws MalformedException {
        List<HclBlock> found = blocks(name);
        if (found.size() > 1) {
            throw found.get(1).blockError("'" + name + "' is given twice");
        }
        if (!found.isEmpty() && !found.get(0).labels.isEmpty()) {
            throw found.get(0).blockError("'" + name + "' takes no label");
        }
        return found.isEmpty() ? null : found.get(0);
    }

    /** Returns a text attribute, or the default if it is absent. */
    public String string(String name, String defaultValue) throws MalformedException {
        Attribute attribute = lookUp(name);
        if (attribute == null) {
            return defaultValue;
        }
        if (!(attribute.value() instanceof String text) || text.isBlank()) {
            throw errorAt(attribute.line(), "'" + name + "' takes a text");
        }
        return text;
    }

    /** Returns a required text attribute. */
    public String requiredString(String name) throws MalformedException {
        String text = string(name, null);
        if (text == null) {
            throw blockError("'" + name + "' is missing");
        }
        return text;
    }

    /** Returns an enum attribute, whose constants are written in lower case. */
    public <E extends Enum<E>> E enumValue(String name, Class<E> enumType, E defaultValue)
            throws MalformedException {
        String text = string(name, null);
        if (text == null) {
            return defaultValue;
        }
        for (E constant : enumType.getEnumConstants()) {
            if (constant.name().toLowerCase(Locale.ROOT).equals(text)) {
                return constant;
            }
        }
        throw attributeError(
                name,
                "one of " + Arrays.toString(enumType.getEnumConstants()).toLowerCase(Locale.ROOT));
    }

    /** Returns an integer attribute, which must be within the bounds. */
    public long integer(String name, long defaultValue, long min, long max)
            throws MalformedException {
        Attribute attribute = lookUp(name);
        if (attribute == null) {
            return defaultValue;
        }
        if (!(attribute.value() instanceof Double d) || d != Math.rint(d) || d < min || d > max) {
            throw errorAt(
                    attribute.line(),
                    "'" + name + "' takes a whole number from " + min + " to " + max);
        }
        return d.longValue();
    }

    /** Returns a list of texts, empty if it is absent. */
    public List<String> strings(String name) throws MalformedException {
        Attribute attribute = lookUp(name);
        List<String> texts = new ArrayList<>();
        for (Object item :
                attribute == null
                        ? List.of()
                        : attribute.value() instanceof List<?> items ? items : List.of(0.0)) {
            if (!(item instanceof String text) || text.isBlank()) {
                throw errorAt(attribute.line(), "'" + name + "' takes a list of texts");
            }
            texts.add(text);
        }
        return texts;
    }

    /** Returns a list of integers, each within the bounds; empty if it is absent. */
    public List<Long> integers(String name, long min, long max) throws MalformedException {
        Attribute attribute = lookUp(name);
        List<Long> numbers = new ArrayList<>();
        for (Object item :
                attribute == null
                        ? List.of()
                        : attribute.value() instanceof List<?> items ? items : List.of("")) {
            if (!(item instanceof Double d) || d != Math.rint(d) || d < min || d > max) {
                throw errorAt(
                        attribute.line(),
                        "'" + name + "' takes a list of whole numbers from " + min + " to " + max);
            }
            numbers.add(d.longValue());
        }
        return numbers;
    }

    /** Returns a boolean attribute. */
    public boolean bool(String name, boolean defaultValue) throws MalformedException {
        Attribute attribute = lookUp(name);
        if (attribute == null) {
            return defaultValue;
        }
        if (!(attribute.value() instanceof Boolean b)) {
            throw errorAt(attribute.line(), "'" + name + "' takes true or false");
        }
        return b;
    }

    /**
     * Returns a duration such as "250ms", "10s", "5m", "24h" or "30d", which must be within the
     * bounds.
     */
    public Duration duration(String name, Duration defaultValue, Duration min, Duration max)
            throws MalformedException {
        String text = string(name, null);
        if (text == null) {
            return defaultValue;
        }
        Matcher matcher = DURATION.matcher(text);
        if (matcher.matches()) {
            long amount = Long.parseLong(matcher.group(1));
            Duration duration =
                    switch (matcher.group(2)) {
                        case "ms" -> Duration.ofMillis(amount);
                        case "s" -> Duration.ofSeconds(amount);
                        case "m" -> Duration.ofMinutes(amount);
                        case "h" -> Duration.ofHours(amount);
                        default -> Duration.ofDays(amount);
                    };
            if (duration.compareTo(min) >= 0 && duration.compareTo(max) <= 0) {
                return duration;
            }
        }
        throw attributeError(
                name,
                "a span such as \"250ms\", \"10s\" or \"24h\", from "
                        + min.toMillis()
                        + " ms to "
                        + max.toMillis()
                        + " ms");
    }

    /** Returns a size in bytes such as "64KiB" or "8MiB", which must be within the bounds. */
    public long byteSize(String name, long defaultValue, long min, long max)
            throws MalformedException {
        String text = string(name, null);
        if (text == null) {
            return defaultValue;
        }
        Matcher matcher = SIZE.matcher(text);
        if (matcher.matches()) {
            int shift =
                    switch (matcher.group(2) == null ? "B" : matcher.group(2)) {
                        case "KiB" -> 10;
                        case "MiB" -> 20;
                        case "GiB" -> 30;
                        default -> 0;
                    };
            long amount = Long.parseLong(matcher.group(1));
            if (amount <= Long.MAX_VALUE >> shift
                    && amount << shift >= min
                    && amount << shift <= max) {
                return amount << shift;
            }
        }
        throw attributeError(
                name,
                "a size such as \"64KiB\" or \"8MiB\", from " + min + " to " + max + " bytes");
    }

    /** Rejects the attributes and inner blocks that were not read. */
    public void rejectUnknown() throws MalformedException {
        for (Map.Entry<String, Attribute> entry : attributes.entrySet()) {
            if (!requested.contains(entry.getKey())) {
                throw errorAt(
                        entry.getValue().line(), "unknown attribute '" + entry.getKey() + "'");
            }
        }
        for (HclBlock inner : blocks) {
            if (!requested.contains("block " + inner.type)) {
                throw inner.blockError("unknown block '" + inner.type + "'");
            }
        }
    }

    /** Creates an error about this block as a whole. */
    public MalformedException blockError(String message) {
        return errorAt(line, message);
    }

    /** Creates an error about the value of an attribute that is present. */
    public MalformedException attributeError(String name, String expected) {
        return errorAt(attributes.get(name).line(), "'" + name + "' takes " + expected);
    }

    private Attribute lookUp(String name) {
        requested.add(name);
        return attributes.get(name);
    }

    private MalformedException errorAt(int lineNumber, String message) {
        return new MalformedException(
                file + ":" + lineNumber + ": " + (type.isEmpty() ? "" : type + ": ") + message);
    }
}

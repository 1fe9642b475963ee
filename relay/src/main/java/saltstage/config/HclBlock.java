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

    void addAttribute(String name, Object value, int at) throws MalformedException {
        if (!HclFile.isIdentifier(name)) {
            throw errorAt(at, "'" + name + "' is no name");
        }
        if (attributes.put(name, new Attribute(value, at)) != null) {
            throw errorAt(at, "'" + name + "' is given twice");
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
    public String string(String name, String absent) throws MalformedException {
        Attribute given = lookUp(name);
        if (given == null) {
            return absent;
        }
        if (!(given.value() instanceof String text) || text.isBlank()) {
            throw errorAt(given.line(), "'" + name + "' takes a text");
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
    public <E extends Enum<E>> E enumValue(String name, Class<E> of, E absent)
            throws MalformedException {
        String text = string(name, null);
        if (text == null) {
            return absent;
        }
        for (E constant : of.getEnumConstants()) {
            if (constant.name().toLowerCase(Locale.ROOT).equals(text)) {
                return constant;
            }
        }
        throw attributeError(
                name, "one of " + Arrays.toString(of.getEnumConstants()).toLowerCase(Locale.ROOT));
    }

    /** Returns an integer attribute, which must be within the bounds. */
    public long integer(String name, long absent, long least, long most) throws MalformedException {
        Attribute given = lookUp(name);
        if (given == null) {
            return absent;
        }
        if (!(given.value() instanceof Double d) || d != Math.rint(d) || d < least || d > most) {
            throw errorAt(
                    given.line(),
                    "'" + name + "' takes a whole number from " + least + " to " + most);
        }
        return d.longValue();
    }

    /** Returns a list of texts, empty if it is absent. */
    public List<String> strings(String name) throws MalformedException {
        Attribute given = lookUp(name);
        List<String> texts = new ArrayList<>();
        for (Object item :
                given == null
                        ? List.of()
                        : given.value() instanceof List<?> items ? items : List.of(0.0)) {
            if (!(item instanceof String text) || text.isBlank()) {
                throw errorAt(given.line(), "'" + name + "' takes a list of texts");
            }
            texts.add(text);
        }
        return texts;
    }

    /** Returns a list of integers, each within the bounds; empty if it is absent. */
    public List<Long> integers(String name, long least, long most) throws MalformedException {
        Attribute given = lookUp(name);
        List<Long> numbers = new ArrayList<>();
        for (Object item :
                given == null
                        ? List.of()
                        : given.value() instanceof List<?> items ? items : List.of("")) {
            if (!(item instanceof Double d) || d != Math.rint(d) || d < least || d > most) {
                throw errorAt(
                        given.line(),
                        "'"
                                + name
                                + "' takes a list of whole numbers from "
                                + least
                                + " to "
                                + most);
            }
            numbers.add(d.longValue());
        }
        return numbers;
    }

    /** Returns a boolean attribute. */
    public boolean bool(String name, boolean absent) throws MalformedException {
        Attribute given = lookUp(name);
        if (given == null) {
            return absent;
        }
        if (!(given.value() instanceof Boolean b)) {
            throw errorAt(given.line(), "'" + name + "' takes true or false");
        }
        return b;
    }

    /**
     * Returns a duration such as "250ms", "10s", "5m", "24h" or "30d", which must be within the
     * bounds.
     */
    public Duration duration(String name, Duration absent, Duration least, Duration most)
            throws MalformedException {
        String text = string(name, null);
        if (text == null) {
            return absent;
        }
        Matcher parts = DURATION.matcher(text);
        if (parts.matches()) {
            long n = Long.parseLong(parts.group(1));
            Duration span =
                    switch (parts.group(2)) {
                        case "ms" -> Duration.ofMillis(n);
                        case "s" -> Duration.ofSeconds(n);
                        case "m" -> Duration.ofMinutes(n);
                        case "h" -> Duration.ofHours(n);
                        default -> Duration.ofDays(n);
                    };
            if (span.compareTo(least) >= 0 && span.compareTo(most) <= 0) {
                return span;
            }
        }
        throw attributeError(
                name,
                "a span such as \"250ms\", \"10s\" or \"24h\", from "
                        + least.toMillis()
                        + " ms to "
                        + most.toMillis()
                        + " ms");
    }

    /** Returns a size in bytes such as "64KiB" or "8MiB", which must be within the bounds. */
    public long byteSize(String name, long absent, long least, long most)
            throws MalformedException {
        String text = string(name, null);
        if (text == null) {
            return absent;
        }
        Matcher parts = SIZE.matcher(text);
        if (parts.matches()) {
            int shift =
                    switch (parts.group(2) == null ? "B" : parts.group(2)) {
                        case "KiB" -> 10;
                        case "MiB" -> 20;
                        case "GiB" -> 30;
                        default -> 0;
                    };
            long n = Long.parseLong(parts.group(1));
            if (n <= Long.MAX_VALUE >> shift && n << shift >= least && n << shift <= most) {
                return n << shift;
            }
        }
        throw attributeError(
                name,
                "a size such as \"64KiB\" or \"8MiB\", from " + least + " to " + most + " bytes");
    }

    /** Rejects the attributes and inner blocks that were not read. */
    public void rejectUnknown() throws MalformedException {
        for (Map.Entry<String, Attribute> given : attributes.entrySet()) {
            if (!requested.contains(given.getKey())) {
                throw errorAt(
                        given.getValue().line(), "unknown attribute '" + given.getKey() + "'");
            }
        }
        for (HclBlock inner : blocks) {
            if (!requested.contains("block " + inner.type)) {
                throw inner.blockError("unknown block '" + inner.type + "'");
            }
        }
    }

    /** Creates an error about this block as a whole. */
    public MalformedException blockError(String what) {
        return errorAt(line, what);
    }

    /** Creates an error about the value of an attribute that is present. */
    public MalformedException attributeError(String name, String takes) {
        return errorAt(attributes.get(name).line(), "'" + name + "' takes " + takes);
    }

    private Attribute lookUp(String name) {
        requested.add(name);
        return attributes.get(name);
    }

    private MalformedException errorAt(int where, String what) {
        return new MalformedException(
                file + ":" + where + ": " + (type.isEmpty() ? "" : type + ": ") + what);
    }
}

package saltstage.configuration;

import java.util.regex.Pattern;

/**
 * The key of an entry: its kind and its name, written as {@code kind/name}. Keys are ordered by
 * their text.
 *
 * @param name 1 to 160 visible ASCII characters
 */
public record EntryKey(EntryKind kind, String name) implements Comparable<EntryKey> {
    private static final Pattern NAME_PATTERN = Pattern.compile("[!-~]{1,160}");
    private static final char SEPARATOR = '/';

    /** Checks the name; throws IllegalArgumentException if it is malformed. */
    public EntryKey {
        if (!NAME_PATTERN.matcher(name).matches()) {
            throw new IllegalArgumentException(
                    "the name of a "
                            + kind.wireName()
                            + " takes 1 to 160 visible ASCII characters");
        }
    }

    /** Parses a key; throws IllegalArgumentException if the text is not a key. */
    public static EntryKey parse(String text) {
        int separator = text.indexOf(SEPARATOR);
        for (EntryKind kind : EntryKind.values()) {
            if (separator > 0 && kind.wireName().equals(text.substring(0, separator))) {
                return new EntryKey(kind, text.substring(separator + 1));
            }
        }
        throw new IllegalArgumentException("no kind of entry in the key '" + text + "'");
    }

    /** The key as text in the form {@code kind/name}. */
    public String text() {
        return kind.wireName() + SEPARATOR + name;
    }

    @Override
    public int compareTo(EntryKey other) {
        int byKind = kind.wireName().compareTo(other.kind.wireName());
        return byKind != 0 ? byKind : name.compareTo(other.name);
    }
}

package saltstage.configuration;

/**
 * Writes JSON. The caller writes brackets, names and values; this class adds commas and escapes.
 */
final class JsonWriter {
    private static final char FIRST_PRINTABLE = ' ';

    private final StringBuilder out = new StringBuilder();
    private boolean commaNeeded;

    JsonWriter open(char bracket) {
        appendSeparator();
        out.append(bracket);
        commaNeeded = false;
        return this;
    }

    JsonWriter close(char bracket) {
        out.append(bracket);
        commaNeeded = true;
        return this;
    }

    JsonWriter name(String name) {
        string(name);
        out.append(':');
        commaNeeded = false;
        return this;
    }

    JsonWriter number(long value) {
        appendSeparator();
        out.append(value);
        return this;
    }

    JsonWriter number(double value) {
        appendSeparator();
        out.append(value);
        return this;
    }

    JsonWriter bool(boolean value) {
        appendSeparator();
        out.append(value);
        return this;
    }

    JsonWriter string(String value) {
        appendSeparator();
        out.append('"');
        value.chars().forEach(c -> appendEscaped((char) c));
        out.append('"');
        return this;
    }

    private void appendEscaped(char c) {
        if (c == '"' || c == '\\') {
            out.append('\\').append(c);
        } else if (c < FIRST_PRINTABLE) {
            out.append(String.format("\\u%04x", (int) c));
        } else {
            out.append(c);
        }
    }

    private void appendSeparator() {
        if (commaNeeded) {
            out.append(',');
        }
        commaNeeded = true;
    }

    @Override
    public String toString() {
        return out.toString();
    }
}

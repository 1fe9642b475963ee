package saltstage.configuration;

/** Writes JSON: the caller opens, names and closes; commas and escapes are put here. */
final class JsonText {
    private static final char FIRST_PRINTABLE = ' ';

    private final StringBuilder out = new StringBuilder();
    private boolean comma;

    JsonText open(char bracket) {
        separate();
        out.append(bracket);
        comma = false;
        return this;
    }

    JsonText close(char bracket) {
        out.append(bracket);
        comma = true;
        return this;
    }

    JsonText name(String name) {
        string(name);
        out.append(':');
        comma = false;
        return this;
    }

    JsonText number(long value) {
        separate();
        out.append(value);
        return this;
    }

    JsonText number(double value) {
        separate();
        out.append(value);
        return this;
    }

    JsonText truth(boolean value) {
        separate();
        out.append(value);
        return this;
    }

    JsonText string(String value) {
        separate();
        out.append('"');
        value.chars().forEach(c -> escape((char) c));
        out.append('"');
        return this;
    }

    private void escape(char c) {
        if (c == '"' || c == '\\') {
            out.append('\\').append(c);
        } else if (c < FIRST_PRINTABLE) {
            out.append(String.format("\\u%04x", (int) c));
        } else {
            out.append(c);
        }
    }

    private void separate() {
        if (comma) {
            out.append(',');
        }
        comma = true;
    }

    @Override
    public String toString() {
        return out.toString();
    }
}

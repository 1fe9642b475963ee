package saltstage.wire;

/**
 * Splits a stream of text into JSON objects, which may share a line or span several. It looks only
 * at braces and strings and leaves the contents to the parser. The size of an object is bounded.
 */
final class JsonObjectSplitter {
    private final int maxChars;
    private final StringBuilder text = new StringBuilder();
    private int depth;
    private boolean inString;
    private boolean escaped;

    JsonObjectSplitter(int maxChars) {
        this.maxChars = maxChars;
    }

    /** Accepts the next character. Returns the text of the object that it completes, or null. */
    String accept(char c) throws MalformedException {
        if (depth == 0) {
            if (c == '{') {
                depth = 1;
                text.append(c);
            } else if (" \t\r\n".indexOf(c) < 0) {
                throw new MalformedException("discovery: text outside an object");
            }
            return null;
        }
        text.append(c);
        if (text.length() > maxChars) {
            throw new MalformedException("discovery: line too long");
        }
        if (inString) {
            inString = escaped || c != '"';
            escaped = !escaped && c == '\\';
        } else if (c == '"') {
            inString = true;
        } else if (c == '{') {
            depth++;
        } else if (c == '}' && --depth == 0) {
            String object = text.toString();
            text.setLength(0);
            return object;
        }
        return null;
    }

    /** Whether the stream is outside of any object. */
    boolean isBetweenObjects() {
        return depth == 0;
    }
}

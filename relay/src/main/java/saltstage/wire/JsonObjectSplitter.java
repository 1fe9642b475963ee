package saltstage.wire;

/**
 * Takes a stream of text apart into JSON objects, each on one line or indented over several: it
 * looks at braces and strings only, what is inside is the parser's business. Bounded in the size of
 * an object.
 */
final class JsonObjectSplitter {
    private final int maxChars;
    private final StringBuilder text = new StringBuilder();
    private int depth;
    private boolean inString;
    private boolean escaped;

    JsonObjectSplitter(int most) {
        this.maxChars = most;
    }

    /** Takes a character; the text of an object that ends with it, else null. */
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

    /** Whether no object has begun that has not ended. */
    boolean isBetweenObjects() {
        return depth == 0;
    }
}

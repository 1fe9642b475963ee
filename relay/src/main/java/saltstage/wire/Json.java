package saltstage.wire;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A strict JSON parser with bounded nesting depth. Values are Map, List, String, Double, Boolean or
 * null.
 */
public final class Json {
    private static final int MAX_DEPTH = 32;

    private final String text;
    private int position;

    private Json(String text) {
        this.text = text;
    }

    /** Parses a text that consists of one object. */
    public static Map<String, Object> parseObject(String text) throws MalformedException {
        Json json = new Json(text);
        Object value = json.parseValue(0);
        json.skipWhitespace();
        if (json.position != text.length()) {
            throw json.malformed("text after the end");
        }
        return asObject(value, "the text");
    }

    /** Returns the value as an object, or fails with an error that begins with the given name. */
    @SuppressWarnings("unchecked") // the parser creates maps with string keys only
    public static Map<String, Object> asObject(Object value, String name)
            throws MalformedException {
        if (!(value instanceof Map)) {
            throw new MalformedException(name + " is not an object");
        }
        return (Map<String, Object>) value;
    }

    /** Returns a required member of an object; it must have this type. */
    public static <T> T member(Map<String, Object> object, String name, Class<T> type)
            throws MalformedException {
        Object value = object.get(name);
        if (!type.isInstance(value)) {
            throw new MalformedException(
                    name + (value == null ? " is missing" : " has the wrong type"));
        }
        return type.cast(value);
    }

    private MalformedException malformed(String message) {
        return new MalformedException("JSON, character " + position + ": " + message);
    }

    private void skipWhitespace() {
        while (position < text.length() && " \t\r\n".indexOf(text.charAt(position)) >= 0) {
            position++;
        }
    }

    private char peek() throws MalformedException {
        skipWhitespace();
        if (position >= text.length()) {
            throw malformed("the text ends early");
        }
        return text.charAt(position);
    }

    private void expect(char c) throws MalformedException {
        if (peek() != c) {
            throw malformed("'" + c + "' expected");
        }
        position++;
    }

    private Object parseValue(int depth) throws MalformedException {
        if (depth > MAX_DEPTH) {
            throw malformed("nested too deeply");
        }
        switch (peek()) {
            case '{':
                return parseMembers(depth);
            case '[':
                return parseItems(depth);
            case '"':
                return parseString();
            case 't':
                return parseLiteral("true", Boolean.TRUE);
            case 'f':
                return parseLiteral("false", Boolean.FALSE);
            case 'n':
                return parseLiteral("null", null);
            default:
                return parseNumber();
        }
    }

    private Map<String, Object> parseMembers(int depth) throws MalformedException {
        Map<String, Object> members = new LinkedHashMap<>();
        expect('{');
        if (peek() != '}') {
            while (true) {
                peek();
                String name = parseString();
                expect(':');
                members.put(name, parseValue(depth + 1));
                if (peek() != ',') {
                    break;
                }
                position++;
            }
        }
        expect('}');
        return members;
    }

    private List<Object> parseItems(int depth) throws MalformedException {
        List<Object> items = new ArrayList<>();
        expect('[');
        if (peek() != ']') {
            while (true) {
                items.add(parseValue(depth + 1));
                if (peek() != ',') {
                    break;
                }
                position++;
            }
        }
        expect(']');
        return items;
    }

    private Object parseLiteral(String word, Object value) throws MalformedException {
        if (!text.startsWith(word, position)) {
            throw malformed("unknown word");
        }
        position += word.length();
        return value;
    }

    private Double parseNumber() throws MalformedException {
        int start = position;
        while (position < text.length() && "+-.eE0123456789".indexOf(text.charAt(position)) >= 0) {
            position++;
        }
        String digits = text.substring(start, position);
        if (!digits.matches("-?(0|[1-9]\\d*)(\\.\\d+)?([eE][+-]?\\d+)?")) {
            throw malformed("bad number");
        }
        return Double.valueOf(digits);
    }

    private String parseString() throws MalformedException {
        expect('"');
        StringBuilder out = new StringBuilder();
        while (position < text.length() && text.charAt(position) != '"') {
            char c = text.charAt(position++);
            if (c < ' ') {
                throw malformed("control character in a string");
            }
            out.append(c == '\\' ? parseEscape() : c);
        }
        expectQuote();
        return out.toString();
    }

    private void expectQuote() throws MalformedException {
        if (position >= text.length()) {
            throw malformed("the text ends in a string");
        }
        position++;
    }

    private char parseEscape() throws MalformedException {
        if (position >= text.length()) {
            throw malformed("the text ends in a string");
        }
        char c = text.charAt(position++);
        int index = "\"\\/bfnrt".indexOf(c);
        if (index >= 0) {
            return "\"\\/\b\f\n\r\t".charAt(index);
        }
        if (c != 'u'
                || position + 4 > text.length()
                || !text.substring(position, position + 4).matches("[0-9a-fA-F]{4}")) {
            throw malformed("bad escape");
        }
        position += 4;
        return (char) Integer.parseInt(text.substring(position - 4, position), 16);
    }
}

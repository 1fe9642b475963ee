package saltstage.wire;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A strict JSON parser: Map, List, String, Double, Boolean or null; its depth is bounded. */
public final class Json {
    private static final int MOST_DEPTH = 32;

    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    /** Parses a text that is one object. */
    public static Map<String, Object> object(String text) throws MalformedException {
        Json json = new Json(text);
        Object value = json.value(0);
        json.space();
        if (json.at != text.length()) {
            throw json.malformed("text after the end");
        }
        return asObject(value, "the text");
    }

    /** The value as an object. */
    @SuppressWarnings("unchecked") // every map that the parser makes has such keys and values
    public static Map<String, Object> asObject(Object value, String what)
            throws MalformedException {
        if (!(value instanceof Map)) {
            throw new MalformedException(what + " is not an object");
        }
        return (Map<String, Object>) value;
    }

    /** The member of an object, which must be of this type. */
    public static <T> T member(Map<String, Object> object, String name, Class<T> type)
            throws MalformedException {
        Object value = object.get(name);
        if (!type.isInstance(value)) {
            throw new MalformedException(
                    name + (value == null ? " is missing" : " has the wrong type"));
        }
        return type.cast(value);
    }

    private MalformedException malformed(String what) {
        return new MalformedException("JSON, character " + at + ": " + what);
    }

    private void space() {
        while (at < text.length() && " \t\r\n".indexOf(text.charAt(at)) >= 0) {
            at++;
        }
    }

    private char peek() throws MalformedException {
        space();
        if (at >= text.length()) {
            throw malformed("the text ends early");
        }
        return text.charAt(at);
    }

    private void expect(char c) throws MalformedException {
        if (peek() != c) {
            throw malformed("'" + c + "' expected");
        }
        at++;
    }

    private Object value(int depth) throws MalformedException {
        if (depth > MOST_DEPTH) {
            throw malformed("nested too deeply");
        }
        switch (peek()) {
            case '{':
                return members(depth);
            case '[':
                return items(depth);
            case '"':
                return string();
            case 't':
                return word("true", Boolean.TRUE);
            case 'f':
                return word("false", Boolean.FALSE);
            case 'n':
                return word("null", null);
            default:
                return number();
        }
    }

    private Map<String, Object> members(int depth) throws MalformedException {
        Map<String, Object> members = new LinkedHashMap<>();
        expect('{');
        if (peek() != '}') {
            while (true) {
                peek();
                String name = string();
                expect(':');
                members.put(name, value(depth + 1));
                if (peek() != ',') {
                    break;
                }
                at++;
            }
        }
        expect('}');
        return members;
    }

    private List<Object> items(int depth) throws MalformedException {
        List<Object> items = new ArrayList<>();
        expect('[');
        if (peek() != ']') {
            while (true) {
                items.add(value(depth + 1));
                if (peek() != ',') {
                    break;
                }
                at++;
            }
        }
        expect(']');
        return items;
    }

    private Object word(String word, Object value) throws MalformedException {
        if (!text.startsWith(word, at)) {
            throw malformed("unknown word");
        }
        at += word.length();
        return value;
    }

    private Double number() throws MalformedException {
        int from = at;
        while (at < text.length() && "+-.eE0123456789".indexOf(text.charAt(at)) >= 0) {
            at++;
        }
        String digits = text.substring(from, at);
        if (!digits.matches("-?(0|[1-9]\\d*)(\\.\\d+)?([eE][+-]?\\d+)?")) {
            throw malformed("bad number");
        }
        return Double.valueOf(digits);
    }

    private String string() throws MalformedException {
        expect('"');
        StringBuilder out = new StringBuilder();
        while (at < text.length() && text.charAt(at) != '"') {
            char c = text.charAt(at++);
            if (c < ' ') {
                throw malformed("control character in a string");
            }
            out.append(c == '\\' ? escaped() : c);
        }
        expectQuote();
        return out.toString();
    }

    private void expectQuote() throws MalformedException {
        if (at >= text.length()) {
            throw malformed("the text ends in a string");
        }
        at++;
    }

    private char escaped() throws MalformedException {
        if (at >= text.length()) {
            throw malformed("the text ends in a string");
        }
        char c = text.charAt(at++);
        int plain = "\"\\/bfnrt".indexOf(c);
        if (plain >= 0) {
            return "\"\\/\b\f\n\r\t".charAt(plain);
        }
        if (c != 'u'
                || at + 4 > text.length()
                || !text.substring(at, at + 4).matches("[0-9a-fA-F]{4}")) {
            throw malformed("bad escape");
        }
        at += 4;
        return (char) Integer.parseInt(text.substring(at - 4, at), 16);
    }
}

package saltstage.sim;

import java.util.HashMap;
import java.util.Map;

/** One line of the simulator protocol: a message type and its name=value fields. */
final class SimulatorMessage {
    final String type;
    private final String text;
    private final int lineNumber;

    SimulatorMessage(String text, int lineNumber) {
        this.text = text;
        this.lineNumber = lineNumber;
        int tab = text.indexOf('\t');
        type = tab < 0 ? text : text.substring(0, tab);
    }

    MalformedMessageException malformed(String field, String problem) {
        return new MalformedMessageException(
                "line " + lineNumber + ": " + type + ": " + field + ": " + problem);
    }

    /** Returns the value of a field, or null if it is absent. */
    String find(String name) {
        for (int tab = text.indexOf('\t'); tab >= 0; tab = text.indexOf('\t', tab + 1)) {
            int equals = tab + 1 + name.length();
            if (text.startsWith(name, tab + 1)
                    && equals < text.length()
                    && text.charAt(equals) == '=') {
                int end = text.indexOf('\t', equals);
                return end < 0 ? text.substring(equals + 1) : text.substring(equals + 1, end);
            }
        }
        return null;
    }

    String require(String name) {
        String value = find(name);
        if (value == null || value.isEmpty()) {
            throw malformed(name, "missing");
        }
        return value;
    }

    long number(String name, long absent, long min, long max) {
        String value = find(name);
        if (value == null) {
            return absent;
        }
        try {
            long parsed = Long.parseLong(value);
            if (parsed < min || parsed > max) {
                throw malformed(name, "out of range: " + value);
            }
            return parsed;
        } catch (NumberFormatException e) {
            throw malformed(name, "not a whole number: " + value);
        }
    }

    long number(String name, long min, long max) {
        require(name);
        return number(name, 0, min, max);
    }

    double decimal(String name) {
        String value = require(name);
        try {
            double parsed = Double.parseDouble(value);
            if (!Double.isFinite(parsed) || parsed < 0) {
                throw malformed(name, "out of range: " + value);
            }
            return parsed;
        } catch (NumberFormatException e) {
            throw malformed(name, "not a number: " + value);
        }
    }

    boolean flag(String name) {
        String value = find(name);
        if (value != null && !value.equals("0") && !value.equals("1")) {
            throw malformed(name, "not 0 or 1: " + value);
        }
        return "1".equals(value);
    }

    /** Returns all fields of the line by name. */
    Map<String, String> fields() {
        Map<String, String> values = new HashMap<>();
        String[] parts = text.split("\t");
        for (int i = 1; i < parts.length; i++) {
            int equals = parts[i].indexOf('=');
            if (equals < 1) {
                throw malformed(parts[i], "not name=value");
            }
            values.put(parts[i].substring(0, equals), parts[i].substring(equals + 1));
        }
        return values;
    }
}

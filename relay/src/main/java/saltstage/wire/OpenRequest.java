package saltstage.wire;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.StringJoiner;
import java.util.regex.Pattern;

/** A client's first line: {@code OPEN ID KEY c=chat,t=acme,d=2000,...}. */
public final class OpenRequest {
    private static final Pattern TOKEN = Pattern.compile("[A-Za-z0-9_.:-]{1,64}");
    private static final Pattern VALUE = Pattern.compile("[!-~&&[^,=]]{0,128}");

    /** Plain decimal numbers. Other forms that Java parses (NaN, 0x1p3, 9f) are malformed. */
    private static final Pattern NUMBER = Pattern.compile("\\d{1,12}(\\.\\d{1,12})?");

    private static final int MAX_FIELDS = 64;

    /**
     * A larger hint would distort the loads that the load balancer has learned, and no backend
     * could carry it.
     */
    private static final long MAX_LOAD_HINT = 1_000_000_000;

    private final String id;
    private final String key;
    private final Map<String, String> fields;

    private OpenRequest(String id, String key, Map<String, String> fields) {
        this.id = id;
        this.key = key;
        this.fields = fields;
    }

    /** Decodes a piece that must be a complete line ending in CRLF. */
    public static String decodeLine(byte[] piece) throws MalformedException {
        int n = piece.length;
        if (n < 2 || piece[n - 1] != '\n') {
            throw new MalformedException(
                    n > LineReader.MAX_LINE_BYTES ? "line too long" : "line without an end");
        }
        if (piece[n - 2] != '\r') {
            throw new MalformedException("line not ended by CRLF");
        }
        return new String(piece, 0, n - 2, StandardCharsets.ISO_8859_1);
    }

    /** Parses the line without its CRLF. */
    public static OpenRequest parse(String line) throws MalformedException {
        String[] parts = line.split(" ", -1);
        if (!parts[0].equals("OPEN")) {
            throw new MalformedException("not an OPEN line");
        }
        if (parts.length != 4) {
            throw new MalformedException("OPEN takes an id, a key and a list of values");
        }
        if (!TOKEN.matcher(parts[1]).matches() || !TOKEN.matcher(parts[2]).matches()) {
            throw new MalformedException("bad id or key");
        }
        Map<String, String> fields = new LinkedHashMap<>();
        for (String field : parts[3].split(",", -1)) {
            int equalsIndex = field.indexOf('=');
            if (equalsIndex < 1
                    || !TOKEN.matcher(field.substring(0, equalsIndex)).matches()
                    || !VALUE.matcher(field.substring(equalsIndex + 1)).matches()) {
                throw new MalformedException("bad field");
            }
            if (fields.put(field.substring(0, equalsIndex), field.substring(equalsIndex + 1))
                    != null) {
                throw new MalformedException("field given twice");
            }
            if (fields.size() > MAX_FIELDS) {
                throw new MalformedException("too many fields");
            }
        }
        OpenRequest request = new OpenRequest(parts[1], parts[2], fields);
        if (!fields.containsKey("d") && !fields.containsKey("at")) {
            throw new MalformedException("field d is missing");
        }
        request.numericField("d", 0);
        if (request.numericField("h", 0) > MAX_LOAD_HINT) {
            throw new MalformedException("field h is out of range");
        }
        return request;
    }

    /** The client's id of the connection. */
    public String id() {
        return id;
    }

    /** The key of the flow that the connection belongs to. */
    public String key() {
        return key;
    }

    /** The value of a field, or null if it is absent. */
    public String field(String name) {
        return fields.get(name);
    }

    /** Whether a flag such as {@code again=1} is set. */
    public boolean hasFlag(String name) {
        return "1".equals(fields.get(name));
    }

    /** The value of a numeric field, rounded down, or the default if it is absent. */
    public long numericField(String name, long defaultValue) throws MalformedException {
        String value = fields.get(name);
        if (value == null) {
            return defaultValue;
        }
        if (!NUMBER.matcher(value).matches()) {
            throw new MalformedException("field " + name + " is not a number, or out of range");
        }
        return (long) Double.parseDouble(value);
    }

    /** How long the client waits for UP, capped at the given timeout of its service class. */
    public Duration clientTimeout(Duration maxTimeout) throws MalformedException {
        return Duration.ofMillis(
                Math.min(maxTimeout.toMillis(), numericField("d", maxTimeout.toMillis())));
    }

    /**
     * The line to forward to a backend; only the field d changes, to the remaining client timeout.
     */
    public String withClientTimeout(Duration remaining) {
        StringJoiner joiner = new StringJoiner(",", "OPEN " + id + " " + key + " ", "");
        fields.forEach(
                (name, value) ->
                        joiner.add(
                                name
                                        + "="
                                        + (name.equals("d")
                                                ? Long.toString(Math.max(1, remaining.toMillis()))
                                                : value)));
        return joiner.toString();
    }
}

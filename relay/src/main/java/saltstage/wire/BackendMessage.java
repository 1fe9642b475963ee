package saltstage.wire;

import java.nio.charset.StandardCharsets;

/** A line of a backend, as far as the relay must understand it. */
public record BackendMessage(Kind kind, String argument) {
    /** What a line says; OTHER are the connection's own lines. */
    public enum Kind {
        UP,
        BYE,
        MOVE,
        ERR,
        BUSY,
        LOAD,
        SYNTAX,
        OTHER
    }

    /** Reads a piece; one that is no whole line is OTHER. */
    public static BackendMessage parse(byte[] piece) {
        int n = piece.length;
        if (n < 2 || piece[n - 1] != '\n' || piece[n - 2] != '\r') {
            return new BackendMessage(Kind.OTHER, "");
        }
        String line = new String(piece, 0, n - 2, StandardCharsets.ISO_8859_1);
        int space = line.indexOf(' ');
        String word = space < 0 ? line : line.substring(0, space);
        String argument = space < 0 ? "" : line.substring(space + 1);
        for (Kind kind : Kind.values()) {
            if (kind != Kind.OTHER && kind.name().equals(word)) {
                return new BackendMessage(kind, argument);
            }
        }
        return new BackendMessage(Kind.OTHER, line);
    }

    /** The load that a LOAD line tells, or a negative number where it is malformed. */
    public double load() {
        try {
            double level = Double.parseDouble(argument);
            return Double.isFinite(level) ? level : -1;
        } catch (NumberFormatException e) {
            return -1;
        }
    }
}

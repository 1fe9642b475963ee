package saltstage.wire;

import java.nio.charset.StandardCharsets;

/** A line that a backend sent, parsed as far as the relay needs to understand it. */
public record BackendMessage(Kind kind, String argument) {
    /** The kind of a line; {@code OTHER} is a line that belongs to the client's own exchange. */
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

    /** Parses a piece of input; a piece that is not a complete line is {@code OTHER}. */
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

    /** The load or message delay that a LOAD line reports; a negative number if it is malformed. */
    public double load() {
        try {
            double value = Double.parseDouble(argument);
            return Double.isFinite(value) ? value : -1;
        } catch (NumberFormatException e) {
            return -1;
        }
    }
}

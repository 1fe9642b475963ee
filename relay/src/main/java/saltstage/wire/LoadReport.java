package saltstage.wire;

import java.nio.charset.StandardCharsets;

/** The response of a backend to a STATS probe: {@code PONG x0=0.61,queue=2}. */
public final class LoadReport {
    private static final String RESPONSE_PREFIX = "PONG ";

    private final String fields;

    private LoadReport(String fields) {
        this.fields = fields;
    }

    /**
     * Parses a piece that must be a complete response. Returns null for ERR and for PONG without
     * fields, which report no load.
     */
    public static LoadReport parse(byte[] piece) throws MalformedException {
        String line = new String(piece, StandardCharsets.ISO_8859_1);
        if (line.equals("ERR\r\n") || line.startsWith("ERR ") || line.equals("PONG\r\n")) {
            return null;
        }
        if (!line.startsWith(RESPONSE_PREFIX) || !line.endsWith("\r\n")) {
            String excerpt = line.substring(0, Math.min(40, line.length())).trim();
            throw new MalformedException("no load report: " + excerpt);
        }
        return new LoadReport(line.substring(RESPONSE_PREFIX.length(), line.length() - 2));
    }

    /** Returns a required field, a finite number that is not negative. */
    public double field(String name) throws MalformedException {
        for (String pair : fields.split(",")) {
            if (pair.startsWith(name + "=")) {
                try {
                    double value = Double.parseDouble(pair.substring(name.length() + 1));
                    if (Double.isFinite(value) && value >= 0) {
                        return value;
                    }
                } catch (NumberFormatException e) {
                    throw new MalformedException("load report: " + name + " is not a number");
                }
                throw new MalformedException("load report: " + name + " is out of range");
            }
        }
        throw new MalformedException("load report: " + name + " is missing");
    }
}

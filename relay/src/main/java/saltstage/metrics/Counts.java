package saltstage.metrics;

import java.util.List;
import java.util.concurrent.atomic.LongAdder;

/** The counts of this process since its start, and the form in which operators read them. */
public final class Counts {
    private static final String PREFIX = "app.";

    /** How a connection has ended up. */
    public enum End {
        PASSED,
        DROPPED,
        BAD_GATEWAY
    }

    private final List<String> classes;
    private final LongAdder[][] ends;
    private final LongAdder tries = new LongAdder();

    /** Counts for classes of these names, in the order of the settings. */
    public Counts(List<String> classes) {
        this.classes = List.copyOf(classes);
        ends = new LongAdder[classes.size()][End.values().length];
        for (LongAdder[] each : ends) {
            for (int i = 0; i < each.length; i++) {
                each[i] = new LongAdder();
            }
        }
    }

    /** A connection of this class has ended up so; each is counted once. */
    public void ended(int serviceClass, End how) {
        ends[serviceClass][how.ordinal()].increment();
    }

    /** An attempt was written whole to a backend. */
    public void tried() {
        tries.increment();
    }

    /** All figures, a line each; the gauges are the caller's. */
    public String text(int inProgress, int known, int skipped) {
        StringBuilder text = new StringBuilder(64 * (3 * classes.size() + 4));
        for (int c = 0; c < ends.length; c++) {
            for (End how : End.values()) {
                count(
                        text,
                        "handled."
                                + classes.get(c)
                                + "."
                                + how.name().toLowerCase(java.util.Locale.ROOT),
                        ends[c][how.ordinal()].sum());
            }
        }
        count(text, "upstream_tries", tries.sum());
        gauge(text, "in_progress", inProgress);
        gauge(text, "known_backends", known);
        gauge(text, "skipped_backends", skipped);
        return text.toString();
    }

    private static void count(StringBuilder text, String name, long value) {
        text.append(PREFIX).append(name).append(':').append(value).append("|c\r\n");
    }

    private static void gauge(StringBuilder text, String name, long value) {
        text.append(PREFIX).append(name).append(':').append(value).append("|g\r\n");
    }
}

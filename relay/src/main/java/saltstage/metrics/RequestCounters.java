package saltstage.metrics;

import java.util.List;
import java.util.concurrent.atomic.LongAdder;

/** Counters of this process since its start, and the text format in which operators read them. */
public final class RequestCounters {
    private static final String PREFIX = "app.";

    /** The result of a connection. */
    public enum Result {
        PASSED,
        DROPPED,
        BAD_GATEWAY
    }

    private final List<String> serviceClasses;
    private final LongAdder[][] resultCounts;
    private final LongAdder attempts = new LongAdder();

    /** Creates counters for the named service classes, in the order of the settings. */
    public RequestCounters(List<String> classes) {
        this.serviceClasses = List.copyOf(classes);
        resultCounts = new LongAdder[classes.size()][Result.values().length];
        for (LongAdder[] counts : resultCounts) {
            for (int i = 0; i < counts.length; i++) {
                counts[i] = new LongAdder();
            }
        }
    }

    /** Counts the result of a connection of this class; each connection is counted once. */
    public void countResult(int serviceClass, Result result) {
        resultCounts[serviceClass][result.ordinal()].increment();
    }

    /** Counts an attempt that was completely written to a backend. */
    public void countAttempt() {
        attempts.increment();
    }

    /** Formats all counters and the given gauge values, one per line. */
    public String format(int inProgress, int known, int skipped) {
        StringBuilder text = new StringBuilder(64 * (3 * serviceClasses.size() + 4));
        for (int index = 0; index < resultCounts.length; index++) {
            for (Result result : Result.values()) {
                appendCounter(
                        text,
                        "handled."
                                + serviceClasses.get(index)
                                + "."
                                + result.name().toLowerCase(java.util.Locale.ROOT),
                        resultCounts[index][result.ordinal()].sum());
            }
        }
        appendCounter(text, "upstream_tries", attempts.sum());
        appendGauge(text, "in_progress", inProgress);
        appendGauge(text, "known_backends", known);
        appendGauge(text, "skipped_backends", skipped);
        return text.toString();
    }

    private static void appendCounter(StringBuilder text, String name, long value) {
        text.append(PREFIX).append(name).append(':').append(value).append("|c\r\n");
    }

    private static void appendGauge(StringBuilder text, String name, long value) {
        text.append(PREFIX).append(name).append(':').append(value).append("|g\r\n");
    }
}

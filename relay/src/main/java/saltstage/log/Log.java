package saltstage.log;

import java.io.PrintStream;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.HashMap;
import java.util.Map;

/** The relay's log: one line an event, {@code TIME LEVEL event name=value ...}, on standard error. */
public final class Log {
    /** No event fills the log: more lines of one kind a second than this are counted, not written. */
    private static final int MOST_A_SECOND = 20;

    private static final PrintStream OUT = System.err;
    private static final Map<String, int[]> WRITTEN = new HashMap<>();
    private static long second;

    private Log() {
    }

    /** Something that happens in ordinary service. */
    public static void info(String event, Object... pairs) {
        write("INFO", event, pairs);
    }

    /** Something that on-call staff may have to look at. */
    public static void warn(String event, Object... pairs) {
        write("WARN", event, pairs);
    }

    /** A fault of the relay itself. */
    public static void error(String event, Throwable fault) {
        StackTraceElement[] trace = fault.getStackTrace();
        write("ERROR", event, "fault", fault, "at", trace.length > 0 ? trace[0] : "?");
    }

    private static synchronized void write(String level, String event, Object... pairs) {
        Instant now = Instant.now();
        if (now.getEpochSecond() != second) {
            second = now.getEpochSecond();
            WRITTEN.forEach((name, count) -> {
                if (count[0] > MOST_A_SECOND) {
                    print(now, "WARN", "log.suppressed", "event", name, "lines", count[0] - MOST_A_SECOND);
                }
            });
            WRITTEN.clear();
        }
        if (++WRITTEN.computeIfAbsent(event, name -> new int[1])[0] <= MOST_A_SECOND) {
            print(now, level, event, pairs);
        }
    }

    private static void print(Instant now, String level, String event, Object... pairs) {
        StringBuilder line = new StringBuilder(120);
        line.append(now.truncatedTo(ChronoUnit.MILLIS)).append(' ').append(level).append(' ').append(event);
        for (int i = 0; i + 1 < pairs.length; i += 2) {
            String value = String.valueOf(pairs[i + 1]).replaceAll("[^ -~]", "?");
            line.append(' ').append(pairs[i]).append('=')
                .append(value.indexOf(' ') >= 0 ? '"' + value.replace('"', '\'') + '"' : value);
        }
        OUT.println(line);
    }
}

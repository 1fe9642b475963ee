package saltstage.log;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.event.Level;
import org.slf4j.spi.LoggingEventBuilder;

/**
 * Logs the relay's events through SLF4J: an event name, which ONCALL.md explains, followed by pairs
 * of a field name and a value.
 */
public final class Log {
    private static final Logger LOGGER = LoggerFactory.getLogger("saltstage");

    private Log() {}

    /** Logs an event of normal operation. */
    public static void info(String event, Object... pairs) {
        write(Level.INFO, event, pairs);
    }

    /** Logs an event that on-call staff may have to look at. */
    public static void warn(String event, Object... pairs) {
        write(Level.WARN, event, pairs);
    }

    /** Logs an internal fault of the relay. */
    public static void error(String event, Throwable fault) {
        StackTraceElement[] trace = fault.getStackTrace();
        write(Level.ERROR, event, "fault", fault, "at", trace.length > 0 ? trace[0] : "?");
    }

    private static void write(Level level, String event, Object... pairs) {
        LoggingEventBuilder line = LOGGER.atLevel(level);
        for (int i = 0; i + 1 < pairs.length; i += 2) {
            // Converted to text now, because the value may change before the line is written.
            line = line.addKeyValue(String.valueOf(pairs[i]), String.valueOf(pairs[i + 1]));
        }
        line.log(event);
    }
}

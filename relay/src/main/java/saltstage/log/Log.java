package saltstage.log;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.event.Level;
import org.slf4j.spi.LoggingEventBuilder;

/**
 * The relay's events over SLF4J: a name that ONCALL.md explains, then pairs of a name and a value.
 */
public final class Log {
    private static final Logger LOGGER = LoggerFactory.getLogger("saltstage");

    private Log() {}

    /** Something that happens in ordinary service. */
    public static void info(String event, Object... pairs) {
        write(Level.INFO, event, pairs);
    }

    /** Something that on-call staff may have to look at. */
    public static void warn(String event, Object... pairs) {
        write(Level.WARN, event, pairs);
    }

    /** A fault of the relay itself. */
    public static void error(String event, Throwable fault) {
        StackTraceElement[] trace = fault.getStackTrace();
        write(Level.ERROR, event, "fault", fault, "at", trace.length > 0 ? trace[0] : "?");
    }

    private static void write(Level level, String event, Object... pairs) {
        LoggingEventBuilder line = LOGGER.atLevel(level);
        for (int i = 0; i + 1 < pairs.length; i += 2) {
            // As text now: what is named may have changed by the time that it is written.
            line = line.addKeyValue(String.valueOf(pairs[i]), String.valueOf(pairs[i + 1]));
        }
        line.log(event);
    }
}

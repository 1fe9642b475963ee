package saltstage.log;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.LoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.joran.spi.ConsoleTarget;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.event.KeyValuePair;

/**
 * Writes to standard error with a rate limit per event name, so that no event floods the log. Lines
 * of one event beyond the limit within a second are only counted, and the count is logged with the
 * first line after that second.
 */
final class EventAppender extends ConsoleAppender<ILoggingEvent> {
    static final int MAX_LINES_PER_SECOND = 20;

    private final Map<String, int[]> linesByEvent = new HashMap<>();
    private long currentSecond;

    EventAppender() {
        setTarget(ConsoleTarget.SystemErr.getName());
    }

    @Override
    protected void append(ILoggingEvent event) {
        synchronized (linesByEvent) {
            long second = Math.floorDiv(event.getTimeStamp(), 1000L);
            if (second != currentSecond) {
                currentSecond = second;
                Map<String, int[]> previous = Map.copyOf(linesByEvent);
                linesByEvent.clear();
                previous.forEach(
                        (name, count) -> {
                            if (count[0] > MAX_LINES_PER_SECOND) {
                                super.append(
                                        suppressed(event, name, count[0] - MAX_LINES_PER_SECOND));
                            }
                        });
            }
            if (++linesByEvent.computeIfAbsent(event.getMessage(), name -> new int[1])[0]
                    > MAX_LINES_PER_SECOND) {
                return;
            }
            super.append(event);
        }
    }

    private ILoggingEvent suppressed(ILoggingEvent source, String event, int lines) {
        Logger logger = ((LoggerContext) getContext()).getLogger(source.getLoggerName());
        LoggingEvent summary =
                new LoggingEvent(null, logger, Level.WARN, "log.suppressed", null, null);
        summary.setKeyValuePairs(
                List.of(new KeyValuePair("event", event), new KeyValuePair("lines", lines)));
        return summary;
    }
}

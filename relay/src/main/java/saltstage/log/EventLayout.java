package saltstage.log;

import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.LayoutBase;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import org.slf4j.event.KeyValuePair;

/**
 * Formats an event as one line, {@code TIME LEVEL event name=value ...}. All other characters than
 * printable ASCII are replaced, so that logged input cannot forge a line.
 */
final class EventLayout extends LayoutBase<ILoggingEvent> {
    @Override
    public String doLayout(ILoggingEvent event) {
        StringBuilder line = new StringBuilder(120);
        line.append(Instant.ofEpochMilli(event.getTimeStamp()).truncatedTo(ChronoUnit.MILLIS))
                .append(' ')
                .append(event.getLevel())
                .append(' ')
                .append(printable(event.getFormattedMessage()));
        if (event.getKeyValuePairs() != null) {
            for (KeyValuePair pair : event.getKeyValuePairs()) {
                String value = printable(String.valueOf(pair.value));
                line.append(' ')
                        .append(pair.key)
                        .append('=')
                        .append(
                                value.indexOf(' ') >= 0
                                        ? '"' + value.replace('"', '\'') + '"'
                                        : value);
            }
        }
        return line.append('\n').toString();
    }

    private static String printable(String text) {
        for (int i = 0; i < text.length(); i++) {
            if (text.charAt(i) < ' ' || text.charAt(i) > '~') {
                return text.replaceAll("[^ -~]", "?");
            }
        }
        return text;
    }
}

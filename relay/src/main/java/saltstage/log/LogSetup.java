package saltstage.log;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.JsonEncoder;
import ch.qos.logback.classic.spi.Configurator;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.encoder.Encoder;
import ch.qos.logback.core.encoder.LayoutWrappingEncoder;
import ch.qos.logback.core.spi.ContextAwareBase;
import java.nio.charset.StandardCharsets;
import org.slf4j.LoggerFactory;

/**
 * Configures Logback in code: standard error, one line per event. No XML is read: a relay restarts
 * on half a core, and parsing a file that nobody changes would be most of the startup cost of
 * logging.
 */
public final class LogSetup extends ContextAwareBase implements Configurator {
    /** The format of a line: text as described in ONCALL.md, or one JSON object. */
    public enum Format {
        TEXT,
        JSON
    }

    private static final String APPENDER = "standard-error";

    @Override
    public ExecutionStatus configure(LoggerContext context) {
        apply(context, Format.TEXT, Level.INFO);
        return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
    }

    /** Changes the format and the minimum level (debug, info, warn or error) at run time. */
    public static void reconfigure(Format format, String level) {
        apply(
                (LoggerContext) LoggerFactory.getILoggerFactory(),
                format,
                Level.toLevel(level, Level.INFO));
    }

    private static void apply(LoggerContext context, Format format, Level level) {
        Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
        EventAppender appender = new EventAppender();
        appender.setContext(context);
        appender.setName(APPENDER);
        appender.setEncoder(encoder(context, format));
        appender.start();
        root.setLevel(level);
        root.detachAndStopAllAppenders();
        root.addAppender(appender);
    }

    private static Encoder<ILoggingEvent> encoder(LoggerContext context, Format format) {
        Encoder<ILoggingEvent> encoder;
        if (format == Format.JSON) {
            JsonEncoder json = new JsonEncoder();
            json.setWithSequenceNumber(false);
            json.setWithNanoseconds(false);
            json.setWithThreadName(false);
            json.setWithLoggerName(false);
            json.setWithContext(false);
            json.setWithMDC(false);
            encoder = json;
        } else {
            EventLayout layout = new EventLayout();
            layout.setContext(context);
            layout.start();
            LayoutWrappingEncoder<ILoggingEvent> text = new LayoutWrappingEncoder<>();
            text.setLayout(layout);
            text.setCharset(StandardCharsets.US_ASCII);
            encoder = text;
        }
        encoder.setContext(context);
        encoder.start();
        return encoder;
    }
}

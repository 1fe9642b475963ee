package saltstage.log;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** The two log formats and the rate limit per event. */
class LogTest {
    private final PrintStream originalErr = System.err;

    private List<String> lines(LogSetup.Format format, Runnable logging) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        System.setErr(new PrintStream(out, true, StandardCharsets.UTF_8));
        LogSetup.reconfigure(format, "INFO");
        logging.run();
        return out.toString(StandardCharsets.UTF_8).lines().toList();
    }

    @AfterEach
    void restore() {
        System.setErr(originalErr);
        LogSetup.reconfigure(LogSetup.Format.TEXT, "INFO");
    }

    @Test
    void textHasTheDocumentedForm() {
        List<String> lines =
                lines(
                        LogSetup.Format.TEXT,
                        () ->
                                Log.warn(
                                        "try.malformed",
                                        "peer",
                                        "g1",
                                        "line",
                                        "a \"b\"\r\nc\u00fc",
                                        "n",
                                        3));
        assertEquals(1, lines.size());
        assertTrue(
                lines.get(0)
                        .matches(
                                "\\d{4}-\\d\\d-\\d\\dT\\d\\d:\\d\\d:\\d\\d(\\.\\d{3})?Z WARN "
                                        + "try.malformed peer=g1 line=\"a 'b'\\?\\?c\\?\" n=3"),
                lines.get(0));
    }

    @Test
    void jsonIsOneObjectALine() {
        List<String> lines =
                lines(
                        LogSetup.Format.JSON,
                        () -> Log.info("relay.ready", "name", "a\"b\nc", "peers", 2));
        assertEquals(1, lines.size());
        assertTrue(lines.get(0).startsWith("{") && lines.get(0).endsWith("}"), lines.get(0));
        assertTrue(lines.get(0).contains("\"message\":\"relay.ready\""), lines.get(0));
        assertTrue(lines.get(0).contains("{\"name\":\"a\\\"b\\nc\"}"), lines.get(0));
    }

    @Test
    void anEventThatRepeatsIsBoundedAndTheRestCounted() {
        int lines = 500;
        List<String> written =
                lines(
                        LogSetup.Format.TEXT,
                        () -> {
                            for (int i = 0; i < lines; i++) {
                                Log.info("flood", "i", i);
                            }
                            long second = System.currentTimeMillis() / 1000;
                            while (System.currentTimeMillis() / 1000 == second) {
                                Thread.onSpinWait();
                            }
                            Log.info("other");
                        });
        long flood = written.stream().filter(line -> line.contains(" flood ")).count();
        long suppressed =
                written.stream()
                        .filter(line -> line.contains("log.suppressed event=flood"))
                        .mapToLong(line -> Long.parseLong(line.replaceAll(".*lines=", "")))
                        .sum();
        assertEquals(lines, flood + suppressed);
        assertTrue(flood <= 3 * EventAppender.MAX_LINES_PER_SECOND, "written: " + flood);
        assertTrue(written.get(written.size() - 1).endsWith(" INFO other"));
    }
}

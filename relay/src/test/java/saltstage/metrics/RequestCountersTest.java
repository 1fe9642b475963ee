package saltstage.metrics;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

/** The text format in which operators read the counters; tools parse it line by line. */
class RequestCountersTest {
    @Test
    void everyClassIsListedFromTheStartAndCountedSeparately() {
        RequestCounters counters = new RequestCounters(List.of("report", "check"));
        counters.countResult(1, RequestCounters.Result.PASSED);
        counters.countResult(1, RequestCounters.Result.PASSED);
        counters.countResult(0, RequestCounters.Result.BAD_GATEWAY);
        counters.countAttempt();
        assertEquals(
                String.join(
                        "\r\n",
                        "app.handled.report.passed:0|c",
                        "app.handled.report.dropped:0|c",
                        "app.handled.report.bad_gateway:1|c",
                        "app.handled.check.passed:2|c",
                        "app.handled.check.dropped:0|c",
                        "app.handled.check.bad_gateway:0|c",
                        "app.upstream_tries:1|c",
                        "app.in_progress:3|g",
                        "app.known_backends:4|g",
                        "app.skipped_backends:1|g",
                        ""),
                counters.format(3, 4, 1));
    }
}

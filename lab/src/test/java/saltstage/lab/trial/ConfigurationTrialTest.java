package saltstage.lab.trial;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against followers that apply changes late, out of order, incompletely or without
 * acceptance by the group while processes and links fail, and against an observer that misses such
 * violations.
 */
@Timeout(value = 3, unit = TimeUnit.MINUTES)
class ConfigurationTrialTest {
    private static final int FAULTS = 2;

    @TempDir Path dir;

    @Test
    void onlyAcceptedChangesAreAppliedAndInTimeUnderFaults() throws Exception {
        try (ConfigurationTrial trial = new ConfigurationTrial(dir, 3)) {
            for (long seed = 1; seed <= 2; seed++) {
                ConfigurationTrial.Verdict verdict = trial.run(seed, FAULTS);
                assertEquals(List.of(), verdict.violations(), verdict.toString());
                assertTrue(
                        verdict.changeCount() > FAULTS && verdict.maxMs() > 0, verdict.toString());
            }
        }
    }

    @Test
    void observerReportsViolations() throws Exception {
        String digest = "00000000000000aa";
        try (ConfigurationObserver observer = new ConfigurationObserver()) {
            observer.observe("f-1", "applied", 1, digest);
            observer.observe("f-2", "applied", 1, "00000000000000bb");
            assertTrue(
                    observer.violations().get(0).contains("differ"),
                    "a different digest for one revision");
            observer.observe("f-1", "applied", 2, digest);
            observer.observe("f-1", "snapshot", 1, digest);
            assertTrue(
                    observer.violations().get(1).contains("went back"),
                    "a follower that returns to an older revision");
            observer.observe("f-1", "GAP", 1, digest);
            assertTrue(observer.violations().get(2).contains("GAP"), "a missing revision");
            observer.compareWithAccepted(Map.of(1L, "00000000000000bb"));
            assertEquals(
                    5,
                    observer.violations().size(),
                    "a digest that differs from the accepted one, and a revision never accepted");
        }
    }
}

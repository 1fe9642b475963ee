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

/** A few seeds of the configuration's trial on processes, and what its witness notices. */
@Timeout(value = 3, unit = TimeUnit.MINUTES)
class ConfigurationTrialTest {
    private static final int FAULTS = 2;

    @TempDir
    Path dir;

    @Test
    void changesComeIntoForceInTimeAndNothingElseDoesUnderFaults() throws Exception {
        try (ConfigurationTrial trial = new ConfigurationTrial(dir, 3)) {
            for (long seed = 1; seed <= 2; seed++) {
                ConfigurationTrial.Verdict verdict = trial.play(seed, FAULTS);
                assertEquals(List.of(), verdict.broken(), verdict.toString());
                assertTrue(verdict.changes() > FAULTS && verdict.longestMs() > 0, verdict.toString());
            }
        }
    }

    @Test
    void witnessNoticesWhatMustNotBe() throws Exception {
        String digest = "00000000000000aa";
        try (ConfigurationWitness witness = new ConfigurationWitness()) {
            witness.observe("f-1", "applied", 1, digest);
            witness.observe("f-2", "applied", 1, "00000000000000bb");
            assertTrue(witness.broken().get(0).contains("differ"), "another digest");
            witness.observe("f-1", "applied", 2, digest);
            witness.observe("f-1", "snapshot", 1, digest);
            assertTrue(witness.broken().get(1).contains("went back"), "an older revision");
            witness.observe("f-1", "GAP", 1, digest);
            assertTrue(witness.broken().get(2).contains("GAP"), "a hole");
            witness.compare(Map.of(1L, "00000000000000bb"));
            assertEquals(5, witness.broken().size(), "another digest, and never accepted");
        }
    }
}

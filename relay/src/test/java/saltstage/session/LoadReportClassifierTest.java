package saltstage.session;

import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import java.time.Instant;
import org.junit.Test;

/**
 * Guards against jams that the module never hears of: both kinds of figures come in the same word.
 */
public class LoadReportClassifierTest {
    private static final Instant START = Instant.ofEpochSecond(1_000);
    private final LoadReportClassifier classifier = new LoadReportClassifier();
    private final Attempt heavy = attemptWithLoad(60_000);
    private final Attempt light = attemptWithLoad(2_900);

    private static Attempt attemptWithLoad(double load) {
        Attempt on = new Attempt(null, null, START);
        on.setLoad(load);
        return on;
    }

    private boolean isDelayAt(int millis, Attempt on, double figure) {
        return classifier.isDelay(on, figure, START.plusMillis(millis));
    }

    @Test
    public void smallFigureOnALoadedConnectionIsADelay() {
        assertTrue(isDelayAt(0, heavy, 281.484));
        assertTrue(isDelayAt(1_003, heavy, 375.697));
    }

    @Test
    public void loadsAreNotDelays() {
        assertFalse(isDelayAt(0, heavy, 2_267));
        assertFalse(isDelayAt(300, heavy, 996_787));
        assertFalse("a light connection grew lighter", isDelayAt(500, light, 714));
        assertFalse("a heavy one grew light", isDelayAt(900, heavy, 789));
        assertTrue(isDelayAt(1_000, heavy, 58));
        assertFalse("near a delay's part of the second", isDelayAt(1_970, light, 1_761));
        assertFalse(
                "too long for a delay, at its part of the second", isDelayAt(2_000, heavy, 9_055));
    }

    @Test
    public void longDelayIsRecognizedByItsReportIntervalEvenAfterAPause() {
        assertTrue(isDelayAt(0, heavy, 14.2));
        assertTrue("two seconds later", isDelayAt(2_002, heavy, 1_965));
        assertFalse("a small load between two tellings", isDelayAt(2_500, light, 2_897));
        assertTrue(isDelayAt(3_001, light, 1_402));
    }

    @Test
    public void overloadStartingAboveOneSecondIsRecognizedAtTheSecondReport() {
        assertFalse(isDelayAt(0, heavy, 1_300));
        assertTrue(isDelayAt(998, heavy, 1_900));
    }
}

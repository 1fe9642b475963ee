package saltstage.session;

import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import java.time.Instant;
import org.junit.Test;

/**
 * Guards against message delays that are mistaken for loads, so that the load balancer never learns
 * of an overload: both kinds of values are reported in the same LOAD line.
 */
public class LoadReportClassifierTest {
    private static final Instant START = Instant.ofEpochSecond(1_000);
    private final LoadReportClassifier classifier = new LoadReportClassifier();
    private final Attempt heavy = attemptWithLoad(60_000);
    private final Attempt light = attemptWithLoad(2_900);

    private static Attempt attemptWithLoad(double load) {
        Attempt attempt = new Attempt(null, null, START);
        attempt.setLoad(load);
        return attempt;
    }

    private boolean isDelayAt(int millis, Attempt attempt, double value) {
        return classifier.isDelay(attempt, value, START.plusMillis(millis));
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
        assertFalse("the load of a light connection decreased", isDelayAt(500, light, 714));
        assertFalse("the load of a heavy connection became small", isDelayAt(900, heavy, 789));
        assertTrue(isDelayAt(1_000, heavy, 58));
        assertFalse("near the offset of delay reports", isDelayAt(1_970, light, 1_761));
        assertFalse(
                "too large for a delay, at the offset of delay reports",
                isDelayAt(2_000, heavy, 9_055));
    }

    @Test
    public void longDelayIsRecognizedByItsReportIntervalEvenAfterAPause() {
        assertTrue(isDelayAt(0, heavy, 14.2));
        assertTrue("two seconds later", isDelayAt(2_002, heavy, 1_965));
        assertFalse("a small load between two reports", isDelayAt(2_500, light, 2_897));
        assertTrue(isDelayAt(3_001, light, 1_402));
    }

    @Test
    public void overloadStartingAboveOneSecondIsRecognizedAtTheSecondReport() {
        assertFalse(isDelayAt(0, heavy, 1_300));
        assertTrue(isDelayAt(998, heavy, 1_900));
    }
}

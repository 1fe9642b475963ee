package saltstage.memory;

import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import java.time.Instant;
import org.junit.Test;

/**
 * Guards against jams that the module never hears of: both kinds of figures come in the same word.
 */
public class TellerTest {
    private static final Instant START = Instant.ofEpochSecond(1_000);
    private final Teller teller = new Teller();
    private final Try heavy = loaded(60_000);
    private final Try light = loaded(2_900);

    private static Try loaded(double load) {
        Try on = new Try(null, null, START);
        on.load(load);
        return on;
    }

    private boolean delayAt(int millis, Try on, double figure) {
        return teller.isDelay(on, figure, START.plusMillis(millis));
    }

    @Test
    public void millisecondsOnAConnectionOfSomeLoadAreADelay() {
        assertTrue(delayAt(0, heavy, 281.484));
        assertTrue(delayAt(1_003, heavy, 375.697));
    }

    @Test
    public void loadsAreNoDelays() {
        assertFalse(delayAt(0, heavy, 2_267));
        assertFalse(delayAt(300, heavy, 996_787));
        assertFalse("a light connection grew lighter", delayAt(500, light, 714));
        assertFalse("a heavy one grew light", delayAt(900, heavy, 789));
        assertTrue(delayAt(1_000, heavy, 58));
        assertFalse("near a delay's part of the second", delayAt(1_970, light, 1_761));
        assertFalse(
                "too long for a delay, at its part of the second", delayAt(2_000, heavy, 9_055));
    }

    @Test
    public void delayOverASecondIsKnownByItsPartOfTheSecondEvenAfterAPause() {
        assertTrue(delayAt(0, heavy, 14.2));
        assertTrue("two seconds later", delayAt(2_002, heavy, 1_965));
        assertFalse("a small load between two tellings", delayAt(2_500, light, 2_897));
        assertTrue(delayAt(3_001, light, 1_402));
    }

    @Test
    public void jamThatBeginsOverASecondIsKnownByTheSecondTelling() {
        assertFalse(delayAt(0, heavy, 1_300));
        assertTrue(delayAt(998, heavy, 1_900));
    }
}

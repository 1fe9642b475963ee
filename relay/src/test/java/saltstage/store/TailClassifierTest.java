package saltstage.store;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import saltstage.store.TailClassifier.Findings;
import saltstage.store.TailClassifier.TailState;

/** Tests the classification of every combination of findings. */
class TailClassifierTest {
    @Test
    void classifiesEveryCombination() {
        for (int bits = 0; bits < 64; bits++) {
            boolean laterGroup = (bits & 1) != 0;
            boolean mirror = (bits & 2) != 0;
            boolean commitMarker = (bits & 4) != 0;
            boolean restZero = (bits & 8) != 0;
            boolean trailerOfPrevious = (bits & 16) != 0;
            boolean acknowledged = (bits & 32) != 0;
            TailState expected =
                    laterGroup
                            ? TailState.DAMAGED
                            : mirror
                                    ? TailState.RESTORABLE
                                    : commitMarker || acknowledged
                                            ? TailState.DAMAGED
                                            : restZero || trailerOfPrevious
                                                    ? TailState.CLEAN
                                                    : TailState.TORN;
            assertEquals(
                    expected,
                    TailClassifier.classify(
                            new Findings(
                                    laterGroup, mirror, commitMarker, restZero, trailerOfPrevious),
                            acknowledged));
        }
    }
}

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
            boolean later = (bits & 1) != 0;
            boolean mirror = (bits & 2) != 0;
            boolean mark = (bits & 4) != 0;
            boolean zero = (bits & 8) != 0;
            boolean last = (bits & 16) != 0;
            boolean said = (bits & 32) != 0;
            TailState wanted =
                    later
                            ? TailState.DAMAGED
                            : mirror
                                    ? TailState.RESTORABLE
                                    : mark || said
                                            ? TailState.DAMAGED
                                            : zero || last ? TailState.CLEAN : TailState.TORN;
            assertEquals(
                    wanted,
                    TailClassifier.classify(new Findings(later, mirror, mark, zero, last), said));
        }
    }
}

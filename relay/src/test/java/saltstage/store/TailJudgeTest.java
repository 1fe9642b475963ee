package saltstage.store;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import saltstage.store.TailJudge.Evidence;
import saltstage.store.TailJudge.Verdict;

/** The whole table of what an unreadable end can be. */
class TailJudgeTest {
    @Test
    void everyCombination() {
        for (int bits = 0; bits < 64; bits++) {
            boolean later = (bits & 1) != 0;
            boolean mirror = (bits & 2) != 0;
            boolean mark = (bits & 4) != 0;
            boolean zero = (bits & 8) != 0;
            boolean last = (bits & 16) != 0;
            boolean said = (bits & 32) != 0;
            Verdict wanted =
                    later
                            ? Verdict.REFUSE
                            : mirror
                                    ? Verdict.RESTORE
                                    : mark || said
                                            ? Verdict.REFUSE
                                            : zero || last ? Verdict.CLEAN : Verdict.TORN;
            assertEquals(
                    wanted, TailJudge.judge(new Evidence(later, mirror, mark, zero, last), said));
        }
    }
}

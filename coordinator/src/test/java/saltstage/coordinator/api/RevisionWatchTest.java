package saltstage.coordinator.api;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Who waits for a revision is woken by it alone, and waiting costs little. */
class RevisionWatchTest {
    private static final int WAITERS = 200;

    /** A state whose changes are told by hand. */
    private static final class State implements RevisionWatch.Source {
        private final List<Runnable> told = new ArrayList<>();
        private long revision = 5;
        private int looks;
        private boolean full;

        @Override
        public boolean onChange(Runnable runnable) {
            return !full && told.add(runnable);
        }

        @Override
        public CompletableFuture<Long> revision() {
            looks++;
            return CompletableFuture.completedFuture(revision);
        }

        void change() {
            List<Runnable> now = List.copyOf(told);
            told.clear();
            now.forEach(Runnable::run);
        }
    }

    private final State state = new State();
    private final RevisionWatch watch = new RevisionWatch(state);

    private CompletableFuture<Boolean> waiter(long waitMs) {
        return watch.movedBeyond(5, System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(waitMs));
    }

    @Test
    void changeOfSomethingElseCostsOneLookForAllAndWakesNobody() {
        List<CompletableFuture<Boolean>> waiters = new ArrayList<>();
        for (int i = 0; i < WAITERS; i++) {
            waiters.add(waiter(60_000));
        }
        int before = state.looks;
        for (int tick = 0; tick < 10; tick++) {
            state.change();
        }
        assertEquals(10, state.looks - before);
        assertTrue(waiters.stream().noneMatch(CompletableFuture::isDone));
        state.revision = 6;
        state.change();
        assertTrue(waiters.stream().allMatch(one -> one.getNow(false)));
        state.change();
        int after = state.looks;
        state.change();
        assertEquals(after, state.looks, "nobody waits, nobody looks");
    }

    @Test
    void revisionThatMovedJustBeforeTheWaitIsNotMissed() {
        state.revision = 6;
        assertTrue(waiter(60_000).getNow(false));
    }

    @Test
    void waitEndsAtItsDeadlineAlsoWhereNoChangeCanBeTold() throws Exception {
        assertFalse(waiter(0).get(5, TimeUnit.SECONDS));
        state.full = true;
        assertFalse(waiter(20).get(5, TimeUnit.SECONDS));
        state.full = false;
        CompletableFuture<Boolean> next = waiter(60_000);
        state.revision = 6;
        state.change();
        assertTrue(next.getNow(false));
    }
}

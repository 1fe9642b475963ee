package saltstage.coordinator.api;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/**
 * Checks that a waiting request is completed only by an advance of the revision or its deadline,
 * and that an unrelated change of the state costs one read of the revision for all waiting
 * requests.
 */
class RevisionWatchTest {
    private static final int WAITERS = 200;

    /** A source whose changes the test announces. */
    private static final class FakeRevisionSource implements RevisionWatch.RevisionSource {
        private final List<Runnable> listeners = new ArrayList<>();
        private long revision = 5;
        private int revisionReads;
        private boolean listenersFull;

        @Override
        public boolean onNextChange(Runnable listener) {
            return !listenersFull && listeners.add(listener);
        }

        @Override
        public CompletableFuture<Long> revision() {
            revisionReads++;
            return CompletableFuture.completedFuture(revision);
        }

        void notifyListeners() {
            List<Runnable> current = List.copyOf(listeners);
            listeners.clear();
            current.forEach(Runnable::run);
        }
    }

    private final FakeRevisionSource source = new FakeRevisionSource();
    private final RevisionWatch watch = new RevisionWatch(source);

    private CompletableFuture<Boolean> awaitRevisionAfter5(long waitMs) {
        return watch.awaitRevisionAfter(
                5, System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(waitMs));
    }

    @Test
    void unrelatedChangeCostsOneReadForAllAndCompletesNoWaiter() {
        List<CompletableFuture<Boolean>> waiters = new ArrayList<>();
        for (int i = 0; i < WAITERS; i++) {
            waiters.add(awaitRevisionAfter5(60_000));
        }
        int readsBefore = source.revisionReads;
        for (int tick = 0; tick < 10; tick++) {
            source.notifyListeners();
        }
        assertEquals(10, source.revisionReads - readsBefore);
        assertTrue(waiters.stream().noneMatch(CompletableFuture::isDone));
        source.revision = 6;
        source.notifyListeners();
        assertTrue(waiters.stream().allMatch(waiter -> waiter.getNow(false)));
        source.notifyListeners();
        int readsAfter = source.revisionReads;
        source.notifyListeners();
        assertEquals(
                readsAfter, source.revisionReads, "no revision is read while no request waits");
    }

    @Test
    void revisionThatAdvancedJustBeforeTheWaitIsNotMissed() {
        source.revision = 6;
        assertTrue(awaitRevisionAfter5(60_000).getNow(false));
    }

    @Test
    void waitEndsAtItsDeadlineEvenIfNoListenerCanBeAdded() throws Exception {
        assertFalse(awaitRevisionAfter5(0).get(5, TimeUnit.SECONDS));
        source.listenersFull = true;
        assertFalse(awaitRevisionAfter5(20).get(5, TimeUnit.SECONDS));
        source.listenersFull = false;
        CompletableFuture<Boolean> next = awaitRevisionAfter5(60_000);
        source.revision = 6;
        source.notifyListeners();
        assertTrue(next.getNow(false));
    }
}

package saltstage.coordinator.api;

import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Lets requests wait until the configuration's revision advances. The group's state changes several
 * times a second for other reasons; each such change costs one read of the revision for all waiting
 * requests together, and completes none of them.
 */
final class RevisionWatch {
    /** The source of the revision that is watched. */
    interface RevisionSource {
        /**
         * Runs a listener once at the next change of the state; returns false if too many are
         * registered.
         */
        boolean onNextChange(Runnable listener);

        /** The newest revision. */
        CompletableFuture<Long> revision();
    }

    private static final class Waiter {
        final long revision;
        final CompletableFuture<Boolean> advanced = new CompletableFuture<>();

        Waiter(long revision) {
            this.revision = revision;
        }
    }

    private final RevisionSource source;
    private final Set<Waiter> waiters = ConcurrentHashMap.newKeySet();
    private final AtomicBoolean listening = new AtomicBoolean();

    RevisionWatch(RevisionSource source) {
        this.source = source;
    }

    /**
     * Completes with true once the newest revision is after this one, or with false at the
     * deadline, a time of {@link System#nanoTime}.
     */
    CompletableFuture<Boolean> awaitRevisionAfter(long revision, long deadlineNanos) {
        long leftNanos = deadlineNanos - System.nanoTime();
        if (leftNanos <= 0) {
            return CompletableFuture.completedFuture(false);
        }
        Waiter waiter = new Waiter(revision);
        waiters.add(waiter);
        waiter.advanced
                .completeOnTimeout(false, leftNanos, TimeUnit.NANOSECONDS)
                .whenComplete((result, failure) -> waiters.remove(waiter));
        startListening();
        checkRevision(); // it may have advanced since the caller read it
        return waiter.advanced;
    }

    private void startListening() {
        if (listening.compareAndSet(false, true) && !source.onNextChange(this::stateChanged)) {
            listening.set(false); // no listener added: requests wait until their deadlines
        }
    }

    private void stateChanged() {
        listening.set(false);
        if (!waiters.isEmpty()) {
            startListening();
            checkRevision();
        }
    }

    private void checkRevision() {
        source.revision().thenAccept(this::completeWaiters);
    }

    private void completeWaiters(long newestRevision) {
        for (Waiter waiter : waiters) {
            if (newestRevision > waiter.revision) {
                waiter.advanced.complete(true);
            }
        }
    }
}

package saltstage.coordinator.api;

import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Lets requests wait until the configuration's revision moves. The group's state changes several
 * times a second for other reasons; each of these costs one look at the revision for all who wait
 * together, and wakes nobody.
 */
final class RevisionWatch {
    /** The state that is watched. */
    interface Source {
        /** Runs this once at the state's next change; false where too many wait. */
        boolean onChange(Runnable told);

        /** The newest revision. */
        CompletableFuture<Long> revision();
    }

    private static final class Waiter {
        final long revision;
        final CompletableFuture<Boolean> moved = new CompletableFuture<>();

        Waiter(long revision) {
            this.revision = revision;
        }
    }

    private final Source source;
    private final Set<Waiter> waiters = ConcurrentHashMap.newKeySet();
    private final AtomicBoolean armed = new AtomicBoolean();

    RevisionWatch(Source source) {
        this.source = source;
    }

    /**
     * True once the newest revision is after this one; false at the deadline of System.nanoTime().
     */
    CompletableFuture<Boolean> movedBeyond(long revision, long deadlineNanos) {
        long left = deadlineNanos - System.nanoTime();
        if (left <= 0) {
            return CompletableFuture.completedFuture(false);
        }
        Waiter waiter = new Waiter(revision);
        waiters.add(waiter);
        waiter.moved
                .completeOnTimeout(false, left, TimeUnit.NANOSECONDS)
                .whenComplete((moved, failure) -> waiters.remove(waiter));
        arm();
        look(); // it may have moved since the caller has read it
        return waiter.moved;
    }

    private void arm() {
        if (armed.compareAndSet(false, true) && !source.onChange(this::changed)) {
            armed.set(false); // requests then wait until their deadlines
        }
    }

    private void changed() {
        armed.set(false);
        if (!waiters.isEmpty()) {
            arm();
            look();
        }
    }

    private void look() {
        source.revision().thenAccept(this::wake);
    }

    private void wake(long newest) {
        for (Waiter waiter : waiters) {
            if (newest > waiter.revision) {
                waiter.moved.complete(true);
            }
        }
    }
}

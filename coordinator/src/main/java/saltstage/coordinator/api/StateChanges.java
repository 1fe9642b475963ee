package saltstage.coordinator.api;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import saltstage.coordinator.replica.Replica;

/** Lets requests wait until the group's state changes. Deadlines are of {@link System#nanoTime}. */
final class StateChanges {
    /** The longest that a request may be held back. */
    static final long MAX_WAIT_MS = 2_000;

    private final Replica replica;

    StateChanges(Replica replica) {
        this.replica = replica;
    }

    /** The deadline of a request that may be held back for so long from now on. */
    static long deadlineNanos(long waitMs) {
        return System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(waitMs);
    }

    /** True at the next change; false at the deadline, or at once where too many wait. */
    CompletableFuture<Boolean> awaitNext(long deadlineNanos) {
        CompletableFuture<Boolean> changed = new CompletableFuture<>();
        long left = deadlineNanos - System.nanoTime();
        if (left <= 0 || !replica.onNextChange(() -> changed.complete(true))) {
            return CompletableFuture.completedFuture(false);
        }
        return changed.completeOnTimeout(false, left, TimeUnit.NANOSECONDS);
    }
}

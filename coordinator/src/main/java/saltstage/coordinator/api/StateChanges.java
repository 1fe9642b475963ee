package saltstage.coordinator.api;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import saltstage.coordinator.replica.Replica;

/**
 * Lets requests wait until the group's state changes. Deadlines are times of {@link
 * System#nanoTime}.
 */
final class StateChanges {
    /** The longest time by which a response may be delayed. */
    static final long MAX_WAIT_MS = 2_000;

    private final Replica replica;

    StateChanges(Replica replica) {
        this.replica = replica;
    }

    /** The deadline of a request whose response may be delayed by this time from now on. */
    static long deadlineNanos(long waitMs) {
        return System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(waitMs);
    }

    /**
     * Completes with true at the next change, or with false at the deadline, or at once if too many
     * requests wait.
     */
    CompletableFuture<Boolean> awaitNext(long deadlineNanos) {
        CompletableFuture<Boolean> changed = new CompletableFuture<>();
        long leftNanos = deadlineNanos - System.nanoTime();
        if (leftNanos <= 0 || !replica.onNextChange(() -> changed.complete(true))) {
            return CompletableFuture.completedFuture(false);
        }
        return changed.completeOnTimeout(false, leftNanos, TimeUnit.NANOSECONDS);
    }
}

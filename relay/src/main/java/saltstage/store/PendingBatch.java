package saltstage.store;

import java.util.concurrent.locks.LockSupport;

/** A batch that waits to be committed, and the thread that waits for it. */
final class PendingBatch {
    private static final int WAITING = 0;
    private static final int LEADER = 1;
    private static final int DONE = 2;

    private final Batch batch;
    private final Thread thread = Thread.currentThread();
    private volatile int state = WAITING;
    private long seq;
    private StoreException failure;

    PendingBatch(Batch batch) {
        this.batch = batch;
    }

    Batch batch() {
        return batch;
    }

    void setSeq(long assignedSeq) {
        seq = assignedSeq;
    }

    void fail(StoreException cause) {
        failure = cause;
    }

    void promoteToLeader() {
        state = LEADER;
        LockSupport.unpark(thread);
    }

    void complete() {
        state = DONE;
        LockSupport.unpark(thread);
    }

    /**
     * Waits until the batch is complete or its thread becomes the leader of the next group; returns
     * true in the second case. An interrupt does not end the wait, because the batch may already be
     * written; the interrupt flag is set again afterwards.
     */
    boolean awaitCompletionOrLeadership() {
        boolean interrupted = false;
        while (state == WAITING) {
            LockSupport.park(this);
            interrupted |= Thread.interrupted();
        }
        if (interrupted) {
            thread.interrupt();
        }
        return state == LEADER;
    }

    /**
     * Returns the assigned sequence number, or throws the reason for which the batch was not
     * committed.
     */
    long result() throws StoreException {
        if (failure != null) {
            throw failure;
        }
        return seq;
    }
}

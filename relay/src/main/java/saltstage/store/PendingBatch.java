package saltstage.store;

import java.util.concurrent.locks.LockSupport;

/** A batch that waits to be durable, and the thread that waits with it. */
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

    void setSeq(long given) {
        seq = given;
    }

    void fail(StoreException why) {
        failure = why;
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
     * Waits to be done, or to lead: true. An interrupt is kept for later: the batch is out of our
     * hands.
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

    /** The number it was given, or why it was refused. */
    long result() throws StoreException {
        if (failure != null) {
            throw failure;
        }
        return seq;
    }
}

package saltstage.store;

import java.util.concurrent.locks.LockSupport;

/** A batch that waits to be durable, and the thread that waits with it. */
final class Pending {
    private static final int WAITS = 0;
    private static final int LEADS = 1;
    private static final int OVER = 2;

    private final Batch batch;
    private final Thread thread = Thread.currentThread();
    private volatile int state = WAITS;
    private long seq;
    private StoreException refused;

    Pending(Batch batch) {
        this.batch = batch;
    }

    Batch batch() {
        return batch;
    }

    void seq(long given) {
        seq = given;
    }

    void refuse(StoreException why) {
        refused = why;
    }

    void promote() {
        state = LEADS;
        LockSupport.unpark(thread);
    }

    void over() {
        state = OVER;
        LockSupport.unpark(thread);
    }

    /**
     * Waits to be done, or to lead: true. An interrupt is kept for later: the batch is out of our
     * hands.
     */
    boolean awaitTurn() {
        boolean interrupted = false;
        while (state == WAITS) {
            LockSupport.park(this);
            interrupted |= Thread.interrupted();
        }
        if (interrupted) {
            thread.interrupt();
        }
        return state == LEADS;
    }

    /** The number it was given, or why it was refused. */
    long result() throws StoreException {
        if (refused != null) {
            throw refused;
        }
        return seq;
    }
}

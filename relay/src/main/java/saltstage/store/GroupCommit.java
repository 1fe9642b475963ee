package saltstage.store;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;

/**
 * Lets writers share the price of a force. Whoever comes while nobody writes leads: it writes for
 * all that wait by then. Who comes meanwhile waits, and the first of them leads next. A lone writer
 * pays no hand-over.
 */
final class GroupCommit {
    /** The most bytes of one group: what waits behind it should not wait long. */
    private static final int MOST_BYTES = 4 << 20;

    /** Writes a group; what it cannot do at all it throws, what it refuses it sets. */
    interface Sink {
        void write(List<Pending> group) throws StoreException;
    }

    private final Sink sink;
    private final Queue<Pending> waiting = new ArrayDeque<>();
    private boolean led;

    GroupCommit(Sink sink) {
        this.sink = sink;
    }

    /** Commits; returns the batch's number once it is durable. */
    long commit(Batch batch) throws StoreException {
        Pending mine = new Pending(batch);
        boolean lead;
        synchronized (waiting) {
            waiting.add(mine);
            lead = !led;
            led = true;
        }
        if (lead || mine.awaitTurn()) {
            lead(mine);
        }
        return mine.result();
    }

    private void lead(Pending mine) {
        List<Pending> group = new ArrayList<>();
        synchronized (waiting) {
            int bytes = 0;
            while (!waiting.isEmpty()
                    && (group.isEmpty() || bytes + waiting.peek().batch().bytes() <= MOST_BYTES)) {
                bytes += waiting.peek().batch().bytes();
                group.add(waiting.remove());
            }
        }
        try {
            sink.write(group);
        } catch (StoreException e) {
            group.forEach(pending -> pending.refuse(e));
        } catch (RuntimeException
                | Error e) { // the others must not wait for ever for a leader that is gone
            StoreException fault = new StoreException("fault: " + e, e);
            group.forEach(pending -> pending.refuse(fault));
            throw e;
        } finally {
            Pending next;
            synchronized (waiting) {
                next = waiting.peek();
                led = next != null;
            }
            if (next != null) {
                next.promote();
            }
            for (Pending pending : group) {
                if (pending != mine) {
                    pending.over();
                }
            }
        }
    }
}

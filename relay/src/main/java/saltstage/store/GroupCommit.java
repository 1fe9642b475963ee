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
    private static final int MAX_GROUP_BYTES = 4 << 20;

    /** Writes a group; what it cannot do at all it throws, what it refuses it sets. */
    interface GroupWriter {
        void write(List<PendingBatch> group) throws StoreException;
    }

    private final GroupWriter writer;
    private final Queue<PendingBatch> waiting = new ArrayDeque<>();
    private boolean hasLeader;

    GroupCommit(GroupWriter sink) {
        this.writer = sink;
    }

    /** Commits; returns the batch's number once it is durable. */
    long commit(Batch batch) throws StoreException {
        PendingBatch mine = new PendingBatch(batch);
        boolean lead;
        synchronized (waiting) {
            waiting.add(mine);
            lead = !hasLeader;
            hasLeader = true;
        }
        if (lead || mine.awaitCompletionOrLeadership()) {
            leadGroup(mine);
        }
        return mine.result();
    }

    private void leadGroup(PendingBatch mine) {
        List<PendingBatch> group = new ArrayList<>();
        synchronized (waiting) {
            int bytes = 0;
            while (!waiting.isEmpty()
                    && (group.isEmpty()
                            || bytes + waiting.peek().batch().encodedBytes() <= MAX_GROUP_BYTES)) {
                bytes += waiting.peek().batch().encodedBytes();
                group.add(waiting.remove());
            }
        }
        try {
            writer.write(group);
        } catch (StoreException e) {
            group.forEach(pending -> pending.fail(e));
        } catch (RuntimeException
                | Error e) { // the others must not wait for ever for a leader that is gone
            StoreException fault = new StoreException("fault: " + e, e);
            group.forEach(pending -> pending.fail(fault));
            throw e;
        } finally {
            PendingBatch next;
            synchronized (waiting) {
                next = waiting.peek();
                hasLeader = next != null;
            }
            if (next != null) {
                next.promoteToLeader();
            }
            for (PendingBatch pending : group) {
                if (pending != mine) {
                    pending.complete();
                }
            }
        }
    }
}

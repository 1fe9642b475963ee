package saltstage.store;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;

/**
 * Group commit: concurrent writers share the cost of a force. A thread that commits while no group
 * is being written becomes the leader and writes all waiting batches. Threads that commit in the
 * meantime wait, and the first of them leads the next group. A single writer needs no hand-over
 * between threads.
 */
final class GroupCommit {
    /** The maximum size of a group in bytes, which bounds the wait of the batches behind it. */
    private static final int MAX_GROUP_BYTES = 4 << 20;

    /**
     * Writes a group. Throws if the group cannot be written; the failure of a single batch is set
     * on that batch.
     */
    interface GroupWriter {
        void write(List<PendingBatch> group) throws StoreException;
    }

    private final GroupWriter writer;
    private final Queue<PendingBatch> waiting = new ArrayDeque<>();
    private boolean hasLeader;

    GroupCommit(GroupWriter writer) {
        this.writer = writer;
    }

    /** Commits a batch and returns its sequence number once it is durable. */
    long commit(Batch batch) throws StoreException {
        PendingBatch own = new PendingBatch(batch);
        boolean lead;
        synchronized (waiting) {
            waiting.add(own);
            lead = !hasLeader;
            hasLeader = true;
        }
        if (lead || own.awaitCompletionOrLeadership()) {
            leadGroup(own);
        }
        return own.result();
    }

    private void leadGroup(PendingBatch own) {
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
        } catch (RuntimeException | Error e) {
            // The other threads must not wait forever for a leader that has failed.
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
                if (pending != own) {
                    pending.complete();
                }
            }
        }
    }
}

package saltstage.coordinator.replica;

import io.microraft.Ordered;
import io.microraft.RaftNode;
import java.util.concurrent.CompletableFuture;
import saltstage.coordinator.group.GroupCodec;
import saltstage.coordinator.group.Proposal;
import saltstage.coordinator.model.Command;
import saltstage.coordinator.model.Reply;

/**
 * Stamps commands with this replica's monotonic clock and proposes them to the consensus engine.
 */
final class Proposer {
    private static final long NANOS_PER_MS = 1_000_000;

    private final RaftNode node;
    private final String processId;
    private final double clockRate;

    /**
     * Creates a proposer.
     *
     * @param processId identifies this run of the process; time stamps of two runs are not compared
     * @param clockRate the rate of the monotonic clock in time stamps; 1 in production
     */
    Proposer(RaftNode node, String processId, double clockRate) {
        this.node = node;
        this.processId = processId;
        this.clockRate = clockRate;
    }

    /**
     * Proposes a client's command; the reply arrives once a majority has the command and it is
     * applied.
     */
    CompletableFuture<Reply> propose(String client, long seq, Command command) {
        String epoch = processId + "/" + node.getTerm().getTerm();
        long stampMs = (long) (System.nanoTime() / NANOS_PER_MS * clockRate);
        byte[] entry = GroupCodec.encodeEntry(new Proposal(client, seq, epoch, stampMs, command));
        return node.<Reply>replicate(entry).thenApply(Ordered::getResult);
    }

    /** Proposes a command of the group itself, which belongs to no client session. */
    CompletableFuture<Reply> propose(Command command) {
        return propose("", 0, command);
    }
}

package saltstage.coordinator.replica;

import io.microraft.RaftEndpoint;
import io.microraft.RaftNode;
import io.microraft.RaftRole;
import io.microraft.impl.RaftNodeImpl;
import io.microraft.impl.state.RaftState;
import io.microraft.impl.task.PreVoteTask;
import saltstage.log.Log;

/**
 * Starts elections that MicroRaft 0.7 fails to start. A follower that begins a pre-vote and then
 * receives a message of its leader in the same term keeps the state of that pre-vote, because only
 * a change of term or role clears it. While that state exists, the engine's heartbeat check ({@code
 * HeartbeatTask}) ignores the time-out of the leader. Once this has happened on every follower, no
 * replica detects the death of the leader.
 *
 * <p>A follower with a pre-vote in progress has no leader, so the state of a pre-vote next to a
 * leader that has timed out is always stale.
 */
final class StalePreVoteRecovery {
    private StalePreVoteRecovery() {}

    /** Whether this follower's leader has timed out and a stale pre-vote hides the time-out. */
    private static boolean isTimeoutHidden(RaftNodeImpl node) {
        RaftState state = node.state();
        return state.role() == RaftRole.FOLLOWER
                && state.leader() != null
                && state.preCandidateState() != null
                && node.isLeaderHeartbeatTimeoutElapsed();
    }

    /**
     * Starts the pre-vote that the engine's own check would start without the stale state; called
     * on the engine's thread.
     */
    static void recover(RaftNode node) {
        if (!(node instanceof RaftNodeImpl engine) || !isTimeoutHidden(engine)) {
            return;
        }
        RaftEndpoint lostLeader = engine.state().leader();
        Log.warn(
                "replica.leader-lost", "leader", lostLeader.getId(), "term", engine.state().term());
        engine.leader(null);
        new PreVoteTask(engine, engine.state().term()).run();
    }
}

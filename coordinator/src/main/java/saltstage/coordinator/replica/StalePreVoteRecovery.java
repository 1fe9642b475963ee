package saltstage.coordinator.replica;

import io.microraft.RaftEndpoint;
import io.microraft.RaftNode;
import io.microraft.RaftRole;
import io.microraft.impl.RaftNodeImpl;
import io.microraft.impl.state.RaftState;
import io.microraft.impl.task.PreVoteTask;
import saltstage.log.Log;

/**
 * Starts the election that MicroRaft 0.7 leaves out. A follower that begins a pre-vote and then
 * hears its leader again in the same term keeps the state of that pre-vote, as only a change of
 * term or role clears it; while it is there, the engine's heartbeat check ({@code HeartbeatTask})
 * looks past the leader's time-out. Once every follower has been through that, the death of the
 * leader is noticed by nobody.
 *
 * <p>A pre-vote that is under way has no leader, so one beside a leader that has timed out is never
 * alive.
 */
final class StalePreVoteRecovery {
    private StalePreVoteRecovery() {}

    /**
     * Whether this follower's leader has timed out and a pre-vote of before keeps that from being
     * noticed.
     */
    private static boolean isTimeoutHidden(RaftNodeImpl node) {
        RaftState state = node.state();
        return state.role() == RaftRole.FOLLOWER
                && state.leader() != null
                && state.preCandidateState() != null
                && node.isLeaderHeartbeatTimeoutElapsed();
    }

    /**
     * Does what the engine's own check would do without the stale state; on the engine's thread.
     */
    static void recover(RaftNode node) {
        if (!(node instanceof RaftNodeImpl engine) || !isTimeoutHidden(engine)) {
            return;
        }
        RaftEndpoint lost = engine.state().leader();
        Log.warn("replica.leader-lost", "leader", lost.getId(), "term", engine.state().term());
        engine.leader(null);
        new PreVoteTask(engine, engine.state().term()).run();
    }
}

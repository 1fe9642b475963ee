package saltstage.coordinator.replica;

import io.microraft.MembershipChangeMode;
import io.microraft.Ordered;
import io.microraft.RaftNode;
import io.microraft.report.RaftNodeReport;
import java.util.concurrent.CompletableFuture;
import saltstage.coordinator.group.GroupCommands;

/** Changes the members of the group; used on the leader. */
final class Membership {
    /** A learner is promoted to a voter if it lags by at most this many log entries. */
    private static final int MAX_PROMOTION_LAG_ENTRIES = 200;

    private static final String STATE_LEARNER = "learns";
    private static final String STATE_VOTER = "votes";
    private static final String STATE_REMOVED = "gone";

    private final RaftNode node;
    private final PeerDirectory directory;
    private final Proposer proposer;

    Membership(RaftNode node, PeerDirectory directory, Proposer proposer) {
        this.node = node;
        this.directory = directory;
        this.proposer = proposer;
    }

    /**
     * Adds a member as a learner; a later call promotes it to a voter once it has caught up.
     * Completes with the member's state.
     */
    CompletableFuture<String> join(String name, String disk, String peers, String clients) {
        Member member = new Member(name);
        if (directory.isOnOtherDisk(name, disk)) {
            String reason =
                    Identity.OTHER_DISK_PREFIX
                            + ": the name "
                            + name
                            + " is taken, or was: join under one of its own";
            return CompletableFuture.failedFuture(new IllegalArgumentException(reason));
        }
        var members = node.getCommittedMembers();
        if (members.getVotingMembers().contains(member)) {
            return CompletableFuture.completedFuture(STATE_VOTER);
        }
        if (members.getMembers().contains(member)) {
            return promoteIfCaughtUp(member);
        }
        return proposer.propose(new GroupCommands.Introduce(name, disk, peers, clients))
                .thenCompose(
                        done ->
                                node.changeMembership(
                                        member,
                                        MembershipChangeMode.ADD_LEARNER,
                                        members.getLogIndex()))
                .thenApply(done -> STATE_LEARNER);
    }

    /** Promotes a learner to a voter if it has caught up. */
    private CompletableFuture<String> promoteIfCaughtUp(Member member) {
        return node.getReport()
                .thenCompose(
                        report ->
                                lagEntries(report.getResult(), member) > MAX_PROMOTION_LAG_ENTRIES
                                        ? CompletableFuture.completedFuture(STATE_LEARNER)
                                        : promoteToVoter(member));
    }

    private static long lagEntries(RaftNodeReport report, Member member) {
        long matched = report.getLog().getFollowerMatchIndices().getOrDefault(member, 0L);
        return report.getLog().getLastLogOrSnapshotIndex() - matched;
    }

    private CompletableFuture<String> promoteToVoter(Member member) {
        return node.changeMembership(
                        member,
                        MembershipChangeMode.ADD_OR_PROMOTE_TO_FOLLOWER,
                        node.getCommittedMembers().getLogIndex())
                .thenApply(done -> STATE_VOTER);
    }

    /** Removes a member that is dead or leaving. Completes with the member's state. */
    CompletableFuture<String> leave(String name) {
        Member member = new Member(name);
        var members = node.getCommittedMembers();
        CompletableFuture<?> removed =
                members.getMembers().contains(member)
                        ? node.changeMembership(
                                member, MembershipChangeMode.REMOVE_MEMBER, members.getLogIndex())
                        : CompletableFuture.completedFuture(null);
        return removed.thenCompose(done -> proposer.propose(new GroupCommands.Forget(name)))
                .thenApply(done -> STATE_REMOVED);
    }

    /** Transfers leadership to a member. */
    CompletableFuture<Object> transferLeadership(String to) {
        return node.transferLeadership(new Member(to)).thenApply(Ordered::getResult);
    }
}

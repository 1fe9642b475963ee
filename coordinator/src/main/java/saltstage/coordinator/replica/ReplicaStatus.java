package saltstage.coordinator.replica;

import io.microraft.RaftEndpoint;
import io.microraft.report.RaftNodeReport;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import saltstage.coordinator.group.GroupState;

/**
 * The status of a replica as the replica itself sees it. The component names are part of the API's
 * JSON.
 *
 * @param leaderClients the leader's address for clients as HOST:PORT, or null
 * @param first the names of the group's initial members
 * @param level the feature level at which the group works
 * @param speaks the highest feature level that this replica announces
 * @param groupNow group time in milliseconds
 * @param day the group's time of day, in milliseconds since 1970
 * @param links whether the link to each peer is connected
 */
public record ReplicaStatus(
        String name,
        String group,
        String role,
        int term,
        String leader,
        String leaderClients,
        List<String> voters,
        List<String> learners,
        List<String> first,
        long commitIndex,
        long lastIndex,
        long snapshotIndex,
        int level,
        int speaks,
        long groupNow,
        long day,
        int leases,
        int sessions,
        Map<String, Boolean> links,
        Map<String, GroupState.MemberRow> members) {

    /**
     * Creates the status from the engine's report and the state, both read on the engine's thread.
     */
    static ReplicaStatus of(
            ReplicaSettings settings,
            RaftNodeReport report,
            GroupState state,
            String leaderClients,
            Map<String, Boolean> links) {
        RaftEndpoint leader = report.getTerm().getLeaderEndpoint();
        List<String> voters = Member.sortedNames(report.getCommittedMembers().getVotingMembers());
        List<String> learners =
                Member.sortedNames(report.getCommittedMembers().getMembers()).stream()
                        .filter(name -> !voters.contains(name))
                        .toList();
        return new ReplicaStatus(
                settings.name(),
                settings.group(),
                report.getRole().name().toLowerCase(),
                report.getTerm().getTerm(),
                leader == null ? null : Member.name(leader),
                leaderClients,
                voters,
                learners,
                Member.sortedNames(report.getInitialMembers().getMembers()),
                report.getLog().getCommitIndex(),
                report.getLog().getLastLogOrSnapshotIndex(),
                report.getLog().getLastSnapshotIndex(),
                state.featureLevel(),
                settings.supportedFeatureLevel(),
                state.time().now(),
                state.time().wallClockTime(),
                state.leases().size(),
                state.sessionCount(),
                links,
                new TreeMap<>(state.members()));
    }
}

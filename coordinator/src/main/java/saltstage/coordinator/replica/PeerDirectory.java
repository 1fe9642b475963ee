package saltstage.coordinator.replica;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import saltstage.coordinator.group.GroupCommands;
import saltstage.coordinator.group.GroupState;

/**
 * What this replica knows of the others: the group's rows of its members, as of the last update,
 * and what peers have said of themselves since. For any thread.
 */
final class PeerDirectory {
    private final ReplicaSettings settings;
    private final String group;
    private final Map<String, PeerLinks.Hello> hellos = new ConcurrentHashMap<>();
    private volatile Map<String, GroupState.MemberRow> memberRows = Map.of();
    private volatile int featureLevel;

    PeerDirectory(ReplicaSettings settings, String group) {
        this.settings = settings;
        this.group = group;
    }

    /** Takes over what the group's state says now; on the engine's thread. */
    void update(GroupState state) {
        memberRows = Map.copyOf(state.members());
        featureLevel = state.featureLevel();
    }

    /** The group's row of a member, or null. */
    GroupState.MemberRow memberRow(String name) {
        return memberRows.get(name);
    }

    /** Where a peer is reached: by the settings of this one, else where it says that it is. */
    InetSocketAddress peerAddress(String peer) {
        InetSocketAddress reach = settings.peerAddresses().get(peer);
        if (reach != null) {
            return reach;
        }
        GroupState.MemberRow row = memberRows.get(peer);
        if (row == null || row.peers() == null) {
            return null;
        }
        int colon = row.peers().lastIndexOf(':');
        return new InetSocketAddress(
                row.peers().substring(0, colon),
                Integer.parseInt(row.peers().substring(colon + 1)));
    }

    /** Where a member takes calls as HOST:PORT, or null. */
    String clientAddress(String member) {
        GroupState.MemberRow row = memberRows.get(member);
        return row == null ? settings.clientAddresses().get(member) : row.clients();
    }

    /** Takes a peer that says who it is; null: welcome, else why not. */
    String admit(PeerLinks.Hello who) {
        if (!group.equals(who.group())) {
            return "it is of group " + who.group() + ", this is " + group;
        }
        if (isOnOtherDisk(who.from(), who.disk())) {
            return Identity.OTHER_DISK_PREFIX
                    + ": "
                    + who.from()
                    + " was on another disk; remove it, and let the new one join under a name of"
                    + " its own";
        }
        if (who.speaks() < featureLevel) {
            return "its build knows level " + who.speaks() + ", the group works at " + featureLevel;
        }
        hellos.put(who.from(), who);
        return null;
    }

    /** Whether the group knows a member of this name on another disk. */
    boolean isOnOtherDisk(String name, String disk) {
        GroupState.MemberRow row = memberRows.get(name);
        return row != null && !row.disk().equals(disk);
    }

    /**
     * What the group does not know yet of these members. They have mostly said who they are before
     * anybody led, so the leader tells the group when it can.
     */
    List<GroupCommands.Introduce> pendingIntroductions(Collection<String> names) {
        List<GroupCommands.Introduce> introductions = new ArrayList<>();
        for (PeerLinks.Hello who : hellos.values()) {
            if (names.contains(who.from()) && isIntroductionNeeded(who)) {
                introductions.add(
                        new GroupCommands.Introduce(
                                who.from(), who.disk(), who.peers(), who.clients()));
            }
        }
        return introductions;
    }

    private boolean isIntroductionNeeded(PeerLinks.Hello who) {
        GroupState.MemberRow row = memberRows.get(who.from());
        if (row == null) {
            return true;
        }
        boolean same = who.peers().equals(row.peers()) && who.clients().equals(row.clients());
        return row.disk().equals(who.disk()) && !same;
    }
}

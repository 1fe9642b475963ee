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
 * What this replica knows about its peers: the member rows of the group's state as of the last
 * update, and the hellos received from peers. Thread-safe.
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

    /**
     * Copies the member rows and the feature level from the group's state; called on the engine's
     * thread.
     */
    void update(GroupState state) {
        memberRows = Map.copyOf(state.members());
        featureLevel = state.featureLevel();
    }

    /** The row of a member in the group's state, or null if there is none. */
    GroupState.MemberRow memberRow(String name) {
        return memberRows.get(name);
    }

    /**
     * The address at which a peer accepts connections of replicas: the one in this replica's
     * settings, otherwise the one the peer announced; null if neither is known.
     */
    InetSocketAddress peerAddress(String peer) {
        InetSocketAddress configured = settings.peerAddresses().get(peer);
        if (configured != null) {
            return configured;
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

    /** The address of a member for clients as HOST:PORT, or null if unknown. */
    String clientAddress(String member) {
        GroupState.MemberRow row = memberRows.get(member);
        return row == null ? settings.clientAddresses().get(member) : row.clients();
    }

    /**
     * Admits a peer by its hello; returns null if it is admitted, otherwise the reason for the
     * refusal.
     */
    String admit(PeerLinks.Hello hello) {
        if (!group.equals(hello.group())) {
            return "it is of group " + hello.group() + ", this is " + group;
        }
        if (isOnOtherDisk(hello.from(), hello.disk())) {
            return Identity.OTHER_DISK_PREFIX
                    + ": "
                    + hello.from()
                    + " was on another disk; remove it, and let the new one join under a name of"
                    + " its own";
        }
        if (hello.speaks() < featureLevel) {
            return "its build knows level "
                    + hello.speaks()
                    + ", the group works at "
                    + featureLevel;
        }
        hellos.put(hello.from(), hello);
        return null;
    }

    /** Whether the group knows a member of this name with another disk. */
    boolean isOnOtherDisk(String name, String disk) {
        GroupState.MemberRow row = memberRows.get(name);
        return row != null && !row.disk().equals(disk);
    }

    /**
     * The introductions of these members that are missing from the group's state. Peers usually
     * send their hello before a leader is elected, so the leader introduces them later.
     */
    List<GroupCommands.Introduce> pendingIntroductions(Collection<String> names) {
        List<GroupCommands.Introduce> introductions = new ArrayList<>();
        for (PeerLinks.Hello hello : hellos.values()) {
            if (names.contains(hello.from()) && isIntroductionNeeded(hello)) {
                introductions.add(
                        new GroupCommands.Introduce(
                                hello.from(), hello.disk(), hello.peers(), hello.clients()));
            }
        }
        return introductions;
    }

    private boolean isIntroductionNeeded(PeerLinks.Hello hello) {
        GroupState.MemberRow row = memberRows.get(hello.from());
        if (row == null) {
            return true;
        }
        boolean sameAddresses =
                hello.peers().equals(row.peers()) && hello.clients().equals(row.clients());
        return row.disk().equals(hello.disk()) && !sameAddresses;
    }
}

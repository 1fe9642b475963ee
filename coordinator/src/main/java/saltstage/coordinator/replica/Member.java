package saltstage.coordinator.replica;

import io.microraft.RaftEndpoint;
import java.io.Serializable;
import java.util.Collection;
import java.util.List;

/**
 * A replica as the consensus engine identifies it: by its name alone. Its addresses are kept in
 * {@link PeerDirectory}.
 */
record Member(String id) implements RaftEndpoint, Serializable {
    @Override
    public Object getId() {
        return id;
    }

    @Override
    public String toString() {
        return id;
    }

    /** The name of a member. */
    static String name(RaftEndpoint endpoint) {
        return (String) endpoint.getId();
    }

    /** The names of members, sorted. */
    static List<String> sortedNames(Collection<RaftEndpoint> endpoints) {
        return endpoints.stream().map(Member::name).sorted().toList();
    }
}

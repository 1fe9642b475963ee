package saltstage.coordinator.replica;

import io.microraft.RaftEndpoint;
import java.io.Serializable;

/**
 * A replica as the consensus engine names it: by its name alone; where it is reached is known
 * elsewhere.
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
}

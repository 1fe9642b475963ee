package saltstage.coordinator.advice;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The latest snapshot of each node. This is soft state of one coordinator and is not part of the
 * log. Late, duplicate and reordered snapshots and those of an earlier incarnation are ignored.
 * Ages count from the local time of arrival, so a wrong clock at a node has no effect. Not
 * thread-safe.
 */
public final class NodeSnapshots {
    static final int MAX_NODES = 2_000;
    private static final long MAX_AGE_MS = 600_000;

    /** The latest snapshot of a node and its age. */
    public record View(NodeSnapshot snapshot, long ageMs) {}

    private record ReceivedSnapshot(NodeSnapshot snapshot, long receivedAtMs) {}

    private final Map<String, ReceivedSnapshot> nodes = new TreeMap<>();

    /** Stores a snapshot. Returns false if a newer one is known or there are too many nodes. */
    public boolean update(NodeSnapshot snapshot, long nowMs) {
        ReceivedSnapshot known = nodes.get(snapshot.node());
        if (known != null) {
            long knownIncarnation = known.snapshot().incarnation();
            if (snapshot.incarnation() < knownIncarnation
                    || snapshot.incarnation() == knownIncarnation
                            && snapshot.seq() <= known.snapshot().seq()) {
                return false;
            }
        } else if (nodes.size() >= MAX_NODES) {
            nodes.values().removeIf(received -> nowMs - received.receivedAtMs() > MAX_AGE_MS);
            if (nodes.size() >= MAX_NODES) {
                return false;
            }
        }
        nodes.put(snapshot.node(), new ReceivedSnapshot(snapshot, nowMs));
        return true;
    }

    /** Returns all nodes by name. Nodes without a recent snapshot are removed. */
    public List<View> views(long nowMs) {
        nodes.values().removeIf(received -> nowMs - received.receivedAtMs() > MAX_AGE_MS);
        List<View> views = new ArrayList<>();
        nodes.values()
                .forEach(
                        received ->
                                views.add(
                                        new View(
                                                received.snapshot(),
                                                nowMs - received.receivedAtMs())));
        return views;
    }
}

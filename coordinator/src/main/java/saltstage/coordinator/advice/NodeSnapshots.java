package saltstage.coordinator.advice;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The newest snapshot of each node: soft state of one coordinator, in no log. Late, doubled and
 * reordered ones change nothing, nor do those of an earlier incarnation; ages count from when they
 * arrived here, so a clock that is off at a node is read by nobody. For one thread at a time.
 */
public final class NodeSnapshots {
    static final int MAX_NODES = 2_000;
    private static final long MAX_AGE_MS = 600_000;

    /** A node as it is known here, and how old that is. */
    public record View(NodeSnapshot snapshot, long ageMs) {}

    private record ReceivedSnapshot(NodeSnapshot snapshot, long receivedAtMs) {}

    private final Map<String, ReceivedSnapshot> nodes = new TreeMap<>();

    /** Takes a snapshot; false where a newer one is known, or there are too many nodes. */
    public boolean update(NodeSnapshot snapshot, long nowMs) {
        ReceivedSnapshot known = nodes.get(snapshot.node());
        if (known != null) {
            long before = known.snapshot().incarnation();
            if (snapshot.incarnation() < before
                    || snapshot.incarnation() == before
                            && snapshot.seq() <= known.snapshot().seq()) {
                return false;
            }
        } else if (nodes.size() >= MAX_NODES) {
            nodes.values().removeIf(kept -> nowMs - kept.receivedAtMs() > MAX_AGE_MS);
            if (nodes.size() >= MAX_NODES) {
                return false;
            }
        }
        nodes.put(snapshot.node(), new ReceivedSnapshot(snapshot, nowMs));
        return true;
    }

    /** All nodes, by name; those that nothing was heard of for long are forgotten. */
    public List<View> views(long nowMs) {
        nodes.values().removeIf(kept -> nowMs - kept.receivedAtMs() > MAX_AGE_MS);
        List<View> views = new ArrayList<>();
        nodes.values()
                .forEach(kept -> views.add(new View(kept.snapshot(), nowMs - kept.receivedAtMs())));
        return views;
    }
}

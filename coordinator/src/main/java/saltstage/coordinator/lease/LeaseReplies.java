package saltstage.coordinator.lease;

import java.util.List;
import java.util.Map;
import saltstage.coordinator.model.Reply;

/** What asking of leases comes to. Spans are in milliseconds. */
public final class LeaseReplies {
    private LeaseReplies() {}

    /** It is the owner's, under this fence, for this span from when the question was sent. */
    public record Granted(String name, long fence, long ttlMs) implements Reply {}

    /** Somebody else has it. */
    public record Held(
            String name, String holder, long fence, long remainingMs, boolean queued, int ahead)
            implements Reply {}

    /** The leases that hold for their span again, with it, and those that are lost. */
    public record Renewed(Map<String, Long> ttlMs, List<String> lost) implements Reply {}
}

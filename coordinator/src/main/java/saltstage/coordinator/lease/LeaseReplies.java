package saltstage.coordinator.lease;

import java.util.List;
import java.util.Map;
import saltstage.coordinator.model.Reply;

/** The replies to lease commands. Durations are in milliseconds. */
public final class LeaseReplies {
    private LeaseReplies() {}

    /**
     * The lease was granted under this fencing token, for this duration from the time at which the
     * request was sent.
     */
    public record Granted(String name, long fence, long ttlMs) implements Reply {}

    /** Another owner holds the lease, or it is reserved for another owner. */
    public record Held(
            String name, String holder, long fence, long remainingMs, boolean queued, int ahead)
            implements Reply {}

    /**
     * The renewed leases with the duration of each from the time at which the request was sent, and
     * the leases that were lost.
     */
    public record Renewed(Map<String, Long> ttlMs, List<String> lost) implements Reply {}
}

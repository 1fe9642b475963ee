package saltstage.configuration.follower;

import java.time.Duration;
import saltstage.configuration.ChangesResponse;
import saltstage.configuration.SnapshotPage;

/**
 * What happens to a follower. Answers, writes and timers carry the number of what they belong to;
 * one that is no longer awaited changes nothing.
 */
public sealed interface FollowerEvent {
    /** A source answered with changes, or with none once its wait was over. */
    record ChangesReceived(long request, ChangesResponse response, Duration elapsed)
            implements FollowerEvent {}

    /** A source answered with a page of a snapshot. */
    record SnapshotPageReceived(long request, SnapshotPage page) implements FollowerEvent {}

    /** The source knows this follower's revision with another digest (409). */
    record Diverged(long request) implements FollowerEvent {}

    /** The source no longer keeps what comes next, or the snapshot that was asked for (410). */
    record Truncated(long request) implements FollowerEvent {}

    /** The source is older than this follower (421). */
    record Behind(long request, long sourceRevision) implements FollowerEvent {}

    /** The source asks to be asked later (503). */
    record Busy(long request, Duration retryAfter) implements FollowerEvent {}

    /** No usable answer: refused, reset, silent for too long, malformed. */
    record RequestFailed(long request, String reason) implements FollowerEvent {}

    /** A write is durable. */
    record WriteCompleted(long write) implements FollowerEvent {}

    /** A write failed; nothing of it may be taken as durable. */
    record WriteFailed(long write, String reason) implements FollowerEvent {}

    /** The pause before the next request or write is over. */
    record RetryDue(long timer) implements FollowerEvent {}

    /** It is time to try the preferred source again. */
    record PreferredSourceRetryDue(long timer) implements FollowerEvent {}

    /** The follower ends. */
    record Stopped() implements FollowerEvent {}
}

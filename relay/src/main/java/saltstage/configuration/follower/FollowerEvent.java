package saltstage.configuration.follower;

import java.time.Duration;
import saltstage.configuration.ChangesResponse;
import saltstage.configuration.SnapshotPage;

/**
 * An event of a follower. Events of requests, writes and timers carry the id of their operation
 * ({@code request}, {@code write} or {@code timer}); an event of an operation that is no longer
 * awaited changes nothing.
 */
public sealed interface FollowerEvent {
    /** A source responded with changes, or with none after the requested wait. */
    record ChangesReceived(long request, ChangesResponse response, Duration elapsed)
            implements FollowerEvent {}

    /** A source responded with a page of a snapshot. */
    record SnapshotPageReceived(long request, SnapshotPage page) implements FollowerEvent {}

    /** The source has this follower's revision with a different digest (409). */
    record Diverged(long request) implements FollowerEvent {}

    /** The source no longer stores the next changes, or the requested snapshot (410). */
    record Truncated(long request) implements FollowerEvent {}

    /** The source's revision is older than this follower's revision (421). */
    record Behind(long request, long sourceRevision) implements FollowerEvent {}

    /** The source is overloaded and asks for a later retry (503). */
    record Busy(long request, Duration retryAfter) implements FollowerEvent {}

    /** No usable response: connection refused or reset, timeout, or malformed response. */
    record RequestFailed(long request, String reason) implements FollowerEvent {}

    /** A write is durable. */
    record WriteCompleted(long write) implements FollowerEvent {}

    /** A write failed; no part of it may be regarded as durable. */
    record WriteFailed(long write, String reason) implements FollowerEvent {}

    /** The delay before the next request or write has passed. */
    record RetryDue(long timer) implements FollowerEvent {}

    /** It is time to try the preferred source again. */
    record PreferredSourceRetryDue(long timer) implements FollowerEvent {}

    /** The follower is stopped. */
    record Stopped() implements FollowerEvent {}
}

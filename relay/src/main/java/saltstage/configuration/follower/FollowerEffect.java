package saltstage.configuration.follower;

import java.time.Duration;
import java.util.List;
import saltstage.configuration.Change;
import saltstage.configuration.ConfigurationView;
import saltstage.configuration.EntryKey;

/**
 * An action that the follower's state machine requests; actions are performed in order. The
 * components {@code request}, {@code write} and {@code timer} are ids of operations, which the
 * resulting events carry.
 */
public sealed interface FollowerEffect {
    /**
     * Request the changes after a revision from a source.
     *
     * @param source the index in the list of sources
     * @param pollWait how long the source may hold the request while it has nothing new
     */
    record RequestChanges(long request, int source, long after, long digest, Duration pollWait)
            implements FollowerEffect {}

    /**
     * Request a page of a snapshot from a source.
     *
     * @param revision the snapshot's revision; 0 for the newest
     * @param from the lowest key of the page; null for the first page
     */
    record RequestSnapshotPage(long request, int source, long revision, EntryKey from)
            implements FollowerEffect {}

    /** Cancel a request; its response is no longer awaited. */
    record CancelRequest(long request) implements FollowerEffect {}

    /** Make all of these changes durable or none of them, and report the outcome as an event. */
    record WriteChanges(long write, List<Change> changes) implements FollowerEffect {}

    /** Replace the durable state by this view, and report the outcome as an event. */
    record WriteSnapshot(long write, ConfigurationView view) implements FollowerEffect {}

    /** Report that these changes are durable and applied. */
    record ChangesApplied(List<Change> changes) implements FollowerEffect {}

    /**
     * Report that this view is durable and applied. It must not be retained, as it changes later.
     */
    record SnapshotApplied(ConfigurationView view) implements FollowerEffect {}

    /**
     * Report that, by its last response, the source has nothing newer than this applied revision.
     */
    record Confirmed(long revision) implements FollowerEffect {}

    /** Report that the source has begun to respond to requests. */
    record SourceConnected(int source) implements FollowerEffect {}

    /** Report a failover from one source to the next. */
    record SourceFailover(int source, int next, String reason) implements FollowerEffect {}

    /** Report that a write failed and will be retried. */
    record WritePostponed(String reason) implements FollowerEffect {}

    /** Post {@link FollowerEvent.RetryDue} after the delay. */
    record ScheduleRetry(long timer, Duration delay) implements FollowerEffect {}

    /** Post {@link FollowerEvent.PreferredSourceRetryDue} after the delay. */
    record SchedulePreferredSourceRetry(long timer, Duration delay) implements FollowerEffect {}
}

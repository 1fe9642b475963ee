package saltstage.configuration.follower;

import java.time.Duration;
import java.util.List;
import saltstage.configuration.Change;
import saltstage.configuration.ConfigurationView;
import saltstage.configuration.EntryKey;

/** What a follower's state machine wants done, in the order given. */
public sealed interface FollowerEffect {
    /**
     * Ask a source for the changes after a revision.
     *
     * @param source index in the list of sources
     * @param poll how long the source may hold the request while it has nothing new
     */
    record RequestChanges(long request, int source, long after, long digest, Duration pollWait)
            implements FollowerEffect {}

    /**
     * Ask a source for a page of a snapshot.
     *
     * @param revision the snapshot's revision; 0: the newest
     * @param from the first key of the page; null: the first of all
     */
    record RequestSnapshotPage(long request, int source, long revision, EntryKey from)
            implements FollowerEffect {}

    /** Give up a request; its answer is no longer awaited. */
    record CancelRequest(long request) implements FollowerEffect {}

    /** Make these changes durable, all or none of them, and answer with the write's outcome. */
    record WriteChanges(long write, List<Change> changes) implements FollowerEffect {}

    /** Replace all that is durable by this view, and answer with the write's outcome. */
    record WriteSnapshot(long write, ConfigurationView view) implements FollowerEffect {}

    /** These changes are durable and in force from now on. */
    record ChangesApplied(List<Change> changes) implements FollowerEffect {}

    /** This view is durable and in force from now on; not to be kept, it changes later. */
    record SnapshotApplied(ConfigurationView view) implements FollowerEffect {}

    /** By its last answer the source has nothing newer than this revision, which is in force. */
    record Confirmed(long revision) implements FollowerEffect {}

    /** A source answers requests from now on. */
    record SourceConnected(int source) implements FollowerEffect {}

    /** A source is left for another one. */
    record SourceFailover(int source, int next, String reason) implements FollowerEffect {}

    /** A write failed; it is tried again. */
    record WritePostponed(String reason) implements FollowerEffect {}

    /** Answer with {@link FollowerEvent.RetryDue} after the delay. */
    record ScheduleRetry(long timer, Duration delay) implements FollowerEffect {}

    /** Answer with {@link FollowerEvent.PreferredSourceRetryDue} after the delay. */
    record SchedulePreferredSourceRetry(long timer, Duration delay) implements FollowerEffect {}
}

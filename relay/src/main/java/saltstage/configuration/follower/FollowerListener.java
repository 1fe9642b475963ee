package saltstage.configuration.follower;

import java.net.URI;
import java.util.List;
import saltstage.configuration.Change;
import saltstage.configuration.ConfigurationView;

/**
 * What a follower tells. Calls come one at a time and in order, on threads of the HTTP client or of
 * the executors; the next request leaves only after the call has returned, so it must not block.
 */
public interface FollowerListener {
    /** These changes are durable and in force from now on, oldest first. */
    void changesApplied(List<Change> changes);

    /**
     * All that was in force is replaced by this view; it is not to be kept, as it changes later.
     */
    void snapshotApplied(ConfigurationView view);

    /** A source has just said that it has nothing newer than this revision. */
    default void revisionConfirmed(long revision) {}

    /** This source answers requests from now on. */
    default void sourceConnected(URI source) {}

    /** This source is left for the next; what is in force stays. */
    default void sourceFailedOver(URI source, URI next, String reason) {}

    /** A write failed and is tried again; what was in force before stays until then. */
    default void writePostponed(String reason) {}

    /** A call of this listener, or the follower itself, threw. */
    default void faultOccurred(RuntimeException fault) {}
}

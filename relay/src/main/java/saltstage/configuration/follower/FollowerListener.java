package saltstage.configuration.follower;

import java.net.URI;
import java.util.List;
import saltstage.configuration.Change;
import saltstage.configuration.ConfigurationView;

/**
 * Receives a follower's notifications. Calls are made one at a time and in order, on threads of the
 * HTTP client or of the executors. The next request is sent only after the call has returned, so an
 * implementation must not block.
 */
public interface FollowerListener {
    /** These changes are durable and applied; they are ordered oldest first. */
    void changesApplied(List<Change> changes);

    /**
     * This view replaces the whole applied configuration. It must not be retained, as it changes
     * later.
     */
    void snapshotApplied(ConfigurationView view);

    /** A source has confirmed that it has nothing newer than this revision. */
    default void revisionConfirmed(long revision) {}

    /** This source has begun to respond to requests. */
    default void sourceConnected(URI source) {}

    /** The follower switches from this source to the next; the applied configuration stays. */
    default void sourceFailedOver(URI source, URI next, String reason) {}

    /** A write failed and will be retried; the configuration applied before stays until then. */
    default void writePostponed(String reason) {}

    /** A call of this listener, or the follower itself, threw an exception. */
    default void faultOccurred(RuntimeException fault) {}
}

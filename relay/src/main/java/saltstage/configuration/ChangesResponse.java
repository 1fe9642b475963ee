package saltstage.configuration;

import java.util.List;

/**
 * A source's response with the changes after the follower's revision.
 *
 * @param revision the newest revision of the source
 * @param digest the digest at that revision
 * @param changes the changes, oldest first and without gaps; they may end before the newest
 *     revision
 */
public record ChangesResponse(long revision, long digest, List<Change> changes) {
    /** Copies the list of changes. */
    public ChangesResponse {
        changes = List.copyOf(changes);
    }
}

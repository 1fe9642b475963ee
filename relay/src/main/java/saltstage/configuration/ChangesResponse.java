package saltstage.configuration;

import java.util.List;

/**
 * What comes after the revision that a follower has.
 *
 * @param revision the newest revision of the source
 * @param digest the digest at that revision
 * @param changes oldest first, without holes; they may end before the newest revision
 */
public record ChangesResponse(long revision, long digest, List<Change> changes) {
    /** Copies the list. */
    public ChangesResponse {
        changes = List.copyOf(changes);
    }
}

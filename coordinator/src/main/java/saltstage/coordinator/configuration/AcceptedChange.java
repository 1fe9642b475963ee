package saltstage.coordinator.configuration;

import java.util.List;
import saltstage.configuration.Change;
import saltstage.configuration.ConfigurationJson;
import saltstage.configuration.ConfigurationLimits;
import saltstage.configuration.Mutation;
import saltstage.wire.MalformedException;

/**
 * An accepted change as the group's history stores it.
 *
 * @param revision the revision that the change created
 * @param digest the digest of all entries after the change, 16 hexadecimal digits
 * @param author the operator or program that requested the change
 * @param dayMs the group's wall-clock time of acceptance, in milliseconds since 1970
 * @param undo mutations that restore the values which the changed keys had before
 */
public record AcceptedChange(
        long revision,
        String digest,
        String author,
        long dayMs,
        List<Mutation> mutations,
        List<Mutation> undo) {
    static AcceptedChange of(Change change, String author, long dayMs, List<Mutation> undo) {
        String digest = ConfigurationJson.formatDigest(change.digest());
        return new AcceptedChange(
                change.revision(), digest, author, dayMs, change.mutations(), undo);
    }

    /** Returns the change in the form that followers receive. */
    public Change toChange() {
        return new Change(revision, parseDigest(digest), mutations);
    }

    /** Parses the text of a digest; throws IllegalArgumentException if it is malformed. */
    static long parseDigest(String digest) {
        try {
            return ConfigurationJson.parseDigest(digest, "digest");
        } catch (MalformedException malformed) {
            throw new IllegalArgumentException(malformed.getMessage(), malformed);
        }
    }

    /** Returns the estimated size of the mutations and the undo mutations together. */
    int estimatedBytes() {
        return ConfigurationLimits.estimatedBytes(new Change(revision, 0, mutations))
                + ConfigurationLimits.estimatedBytes(new Change(revision, 0, undo));
    }
}

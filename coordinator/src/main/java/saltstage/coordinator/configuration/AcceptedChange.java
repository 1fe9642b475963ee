package saltstage.coordinator.configuration;

import java.util.List;
import saltstage.configuration.Change;
import saltstage.configuration.ConfigurationJson;
import saltstage.configuration.ConfigurationLimits;
import saltstage.configuration.Mutation;
import saltstage.wire.MalformedException;

/**
 * A change as the history keeps it.
 *
 * @param digest the digest of all entries after it, 16 hexadecimal digits
 * @param author who asked for it
 * @param dayMs the group's time of day when it was accepted, milliseconds since 1970
 * @param undo mutations that bring its keys back to what they said before it
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

    /** The change as followers get it. */
    public Change toChange() {
        return new Change(revision, parseDigest(digest), mutations);
    }

    /** The number that a digest's text is of; throws IllegalArgumentException where it is none. */
    static long parseDigest(String digest) {
        try {
            return ConfigurationJson.parseDigest(digest, "digest");
        } catch (MalformedException bad) {
            throw new IllegalArgumentException(bad.getMessage(), bad);
        }
    }

    int estimatedBytes() {
        return ConfigurationLimits.estimatedBytes(new Change(revision, 0, mutations))
                + ConfigurationLimits.estimatedBytes(new Change(revision, 0, undo));
    }
}

package saltstage.configuration;

import java.util.List;

/**
 * An accepted change: all of its mutations come into force together.
 *
 * @param revision its number; the next change has the next number
 * @param digest the digest of all entries once it is applied
 */
public record Change(long revision, long digest, List<Mutation> mutations) {
    /** Copies the list. */
    public Change {
        mutations = List.copyOf(mutations);
    }
}

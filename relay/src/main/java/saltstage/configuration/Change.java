package saltstage.configuration;

import java.util.List;

/**
 * An accepted change. All of its mutations are applied together.
 *
 * @param revision the number of the change; the next change has the next higher number
 * @param digest the digest of all entries after the change is applied
 */
public record Change(long revision, long digest, List<Mutation> mutations) {
    /** Copies the list of mutations. */
    public Change {
        mutations = List.copyOf(mutations);
    }
}

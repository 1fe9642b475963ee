package saltstage.coordinator.configuration;

import java.util.List;
import java.util.Map;
import saltstage.configuration.ConfigurationLimits;

/**
 * What a distributor tells the leader about the followers of its zone.
 *
 * @param distributor its name
 * @param zone the zone whose followers it counts
 * @param revision the revision that it has itself
 * @param confirmedByRevision by revision, how many followers have confirmed just that one
 * @param followers how many there are
 * @param behind those that are behind, at most {@link #MAX_NAMED_FOLLOWERS}, longest first
 */
public record FollowerReport(
        String distributor,
        String zone,
        long revision,
        Map<Long, Integer> confirmedByRevision,
        int followers,
        List<Behind> behind) {
    /** Most followers that a report names. */
    public static final int MAX_NAMED_FOLLOWERS = 100;

    /** Most revisions that a report counts; what is older than that may be left out. */
    public static final int MAX_REVISIONS = 1_000;

    private static final int MAX_NAME_LENGTH = ConfigurationLimits.MAX_IDENTIFIER_LENGTH;

    /**
     * A follower that is behind the newest revision of its distributor.
     *
     * @param revision what it has confirmed last
     * @param sinceMs for how long it has been behind, milliseconds
     */
    public record Behind(String follower, long revision, long sinceMs) {}

    /** Why the report cannot be taken, as one sentence; null where it can. */
    public String validationError() {
        if (!isValidName(distributor)
                || !isValidName(zone)
                || behind.stream().anyMatch(one -> !isValidName(one.follower()))) {
            return "'distributor', 'zone' and 'follower' take up to "
                    + MAX_NAME_LENGTH
                    + " visible characters";
        }
        if (behind.size() > MAX_NAMED_FOLLOWERS || confirmedByRevision.size() > MAX_REVISIONS) {
            return "at most "
                    + MAX_NAMED_FOLLOWERS
                    + " followers and "
                    + MAX_REVISIONS
                    + " revisions are named";
        }
        boolean negative =
                followers < 0
                        || revision < 0
                        || confirmedByRevision.values().stream().anyMatch(count -> count < 0)
                        || behind.stream().anyMatch(one -> one.revision() < 0 || one.sinceMs() < 0);
        return negative ? "counts, revisions and spans are 0 or more" : null;
    }

    private static boolean isValidName(String text) {
        return text.matches("[!-~]{1," + MAX_NAME_LENGTH + "}");
    }
}

package saltstage.coordinator.configuration;

import java.util.List;
import java.util.Map;
import saltstage.configuration.ConfigurationLimits;

/**
 * A distributor's report to the leader about the followers of one zone.
 *
 * @param distributor the distributor's name
 * @param zone the zone whose followers are counted
 * @param revision the distributor's own revision
 * @param confirmedByRevision the number of followers by the newest revision that they confirmed
 * @param followers the number of followers
 * @param behind the followers that are behind, the longest first, at most {@link
 *     #MAX_NAMED_FOLLOWERS}
 */
public record FollowerReport(
        String distributor,
        String zone,
        long revision,
        Map<Long, Integer> confirmedByRevision,
        int followers,
        List<Behind> behind) {
    /** The maximum number of followers that a report names. */
    public static final int MAX_NAMED_FOLLOWERS = 100;

    /** The maximum number of revisions that a report counts; older ones may be left out. */
    public static final int MAX_REVISIONS = 1_000;

    private static final int MAX_NAME_LENGTH = ConfigurationLimits.MAX_IDENTIFIER_LENGTH;

    /**
     * A follower that is behind the newest revision of its distributor.
     *
     * @param revision the revision that the follower confirmed last
     * @param sinceMs how long the follower has been behind, in milliseconds
     */
    public record Behind(String follower, long revision, long sinceMs) {}

    /** Returns why the report is invalid, as one sentence, or null if it is valid. */
    public String validationError() {
        if (!isValidName(distributor)
                || !isValidName(zone)
                || behind.stream().anyMatch(lagging -> !isValidName(lagging.follower()))) {
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
                        || behind.stream()
                                .anyMatch(
                                        lagging -> lagging.revision() < 0 || lagging.sinceMs() < 0);
        return negative ? "counts, revisions and spans are 0 or more" : null;
    }

    private static boolean isValidName(String text) {
        return text.matches("[!-~]{1," + MAX_NAME_LENGTH + "}");
    }
}

package saltstage.coordinator.distribution;

import java.util.List;
import java.util.SortedMap;
import saltstage.coordinator.configuration.FollowerReport;

/**
 * The revisions that the followers of one zone have confirmed at one distributor.
 *
 * @param zone the followers' zone
 * @param revision the revision against which the followers are compared
 * @param confirmedByRevision the number of followers by the newest revision that they confirmed
 * @param followers the number of followers, without silent ones
 * @param behind the followers that lack the revision, the longest first, at most {@link
 *     FollowerReport#MAX_NAMED_FOLLOWERS}
 * @param silent the followers whose last request is too long ago, the longest first, at most as
 *     many
 */
public record ZoneConfirmations(
        String zone,
        long revision,
        SortedMap<Long, Integer> confirmedByRevision,
        int followers,
        List<FollowerReport.Behind> behind,
        List<Silent> silent) {
    /** Returns the number of followers that have the revision or a newer one. */
    public int confirmed() {
        return confirmedByRevision.tailMap(revision).values().stream()
                .mapToInt(Integer::intValue)
                .sum();
    }

    /**
     * A follower that is no longer counted.
     *
     * @param revision the revision that the follower confirmed last
     * @param silentMs the time since the follower's last request, in milliseconds
     */
    public record Silent(String follower, long revision, long silentMs) {}
}

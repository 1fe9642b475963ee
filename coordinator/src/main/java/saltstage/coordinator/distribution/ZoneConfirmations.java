package saltstage.coordinator.distribution;

import java.util.List;
import java.util.SortedMap;
import saltstage.coordinator.configuration.FollowerReport;

/**
 * What the followers of one zone have confirmed at one distributor.
 *
 * @param zone the followers' zone
 * @param revision the one that followers are measured by
 * @param confirmedByRevision how many followers have each revision, by revision
 * @param followers how many there are, silent ones not counted
 * @param behind those that lack that revision, longest first, {@link FollowerRegistry#MOST_NAMED}
 *     at most
 * @param silent those that have not been heard for over the bound, longest first, as many at most
 */
public record ZoneConfirmations(
        String zone,
        long revision,
        SortedMap<Long, Integer> confirmedByRevision,
        int followers,
        List<FollowerReport.Behind> behind,
        List<Silent> silent) {
    /** How many followers have the revision, or a newer one. */
    public int confirmed() {
        return confirmedByRevision.tailMap(revision).values().stream()
                .mapToInt(Integer::intValue)
                .sum();
    }

    /**
     * A follower that is not counted any more.
     *
     * @param revision the one that it confirmed last
     * @param silentMs for how many milliseconds it has not been heard
     */
    public record Silent(String follower, long revision, long silentMs) {}
}

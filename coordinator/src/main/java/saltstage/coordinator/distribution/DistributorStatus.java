package saltstage.coordinator.distribution;

import java.util.List;
import saltstage.coordinator.configuration.FollowerReport;

/**
 * The status of a distributor, as its {@code status} request returns it.
 *
 * @param revision the newest revision that the distributor serves
 * @param digest the digest at that revision, 16 hexadecimal digits
 * @param asked the requested revision, against which the followers are compared
 * @param waiting the number of requests that wait for a change
 * @param snapshots the number of snapshot transfers in progress
 * @param encodings the number of response bodies encoded since the start; all other responses
 *     reused one
 */
public record DistributorStatus(
        String distributor,
        long revision,
        String digest,
        long asked,
        int waiting,
        int snapshots,
        long encodings,
        List<Zone> zones) {
    /**
     * The followers of one zone that this distributor serves.
     *
     * @param confirmed the number of followers that have the requested revision
     */
    public record Zone(
            String zone,
            int followers,
            int confirmed,
            List<FollowerReport.Behind> behind,
            List<ZoneConfirmations.Silent> silent) {
        static Zone of(ZoneConfirmations report) {
            return new Zone(
                    report.zone(),
                    report.followers(),
                    report.confirmed(),
                    report.behind(),
                    report.silent());
        }
    }
}

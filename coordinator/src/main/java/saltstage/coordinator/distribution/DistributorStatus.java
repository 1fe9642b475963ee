package saltstage.coordinator.distribution;

import java.util.List;
import saltstage.coordinator.configuration.FollowerReport;

/**
 * How a distributor stands, as its {@code status} answers.
 *
 * @param revision the newest revision that it serves
 * @param digest the digest at that revision, 16 hexadecimal digits
 * @param asked the revision that the zones are measured by
 * @param waiting requests that wait for something new
 * @param snapshots snapshot transfers under way
 * @param encodings answers encoded since the start; others were sent again as they were
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
     * The followers of a zone here.
     *
     * @param confirmed how many have the revision asked for
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

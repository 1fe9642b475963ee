package saltstage.coordinator.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The newest report of each distributor. Soft state of whoever leads: a new leader begins with
 * none. Bounded: where too many distributors report, the one that was heard longest ago is
 * forgotten. Not thread safe.
 */
public final class FollowerReports {
    /** Most distributors whose reports are kept. */
    static final int MOST = 100;

    /** A zone as a distributor last told it, against the revision that was asked about. */
    public record Zone(
            String zone,
            String distributor,
            long reportAgeMs,
            int followers,
            int confirmed,
            List<FollowerReport.Behind> behind) {}

    private record Received(FollowerReport report, long atMs) {}

    private final Map<String, Received> byDistributor = new TreeMap<>();

    /**
     * Takes a report in place of the distributor's last one; {@code nowMs} is any monotonic clock.
     */
    public void take(FollowerReport report, long nowMs) {
        byDistributor.put(report.distributor(), new Received(report, nowMs));
        if (byDistributor.size() > MOST) {
            byDistributor.entrySet().stream()
                    .min(
                            Map.Entry.comparingByValue(
                                    (one, other) -> Long.compare(one.atMs(), other.atMs())))
                    .ifPresent(oldest -> byDistributor.remove(oldest.getKey()));
        }
    }

    /** All zones against this revision; a report of any age is shown, with its age. */
    public List<Zone> zones(long revision, long nowMs) {
        List<Zone> zones = new ArrayList<>();
        byDistributor.values().forEach(received -> zones.add(zone(received, revision, nowMs)));
        return zones;
    }

    private static Zone zone(Received received, long revision, long nowMs) {
        FollowerReport report = received.report();
        long age = nowMs - received.atMs();
        int confirmed = 0;
        for (Map.Entry<Long, Integer> count : report.confirmedByRevision().entrySet()) {
            confirmed += count.getKey() >= revision ? count.getValue() : 0;
        }
        List<FollowerReport.Behind> behind = new ArrayList<>();
        for (FollowerReport.Behind one : report.behind()) {
            if (one.revision() < revision) {
                behind.add(
                        new FollowerReport.Behind(
                                one.follower(), one.revision(), one.sinceMs() + age));
            }
        }
        return new Zone(
                report.zone(), report.distributor(), age, report.followers(), confirmed, behind);
    }
}

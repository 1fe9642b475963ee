package saltstage.coordinator.configuration;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The newest report of each distributor for each zone whose followers it serves; after a failover a
 * distributor also serves followers of other zones. The reports are soft state of the leader: a new
 * leader begins with none. Their number is bounded, and the oldest report is evicted. Not thread
 * safe.
 */
public final class FollowerReports {
    /** The maximum number of reports that are kept. */
    static final int MAX_REPORTS = 100;

    /** A distributor's last report on a zone, evaluated against the requested revision. */
    public record Zone(
            String zone,
            String distributor,
            long reportAgeMs,
            int followers,
            int confirmed,
            List<FollowerReport.Behind> behind) {}

    private record ReceivedReport(FollowerReport report, long receivedAtMs) {}

    /** Identifies a report; sorted by zone, and by distributor within a zone. */
    private record ReportKey(String zone, String distributor) {
        static final Comparator<ReportKey> ORDER =
                Comparator.comparing(ReportKey::zone).thenComparing(ReportKey::distributor);
    }

    private final Map<ReportKey, ReceivedReport> reports = new TreeMap<>(ReportKey.ORDER);

    /**
     * Replaces the distributor's last report on that zone; {@code nowMs} is read from any monotonic
     * clock.
     */
    public void update(FollowerReport report, long nowMs) {
        reports.put(
                new ReportKey(report.zone(), report.distributor()),
                new ReceivedReport(report, nowMs));
        if (reports.size() > MAX_REPORTS) {
            reports.entrySet().stream()
                    .min(
                            Map.Entry.comparingByValue(
                                    (one, other) ->
                                            Long.compare(one.receivedAtMs(), other.receivedAtMs())))
                    .ifPresent(oldest -> reports.remove(oldest.getKey()));
        }
    }

    /** Evaluates all reports against a revision; reports of any age are included with their age. */
    public List<Zone> zones(long revision, long nowMs) {
        List<Zone> zones = new ArrayList<>();
        reports.values().forEach(received -> zones.add(toZone(received, revision, nowMs)));
        return zones;
    }

    private static Zone toZone(ReceivedReport received, long revision, long nowMs) {
        FollowerReport report = received.report();
        long ageMs = nowMs - received.receivedAtMs();
        int confirmed = 0;
        for (Map.Entry<Long, Integer> count : report.confirmedByRevision().entrySet()) {
            confirmed += count.getKey() >= revision ? count.getValue() : 0;
        }
        List<FollowerReport.Behind> behind = new ArrayList<>();
        for (FollowerReport.Behind lagging : report.behind()) {
            if (lagging.revision() < revision) {
                behind.add(
                        new FollowerReport.Behind(
                                lagging.follower(), lagging.revision(), lagging.sinceMs() + ageMs));
            }
        }
        return new Zone(
                report.zone(), report.distributor(), ageMs, report.followers(), confirmed, behind);
    }
}

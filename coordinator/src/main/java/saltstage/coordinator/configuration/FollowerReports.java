package saltstage.coordinator.configuration;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The newest report of each distributor for each zone whose followers it serves: at a fail-over
 * that is not only its own. Soft state of whoever leads: a new leader begins with none. Bounded:
 * where there are too many reports, the one that came longest ago is forgotten. Not thread safe.
 */
public final class FollowerReports {
    /** Most reports that are kept. */
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

    /** Reports in the order of zones, and of distributors within a zone. */
    private record Key(String zone, String distributor) {
        static final Comparator<Key> ORDER =
                Comparator.comparing(Key::zone).thenComparing(Key::distributor);
    }

    private final Map<Key, Received> received = new TreeMap<>(Key.ORDER);

    /**
     * Takes a report in place of the distributor's last one for that zone; {@code nowMs} is any
     * monotonic clock.
     */
    public void take(FollowerReport report, long nowMs) {
        received.put(new Key(report.zone(), report.distributor()), new Received(report, nowMs));
        if (received.size() > MOST) {
            received.entrySet().stream()
                    .min(
                            Map.Entry.comparingByValue(
                                    (one, other) -> Long.compare(one.atMs(), other.atMs())))
                    .ifPresent(oldest -> received.remove(oldest.getKey()));
        }
    }

    /** All zones against this revision; a report of any age is shown, with its age. */
    public List<Zone> zones(long revision, long nowMs) {
        List<Zone> zones = new ArrayList<>();
        received.values().forEach(one -> zones.add(zone(one, revision, nowMs)));
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

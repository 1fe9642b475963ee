package saltstage.coordinator.distribution;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;

/**
 * Decides which zones are due for a report: zones whose counts have changed since their last
 * report, and all others at a fixed interval. Times are milliseconds of any monotonic clock. Not
 * thread safe.
 */
final class ReportSchedule {
    /** The interval, in milliseconds, between reports on a zone whose counts do not change. */
    static final long UNCHANGED_REPORT_INTERVAL_MS = 10_000;

    private record LastReport(
            long revision, SortedMap<Long, Integer> confirmedByRevision, long reportedAtMs) {}

    private final Map<String, LastReport> lastReportByZone = new HashMap<>();

    /** Returns the zones that are due for a report now. */
    List<ZoneConfirmations> dueZones(List<ZoneConfirmations> zones, long nowMs) {
        return zones.stream().filter(zone -> isDue(zone, nowMs)).toList();
    }

    private boolean isDue(ZoneConfirmations zone, long nowMs) {
        LastReport last = lastReportByZone.get(zone.zone());
        return last == null
                || last.revision() != zone.revision()
                || !last.confirmedByRevision().equals(zone.confirmedByRevision())
                || nowMs - last.reportedAtMs() >= UNCHANGED_REPORT_INTERVAL_MS;
    }

    /** Records that the leader has accepted the report on this zone. */
    void markReported(ZoneConfirmations zone, long nowMs) {
        lastReportByZone.put(
                zone.zone(), new LastReport(zone.revision(), zone.confirmedByRevision(), nowMs));
    }

    /** Makes all zones due again, because a new leader may have no reports. */
    void reset() {
        lastReportByZone.clear();
    }
}

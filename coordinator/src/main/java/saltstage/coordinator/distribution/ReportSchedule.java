package saltstage.coordinator.distribution;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;

/**
 * Which zones are to be reported: those whose counts have changed since they were last reported,
 * and the others now and then. Times are milliseconds of any monotonic clock. Not thread safe.
 */
final class ReportSchedule {
    /** A zone whose counts do not change is reported after so long, in milliseconds. */
    static final long UNCHANGED_REPORT_INTERVAL_MS = 10_000;

    private record LastReport(
            long revision, SortedMap<Long, Integer> confirmedByRevision, long reportedAtMs) {}

    private final Map<String, LastReport> lastReportByZone = new HashMap<>();

    /** Those of these that are to be reported now. */
    List<ZoneConfirmations> dueZones(List<ZoneConfirmations> all, long nowMs) {
        return all.stream().filter(one -> isDue(one, nowMs)).toList();
    }

    private boolean isDue(ZoneConfirmations zone, long nowMs) {
        LastReport last = lastReportByZone.get(zone.zone());
        return last == null
                || last.revision() != zone.revision()
                || !last.confirmedByRevision().equals(zone.confirmedByRevision())
                || nowMs - last.reportedAtMs() >= UNCHANGED_REPORT_INTERVAL_MS;
    }

    /** The leader has taken this one. */
    void markReported(ZoneConfirmations zone, long nowMs) {
        lastReportByZone.put(
                zone.zone(), new LastReport(zone.revision(), zone.confirmedByRevision(), nowMs));
    }

    /** Another leader may know nothing: all is to be reported anew. */
    void reset() {
        lastReportByZone.clear();
    }
}

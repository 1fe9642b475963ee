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
    static final long QUIET_MS = 10_000;

    private record Reported(
            long revision, SortedMap<Long, Integer> confirmedByRevision, long atMs) {}

    private final Map<String, Reported> byZone = new HashMap<>();

    /** Those of these that are to be reported now. */
    List<ZoneConfirmations> due(List<ZoneConfirmations> all, long nowMs) {
        return all.stream().filter(one -> isDue(one, nowMs)).toList();
    }

    private boolean isDue(ZoneConfirmations zone, long nowMs) {
        Reported last = byZone.get(zone.zone());
        return last == null
                || last.revision() != zone.revision()
                || !last.confirmedByRevision().equals(zone.confirmedByRevision())
                || nowMs - last.atMs() >= QUIET_MS;
    }

    /** The leader has taken this one. */
    void reported(ZoneConfirmations zone, long nowMs) {
        byZone.put(zone.zone(), new Reported(zone.revision(), zone.confirmedByRevision(), nowMs));
    }

    /** Another leader may know nothing: all is to be reported anew. */
    void reset() {
        byZone.clear();
    }
}

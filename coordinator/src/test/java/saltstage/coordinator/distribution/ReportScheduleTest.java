package saltstage.coordinator.distribution;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** Tests when zones are due for a report to the leader. */
class ReportScheduleTest {
    private final ReportSchedule schedule = new ReportSchedule();

    private static ZoneConfirmations zone(String name, int confirmed) {
        return new ZoneConfirmations(
                name, 7, new TreeMap<>(Map.of(7L, confirmed)), confirmed, List.of(), List.of());
    }

    @Test
    void changedZonesAreDueAtOnceAndOthersPeriodically() {
        ZoneConfirmations quiet = zone("a1", 3);
        ZoneConfirmations busy = zone("a2", 5);
        assertEquals(List.of(quiet, busy), schedule.dueZones(List.of(quiet, busy), 0));
        schedule.markReported(quiet, 0);
        assertEquals(
                List.of(busy),
                schedule.dueZones(List.of(quiet, busy), 1_000),
                "the leader has not accepted this report yet");
        schedule.markReported(busy, 1_000);

        ZoneConfirmations changed = zone("a2", 6);
        assertEquals(List.of(changed), schedule.dueZones(List.of(quiet, changed), 2_000));
        schedule.markReported(changed, 2_000);
        assertEquals(List.of(), schedule.dueZones(List.of(quiet, changed), 9_999));
        assertEquals(List.of(quiet), schedule.dueZones(List.of(quiet, changed), 10_000));

        schedule.reset();
        assertEquals(List.of(quiet, changed), schedule.dueZones(List.of(quiet, changed), 10_001));
    }
}

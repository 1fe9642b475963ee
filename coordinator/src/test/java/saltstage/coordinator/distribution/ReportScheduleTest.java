package saltstage.coordinator.distribution;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** When zones are reported to the leader. */
class ReportScheduleTest {
    private final ReportSchedule schedule = new ReportSchedule();

    private static ZoneConfirmations zone(String name, int confirmed) {
        return new ZoneConfirmations(
                name, 7, new TreeMap<>(Map.of(7L, confirmed)), confirmed, List.of(), List.of());
    }

    @Test
    void changedCountsAtOnceAndTheOthersNowAndThen() {
        ZoneConfirmations quiet = zone("a1", 3);
        ZoneConfirmations busy = zone("a2", 5);
        assertEquals(List.of(quiet, busy), schedule.due(List.of(quiet, busy), 0));
        schedule.reported(quiet, 0);
        assertEquals(List.of(busy), schedule.due(List.of(quiet, busy), 1_000), "not yet taken");
        schedule.reported(busy, 1_000);

        ZoneConfirmations changed = zone("a2", 6);
        assertEquals(List.of(changed), schedule.due(List.of(quiet, changed), 2_000));
        schedule.reported(changed, 2_000);
        assertEquals(List.of(), schedule.due(List.of(quiet, changed), 9_999));
        assertEquals(List.of(quiet), schedule.due(List.of(quiet, changed), 10_000));

        schedule.reset();
        assertEquals(List.of(quiet, changed), schedule.due(List.of(quiet, changed), 10_001));
    }
}

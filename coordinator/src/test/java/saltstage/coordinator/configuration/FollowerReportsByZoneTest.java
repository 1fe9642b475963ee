package saltstage.coordinator.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * Tests the reports of a distributor that serves followers of several zones. A distributor that
 * took over another zone's followers must not replace the report on its own zone by that on the
 * other.
 */
class FollowerReportsByZoneTest {
    private final FollowerReports reports = new FollowerReports();

    private void report(String distributor, String zone, int followers, long nowMs) {
        reports.update(
                new FollowerReport(
                        distributor, zone, 7, Map.of(7L, followers), followers, List.of()),
                nowMs);
    }

    @Test
    void reportOnAnotherZoneDoesNotReplaceTheDistributorsOwn() {
        report("d-a2", "a2", 5, 0);
        report("d-a2", "a1", 3, 0); // followers of a1 whose distributor has failed
        report("d-a1", "a1", 0, 500);
        report("d-a2", "a2", 6, 1_000);
        List<FollowerReports.Zone> zones = reports.zones(7, 2_000);
        assertEquals(
                List.of("a1 d-a1 0", "a1 d-a2 3", "a2 d-a2 6"),
                zones.stream()
                        .map(
                                zone ->
                                        zone.zone()
                                                + " "
                                                + zone.distributor()
                                                + " "
                                                + zone.confirmed())
                        .toList());
        assertEquals(1_000, zones.get(2).reportAgeMs());
    }
}

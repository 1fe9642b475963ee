package saltstage.coordinator.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.Collections;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import saltstage.coordinator.configuration.FollowerReport.Behind;

/** Tests how the leader evaluates the distributors' reports on their followers. */
class FollowerReportsTest {
    private static FollowerReport report(String distributor, List<Behind> behind) {
        return new FollowerReport(distributor, "a1", 8, Map.of(8L, 190, 7L, 5), 195, behind);
    }

    @Test
    void countsFollowersAtTheRevisionOrLaterAndAdvancesAges() {
        FollowerReports reports = new FollowerReports();
        reports.update(report("d1", List.of(new Behind("r7", 7, 400))), 1_000);
        FollowerReports.Zone atRevision8 = reports.zones(8, 41_000).get(0);
        assertEquals(190, atRevision8.confirmed());
        assertEquals(40_000, atRevision8.reportAgeMs());
        assertEquals(List.of(new Behind("r7", 7, 40_400)), atRevision8.behind());
        FollowerReports.Zone atRevision7 = reports.zones(7, 41_000).get(0);
        assertEquals(195, atRevision7.confirmed());
        assertEquals(List.of(), atRevision7.behind());
    }

    @Test
    void reportsAreBoundedAndTheOldestIsEvicted() {
        FollowerReports reports = new FollowerReports();
        for (int i = 0; i <= FollowerReports.MAX_REPORTS; i++) {
            reports.update(report("d" + i, List.of()), i);
        }
        List<FollowerReports.Zone> zones = reports.zones(8, 5_000);
        assertEquals(FollowerReports.MAX_REPORTS, zones.size());
        assertEquals(0, zones.stream().filter(zone -> zone.distributor().equals("d0")).count());
    }

    @Test
    void oversizedOrNegativeReportIsInvalid() {
        assertNull(report("d1", List.of()).validationError());
        assertNotNull(report("", List.of()).validationError());
        assertNotNull(report("d1", List.of(new Behind("r", -1, 0))).validationError());
        assertNotNull(
                report("d1", Collections.nCopies(101, new Behind("r", 1, 0))).validationError());
    }
}

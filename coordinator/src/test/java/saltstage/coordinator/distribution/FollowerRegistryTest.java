package saltstage.coordinator.distribution;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import saltstage.coordinator.configuration.FollowerReport;

/** Tests the counts of followers by revision, and which followers are behind or silent. */
class FollowerRegistryTest {
    private static final long SILENT_AFTER_MS = 10_000;

    private final FollowerRegistry registry = new FollowerRegistry(SILENT_AFTER_MS);

    private ZoneConfirmations zone(String name, long nowMs) {
        return registry.reports(nowMs).stream()
                .filter(report -> report.zone().equals(name))
                .findFirst()
                .orElseThrow();
    }

    @Test
    void reportsWhichFollowersAreBehindAndForHowLong() {
        registry.advance(7, 0);
        registry.confirm("relay-1", "a1", 7, 100);
        registry.confirm("relay-2", "a1", 7, 100);
        registry.advance(8, 1_000);
        registry.advance(9, 2_000);
        registry.confirm("relay-1", "a1", 9, 2_500);

        ZoneConfirmations report = zone("a1", 3_000);
        assertEquals(Map.of(7L, 1, 9L, 1), report.confirmedByRevision());
        assertEquals(2, report.followers());
        assertEquals(
                List.of(new FollowerReport.Behind("relay-2", 7, 2_000)),
                report.behind(),
                "behind since revision 8 became known");
    }

    @Test
    void newFollowerIsBehindOnlySinceItsFirstRequest() {
        registry.advance(5, 0);
        registry.confirm("relay-1", "a1", 0, 60_000);
        assertEquals(
                List.of(new FollowerReport.Behind("relay-1", 0, 250)), zone("a1", 60_250).behind());
    }

    @Test
    void unverifiedRequestKeepsTheConfirmedRevision() {
        registry.advance(5, 0);
        registry.confirm("relay-1", "a1", 4, 0);
        registry.recordUnverifiedRequest("relay-1", "a1", SILENT_AFTER_MS);
        registry.sweep(SILENT_AFTER_MS + 1);
        assertEquals(Map.of(4L, 1), zone("a1", SILENT_AFTER_MS + 1).confirmedByRevision());
    }

    @Test
    void silentFollowerIsNamedButNotCountedUntilItsNextRequest() {
        registry.advance(5, 0);
        registry.confirm("relay-1", "a1", 5, 0);
        registry.confirm("relay-2", "a1", 5, 6_000);
        registry.sweep(SILENT_AFTER_MS);
        assertEquals(2, zone("a1", SILENT_AFTER_MS).followers());

        registry.sweep(SILENT_AFTER_MS + 1);
        ZoneConfirmations report = zone("a1", SILENT_AFTER_MS + 1);
        assertEquals(1, report.followers());
        assertEquals(Map.of(5L, 1), report.confirmedByRevision());
        assertEquals(
                List.of(new ZoneConfirmations.Silent("relay-1", 5, SILENT_AFTER_MS + 1)),
                report.silent());

        registry.confirm("relay-1", "a1", 5, SILENT_AFTER_MS + 2);
        report = zone("a1", SILENT_AFTER_MS + 2);
        assertEquals(2, report.followers());
        assertEquals(List.of(), report.silent());

        registry.sweep(FollowerRegistry.SILENT_RETENTION_MS + 2 * SILENT_AFTER_MS);
        assertEquals(0, registry.size());
    }

    @Test
    void namesAtMostAHundredFollowersLongestBehindFirst() {
        registry.advance(1, 0);
        for (int i = 0; i < 300; i++) {
            registry.confirm("relay-" + i, "a1", i == 299 ? 0 : 1, 0);
        }
        registry.advance(2, 500);
        List<FollowerReport.Behind> behind = zone("a1", 1_000).behind();
        assertEquals(FollowerReport.MAX_NAMED_FOLLOWERS, behind.size());
        assertEquals(new FollowerReport.Behind("relay-299", 0, 1_000), behind.get(0));
        assertEquals(500, behind.get(1).sinceMs());
    }

    @Test
    void countsAgreeWithASimpleModelOverRandomRequests() {
        Random random = new Random(42);
        Map<String, Map<String, Long>> model = new TreeMap<>();
        for (int i = 0; i < 5_000; i++) {
            registry.advance(i / 100, i);
            String name = "relay-" + random.nextInt(50);
            String zone = "zone-" + random.nextInt(3);
            long revision = random.nextInt(1 + i / 100);
            registry.confirm(name, zone, revision, i);
            model.values().forEach(followers -> followers.remove(name));
            model.computeIfAbsent(zone, any -> new TreeMap<>()).put(name, revision);
        }
        registry.sweep(5_000);
        model.forEach(
                (zone, followers) -> {
                    Map<Long, Integer> counts = new TreeMap<>();
                    followers.values().forEach(revision -> counts.merge(revision, 1, Integer::sum));
                    assertEquals(counts, zone(zone, 5_000).confirmedByRevision());
                    assertEquals(followers.size(), zone(zone, 5_000).followers());
                });
        assertTrue(registry.size() <= 50);
    }
}

package saltstage.lab.scale;

import java.time.Duration;
import java.util.List;

/** Four zones in two regions, and how late a message is from one to another. */
final class Topology {
    /** Between two zones of a region. */
    static final Duration DELAY_WITHIN_REGION = Duration.ofMillis(1);

    /** Between the regions. */
    static final Duration DELAY_BETWEEN_REGIONS = Duration.ofMillis(15);

    /** A zone; its distributor has the zone's name after {@code d-}. */
    enum Zone {
        A1("a"),
        A2("a"),
        B1("b"),
        B2("b");

        private final String region;

        Zone(String region) {
            this.region = region;
        }

        String lowerCaseName() {
            return name().toLowerCase(java.util.Locale.ROOT);
        }

        boolean isInSameRegionAs(Zone other) {
            return region.equals(other.region);
        }

        /** The zones as this one prefers them: itself, the other of its region, the others. */
        List<Zone> zonesByPreference() {
            return List.of(values()).stream()
                    .sorted(
                            java.util.Comparator.comparing((Zone other) -> other != this)
                                    .thenComparing(other -> !other.isInSameRegionAs(this)))
                    .toList();
        }
    }

    /** The zones of the five replicas: two and one in region a, one and one in region b. */
    static final List<Zone> REPLICA_ZONES = List.of(Zone.A1, Zone.A1, Zone.A2, Zone.B1, Zone.B2);

    private Topology() {}

    /** How late a message from one zone is in another. */
    static Duration delay(Zone from, Zone to) {
        if (from == to) {
            return Duration.ZERO;
        }
        return from.isInSameRegionAs(to) ? DELAY_WITHIN_REGION : DELAY_BETWEEN_REGIONS;
    }
}

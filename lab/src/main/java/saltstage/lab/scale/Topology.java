package saltstage.lab.scale;

import java.time.Duration;
import java.util.List;

/** Four zones in two regions, and the delay of a message from one zone to another. */
final class Topology {
    /** Delay between two zones of the same region. */
    static final Duration DELAY_WITHIN_REGION = Duration.ofMillis(1);

    /** Delay between two zones of different regions. */
    static final Duration DELAY_BETWEEN_REGIONS = Duration.ofMillis(15);

    /** A zone. The name of its distributor is {@code d-} followed by the name of the zone. */
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

        /** All zones in order of preference: this zone, the other of its region, then the rest. */
        List<Zone> zonesByPreference() {
            return List.of(values()).stream()
                    .sorted(
                            java.util.Comparator.comparing((Zone other) -> other != this)
                                    .thenComparing(other -> !other.isInSameRegionAs(this)))
                    .toList();
        }
    }

    /**
     * The zones of the five replicas: two replicas in A1 and one in A2 of region a, one in each
     * zone of region b.
     */
    static final List<Zone> REPLICA_ZONES = List.of(Zone.A1, Zone.A1, Zone.A2, Zone.B1, Zone.B2);

    private Topology() {}

    /** The delay of a message from one zone to another. */
    static Duration delay(Zone from, Zone to) {
        if (from == to) {
            return Duration.ZERO;
        }
        return from.isInSameRegionAs(to) ? DELAY_WITHIN_REGION : DELAY_BETWEEN_REGIONS;
    }
}

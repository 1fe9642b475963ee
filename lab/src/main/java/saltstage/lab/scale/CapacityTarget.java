package saltstage.lab.scale;

/** The size that is to be carried, and the budgets, as {@code docs/CAPACITY.md} defines them. */
final class CapacityTarget {
    static final double RELAYS = 780;
    static final double CONNECTIONS_PER_RELAY = 87_000;
    static final double SHARDS = 59_000;
    static final double SHARDS_PER_RELAY = 76;
    static final double DELIVERIES_PER_SECOND_PER_RELAY = 6_700;
    static final double ZONES = 4;
    static final double CHANGES_PER_SECOND = 4_200 / 86_400.0;

    /** Changes of a burst: 200 within a minute. */
    static final double BURST_CHANGES_PER_SECOND = 200 / 60.0;

    static final double MAX_PROPAGATION_SECONDS = 9;
    static final double MAX_DELIVERY_P99_MS = 110;

    /** Clients of a lost zone that come back to one of the others' relays. */
    static final double RECONNECTING_CLIENTS_PER_RELAY = 17_000_000 / 585.0;

    /** Within how long they are taken here; the size's owner says "within seconds". */
    static final double RECONNECT_SECONDS = 60;

    /** A lease is renewed so often, in seconds: a quarter of a span of 14 s. */
    static final double LEASE_RENEWAL_INTERVAL_SECONDS = 3.5;

    static final double CONTROL_PROCESSOR_SHARE = 0.025;
    static final double CONTROL_MEGABYTES = 64;
    static final double CONTROL_BYTES_PER_SECOND = 2_000;

    /** What a relay has on the whole as it is deployed today. */
    static final double RELAY_MEGABYTES = 192;

    static final double ONE_CORE_PROCESSOR_SHARE = 1;

    /**
     * Bounds of our own, where the target gives none: a control machine's memory and a link between
     * two.
     */
    static final double CONTROL_MACHINE_MEGABYTES = 1_000;

    static final double CONTROL_LINK_BYTES_PER_SECOND = 1_000_000;

    /**
     * A whole zone's relays take a snapshot each within 9 s over a link of 10 Gbit/s, half used.
     */
    static final double MAX_SNAPSHOT_BYTES = 9 * 625_000_000.0 / 195;

    private CapacityTarget() {}
}

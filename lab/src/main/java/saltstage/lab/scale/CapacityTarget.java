package saltstage.lab.scale;

/** The target size of an installation and the budgets, as defined in {@code docs/CAPACITY.md}. */
final class CapacityTarget {
    static final double RELAYS = 780;
    static final double CONNECTIONS_PER_RELAY = 87_000;
    static final double SHARDS = 59_000;
    static final double SHARDS_PER_RELAY = 76;
    static final double DELIVERIES_PER_SECOND_PER_RELAY = 6_700;
    static final double ZONES = 4;
    static final double CHANGES_PER_SECOND = 4_200 / 86_400.0;

    /** A burst is 200 changes within a minute. */
    static final double BURST_CHANGES_PER_SECOND = 200 / 60.0;

    static final double MAX_PROPAGATION_SECONDS = 9;
    static final double MAX_DELIVERY_P99_MS = 110;

    /** Clients of a lost zone that reconnect to each relay of the other zones. */
    static final double RECONNECTING_CLIENTS_PER_RELAY = 17_000_000 / 585.0;

    /** Time within which the clients reconnect; the target itself only says "within seconds". */
    static final double RECONNECT_SECONDS = 60;

    /** A lease is renewed after a quarter of its duration of 14 s. */
    static final double LEASE_RENEWAL_INTERVAL_SECONDS = 3.5;

    static final double CONTROL_PROCESSOR_SHARE = 0.025;
    static final double CONTROL_MEGABYTES = 64;
    static final double CONTROL_BYTES_PER_SECOND = 2_000;

    /** Total memory of a relay as it is deployed today. */
    static final double RELAY_MEGABYTES = 192;

    static final double ONE_CORE_PROCESSOR_SHARE = 1;

    /**
     * Memory of a control machine. The target gives no bound for it, nor for the link between two
     * control machines below, so both bounds are set here.
     */
    static final double CONTROL_MACHINE_MEGABYTES = 1_000;

    static final double CONTROL_LINK_BYTES_PER_SECOND = 1_000_000;

    /**
     * Largest snapshot with which all 195 relays of a zone can each fetch one within 9 s over a
     * link of 10 Gbit/s that is half used.
     */
    static final double MAX_SNAPSHOT_BYTES = 9 * 625_000_000.0 / 195;

    private CapacityTarget() {}
}

package saltstage.lab.scale;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import saltstage.lab.scale.CapacityRequirement.Estimate;
import saltstage.lab.scale.CapacityRequirement.Extrapolation;
import saltstage.lab.scale.CapacityRequirement.MeasuredFigure;
import saltstage.lab.scale.CapacityRequirement.MeasuredLimit;

/** Defines all rows of the capacity page, by role. */
final class CapacityRequirements {
    private static final double SECONDS_PER_MILLI = 1e-3;
    private static final double MAX_THREADS = 32_768;
    private static final String ENTRIES = "entries";
    private static final String SIMULATED_RELAYS = "hollow relays";
    private static final String CONNECTIONS = "connections";
    private static final String COMMANDS_PER_SECOND = "commands a second";
    private static final String CONTROL_BYTES_PER_SECOND = "control bytes a second";
    private static final String CONTROL_PROCESSOR = "control processor share";
    private static final String CONTROL_MEMORY = "control memory in MB";
    private static final String LEADER_PROCESSOR = "leader's processor share";
    private static final String FIFTY_FOLD_CHANGES = ", 50 times the changes";

    private CapacityRequirements() {}

    /** Returns all rows. */
    static List<CapacityRequirement> all() {
        List<CapacityRequirement> rows = new ArrayList<>();
        rows.addAll(fullLists());
        rows.addAll(changedEntries());
        rows.addAll(connections());
        rows.addAll(connectionSetups());
        rows.addAll(deliveries());
        rows.addAll(renewals());
        rows.addAll(leases());
        rows.addAll(relaysByRevision());
        rows.addAll(relaysByRevisionChanging());
        rows.addAll(realRelays());
        rows.addAll(distribution());
        rows.addAll(snapshots());
        rows.addAll(controlMemory());
        rows.addAll(otherRoles());
        return rows;
    }

    private static List<CapacityRequirement> fullLists() {
        String role = "relay, whole lists";
        Extrapolation bytes =
                Extrapolation.of("list", "whole_bytes_per_change", ENTRIES, CapacityTarget.SHARDS);
        Extrapolation processor =
                Extrapolation.of(
                        "list", "whole_processor_ms_per_change", ENTRIES, CapacityTarget.SHARDS);
        return List.of(
                CapacityRequirement.of(
                                role,
                                CONTROL_BYTES_PER_SECOND,
                                bytes.multipliedBy(CapacityTarget.CHANGES_PER_SECOND))
                        .withBudget(
                                CapacityTarget.CONTROL_BYTES_PER_SECOND, "wire.DiscoveryClient"),
                CapacityRequirement.of(
                                role,
                                CONTROL_PROCESSOR,
                                processor.multipliedBy(
                                        SECONDS_PER_MILLI * CapacityTarget.CHANGES_PER_SECOND))
                        .withBudget(CapacityTarget.CONTROL_PROCESSOR_SHARE, "wire.BackendList"),
                CapacityRequirement.of(
                                role, "entries that it follows", followedEntries("whole_followed"))
                        .withImplementation("wire.DiscoveryClient"));
    }

    private static List<CapacityRequirement> changedEntries() {
        String role = "relay, changed entries";
        Extrapolation bytes =
                Extrapolation.of(
                        "list", "changed_bytes_per_change", ENTRIES, CapacityTarget.SHARDS);
        Extrapolation processor =
                Extrapolation.of(
                        "list", "changed_processor_ms_per_change", ENTRIES, CapacityTarget.SHARDS);
        Extrapolation memory =
                Extrapolation.of("list", "changed_resident_mb", ENTRIES, CapacityTarget.SHARDS);
        return List.of(
                CapacityRequirement.of(
                                role,
                                CONTROL_BYTES_PER_SECOND,
                                bytes.multipliedBy(CapacityTarget.CHANGES_PER_SECOND))
                        .withBudget(
                                CapacityTarget.CONTROL_BYTES_PER_SECOND, "wire.DiscoveryClient"),
                CapacityRequirement.of(
                                role,
                                CONTROL_PROCESSOR,
                                processor.multipliedBy(
                                        SECONDS_PER_MILLI * CapacityTarget.CHANGES_PER_SECOND))
                        .withBudget(CapacityTarget.CONTROL_PROCESSOR_SHARE, "wire.BackendList"),
                CapacityRequirement.of(role, CONTROL_MEMORY, memory.withoutIntercept())
                        .withBudget(
                                CapacityTarget.CONTROL_MEGABYTES,
                                "session.BackendRegistry, LoadBalancer"),
                CapacityRequirement.of(
                                role,
                                "entries that it follows",
                                followedEntries("changed_followed"))
                        .withImplementation("wire.DiscoveryClient"),
                CapacityRequirement.of(
                                role,
                                "entries, with load asked for",
                                followedEntries("probing_followed"))
                        .withImplementation("stage.BackendProber, session.BackendRegistry"));
    }

    private static MeasuredLimit followedEntries(String figure) {
        return new MeasuredLimit(maxQuantity("list", figure), CapacityTarget.SHARDS);
    }

    /** Reads the largest quantity of a run at which a figure was 1. */
    private static Function<MeasuredData, Double> maxQuantity(String run, String figure) {
        return data -> data.maxQuantity(run, figure, 1).orElse(Double.NaN);
    }

    private static List<CapacityRequirement> connections() {
        String role = "relay, data path";
        double target = CapacityTarget.CONNECTIONS_PER_RELAY;
        Extrapolation memory = Extrapolation.of("connections", "resident_mb", CONNECTIONS, target);
        Extrapolation threads = Extrapolation.of("connections", "threads", CONNECTIONS, target);
        Extrapolation quiet =
                Extrapolation.of("connections", "quiet_processor_share", CONNECTIONS, target);
        MeasuredLimit reached = new MeasuredLimit(maxValue("connections", "reached"), target);
        return List.of(
                CapacityRequirement.of(role, "memory in MB", memory)
                        .withBudget(
                                CapacityTarget.RELAY_MEGABYTES,
                                "stage.LineForwarder, stage.Threads"),
                CapacityRequirement.of(role, "threads", threads)
                        .withBudget(MAX_THREADS, "stage.Threads"),
                CapacityRequirement.of(role, "connections, deployed flags", reached)
                        .withImplementation("stage.AdmissionControl (heap of 48 MB)"),
                CapacityRequirement.of(
                                "relay, control", "processor share, quiet connections", quiet)
                        .withBudget(
                                CapacityTarget.CONTROL_PROCESSOR_SHARE, "lifecycle.RelayServer"));
    }

    private static List<CapacityRequirement> connectionSetups() {
        double reconnectsPerSecond =
                CapacityTarget.RECONNECTING_CLIENTS_PER_RELAY / CapacityTarget.RECONNECT_SECONDS;
        MeasuredLimit setupRate =
                new MeasuredLimit(maxValue("connections", "set_ups_per_s"), reconnectsPerSecond);
        return List.of(
                CapacityRequirement.of(
                                "relay, data path",
                                "set-ups a second, a zone back in a minute",
                                setupRate)
                        .withImplementation("stage.LineFrontend, stage.Router"));
    }

    private static List<CapacityRequirement> deliveries() {
        String role = "relay, data path";
        String rate = "deliveries a second";
        double target = CapacityTarget.DELIVERIES_PER_SECOND_PER_RELAY;
        Extrapolation processor = Extrapolation.of("deliveries", "processor_share", rate, target);
        return List.of(
                CapacityRequirement.of(role, "processor share of deliveries", processor)
                        .withBudget(CapacityTarget.ONE_CORE_PROCESSOR_SHARE, "stage.LineForwarder"),
                CapacityRequirement.of(
                                role,
                                "deliveries a second, p99 in 110 ms",
                                new MeasuredLimit(
                                        CapacityRequirements::maxInTimeDeliveryRate, target))
                        .withImplementation("stage.LineForwarder"));
    }

    private static double maxInTimeDeliveryRate(MeasuredData data) {
        return data.points("deliveries", "p99_ms").stream()
                .filter(point -> point.value() <= CapacityTarget.MAX_DELIVERY_P99_MS)
                .mapToDouble(LineFit.Point::quantity)
                .max()
                .orElse(Double.NaN);
    }

    private static List<CapacityRequirement> renewals() {
        double single = CapacityTarget.SHARDS / CapacityTarget.LEASE_RENEWAL_INTERVAL_SECONDS;
        double grouped = CapacityTarget.RELAYS / CapacityTarget.LEASE_RENEWAL_INTERVAL_SECONDS;
        String run = "renewals-grouped";
        Extrapolation leader =
                Extrapolation.of(run, "leader_processor_share", COMMANDS_PER_SECOND, grouped);
        return List.of(
                CapacityRequirement.of(
                                "replica, a lease a command",
                                COMMANDS_PER_SECOND,
                                achievedRateLimit("renewals", single))
                        .withImplementation("coordinator.replica, coordinator.lease"),
                CapacityRequirement.of(
                                "replica, 76 leases a command",
                                COMMANDS_PER_SECOND,
                                achievedRateLimit(run, grouped))
                        .withImplementation("coordinator.client.LeaseClient"),
                CapacityRequirement.of("replica, 76 leases a command", LEADER_PROCESSOR, leader)
                        .withBudget(
                                CapacityTarget.ONE_CORE_PROCESSOR_SHARE, "coordinator.replica"));
    }

    private static MeasuredLimit achievedRateLimit(String run, double target) {
        return new MeasuredLimit(data -> maxAchievedRate(data, run), target);
    }

    private static double maxAchievedRate(MeasuredData data, String run) {
        return data.points(run, "leader_processor_share").stream()
                .mapToDouble(LineFit.Point::quantity)
                .max()
                .orElse(Double.NaN);
    }

    private static Function<MeasuredData, Double> maxValue(String run, String figure) {
        return data -> data.maxValue(run, figure).orElse(Double.NaN);
    }

    private static List<CapacityRequirement> leases() {
        String role = "replica, all leases of one holder";
        String leases = "leases";
        Extrapolation leader =
                Extrapolation.of(leases, "leader_processor_share", leases, CapacityTarget.SHARDS);
        Extrapolation memory =
                Extrapolation.of(leases, "leader_resident_mb", leases, CapacityTarget.SHARDS);
        MeasuredLimit maxLeases =
                new MeasuredLimit(maxQuantity(leases, "renewed"), CapacityTarget.SHARDS);
        return List.of(
                CapacityRequirement.of(role, "leases in one command", maxLeases)
                        .withImplementation("coordinator.api (bodies up to 1 MiB)"),
                CapacityRequirement.of(role, LEADER_PROCESSOR, leader)
                        .withBudget(CapacityTarget.ONE_CORE_PROCESSOR_SHARE, "coordinator.lease"),
                CapacityRequirement.of(
                                "replica", "memory in MB for leases", memory.withoutIntercept())
                        .withBudget(CapacityTarget.CONTROL_MACHINE_MEGABYTES, "coordinator.lease"));
    }

    private static List<CapacityRequirement> relaysByRevision() {
        String role = "relay, by revision";
        MeasuredFigure bytes =
                MeasuredFigure.of("fleet", "quiet_relay_bytes_per_s", CapacityTarget.RELAYS);
        Extrapolation processor =
                Extrapolation.of("fleet", "quiet_hollow_processor_share", SIMULATED_RELAYS, 1);
        return List.of(
                CapacityRequirement.of(role, CONTROL_BYTES_PER_SECOND + ", quiet", bytes)
                        .withBudget(
                                CapacityTarget.CONTROL_BYTES_PER_SECOND, "configuration.follower"),
                CapacityRequirement.of(
                                role, CONTROL_PROCESSOR + ", quiet", processor.withoutIntercept())
                        .withBudget(
                                CapacityTarget.CONTROL_PROCESSOR_SHARE, "configuration.follower"));
    }

    private static List<CapacityRequirement> relaysByRevisionChanging() {
        String role = "relay, by revision";
        MeasuredFigure bytes =
                MeasuredFigure.of("fleet", "changing_relay_bytes_per_s", CapacityTarget.RELAYS);
        Extrapolation processor =
                Extrapolation.of("fleet", "changing_hollow_processor_share", SIMULATED_RELAYS, 1);
        MeasuredFigure maxSeconds =
                MeasuredFigure.of("fleet", "changing_everywhere_most_s", CapacityTarget.RELAYS);
        return List.of(
                CapacityRequirement.of(role, CONTROL_BYTES_PER_SECOND + FIFTY_FOLD_CHANGES, bytes)
                        .withBudget(
                                CapacityTarget.CONTROL_BYTES_PER_SECOND, "configuration.follower"),
                CapacityRequirement.of(
                                role,
                                CONTROL_PROCESSOR + FIFTY_FOLD_CHANGES,
                                processor.withoutIntercept())
                        .withBudget(
                                CapacityTarget.CONTROL_PROCESSOR_SHARE, "configuration.follower"),
                CapacityRequirement.of(
                                role,
                                "seconds to be in force everywhere, most" + FIFTY_FOLD_CHANGES,
                                maxSeconds)
                        .withBudget(
                                CapacityTarget.MAX_PROPAGATION_SECONDS,
                                "coordinator.distribution"));
    }

    /** Rows of complete relay processes that use a disk and probe 200 backends for their load. */
    private static List<CapacityRequirement> realRelays() {
        String role = "real relay, by revision";
        String resource = "processor share of the whole process";
        MeasuredFigure quiet = MeasuredFigure.of("real-relays", "quiet_real_processor_share", 3);
        MeasuredFigure changing =
                MeasuredFigure.of("real-relays", "changing_real_processor_share", 3);
        return List.of(
                CapacityRequirement.of(role, resource + ", quiet", quiet)
                        .withBudget(
                                CapacityTarget.CONTROL_PROCESSOR_SHARE, "lifecycle.RelayServer"),
                CapacityRequirement.of(role, resource + FIFTY_FOLD_CHANGES, changing)
                        .withBudget(
                                CapacityTarget.CONTROL_PROCESSOR_SHARE, "lifecycle.RelayServer"));
    }

    private static List<CapacityRequirement> distribution() {
        double relays = CapacityTarget.RELAYS;
        Extrapolation leader =
                Extrapolation.of(
                        "fleet", "changing_leader_processor_share", SIMULATED_RELAYS, relays);
        Extrapolation distributor =
                Extrapolation.of(
                        "fleet", "changing_distributor_processor_share", SIMULATED_RELAYS, relays);
        MeasuredFigure bytes =
                MeasuredFigure.of("fleet", "changing_distributor_bytes_per_s", relays);
        return List.of(
                CapacityRequirement.of("replica", LEADER_PROCESSOR + FIFTY_FOLD_CHANGES, leader)
                        .withBudget(
                                CapacityTarget.ONE_CORE_PROCESSOR_SHARE,
                                "coordinator.configuration"),
                CapacityRequirement.of(
                                "distributor", "processor share" + FIFTY_FOLD_CHANGES, distributor)
                        .withBudget(
                                CapacityTarget.ONE_CORE_PROCESSOR_SHARE,
                                "coordinator.distribution"),
                CapacityRequirement.of(
                                "distributor",
                                "bytes a second with replicas" + FIFTY_FOLD_CHANGES,
                                bytes)
                        .withBudget(
                                CapacityTarget.CONTROL_LINK_BYTES_PER_SECOND,
                                "coordinator.distribution"));
    }

    private static List<CapacityRequirement> snapshots() {
        String role = "relay, by revision";
        String run = "configuration";
        Extrapolation memory =
                Extrapolation.of(run, "follower_resident_mb", ENTRIES, CapacityTarget.SHARDS);
        Extrapolation bytes =
                Extrapolation.of(run, "snapshot_bytes", ENTRIES, CapacityTarget.SHARDS);
        Extrapolation seconds = Extrapolation.of(run, "snapshot_s", ENTRIES, CapacityTarget.SHARDS);
        return List.of(
                CapacityRequirement.of(role, CONTROL_MEMORY, memory.withoutIntercept())
                        .withBudget(
                                CapacityTarget.CONTROL_MEGABYTES,
                                "configuration.ConfigurationView"),
                CapacityRequirement.of(role, "bytes of a snapshot", bytes)
                        .withBudget(
                                CapacityTarget.MAX_SNAPSHOT_BYTES, "configuration.SnapshotPager"),
                CapacityRequirement.of(role, "seconds to take a snapshot", seconds)
                        .withBudget(
                                CapacityTarget.MAX_PROPAGATION_SECONDS,
                                "configuration.SnapshotPager"));
    }

    private static List<CapacityRequirement> controlMemory() {
        String resource = "memory in MB for configuration";
        String run = "configuration";
        Extrapolation leader =
                Extrapolation.of(run, "leader_resident_mb", ENTRIES, CapacityTarget.SHARDS);
        Extrapolation distributor =
                Extrapolation.of(run, "distributor_resident_mb", ENTRIES, CapacityTarget.SHARDS);
        double budget = CapacityTarget.CONTROL_MACHINE_MEGABYTES;
        return List.of(
                CapacityRequirement.of("replica", resource, leader.withoutIntercept())
                        .withBudget(budget, "coordinator.configuration"),
                CapacityRequirement.of("distributor", resource, distributor.withoutIntercept())
                        .withBudget(budget, "coordinator.distribution"));
    }

    private static List<CapacityRequirement> otherRoles() {
        Estimate agents = estimate("4 zones × 2 agents ÷ 1 s: a quarter of a lease of 4 s", 8);
        Estimate advisor = estimate("780 relays ÷ 10 s; that relays tell loads is not built", 78);
        Estimate operators = estimate("200 changes ÷ 60 s, in a burst", 200 / 60.0);
        return List.of(
                CapacityRequirement.of("agent", COMMANDS_PER_SECOND, agents)
                        .withImplementation("coordinator.agent"),
                CapacityRequirement.of("advisor", "load snapshots a second", advisor)
                        .withImplementation("coordinator.advice"),
                CapacityRequirement.of("operators' commands", COMMANDS_PER_SECOND, operators)
                        .withImplementation("coordinator.command"));
    }

    /** An estimate in commands a second, compared with the rate that the group achieved. */
    private static Estimate estimate(String arithmetic, double commandsPerSecond) {
        return new Estimate(
                arithmetic, commandsPerSecond, data -> maxAchievedRate(data, "renewals"));
    }
}

package saltstage.lab.scale;

import saltstage.lab.scale.Need.Estimate;
import saltstage.lab.scale.Need.Limit;
import saltstage.lab.scale.Need.Line;
import saltstage.lab.scale.Need.Measured;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;

/** All rows of the capacity page, by role. */
final class Needs {
    private static final double MS = 1e-3;
    private static final double THREADS = 32_768;
    private static final String ENTRIES = "entries";
    private static final String HOLLOW = "hollow relays";
    private static final String CONNECTIONS = "connections";
    private static final String COMMANDS = "commands a second";
    private static final String CONTROL_BYTES = "control bytes a second";
    private static final String CONTROL_PROCESSOR = "control processor share";
    private static final String CONTROL_MEMORY = "control memory in MB";
    private static final String LEADER_PROCESSOR = "leader's processor share";
    private static final String FIFTY_FOLD = ", 50 times the changes";

    private Needs() {}

    /** The rows. */
    static List<Need> all() {
        List<Need> rows = new ArrayList<>();
        rows.addAll(wholeLists());
        rows.addAll(changedEntries());
        rows.addAll(connections());
        rows.addAll(setUps());
        rows.addAll(deliveries());
        rows.addAll(renewals());
        rows.addAll(leases());
        rows.addAll(relaysByRevision());
        rows.addAll(relaysByRevisionChanging());
        rows.addAll(realRelays());
        rows.addAll(distribution());
        rows.addAll(snapshots());
        rows.addAll(controlMemory());
        rows.addAll(others());
        return rows;
    }

    private static List<Need> wholeLists() {
        String role = "relay, whole lists";
        Line bytes = Line.of("list", "whole_bytes_per_change", ENTRIES, Target.SHARDS);
        Line processor = Line.of("list", "whole_processor_ms_per_change", ENTRIES, Target.SHARDS);
        return List.of(
                Need.of(role, CONTROL_BYTES, bytes.times(Target.CHANGES_A_SECOND))
                        .within(Target.CONTROL_BYTES_A_SECOND, "wire.DiscoveryClient"),
                Need.of(role, CONTROL_PROCESSOR, processor.times(MS * Target.CHANGES_A_SECOND))
                        .within(Target.CONTROL_PROCESSOR_SHARE, "wire.HostList"),
                Need.of(role, "entries that it follows", followed("whole_followed"))
                        .carriedBy("wire.DiscoveryClient"));
    }

    private static List<Need> changedEntries() {
        String role = "relay, changed entries";
        Line bytes = Line.of("list", "changed_bytes_per_change", ENTRIES, Target.SHARDS);
        Line processor = Line.of("list", "changed_processor_ms_per_change", ENTRIES, Target.SHARDS);
        Line memory = Line.of("list", "changed_resident_mb", ENTRIES, Target.SHARDS);
        return List.of(
                Need.of(role, CONTROL_BYTES, bytes.times(Target.CHANGES_A_SECOND))
                        .within(Target.CONTROL_BYTES_A_SECOND, "wire.DiscoveryClient"),
                Need.of(role, CONTROL_PROCESSOR, processor.times(MS * Target.CHANGES_A_SECOND))
                        .within(Target.CONTROL_PROCESSOR_SHARE, "wire.HostList"),
                Need.of(role, CONTROL_MEMORY, memory.growthOnly())
                        .within(Target.CONTROL_MEGABYTES, "memory.Peers, Logic"),
                Need.of(role, "entries that it follows", followed("changed_followed"))
                        .carriedBy("wire.DiscoveryClient"),
                Need.of(role, "entries, with load asked for", followed("probing_followed"))
                        .carriedBy("stage.Probe, memory.Peers"));
    }

    private static Limit followed(String figure) {
        return new Limit(mostQuantity("list", figure), Target.SHARDS);
    }

    /** The largest quantity of a run at which a figure was 1. */
    private static Function<MeasuredData, Double> mostQuantity(String run, String figure) {
        return data -> data.mostQuantity(run, figure, 1).orElse(Double.NaN);
    }

    private static List<Need> connections() {
        String role = "relay, data path";
        double target = Target.CONNECTIONS_A_RELAY;
        Line memory = Line.of("connections", "resident_mb", CONNECTIONS, target);
        Line threads = Line.of("connections", "threads", CONNECTIONS, target);
        Line quiet = Line.of("connections", "quiet_processor_share", CONNECTIONS, target);
        Limit reached = new Limit(most("connections", "reached"), target);
        return List.of(
                Need.of(role, "memory in MB", memory)
                        .within(Target.RELAY_MEGABYTES, "stage.LineRelay, stage.Threads"),
                Need.of(role, "threads", threads).within(THREADS, "stage.Threads"),
                Need.of(role, "connections, deployed flags", reached)
                        .carriedBy("stage.Admit (heap of 48 MB)"),
                Need.of("relay, control", "processor share, quiet connections", quiet)
                        .within(Target.CONTROL_PROCESSOR_SHARE, "lifecycle.Program"));
    }

    private static List<Need> setUps() {
        double returning = Target.RETURNING_CLIENTS_A_RELAY / Target.RETURN_SECONDS;
        Limit setUps = new Limit(most("connections", "set_ups_per_s"), returning);
        return List.of(
                Need.of("relay, data path", "set-ups a second, a zone back in a minute", setUps)
                        .carriedBy("stage.TakeIn, stage.Route"));
    }

    private static List<Need> deliveries() {
        String role = "relay, data path";
        String rate = "deliveries a second";
        double target = Target.DELIVERIES_A_RELAY;
        Line processor = Line.of("deliveries", "processor_share", rate, target);
        return List.of(
                Need.of(role, "processor share of deliveries", processor)
                        .within(Target.ONE_CORE, "stage.LineRelay"),
                Need.of(
                                role,
                                "deliveries a second, p99 in 110 ms",
                                new Limit(Needs::inTime, target))
                        .carriedBy("stage.LineRelay"));
    }

    private static double inTime(MeasuredData data) {
        return data.points("deliveries", "p99_ms").stream()
                .filter(point -> point.value() <= Target.DELIVERY_P99_MS)
                .mapToDouble(LineFit.Point::quantity)
                .max()
                .orElse(Double.NaN);
    }

    private static List<Need> renewals() {
        double single = Target.SHARDS / Target.RENEWAL_SECONDS;
        double grouped = Target.RELAYS / Target.RENEWAL_SECONDS;
        String run = "renewals-grouped";
        Line leader = Line.of(run, "leader_processor_share", COMMANDS, grouped);
        return List.of(
                Need.of("replica, a lease a command", COMMANDS, carried("renewals", single))
                        .carriedBy("coordinator.replica, coordinator.lease"),
                Need.of("replica, 76 leases a command", COMMANDS, carried(run, grouped))
                        .carriedBy("coordinator.client.LeaseClient"),
                Need.of("replica, 76 leases a command", LEADER_PROCESSOR, leader)
                        .within(Target.ONE_CORE, "coordinator.replica"));
    }

    private static Limit carried(String run, double target) {
        return new Limit(data -> mostCarried(data, run), target);
    }

    private static double mostCarried(MeasuredData data, String run) {
        return data.points(run, "leader_processor_share").stream()
                .mapToDouble(LineFit.Point::quantity)
                .max()
                .orElse(Double.NaN);
    }

    private static Function<MeasuredData, Double> most(String run, String figure) {
        return data -> data.most(run, figure).orElse(Double.NaN);
    }

    private static List<Need> leases() {
        String role = "replica, all leases of one holder";
        String leases = "leases";
        Line leader = Line.of(leases, "leader_processor_share", leases, Target.SHARDS);
        Line memory = Line.of(leases, "leader_resident_mb", leases, Target.SHARDS);
        Limit taken = new Limit(mostQuantity(leases, "renewed"), Target.SHARDS);
        return List.of(
                Need.of(role, "leases in one command", taken)
                        .carriedBy("coordinator.api (bodies up to 1 MiB)"),
                Need.of(role, LEADER_PROCESSOR, leader)
                        .within(Target.ONE_CORE, "coordinator.lease"),
                Need.of("replica", "memory in MB for leases", memory.growthOnly())
                        .within(Target.CONTROL_MACHINE_MEGABYTES, "coordinator.lease"));
    }

    private static List<Need> relaysByRevision() {
        String role = "relay, by revision";
        Measured bytes = Measured.of("fleet", "quiet_relay_bytes_per_s", Target.RELAYS);
        Line processor = Line.of("fleet", "quiet_hollow_processor_share", HOLLOW, 1);
        return List.of(
                Need.of(role, CONTROL_BYTES + ", quiet", bytes)
                        .within(Target.CONTROL_BYTES_A_SECOND, "configuration.follower"),
                Need.of(role, CONTROL_PROCESSOR + ", quiet", processor.growthOnly())
                        .within(Target.CONTROL_PROCESSOR_SHARE, "configuration.follower"));
    }

    private static List<Need> relaysByRevisionChanging() {
        String role = "relay, by revision";
        Measured bytes = Measured.of("fleet", "changing_relay_bytes_per_s", Target.RELAYS);
        Line processor = Line.of("fleet", "changing_hollow_processor_share", HOLLOW, 1);
        Measured most = Measured.of("fleet", "changing_everywhere_most_s", Target.RELAYS);
        return List.of(
                Need.of(role, CONTROL_BYTES + FIFTY_FOLD, bytes)
                        .within(Target.CONTROL_BYTES_A_SECOND, "configuration.follower"),
                Need.of(role, CONTROL_PROCESSOR + FIFTY_FOLD, processor.growthOnly())
                        .within(Target.CONTROL_PROCESSOR_SHARE, "configuration.follower"),
                Need.of(role, "seconds to be in force everywhere, most" + FIFTY_FOLD, most)
                        .within(Target.IN_FORCE_SECONDS, "coordinator.distribution"));
    }

    /** The whole processes, with a disk, and with 200 backends that they ask for their load. */
    private static List<Need> realRelays() {
        String role = "real relay, by revision";
        String resource = "processor share of the whole process";
        Measured quiet = Measured.of("real-relays", "quiet_real_processor_share", 3);
        Measured changing = Measured.of("real-relays", "changing_real_processor_share", 3);
        return List.of(
                Need.of(role, resource + ", quiet", quiet)
                        .within(Target.CONTROL_PROCESSOR_SHARE, "lifecycle.Program"),
                Need.of(role, resource + FIFTY_FOLD, changing)
                        .within(Target.CONTROL_PROCESSOR_SHARE, "lifecycle.Program"));
    }

    private static List<Need> distribution() {
        double relays = Target.RELAYS;
        Line leader = Line.of("fleet", "changing_leader_processor_share", HOLLOW, relays);
        Line distributor = Line.of("fleet", "changing_distributor_processor_share", HOLLOW, relays);
        Measured bytes = Measured.of("fleet", "changing_distributor_bytes_per_s", relays);
        return List.of(
                Need.of("replica", LEADER_PROCESSOR + FIFTY_FOLD, leader)
                        .within(Target.ONE_CORE, "coordinator.configuration"),
                Need.of("distributor", "processor share" + FIFTY_FOLD, distributor)
                        .within(Target.ONE_CORE, "coordinator.distribution"),
                Need.of("distributor", "bytes a second with replicas" + FIFTY_FOLD, bytes)
                        .within(Target.CONTROL_LINK_BYTES_A_SECOND, "coordinator.distribution"));
    }

    private static List<Need> snapshots() {
        String role = "relay, by revision";
        String run = "configuration";
        Line memory = Line.of(run, "follower_resident_mb", ENTRIES, Target.SHARDS);
        Line bytes = Line.of(run, "snapshot_bytes", ENTRIES, Target.SHARDS);
        Line seconds = Line.of(run, "snapshot_s", ENTRIES, Target.SHARDS);
        return List.of(
                Need.of(role, CONTROL_MEMORY, memory.growthOnly())
                        .within(Target.CONTROL_MEGABYTES, "configuration.ConfigurationView"),
                Need.of(role, "bytes of a snapshot", bytes)
                        .within(Target.SNAPSHOT_BYTES, "configuration.SnapshotPager"),
                Need.of(role, "seconds to take a snapshot", seconds)
                        .within(Target.IN_FORCE_SECONDS, "configuration.SnapshotPager"));
    }

    private static List<Need> controlMemory() {
        String resource = "memory in MB for configuration";
        String run = "configuration";
        Line leader = Line.of(run, "leader_resident_mb", ENTRIES, Target.SHARDS);
        Line distributor = Line.of(run, "distributor_resident_mb", ENTRIES, Target.SHARDS);
        double budget = Target.CONTROL_MACHINE_MEGABYTES;
        return List.of(
                Need.of("replica", resource, leader.growthOnly())
                        .within(budget, "coordinator.configuration"),
                Need.of("distributor", resource, distributor.growthOnly())
                        .within(budget, "coordinator.distribution"));
    }

    private static List<Need> others() {
        Estimate agents = estimate("4 zones × 2 agents ÷ 1 s: a quarter of a lease of 4 s", 8);
        Estimate advisor = estimate("780 relays ÷ 10 s; that relays tell loads is not built", 78);
        Estimate operators = estimate("200 changes ÷ 60 s, in a burst", 200 / 60.0);
        return List.of(
                Need.of("agent", COMMANDS, agents).carriedBy("coordinator.agent"),
                Need.of("advisor", "load snapshots a second", advisor)
                        .carriedBy("coordinator.advice"),
                Need.of("operators' commands", COMMANDS, operators)
                        .carriedBy("coordinator.command"));
    }

    /** In commands a second, against the commands that the group was measured to carry. */
    private static Estimate estimate(String arithmetic, double commandsPerSecond) {
        return new Estimate(arithmetic, commandsPerSecond, data -> mostCarried(data, "renewals"));
    }
}

package saltstage.lab.scale;

import java.io.IOException;
import saltstage.lab.scale.Topology.Zone;

/**
 * What an installation has used up to a moment, or between two.
 *
 * @param seconds on the clock
 * @param leaderProcessorSeconds of whoever leads
 * @param distributorProcessorSeconds of all distributors
 * @param hollowProcessorSeconds of all processes with hollow relays
 * @param relayTraffic between relays and distributors
 * @param distributorTraffic between distributors and replicas
 */
record FleetResourceUsage(
        double seconds,
        double leaderProcessorSeconds,
        double distributorProcessorSeconds,
        double simulatedRelayProcessorSeconds,
        ZoneLinks.Traffic relayTraffic,
        ZoneLinks.Traffic distributorTraffic,
        double leaderMegabytes,
        double distributorMegabytes,
        double simulatedRelayMegabytes) {
    static FleetResourceUsage measure(FleetEnvironment all)
            throws IOException, InterruptedException {
        double distributors = 0;
        double distributorMegabytes = 0;
        for (Zone zone : Zone.values()) {
            ProcessStatistics figures = all.controlPlane().distributor(zone).statistics();
            distributors += figures.processorSeconds();
            distributorMegabytes = Math.max(distributorMegabytes, figures.residentMegabytes());
        }
        ProcessStatistics leader =
                all.controlPlane().replica(all.controlPlane().leader()).statistics();
        return new FleetResourceUsage(
                System.nanoTime() / 1e9,
                leader.processorSeconds(),
                distributors,
                all.fleet().processorSeconds(),
                all.links().traffic(ControlPlane.RELAY_LINKS, zone -> true),
                all.links().traffic(ControlPlane.DISTRIBUTOR_LINKS, zone -> true),
                leader.residentMegabytes(),
                distributorMegabytes,
                all.fleet().residentMegabytes());
    }

    FleetResourceUsage since(FleetResourceUsage before) {
        return new FleetResourceUsage(
                seconds - before.seconds,
                leaderProcessorSeconds - before.leaderProcessorSeconds,
                distributorProcessorSeconds - before.distributorProcessorSeconds,
                simulatedRelayProcessorSeconds - before.simulatedRelayProcessorSeconds,
                relayTraffic.since(before.relayTraffic),
                distributorTraffic.since(before.distributorTraffic),
                leaderMegabytes,
                distributorMegabytes,
                simulatedRelayMegabytes);
    }

    /** Adds the figures of a span, each with this prefix. */
    void addTo(MeasurementFile file, String prefix, int relays) {
        double zones = Zone.values().length;
        file.addFigure(prefix + "_leader_processor_share", leaderProcessorSeconds / seconds);
        file.addFigure(
                prefix + "_distributor_processor_share",
                distributorProcessorSeconds / seconds / zones);
        file.addFigure(
                prefix + "_hollow_processor_share", simulatedRelayProcessorSeconds / seconds);
        file.addFigure(prefix + "_relay_bytes_per_s", relayTraffic.bytes() / seconds / relays);
        file.addFigure(
                prefix + "_relay_requests_per_s", relayTraffic.requests() / seconds / relays);
        file.addFigure(
                prefix + "_distributor_bytes_per_s", distributorTraffic.bytes() / seconds / zones);
        file.addFigure(
                prefix + "_distributor_requests_per_s",
                distributorTraffic.requests() / seconds / zones);
        file.addFigure(prefix + "_leader_resident_mb", leaderMegabytes);
        file.addFigure(prefix + "_distributor_resident_mb", distributorMegabytes);
        file.addFigure(prefix + "_hollow_resident_mb", simulatedRelayMegabytes);
    }
}

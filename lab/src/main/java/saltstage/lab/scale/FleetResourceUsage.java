package saltstage.lab.scale;

import java.io.IOException;
import saltstage.lab.scale.Topology.Zone;

/**
 * Resources that an installation has used up to a point in time, or between two of them.
 *
 * @param seconds the reading of the monotonic clock, or the time between two readings
 * @param leaderProcessorSeconds processor time of the leader
 * @param distributorProcessorSeconds processor time of all distributors
 * @param simulatedRelayProcessorSeconds processor time of all processes with simulated relays
 * @param relayTraffic traffic between relays and distributors
 * @param distributorTraffic traffic between distributors and replicas
 * @param leaderMegabytes resident memory of the leader
 * @param distributorMegabytes largest resident memory of a distributor
 * @param simulatedRelayMegabytes resident memory of the processes with simulated relays
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
    /** Reads the usage of all processes and links up to now. */
    static FleetResourceUsage measure(FleetEnvironment environment)
            throws IOException, InterruptedException {
        double distributorProcessorSeconds = 0;
        double distributorMegabytes = 0;
        for (Zone zone : Zone.values()) {
            ProcessStatistics statistics =
                    environment.controlPlane().distributor(zone).statistics();
            distributorProcessorSeconds += statistics.processorSeconds();
            distributorMegabytes = Math.max(distributorMegabytes, statistics.residentMegabytes());
        }
        ProcessStatistics leader =
                environment
                        .controlPlane()
                        .replica(environment.controlPlane().leader())
                        .statistics();
        return new FleetResourceUsage(
                System.nanoTime() / 1e9,
                leader.processorSeconds(),
                distributorProcessorSeconds,
                environment.fleet().processorSeconds(),
                environment.links().traffic(ControlPlane.RELAY_LINKS, zone -> true),
                environment.links().traffic(ControlPlane.DISTRIBUTOR_LINKS, zone -> true),
                leader.residentMegabytes(),
                distributorMegabytes,
                environment.fleet().residentMegabytes());
    }

    /** Returns the usage since an earlier reading; memory is that of the later reading. */
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

    /** Adds the figures of a period to the file, each with this prefix. */
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

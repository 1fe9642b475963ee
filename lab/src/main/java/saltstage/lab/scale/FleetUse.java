package saltstage.lab.scale;

import saltstage.lab.scale.Topology.Zone;

import java.io.IOException;

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
record FleetUse(
        double seconds,
        double leaderProcessorSeconds,
        double distributorProcessorSeconds,
        double hollowProcessorSeconds,
        ZoneLinks.Traffic relayTraffic,
        ZoneLinks.Traffic distributorTraffic,
        double leaderMegabytes,
        double distributorMegabytes,
        double hollowMegabytes) {
    static FleetUse now(FleetStage all) throws IOException, InterruptedException {
        double distributors = 0;
        double distributorMegabytes = 0;
        for (Zone zone : Zone.values()) {
            ProcessFigures figures = all.control().distributor(zone).figures();
            distributors += figures.processorSeconds();
            distributorMegabytes = Math.max(distributorMegabytes, figures.residentMegabytes());
        }
        ProcessFigures leader = all.control().replica(all.control().leader()).figures();
        return new FleetUse(
                System.nanoTime() / 1e9,
                leader.processorSeconds(),
                distributors,
                all.fleet().processorSeconds(),
                all.links().traffic(ControlPlane.RELAYS, zone -> true),
                all.links().traffic(ControlPlane.DISTRIBUTORS, zone -> true),
                leader.residentMegabytes(),
                distributorMegabytes,
                all.fleet().residentMegabytes());
    }

    FleetUse since(FleetUse before) {
        return new FleetUse(
                seconds - before.seconds,
                leaderProcessorSeconds - before.leaderProcessorSeconds,
                distributorProcessorSeconds - before.distributorProcessorSeconds,
                hollowProcessorSeconds - before.hollowProcessorSeconds,
                relayTraffic.since(before.relayTraffic),
                distributorTraffic.since(before.distributorTraffic),
                leaderMegabytes,
                distributorMegabytes,
                hollowMegabytes);
    }

    /** Adds the figures of a span, each with this prefix. */
    void addTo(MeasurementFile file, String prefix, int relays) {
        double zones = Zone.values().length;
        file.add(prefix + "_leader_processor_share", leaderProcessorSeconds / seconds);
        file.add(
                prefix + "_distributor_processor_share",
                distributorProcessorSeconds / seconds / zones);
        file.add(prefix + "_hollow_processor_share", hollowProcessorSeconds / seconds);
        file.add(prefix + "_relay_bytes_per_s", relayTraffic.bytes() / seconds / relays);
        file.add(prefix + "_relay_requests_per_s", relayTraffic.requests() / seconds / relays);
        file.add(prefix + "_distributor_bytes_per_s", distributorTraffic.bytes() / seconds / zones);
        file.add(
                prefix + "_distributor_requests_per_s",
                distributorTraffic.requests() / seconds / zones);
        file.add(prefix + "_leader_resident_mb", leaderMegabytes);
        file.add(prefix + "_distributor_resident_mb", distributorMegabytes);
        file.add(prefix + "_hollow_resident_mb", hollowMegabytes);
    }
}

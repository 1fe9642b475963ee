package saltstage.coordinator.distribution;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.function.LongSupplier;
import saltstage.coordinator.client.GroupClient;
import saltstage.coordinator.configuration.FollowerReport;
import saltstage.coordinator.group.GroupCodec;
import saltstage.log.Log;

/**
 * Reports to the leader which revisions the followers of this distributor have confirmed: changed
 * zones every second, and all zones every ten seconds. After a failed report all zones are reported
 * again, so that a new leader has all of them after one round.
 */
final class ConfirmationReporter implements Runnable {
    private static final Duration REPORT_INTERVAL = Duration.ofSeconds(1);
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(3);
    private static final String REPORTS_PATH = ReadRequest.PATH_PREFIX + "reports";

    private final String distributor;
    private final String zone;
    private final DistributorHandler handler;
    private final GroupClient groupClient;
    private final LongSupplier nowMs;
    private final ReportSchedule schedule = new ReportSchedule();
    private boolean failing;

    ConfirmationReporter(
            String distributor,
            String zone,
            DistributorHandler handler,
            GroupClient groupClient,
            LongSupplier nowMs) {
        this.distributor = distributor;
        this.zone = zone;
        this.handler = handler;
        this.groupClient = groupClient;
        this.nowMs = nowMs;
    }

    /** Reports until its thread is interrupted. */
    @Override
    public void run() {
        try {
            while (true) {
                reportDueZones();
                Thread.sleep(REPORT_INTERVAL.toMillis());
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private void reportDueZones() throws InterruptedException {
        for (ZoneConfirmations due : schedule.dueZones(zones(), nowMs.getAsLong())) {
            try {
                groupClient.post(
                        REPORTS_PATH,
                        GroupCodec.jsonMapper().valueToTree(toReport(due)),
                        CALL_TIMEOUT);
                schedule.markReported(due, nowMs.getAsLong());
                failing = false;
            } catch (IOException | IllegalArgumentException failure) {
                schedule.reset();
                logOnce(failure);
                return;
            }
        }
    }

    private void logOnce(Exception failure) {
        if (!failing) {
            failing = true;
            Log.warn("distributor.not-reported", "why", failure.getMessage());
        }
    }

    /** Returns all zones with followers, and this distributor's own zone even if it has none. */
    private List<ZoneConfirmations> zones() {
        List<ZoneConfirmations> zones = new ArrayList<>(handler.confirmations());
        if (zones.stream().noneMatch(confirmations -> confirmations.zone().equals(zone))) {
            zones.add(
                    new ZoneConfirmations(
                            zone, handler.revision(), new TreeMap<>(), 0, List.of(), List.of()));
        }
        return zones;
    }

    private FollowerReport toReport(ZoneConfirmations confirmations) {
        return new FollowerReport(
                distributor,
                confirmations.zone(),
                confirmations.revision(),
                confirmations.confirmedByRevision(),
                confirmations.followers(),
                confirmations.behind());
    }
}

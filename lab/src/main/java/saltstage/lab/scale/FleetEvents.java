package saltstage.lab.scale;

import java.time.Duration;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.stream.Stream;
import saltstage.coordinator.client.GroupClient;
import saltstage.lab.scale.Topology.Zone;

/** Triggers faults and restarts in an installation one after the other while changes continue. */
final class FleetEvents {
    private static final double CHANGES_PER_SECOND = 2;
    private static final double LEAD_SECONDS = 1.5;
    private static final double EVENT_SECONDS = 8;
    private static final double MAX_WAIT_SECONDS = 60;

    /** Each goal holds through every single failure, for every relay that it does not affect. */
    private static final double GOAL_MEDIAN_SECONDS = 2;

    private static final double GOAL_MAX_SECONDS = 9;
    private static final int STOPPED_RELAYS = 8;
    private static final int PAUSED_RELAYS = 4;

    /**
     * Changes of 500 entries of about 90 bytes each, together more than the 8 MiB that a history
     * keeps.
     */
    private static final int CHANGES_WHILE_PAUSED = 230;

    private static final int ENTRIES_PER_CHANGE = 500;
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(30);
    private static final int WRITER_COUNT = 5;

    private final FleetEnvironment environment;
    private final MeasurementFile file;
    private boolean goalsMet = true;

    FleetEvents(FleetEnvironment environment, MeasurementFile file) {
        this.environment = environment;
        this.file = file;
    }

    /** A fault or another action on the installation. */
    private interface Event {
        void run() throws Exception;
    }

    /** Runs all events; returns false if a goal was missed. */
    boolean run() throws Exception {
        Event noEvent = () -> {};
        measureDuring("none", noEvent, noEvent, allRelays());
        killLeader();
        killDistributor();
        stopRelays();
        killZone();
        cutRegions();
        restartControlPlane();
        pauseRelaysBeyondHistory();
        return goalsMet;
    }

    private Set<Integer> allRelays() {
        return environment.fleet().relaysIn(zone -> true);
    }

    private void beginEvent(String event) {
        ScaleRun.printProgress("fleet event: " + event);
        file.beginPoint(environment.fleet().relayCount());
    }

    /** Measures changes before, during and after an event, as applied at the counted relays. */
    private SteadyChanges measureDuring(
            String name, Event event, Event cleanup, Set<Integer> countedRelays) throws Exception {
        beginEvent(name);
        SteadyChanges changes = environment.startChanges(CHANGES_PER_SECOND);
        ScaleRun.sleepSeconds(LEAD_SECONDS);
        event.run();
        ScaleRun.sleepSeconds(EVENT_SECONDS);
        changes.stop();
        FleetRun.awaitApplied(environment, countedRelays, changes);
        SteadyChanges.PropagationTimes times =
                changes.propagationTimes(environment.fleet().revisionLog(), countedRelays);
        times.addTo(file, name);
        checkGoals(name, times);
        cleanup.run();
        return changes;
    }

    private void checkGoals(String name, SteadyChanges.PropagationTimes times) {
        boolean goalMet =
                times.missingCount() == 0
                        && times.failedCount() == 0
                        && times.everywhereMedianSeconds() <= GOAL_MEDIAN_SECONDS
                        && times.everywhereMaxSeconds() <= GOAL_MAX_SECONDS;
        recordGoal(name, goalMet);
    }

    private void recordGoal(String name, boolean goalMet) {
        file.addFigure(name + "_goal_kept", goalMet ? 1 : 0);
        goalsMet &= goalMet;
        if (!goalMet) {
            ScaleRun.printProgress("fleet event: " + name + " MISSED its goal");
        }
    }

    /** Makes a change and measures the time until all the given relays have applied it. */
    private void measureRecovery(String figure, Set<Integer> relays) throws Exception {
        long startNanos = System.nanoTime();
        ConfigurationLoadGenerator.AcceptedRevision lastChange =
                environment
                        .configurationLoad()
                        .changeShards(environment.controlPlane().client(), 1, CALL_TIMEOUT);
        file.addFigure(
                figure,
                environment
                        .fleet()
                        .awaitApplied(relays, lastChange.revision(), startNanos, MAX_WAIT_SECONDS));
    }

    private void killLeader() throws Exception {
        String leader = environment.controlPlane().leader();
        measureDuring(
                "leader_killed",
                () -> environment.controlPlane().replica(leader).kill(),
                environment.controlPlane()::startStopped,
                allRelays());
    }

    private void killDistributor() throws Exception {
        measureDuring(
                "distributor_killed",
                () -> environment.controlPlane().distributor(Zone.A1).kill(),
                environment.controlPlane()::startStopped,
                allRelays());
    }

    private void stopRelays() throws Exception {
        SimulatedRelayHost stoppedHost = environment.fleet().findHost(Zone.A2, STOPPED_RELAYS);
        Set<Integer> otherRelays = new HashSet<>(allRelays());
        otherRelays.removeAll(stoppedHost.relayIndexes());
        measureDuring(
                "relays_stopped",
                stoppedHost.process()::pause,
                stoppedHost.process()::resume,
                otherRelays);
        measureRecovery("relays_stopped_back_s", allRelays());
    }

    private void killZone() throws Exception {
        Set<Integer> otherRelays = environment.fleet().relaysIn(zone -> zone != Zone.B2);
        measureDuring(
                "zone_killed",
                () -> {
                    environment.controlPlane().killZone(Zone.B2);
                    environment.fleet().kill(Zone.B2);
                },
                () -> {
                    environment.controlPlane().startStopped();
                    environment.fleet().restart(Zone.B2);
                },
                otherRelays);
        measureRecovery("zone_killed_back_s", allRelays());
        environment.fleet().awaitReady();
    }

    private void cutRegions() throws Exception {
        Set<Integer> relaysInRegionA =
                environment.fleet().relaysIn(zone -> zone.isInSameRegionAs(Zone.A1));
        boolean[] rejected = {false};
        SteadyChanges changes =
                measureDuring(
                        "regions_cut",
                        () -> {
                            environment.links().cutRegions();
                            rejected[0] =
                                    environment
                                            .controlPlane()
                                            .isRejectingChanges(
                                                    Zone.B1,
                                                    environment.configurationLoad().randomChange());
                        },
                        () -> {},
                        relaysInRegionA);
        Set<Integer> relaysInRegionB =
                environment.fleet().relaysIn(zone -> !zone.isInSameRegionAs(Zone.A1));
        long lastRevisionInA =
                changes.acceptedRevisions().get(changes.acceptedRevisions().size() - 1).revision();
        file.addFigure(
                "regions_cut_relays_of_b_with_newest",
                environment
                        .fleet()
                        .revisionLog()
                        .countWithRevision(relaysInRegionB, lastRevisionInA));
        file.addFigure("regions_cut_b_refused_changes", rejected[0] ? 1 : 0);
        environment.links().healRegions();
        measureRecovery("regions_cut_back_s", allRelays());
        ScaleRun.sleepSeconds(1);
        int stateCount = environment.fleet().distinctStates().size();
        file.addFigure("regions_cut_states_after", stateCount);
        recordGoal("regions_cut_healing", stateCount == 1 && rejected[0]);
    }

    private void restartControlPlane() throws Exception {
        beginEvent("control_restarted");
        environment.controlPlane().killAll();
        long startNanos = System.nanoTime();
        environment.controlPlane().startStopped();
        ConfigurationLoadGenerator.AcceptedRevision lastChange =
                environment
                        .configurationLoad()
                        .changeShards(environment.controlPlane().client(), 1, CALL_TIMEOUT);
        file.addFigure(
                "control_restarted_accepted_s", (lastChange.acceptedNanos() - startNanos) / 1e9);
        double recoverySeconds =
                environment
                        .fleet()
                        .awaitApplied(
                                allRelays(), lastChange.revision(), startNanos, MAX_WAIT_SECONDS);
        file.addFigure("control_restarted_back_s", recoverySeconds);
    }

    /** Makes more changes than a history keeps; returns the one with the newest revision. */
    private ConfigurationLoadGenerator.AcceptedRevision changeBeyondHistory() throws Exception {
        List<ConfigurationLoadGenerator.AcceptedRevision> accepted = new CopyOnWriteArrayList<>();
        List<GroupClient> writers =
                Stream.generate(environment.controlPlane()::client).limit(WRITER_COUNT).toList();
        Parallel.forEach(
                writers,
                writer -> {
                    for (int i = 0; i < CHANGES_WHILE_PAUSED / WRITER_COUNT; i++) {
                        accepted.add(
                                environment
                                        .configurationLoad()
                                        .changeShards(writer, ENTRIES_PER_CHANGE, CALL_TIMEOUT));
                    }
                });
        return Collections.max(
                accepted,
                Comparator.comparingLong(ConfigurationLoadGenerator.AcceptedRevision::revision));
    }

    private void pauseRelaysBeyondHistory() throws Exception {
        beginEvent("relays_away");
        SimulatedRelayHost pausedHost = environment.fleet().findHost(Zone.A2, PAUSED_RELAYS);
        Set<Integer> otherRelays = new HashSet<>(allRelays());
        otherRelays.removeAll(pausedHost.relayIndexes());
        pausedHost.process().pause();
        long startNanos = System.nanoTime();
        ConfigurationLoadGenerator.AcceptedRevision lastChange = changeBeyondHistory();
        file.addFigure(
                "relays_away_changes_per_s",
                CHANGES_WHILE_PAUSED * 1e9 / (System.nanoTime() - startNanos));
        file.addFigure(
                "relays_away_others_in_force_s",
                environment
                        .fleet()
                        .awaitApplied(
                                otherRelays,
                                lastChange.revision(),
                                lastChange.sentNanos(),
                                MAX_WAIT_SECONDS));
        pausedHost.process().resume();
        measureRecovery("relays_away_back_s", allRelays());
        int stateCount = environment.fleet().distinctStates().size();
        file.addFigure("relays_away_states_after", stateCount);
        recordGoal("relays_away", stateCount == 1);
    }
}

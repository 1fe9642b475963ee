package saltstage.lab.scale;

import saltstage.coordinator.client.GroupClient;
import saltstage.lab.scale.Topology.Zone;

import java.time.Duration;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.stream.Stream;

/** What befalls an installation, one event after the other, while changes go on. */
final class FleetEvents {
    private static final double CHANGES_A_SECOND = 2;
    private static final double LEAD_SECONDS = 1.5;
    private static final double EVENT_SECONDS = 8;
    private static final double MOST_WAIT_SECONDS = 60;

    /** The goals: through every single failure, for every relay that the failure leaves alone. */
    private static final double GOAL_MEDIAN_SECONDS = 2;

    private static final double GOAL_MOST_SECONDS = 9;
    private static final int STOPPED_RELAYS = 8;
    private static final int AWAY_RELAYS = 4;

    /** More than a history keeps, in changes of 500 entries: 8 MiB of some 90 bytes each. */
    private static final int CHANGES_WHILE_AWAY = 230;

    private static final int ENTRIES_A_CHANGE = 500;
    private static final Duration CALL = Duration.ofSeconds(30);
    private static final int WRITERS = 5;

    private final FleetStage all;
    private final MeasurementFile file;
    private boolean kept = true;

    FleetEvents(FleetStage all, MeasurementFile file) {
        this.all = all;
        this.file = file;
    }

    /** Something that happens. */
    private interface Event {
        void happen() throws Exception;
    }

    /** All of them; false where a goal was missed. */
    boolean run() throws Exception {
        Event nothing = () -> {};
        during("none", nothing, nothing, everywhere());
        leaderKilled();
        distributorKilled();
        relaysStopped();
        zoneKilled();
        regionsCut();
        allControlRestarted();
        relaysAway();
        return kept;
    }

    private Set<Integer> everywhere() {
        return all.fleet().relays(zone -> true);
    }

    private void begin(String event) {
        ScaleRun.progress("fleet event: " + event);
        file.begin(all.fleet().size());
    }

    /** Changes go on before, during and after an event; its times count at these relays. */
    private SteadyChanges during(String name, Event event, Event end, Set<Integer> counted)
            throws Exception {
        begin(name);
        SteadyChanges changes = all.change(CHANGES_A_SECOND);
        ScaleRun.seconds(LEAD_SECONDS);
        event.happen();
        ScaleRun.seconds(EVENT_SECONDS);
        changes.end();
        FleetRun.await(all, counted, changes);
        SteadyChanges.Times times = changes.times(all.fleet().log(), counted);
        times.addTo(file, name);
        judge(name, times);
        end.happen();
        return changes;
    }

    private void judge(String name, SteadyChanges.Times times) {
        boolean good =
                times.missing() == 0
                        && times.failed() == 0
                        && times.everywhereMedian() <= GOAL_MEDIAN_SECONDS
                        && times.everywhereMost() <= GOAL_MOST_SECONDS;
        bound(name, good);
    }

    private void bound(String name, boolean good) {
        file.add(name + "_goal_kept", good ? 1 : 0);
        kept &= good;
        if (!good) {
            ScaleRun.progress("fleet event: " + name + " MISSED its goal");
        }
    }

    /** From now until all these relays have what was accepted last. */
    private void untilCurrent(String figure, Set<Integer> relays) throws Exception {
        long begun = System.nanoTime();
        ConfigurationLoad.Accepted last = all.load().change(all.control().client(), 1, CALL);
        file.add(
                figure,
                all.fleet().awaitInForce(relays, last.revision(), begun, MOST_WAIT_SECONDS));
    }

    private void leaderKilled() throws Exception {
        String leader = all.control().leader();
        during(
                "leader_killed",
                () -> all.control().replica(leader).kill(),
                all.control()::startMissing,
                everywhere());
    }

    private void distributorKilled() throws Exception {
        during(
                "distributor_killed",
                () -> all.control().distributor(Zone.A1).kill(),
                all.control()::startMissing,
                everywhere());
    }

    private void relaysStopped() throws Exception {
        HollowHost stopped = all.fleet().host(Zone.A2, STOPPED_RELAYS);
        Set<Integer> others = new HashSet<>(everywhere());
        others.removeAll(stopped.relays());
        during("relays_stopped", stopped.process()::pause, stopped.process()::resume, others);
        untilCurrent("relays_stopped_back_s", everywhere());
    }

    private void zoneKilled() throws Exception {
        Set<Integer> others = all.fleet().relays(zone -> zone != Zone.B2);
        during(
                "zone_killed",
                () -> {
                    all.control().killZone(Zone.B2);
                    all.fleet().kill(Zone.B2);
                },
                () -> {
                    all.control().startMissing();
                    all.fleet().restart(Zone.B2);
                },
                others);
        untilCurrent("zone_killed_back_s", everywhere());
        all.fleet().awaitReady();
    }

    private void regionsCut() throws Exception {
        Set<Integer> regionA = all.fleet().relays(zone -> zone.sharesRegionWith(Zone.A1));
        boolean[] refused = {false};
        SteadyChanges changes =
                during(
                        "regions_cut",
                        () -> {
                            all.links().cutRegions();
                            refused[0] =
                                    all.control().refusesChanges(Zone.B1, all.load().anyChange());
                        },
                        () -> {},
                        regionA);
        Set<Integer> regionB = all.fleet().relays(zone -> !zone.sharesRegionWith(Zone.A1));
        long lastInA = changes.accepted().get(changes.accepted().size() - 1).revision();
        file.add("regions_cut_relays_of_b_with_newest", all.fleet().log().count(regionB, lastInA));
        file.add("regions_cut_b_refused_changes", refused[0] ? 1 : 0);
        all.links().healRegions();
        untilCurrent("regions_cut_back_s", everywhere());
        ScaleRun.seconds(1);
        int states = all.fleet().states().size();
        file.add("regions_cut_states_after", states);
        bound("regions_cut_healing", states == 1 && refused[0]);
    }

    private void allControlRestarted() throws Exception {
        begin("control_restarted");
        all.control().killAll();
        long begun = System.nanoTime();
        all.control().startMissing();
        ConfigurationLoad.Accepted last = all.load().change(all.control().client(), 1, CALL);
        file.add("control_restarted_accepted_s", (last.answeredNanos() - begun) / 1e9);
        double back =
                all.fleet().awaitInForce(everywhere(), last.revision(), begun, MOST_WAIT_SECONDS);
        file.add("control_restarted_back_s", back);
    }

    /** More changes than a history keeps; the one of the newest revision. */
    private ConfigurationLoad.Accepted changeMuch() throws Exception {
        List<ConfigurationLoad.Accepted> accepted = new CopyOnWriteArrayList<>();
        List<GroupClient> writers = Stream.generate(all.control()::client).limit(WRITERS).toList();
        Parallel.each(
                writers,
                writer -> {
                    for (int i = 0; i < CHANGES_WHILE_AWAY / WRITERS; i++) {
                        accepted.add(all.load().change(writer, ENTRIES_A_CHANGE, CALL));
                    }
                });
        return Collections.max(
                accepted, Comparator.comparingLong(ConfigurationLoad.Accepted::revision));
    }

    private void relaysAway() throws Exception {
        begin("relays_away");
        HollowHost away = all.fleet().host(Zone.A2, AWAY_RELAYS);
        Set<Integer> others = new HashSet<>(everywhere());
        others.removeAll(away.relays());
        away.process().pause();
        long begun = System.nanoTime();
        ConfigurationLoad.Accepted last = changeMuch();
        file.add(
                "relays_away_changes_per_s",
                CHANGES_WHILE_AWAY * 1e9 / (System.nanoTime() - begun));
        file.add(
                "relays_away_others_in_force_s",
                all.fleet()
                        .awaitInForce(
                                others, last.revision(), last.askedNanos(), MOST_WAIT_SECONDS));
        away.process().resume();
        untilCurrent("relays_away_back_s", everywhere());
        int states = all.fleet().states().size();
        file.add("relays_away_states_after", states);
        bound("relays_away", states == 1);
    }
}

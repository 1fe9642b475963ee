package saltstage.lab.trial;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import saltstage.lab.trial.FaultProxy.DirectionFault;

/**
 * A fault that a configuration trial injects.
 *
 * @param target name of the affected process; empty where the kind implies it
 * @param durationMs milliseconds until the fault is repaired
 */
record ConfigurationFault(Kind kind, String target, int durationMs) {
    /** The kinds of faults. Link faults affect the link to the preferred source of the target. */
    enum Kind {
        LEADER_KILLED,
        DISTRIBUTOR_KILLED,
        DISTRIBUTOR_PAUSED,
        LINK_CUT,
        LINK_SILENT,
        LINK_SLOW,
        FOLLOWERS_KILLED,
        FOLLOWERS_PAUSED,
        CONTROL_RESTARTED
    }

    /** Long enough that a client of a silent source has to fail over to another source. */
    private static final int SILENCE_MS = 9_000;

    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(30);

    /** Returns the faults of a seed in the order in which they are injected. */
    static List<ConfigurationFault> randomFaults(long seed, int count, ConfigurationFleet fleet) {
        Random random = new Random(seed);
        List<Kind> kinds = new ArrayList<>(List.of(Kind.values()));
        java.util.Collections.shuffle(kinds, random);
        List<ConfigurationFault> faults = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            faults.add(randomFault(kinds.get(i % kinds.size()), random, fleet));
        }
        return faults;
    }

    private static ConfigurationFault randomFault(
            Kind kind, Random random, ConfigurationFleet fleet) {
        List<String> distributors = fleet.distributorNames();
        List<String> followers = fleet.followerNames();
        List<String> clients = new ArrayList<>(distributors);
        clients.addAll(followers);
        String target =
                switch (kind) {
                    case LEADER_KILLED, CONTROL_RESTARTED -> "";
                    case DISTRIBUTOR_KILLED, DISTRIBUTOR_PAUSED ->
                            distributors.get(random.nextInt(distributors.size()));
                    case FOLLOWERS_KILLED, FOLLOWERS_PAUSED ->
                            followers.get(random.nextInt(followers.size()));
                    default -> clients.get(random.nextInt(clients.size()));
                };
        boolean silenceFault = kind == Kind.LINK_SILENT || kind == Kind.DISTRIBUTOR_PAUSED;
        return new ConfigurationFault(
                kind, target, silenceFault ? SILENCE_MS : 500 + random.nextInt(2_500));
    }

    /** Returns whether the fault stops all followers of the process {@link #target}. */
    boolean stopsFollowers() {
        return kind == Kind.FOLLOWERS_KILLED || kind == Kind.FOLLOWERS_PAUSED;
    }

    void inject(GroupUnderTest group, ConfigurationFleet fleet)
            throws IOException, InterruptedException {
        switch (kind) {
            case LEADER_KILLED -> group.process(group.leader(CALL_TIMEOUT)).kill();
            case DISTRIBUTOR_KILLED -> fleet.distributor(target).kill();
            case DISTRIBUTOR_PAUSED -> fleet.distributor(target).pause();
            case FOLLOWERS_KILLED -> fleet.followers(target).kill();
            case FOLLOWERS_PAUSED -> fleet.followers(target).pause();
            case LINK_CUT -> {
                fleet.links(target).get(0).setRejecting(true);
                fleet.links(target).get(0).dropConnections();
            }
            case LINK_SILENT ->
                    fleet.links(target)
                            .get(0)
                            .setFaults(DirectionFault.SILENT, DirectionFault.SILENT);
            case LINK_SLOW -> {
                DirectionFault slow = new DirectionFault(false, 30, true, Long.MAX_VALUE);
                fleet.links(target).get(0).setFaults(slow, slow);
            }
            case CONTROL_RESTARTED -> killControl(group, fleet);
            default -> throw new IllegalStateException(kind.name());
        }
    }

    private static void killControl(GroupUnderTest group, ConfigurationFleet fleet)
            throws InterruptedException {
        for (String name : group.names()) {
            group.process(name).kill();
        }
        for (String name : fleet.distributorNames()) {
            fleet.distributor(name).kill();
        }
    }

    /** Repairs the fault and returns once the stopped processes answer again. */
    void repair(GroupUnderTest group, ConfigurationFleet fleet)
            throws IOException, InterruptedException {
        group.heal();
        fleet.heal();
        if (kind == Kind.CONTROL_RESTARTED) {
            for (String name : fleet.distributorNames()) {
                fleet.status(name, CALL_TIMEOUT);
            }
        }
    }
}

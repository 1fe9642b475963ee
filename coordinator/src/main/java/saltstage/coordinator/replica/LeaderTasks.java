package saltstage.coordinator.replica;

import io.microraft.RaftNode;
import java.time.Duration;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import saltstage.coordinator.group.GroupCommands;
import saltstage.coordinator.group.GroupState;
import saltstage.coordinator.model.Command;

/**
 * Proposals that a leader makes on its own: ticks, which advance the group's time, and
 * introductions of members. All methods except {@link #heartbeatReceived} are called on the
 * engine's thread.
 */
final class LeaderTasks {
    /** The period at which {@link #run} must be called. */
    static final Duration CHECK_PERIOD = Duration.ofMillis(200);

    /** The tick period while nothing in the state depends on time. */
    private static final Duration IDLE_TICK_PERIOD = Duration.ofSeconds(2);

    /** An older heartbeat is no longer used to estimate its peer's clock. */
    private static final long MAX_HEARTBEAT_AGE_MS = 10_000;

    private final ReplicaSettings settings;
    private final PeerLinks.Hello self;
    private final RaftNode node;
    private final PeerDirectory directory;
    private final Proposer proposer;
    private final Map<String, ReceivedHeartbeat> heartbeats = new ConcurrentHashMap<>();
    private long lastTickNanos;

    private record ReceivedHeartbeat(PeerLinks.Heartbeat heartbeat, long receivedAtNanos) {}

    LeaderTasks(
            ReplicaSettings settings,
            PeerLinks.Hello self,
            RaftNode node,
            PeerDirectory directory,
            Proposer proposer) {
        this.settings = settings;
        this.self = self;
        this.node = node;
        this.directory = directory;
        this.proposer = proposer;
    }

    /** Records a peer's heartbeat; may be called on any thread. */
    void heartbeatReceived(String from, PeerLinks.Heartbeat heartbeat) {
        heartbeats.put(from, new ReceivedHeartbeat(heartbeat, System.nanoTime()));
    }

    /**
     * Makes the proposals that are due; called every {@link #CHECK_PERIOD} while this replica
     * leads.
     */
    void run(GroupState state) {
        long nowNanos = System.nanoTime();
        boolean timeDependent =
                state.leases().nextDeadline() != Long.MAX_VALUE || state.windows().hasOpenWindows();
        long periodNanos = (timeDependent ? CHECK_PERIOD : IDLE_TICK_PERIOD).toNanos();
        if (nowNanos - lastTickNanos >= periodNanos - CHECK_PERIOD.toNanos() / 2) {
            lastTickNanos = nowNanos;
            directory
                    .pendingIntroductions(
                            Member.sortedNames(node.getEffectiveMembers().getMembers()))
                    .forEach(this::propose);
            introduceSelf();
            proposeTick(nowNanos);
        }
    }

    private void introduceSelf() {
        if (directory.memberRow(settings.name()) == null) {
            propose(
                    new GroupCommands.Introduce(
                            settings.name(), self.disk(), self.peers(), self.clients()));
        }
    }

    /** Proposes a tick with all wall clocks and feature levels known to this replica. */
    private void proposeTick(long nowNanos) {
        Map<String, Long> wallClocks =
                new TreeMap<>(Map.of(settings.name(), settings.wallClock().getAsLong()));
        Map<String, Integer> featureLevels =
                new TreeMap<>(Map.of(settings.name(), settings.supportedFeatureLevel()));
        heartbeats.forEach(
                (name, received) -> {
                    long ageMs =
                            TimeUnit.NANOSECONDS.toMillis(nowNanos - received.receivedAtNanos());
                    if (ageMs < MAX_HEARTBEAT_AGE_MS) {
                        wallClocks.put(name, received.heartbeat().wallMs() + ageMs);
                        featureLevels.put(name, received.heartbeat().speaks());
                    }
                });
        propose(
                new GroupCommands.Tick(
                        wallClocks,
                        featureLevels,
                        Member.sortedNames(node.getCommittedMembers().getVotingMembers())));
    }

    private void propose(Command command) {
        proposer.propose(command)
                .exceptionally(failed -> null); // the next check proposes again if still due
    }
}

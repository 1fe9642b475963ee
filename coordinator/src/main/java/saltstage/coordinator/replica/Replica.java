package saltstage.coordinator.replica;

import io.microraft.Ordered;
import io.microraft.QueryPolicy;
import io.microraft.RaftConfig;
import io.microraft.RaftEndpoint;
import io.microraft.RaftNode;
import io.microraft.model.message.RaftMessage;
import io.microraft.persistence.RestoredRaftState;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import saltstage.coordinator.group.GroupState;
import saltstage.coordinator.model.Command;
import saltstage.coordinator.model.HostPort;
import saltstage.coordinator.model.Reply;
import saltstage.log.Log;
import saltstage.net.Transport;
import saltstage.store.Store;

/**
 * One replica of a group: the consensus engine, its log in the embedded store, its links to peers
 * and the group's state. A command is answered once it is durable on a majority. A replica that
 * cannot persist its log ends its process instead of continuing with an unknown state.
 */
public final class Replica implements AutoCloseable, PeerLinks.PeerListener {
    /** Exit code if the store fails: EX_IOERR of sysexits.h. */
    private static final int EXIT_STORE_FAILED = 74;

    /** Exit code if a peer refuses this replica's disk: EX_CONFIG of sysexits.h. */
    private static final int EXIT_REFUSED_BY_PEER = 78;

    private static final int TERMINATION_TIMEOUT_SECONDS = 3;

    /** Ends the process after a fatal error. */
    public interface FatalErrorHandler {
        /** Exits with this code and reason; does not return, or ends the replica. */
        void exit(int code, String reason);
    }

    private final ReplicaSettings settings;
    private final Identity identity;
    private final RaftThread raftThread;
    private final PeerLinks links;
    private final RaftNode node;
    private final RaftCodec codec;
    private final ReplicaStateMachine stateMachine;
    private final FatalErrorHandler fatalErrorHandler;
    private final Transport transport;
    private final Store store;
    private final ChangeListeners changeListeners = new ChangeListeners();
    private final PeerDirectory directory;
    private final Proposer proposer;
    private final Membership membership;
    private final LeaderTasks leaderTasks;
    private volatile boolean closed;

    /**
     * Starts the replica; throws an IOException if the store belongs to another group or member.
     */
    public Replica(
            ReplicaSettings settings,
            Store store,
            Transport transport,
            FatalErrorHandler fatalErrorHandler)
            throws IOException {
        this.settings = settings;
        this.fatalErrorHandler = fatalErrorHandler;
        this.transport = transport;
        this.store = store;
        identity = Identity.loadOrCreate(store, settings);
        codec = new RaftCodec(identity.group());
        raftThread = new RaftThread("replica", settings.engineClockSpeed());
        stateMachine = new ReplicaStateMachine(fatalErrorHandler, changeListeners::notifyListeners);
        directory = new PeerDirectory(settings, identity.group());
        String processId =
                Long.toHexString(System.nanoTime()) + "-" + ProcessHandle.current().pid();
        PeerLinks.Hello self = createHello(processId);
        links =
                new PeerLinks(
                        transport,
                        codec,
                        self,
                        this,
                        directory::peerAddress,
                        this::currentHeartbeat);
        node = createEngine();
        proposer = new Proposer(node, processId, settings.clockRate());
        membership = new Membership(node, directory, proposer);
        leaderTasks = new LeaderTasks(settings, self, node, directory, proposer);
        links.listen(settings.peerListenAddress());
        memberNames().forEach(links::ensureLink);
        node.start().join();
        raftThread.scheduleRealTime(this::periodicCheck, LeaderTasks.CHECK_PERIOD.toNanos());
    }

    private PeerLinks.Hello createHello(String processId) {
        return new PeerLinks.Hello(
                identity.group(),
                settings.name(),
                identity.disk(),
                processId,
                settings.supportedFeatureLevel(),
                HostPort.format(settings.peerListenAddress()),
                HostPort.format(settings.clientListenAddress()));
    }

    private PeerLinks.Heartbeat currentHeartbeat() {
        return new PeerLinks.Heartbeat(
                settings.wallClock().getAsLong(), settings.supportedFeatureLevel());
    }

    /**
     * Creates the consensus engine from the persisted log, or with the initial members if it is
     * empty.
     */
    private RaftNode createEngine() throws IOException {
        LogStore log =
                new LogStore(
                        store,
                        failure ->
                                fatalErrorHandler.exit(
                                        EXIT_STORE_FAILED, "store: " + failure.getMessage()));
        RestoredRaftState restored = log.restore();
        RaftNode.RaftNodeBuilder builder =
                RaftNode.newBuilder()
                        .setGroupId(identity.group())
                        .setConfig(engineConfig())
                        .setExecutor(raftThread)
                        .setTransport(links)
                        .setStateMachine(stateMachine)
                        .setStore(log)
                        .setClock(raftThread.clock());
        if (restored != null) {
            builder.setRestoredState(restored);
        } else {
            Collection<RaftEndpoint> initialMembers = new ArrayList<>();
            identity.first().forEach(name -> initialMembers.add(new Member(name)));
            builder.setLocalEndpoint(new Member(settings.name()))
                    .setInitialGroupMembers(initialMembers);
        }
        return builder.build();
    }

    private RaftConfig engineConfig() {
        return RaftConfig.newBuilder()
                .setLeaderElectionTimeoutMillis(1_000)
                .setLeaderHeartbeatPeriodSecs(1)
                .setLeaderHeartbeatTimeoutSecs(5)
                .setCommitCountToTakeSnapshot(settings.snapshotIntervalEntries())
                .setMaxPendingLogEntryCount(settings.maxPendingEntries())
                .setAppendEntriesRequestBatchSize(500)
                .setTransferSnapshotsFromFollowersEnabled(false)
                .build();
    }

    private Collection<String> memberNames() {
        return Member.sortedNames(node.getEffectiveMembers().getMembers());
    }

    @Override
    public String helloReceived(PeerLinks.Hello hello) {
        return directory.admit(hello);
    }

    @Override
    public void messageReceived(String from, byte[] bytes) throws IOException {
        RaftMessage message = codec.decode(bytes);
        if (!from.equals(message.getSender().getId())) {
            throw new IOException(
                    from
                            + " sent a message that names "
                            + message.getSender().getId()
                            + " as its sender");
        }
        node.handle(message);
    }

    @Override
    public void heartbeatReceived(String from, PeerLinks.Heartbeat heartbeat) {
        leaderTasks.heartbeatReceived(from, heartbeat);
    }

    @Override
    public void refusedByPeer(String peer, String reason) {
        Log.warn("peer.refuses", "peer", peer, "why", reason);
        if (reason.startsWith(Identity.OTHER_DISK_PREFIX)) {
            fatalErrorHandler.exit(EXIT_REFUSED_BY_PEER, "refused by " + peer + ": " + reason);
        }
    }

    /**
     * Updates the peer directory and the links, and runs the leader's tasks if this replica leads;
     * runs on the engine's thread.
     */
    private void periodicCheck() {
        if (closed) {
            return;
        }
        raftThread.scheduleRealTime(this::periodicCheck, LeaderTasks.CHECK_PERIOD.toNanos());
        StalePreVoteRecovery.recover(node);
        directory.update(stateMachine.state());
        links.updateLinks(memberNames());
        if (isLeader()) {
            leaderTasks.run(stateMachine.state());
        }
    }

    /** Whether this replica leads, as far as it knows. */
    public boolean isLeader() {
        RaftEndpoint leader = node.getTerm().getLeaderEndpoint();
        return leader != null && settings.name().equals(leader.getId());
    }

    /** The leader's address for clients, or null if none is known. */
    public String leaderClientAddress() {
        RaftEndpoint leader = node.getTerm().getLeaderEndpoint();
        return leader == null ? null : directory.clientAddress(Member.name(leader));
    }

    /**
     * Calls a listener once, on the engine's thread, at the next change of the group's state;
     * returns false if too many listeners are registered.
     */
    public boolean onNextChange(Runnable listener) {
        return changeListeners.add(listener);
    }

    /**
     * Proposes a client's command; the reply arrives once a majority has the command and it is
     * applied.
     */
    public CompletableFuture<Reply> propose(String client, long seq, Command command) {
        return proposer.propose(client, seq, command);
    }

    /** Reads the group's state: the current one, or this replica's copy, which may be stale. */
    public <T> CompletableFuture<T> read(Function<GroupState, T> query, boolean stale) {
        return node.<T>query(
                        new ReplicaStateMachine.Query(state -> query.apply(state)),
                        stale ? QueryPolicy.EVENTUAL_CONSISTENCY : QueryPolicy.LINEARIZABLE,
                        Optional.empty(),
                        Optional.empty())
                .thenApply(Ordered::getResult);
    }

    /** Transfers leadership to a member. */
    public CompletableFuture<Object> transferLeadership(String to) {
        return membership.transferLeadership(to);
    }

    /** Adds a member as a learner; a later call promotes it to a voter once it has caught up. */
    public CompletableFuture<String> join(String name, String disk, String peers, String clients) {
        return membership.join(name, disk, peers, clients);
    }

    /** Removes a member that is dead or leaving. */
    public CompletableFuture<String> leave(String name) {
        return membership.leave(name);
    }

    /** Returns the status of this replica. */
    public CompletableFuture<ReplicaStatus> status() {
        return node.getReport()
                .thenApplyAsync(
                        report ->
                                ReplicaStatus.of(
                                        settings,
                                        report.getResult(),
                                        stateMachine.state(),
                                        leaderClientAddress(),
                                        links.linkStates()),
                        raftThread::execute); // the state is confined to the engine's thread
    }

    /** The id of this replica's disk. */
    public String diskId() {
        return identity.disk();
    }

    @Override
    public void close() throws IOException {
        closed = true;
        node.terminate()
                .completeOnTimeout(null, TERMINATION_TIMEOUT_SECONDS, TimeUnit.SECONDS)
                .exceptionally(failure -> null)
                .join();
        links.stop();
        raftThread.shutdown();
        transport.close();
        store.close();
    }
}

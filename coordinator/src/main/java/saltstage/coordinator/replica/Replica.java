package saltstage.coordinator.replica;

import io.microraft.MembershipChangeMode;
import io.microraft.Ordered;
import io.microraft.QueryPolicy;
import io.microraft.RaftConfig;
import io.microraft.RaftEndpoint;
import io.microraft.RaftNode;
import io.microraft.persistence.RestoredRaftState;
import io.microraft.report.RaftNodeReport;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import saltstage.coordinator.group.Codec;
import saltstage.coordinator.group.GroupCommands;
import saltstage.coordinator.group.GroupState;
import saltstage.coordinator.group.Proposal;
import saltstage.coordinator.model.Command;
import saltstage.coordinator.model.Reply;
import saltstage.log.Log;
import saltstage.net.Transport;
import saltstage.store.Store;

/**
 * One replica of a group: the consensus engine, its log in the embedded store, its links and the
 * state. A command is answered once a majority has it durable; a replica that cannot keep what it
 * must ends its process rather than go on with a state that nobody knows.
 */
public final class Replica implements AutoCloseable, PeerLinks.Events {
    private static final Duration CHECK_PERIOD = Duration.ofMillis(200);
    private static final Duration IDLE_TICK_PERIOD = Duration.ofSeconds(2);
    private static final int MAX_LISTENERS = 20_000;
    private static final int MAX_LAG_TO_VOTE = 200;

    /** How a replica stands, by itself. */
    public record Status(
            String name,
            String group,
            String role,
            int term,
            String leader,
            String leaderClients,
            List<String> voters,
            List<String> learners,
            List<String> first,
            long commitIndex,
            long lastIndex,
            long snapshotIndex,
            int level,
            int speaks,
            long groupNow,
            long day,
            int leases,
            int sessions,
            Map<String, Boolean> links,
            Map<String, GroupState.MemberRow> members) {}

    /** Ends the process: code and why. */
    public interface Fatal {
        /** Does not return, or ends the replica. */
        void end(int code, String why);
    }

    private final ReplicaSettings settings;
    private final Identity identity;
    private final RaftThread thread;
    private final PeerLinks links;
    private final RaftNode node;
    private final RaftCodec codec;
    private final ReplicaStateMachine machine;
    private final Fatal fatal;
    private final Transport transport;
    private final Store store;
    private final String process =
            Long.toHexString(System.nanoTime()) + "-" + ProcessHandle.current().pid();
    private final Map<String, ReceivedHeartbeat> heartbeats = new ConcurrentHashMap<>();
    private final Map<String, PeerLinks.Hello> hellos = new ConcurrentHashMap<>();
    private final List<Runnable> waiting = new ArrayList<>();
    private volatile Map<String, GroupState.MemberRow> known = Map.of();
    private volatile int level;
    private long lastTick;
    private volatile boolean closed;

    private record ReceivedHeartbeat(PeerLinks.Heartbeat heartbeat, long atNanos) {}

    /** Starts it; a store that belongs to another group, name or disk is refused. */
    public Replica(ReplicaSettings settings, Store store, Transport transport, Fatal fatal)
            throws IOException {
        this.settings = settings;
        this.fatal = fatal;
        this.transport = transport;
        this.store = store;
        identity = Identity.of(store, settings);
        codec = new RaftCodec(identity.group());
        thread = new RaftThread("replica", settings.speed());
        machine = new ReplicaStateMachine(fatal, this::changed);
        LogStore log = new LogStore(store, why -> fatal.end(74, "store: " + why.getMessage()));
        links =
                new PeerLinks(
                        transport,
                        codec,
                        ownHello(),
                        this,
                        this::address,
                        () ->
                                new PeerLinks.Heartbeat(
                                        settings.wall().getAsLong(), settings.speaks()));
        node = engine(log);
        links.listen(settings.peers());
        names().forEach(links::keep);
        node.start().join();
        thread.every(this::periodicCheck, CHECK_PERIOD.toNanos());
    }

    private PeerLinks.Hello ownHello() {
        return new PeerLinks.Hello(
                identity.group(),
                settings.name(),
                identity.disk(),
                process,
                settings.speaks(),
                text(settings.peers()),
                text(settings.clients()));
    }

    /** The consensus engine on what the log holds, or on the group's first members. */
    private RaftNode engine(LogStore log) throws IOException {
        RestoredRaftState restored = log.restore();
        RaftNode.RaftNodeBuilder builder =
                RaftNode.newBuilder()
                        .setGroupId(identity.group())
                        .setConfig(config())
                        .setExecutor(thread)
                        .setTransport(links)
                        .setStateMachine(machine)
                        .setStore(log)
                        .setClock(thread.clock());
        if (restored != null) {
            builder.setRestoredState(restored);
        } else {
            Collection<RaftEndpoint> first = new ArrayList<>();
            identity.first().forEach(name -> first.add(new Member(name)));
            builder.setLocalEndpoint(new Member(settings.name())).setInitialGroupMembers(first);
        }
        return builder.build();
    }

    private RaftConfig config() {
        return RaftConfig.newBuilder()
                .setLeaderElectionTimeoutMillis(1_000)
                .setLeaderHeartbeatPeriodSecs(1)
                .setLeaderHeartbeatTimeoutSecs(5)
                .setCommitCountToTakeSnapshot(settings.snapshotEvery())
                .setMaxPendingLogEntryCount(settings.mostPending())
                .setAppendEntriesRequestBatchSize(500)
                .setTransferSnapshotsFromFollowersEnabled(false)
                .build();
    }

    private static String text(InetSocketAddress address) {
        return address.getHostString() + ":" + address.getPort();
    }

    private Collection<String> names() {
        return node.getEffectiveMembers().getMembers().stream()
                .map(m -> (String) m.getId())
                .toList();
    }

    /** Where a peer is reached: by the settings of this one, else where it says that it is. */
    private InetSocketAddress address(String peer) {
        InetSocketAddress told = settings.reach().get(peer);
        if (told != null) {
            return told;
        }
        GroupState.MemberRow row = known.get(peer);
        if (row == null || row.peers() == null) {
            return null;
        }
        int colon = row.peers().lastIndexOf(':');
        return new InetSocketAddress(
                row.peers().substring(0, colon),
                Integer.parseInt(row.peers().substring(colon + 1)));
    }

    // ---- what peers say

    @Override
    public String hello(PeerLinks.Hello who) {
        if (!identity.group().equals(who.group())) {
            return "it is of group " + who.group() + ", this is " + identity.group();
        }
        GroupState.MemberRow row = known.get(who.from());
        if (row != null && !row.disk().equals(who.disk())) {
            return Identity.OTHER_DISK
                    + ": "
                    + who.from()
                    + " was on another disk; remove it, and let the new one join under a name of its own";
        }
        if (who.speaks() < level) {
            return "its build knows level " + who.speaks() + ", the group works at " + level;
        }
        hellos.put(who.from(), who);
        return null;
    }

    /**
     * Peers have mostly said who they are before anybody led: the leader tells the group when it
     * can.
     */
    private void introduce() {
        for (PeerLinks.Hello who : hellos.values()) {
            GroupState.MemberRow row = known.get(who.from());
            if (names().contains(who.from())
                    && (row == null
                            || row.disk().equals(who.disk())
                                    && !(who.peers().equals(row.peers())
                                            && who.clients().equals(row.clients())))) {
                own(
                        new GroupCommands.Introduce(
                                who.from(), who.disk(), who.peers(), who.clients()));
            }
        }
    }

    @Override
    public void message(String from, byte[] bytes) throws IOException {
        var message = codec.message(bytes);
        if (!from.equals(message.getSender().getId())) {
            throw new IOException(from + " sends what " + message.getSender().getId() + " should");
        }
        node.handle(message);
    }

    @Override
    public void heartbeat(String from, PeerLinks.Heartbeat told) {
        heartbeats.put(from, new ReceivedHeartbeat(told, System.nanoTime()));
    }

    @Override
    public void refused(String by, String why) {
        Log.warn("peer.refuses", "peer", by, "why", why);
        if (why.startsWith(Identity.OTHER_DISK)) {
            fatal.end(78, "refused by " + by + ": " + why);
        }
    }

    // ---- the leader's business, on the engine's thread

    /** Whether this one leads, as far as it knows. */
    public boolean leads() {
        RaftEndpoint leader = node.getTerm().getLeaderEndpoint();
        return leader != null && settings.name().equals(leader.getId());
    }

    private void periodicCheck() {
        if (closed) {
            return;
        }
        thread.every(this::periodicCheck, CHECK_PERIOD.toNanos());
        known = Map.copyOf(machine.state().members());
        level = machine.state().level();
        links.keepOnly(names());
        long now = System.nanoTime();
        boolean timed =
                machine.state().leases().nextDue() != Long.MAX_VALUE
                        || machine.state().windows().alive();
        if (leads()
                && now - lastTick
                        >= (timed ? CHECK_PERIOD : IDLE_TICK_PERIOD).toNanos()
                                - CHECK_PERIOD.toNanos() / 2) {
            lastTick = now;
            introduce();
            tick(now);
        }
    }

    private void tick(long now) {
        Map<String, Long> walls =
                new TreeMap<>(Map.of(settings.name(), settings.wall().getAsLong()));
        Map<String, Integer> speaks = new TreeMap<>(Map.of(settings.name(), settings.speaks()));
        heartbeats.forEach(
                (name, received) -> {
                    long age = TimeUnit.NANOSECONDS.toMillis(now - received.atNanos());
                    if (age < 10_000) {
                        walls.put(name, received.heartbeat().wallMs() + age);
                        speaks.put(name, received.heartbeat().speaks());
                    }
                });
        if (!known.containsKey(settings.name())) {
            own(
                    new GroupCommands.Introduce(
                            settings.name(),
                            identity.disk(),
                            text(settings.peers()),
                            text(settings.clients())));
        }
        own(
                new GroupCommands.Tick(
                        walls,
                        speaks,
                        node.getCommittedMembers().getVotingMembers().stream()
                                .map(m -> (String) m.getId())
                                .sorted()
                                .toList()));
    }

    private void own(Command command) {
        propose("", 0, command)
                .exceptionally(failed -> null); // the next look sees whether it is still due
    }

    private void changed() {
        synchronized (waiting) {
            if (waiting.isEmpty()) {
                return;
            }
            List<Runnable> now = List.copyOf(waiting);
            waiting.clear();
            now.forEach(Runnable::run);
        }
    }

    // ---- what clients want

    /**
     * Is told once, on the engine's thread, when the state next changes by itself or by somebody.
     */
    public boolean onChange(Runnable told) {
        synchronized (waiting) {
            return waiting.size() < MAX_LISTENERS && waiting.add(told);
        }
    }

    /** Proposes a command; the reply comes once it is carried out by a majority. */
    public CompletableFuture<Reply> propose(String client, long seq, Command command) {
        String epoch = process + "/" + node.getTerm().getTerm();
        long stamp = (long) (System.nanoTime() / 1_000_000 * settings.clockRate());
        byte[] entry = Codec.entry(new Proposal(client, seq, epoch, stamp, command));
        return node.<Reply>replicate(entry).thenApply(Ordered::getResult);
    }

    /** Reads the state: as the group has it now, or as it was here some time ago. */
    public <T> CompletableFuture<T> read(Function<GroupState, T> query, boolean stale) {
        return node.<T>query(
                        new ReplicaStateMachine.Query(state -> query.apply(state)),
                        stale ? QueryPolicy.EVENTUAL_CONSISTENCY : QueryPolicy.LINEARIZABLE,
                        Optional.empty(),
                        Optional.empty())
                .thenApply(Ordered::getResult);
    }

    /** Where the leader takes calls, or null where none is known. */
    public String leaderClients() {
        RaftEndpoint leader = node.getTerm().getLeaderEndpoint();
        if (leader == null) {
            return null;
        }
        GroupState.MemberRow row = known.get((String) leader.getId());
        return row == null ? settings.clientsOf().get((String) leader.getId()) : row.clients();
    }

    /** Hands leadership to a member. */
    public CompletableFuture<Object> transfer(String to) {
        return node.transferLeadership(new Member(to)).thenApply(Ordered::getResult);
    }

    /** Takes a member in, first as one that only learns, later as one that votes. */
    public CompletableFuture<String> join(String name, String disk, String peers, String clients) {
        Member member = new Member(name);
        GroupState.MemberRow row = known.get(name);
        if (row != null && !row.disk().equals(disk)) {
            return CompletableFuture.failedFuture(
                    new IllegalArgumentException(
                            Identity.OTHER_DISK
                                    + ": the name "
                                    + name
                                    + " is taken, or was: join under one of its own"));
        }
        var members = node.getCommittedMembers();
        if (members.getVotingMembers().contains(member)) {
            return CompletableFuture.completedFuture("votes");
        }
        if (!members.getMembers().contains(member)) {
            return propose("", 0, new GroupCommands.Introduce(name, disk, peers, clients))
                    .thenCompose(
                            done ->
                                    node.changeMembership(
                                            member,
                                            MembershipChangeMode.ADD_LEARNER,
                                            members.getLogIndex()))
                    .thenApply(done -> "learns");
        }
        return node.getReport()
                .thenCompose(
                        report -> {
                            RaftNodeReport now = report.getResult();
                            long at =
                                    now.getLog().getFollowerMatchIndices().getOrDefault(member, 0L);
                            if (now.getLog().getLastLogOrSnapshotIndex() - at > MAX_LAG_TO_VOTE) {
                                return CompletableFuture.completedFuture("learns");
                            }
                            return node.changeMembership(
                                            member,
                                            MembershipChangeMode.ADD_OR_PROMOTE_TO_FOLLOWER,
                                            node.getCommittedMembers().getLogIndex())
                                    .thenApply(done -> "votes");
                        });
    }

    /** Lets a member go: dead, or leaving. */
    public CompletableFuture<String> leave(String name) {
        Member member = new Member(name);
        var members = node.getCommittedMembers();
        CompletableFuture<?> out =
                members.getMembers().contains(member)
                        ? node.changeMembership(
                                member, MembershipChangeMode.REMOVE_MEMBER, members.getLogIndex())
                        : CompletableFuture.completedFuture(null);
        return out.thenCompose(done -> propose("", 0, new GroupCommands.Forget(name)))
                .thenApply(done -> "gone");
    }

    /** How it stands. */
    public CompletableFuture<Status> status() {
        return node.getReport()
                .thenApplyAsync(
                        report -> { // the state belongs to the engine's thread
                            RaftNodeReport now = report.getResult();
                            GroupState state = machine.state();
                            List<String> voters =
                                    now.getCommittedMembers().getVotingMembers().stream()
                                            .map(m -> (String) m.getId())
                                            .sorted()
                                            .toList();
                            List<String> learners =
                                    now.getCommittedMembers().getMembers().stream()
                                            .map(m -> (String) m.getId())
                                            .filter(m -> !voters.contains(m))
                                            .sorted()
                                            .toList();
                            RaftEndpoint leader = now.getTerm().getLeaderEndpoint();
                            return new Status(
                                    settings.name(),
                                    identity.group(),
                                    now.getRole().name().toLowerCase(),
                                    now.getTerm().getTerm(),
                                    leader == null ? null : (String) leader.getId(),
                                    leaderClients(),
                                    voters,
                                    learners,
                                    now.getInitialMembers().getMembers().stream()
                                            .map(m -> (String) m.getId())
                                            .sorted()
                                            .toList(),
                                    now.getLog().getCommitIndex(),
                                    now.getLog().getLastLogOrSnapshotIndex(),
                                    now.getLog().getLastSnapshotIndex(),
                                    state.level(),
                                    settings.speaks(),
                                    state.time().now(),
                                    state.time().day(),
                                    state.leases().size(),
                                    state.sessions(),
                                    links.up(),
                                    new TreeMap<>(state.members()));
                        },
                        thread::execute);
    }

    /** This replica's disk. */
    public String disk() {
        return identity.disk();
    }

    @Override
    public void close() throws IOException {
        closed = true;
        node.terminate()
                .completeOnTimeout(null, 3, TimeUnit.SECONDS)
                .exceptionally(any -> null)
                .join();
        links.end();
        thread.end();
        transport.close();
        store.close();
    }
}

package saltstage.coordinator.replica;

import io.microraft.MembershipChangeMode;
import io.microraft.RaftEndpoint;
import io.microraft.model.RaftModelFactory;
import io.microraft.model.groupop.UpdateRaftGroupMembersOp;
import io.microraft.model.impl.DefaultRaftModelFactory;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.message.AppendEntriesFailureResponse;
import io.microraft.model.message.AppendEntriesRequest;
import io.microraft.model.message.AppendEntriesSuccessResponse;
import io.microraft.model.message.InstallSnapshotRequest;
import io.microraft.model.message.InstallSnapshotResponse;
import io.microraft.model.message.PreVoteRequest;
import io.microraft.model.message.PreVoteResponse;
import io.microraft.model.message.RaftMessage;
import io.microraft.model.message.TriggerLeaderElectionRequest;
import io.microraft.model.message.VoteRequest;
import io.microraft.model.message.VoteResponse;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import saltstage.coordinator.group.GroupCodec;

/**
 * Encodes the consensus engine's messages and log records as CBOR. All messages share one flat
 * form, {@link Packet}; the methods that create and read a kind of message define which fields it
 * uses.
 */
final class RaftCodec {
    private static final RaftModelFactory MODEL = new DefaultRaftModelFactory();

    /**
     * The kinds of messages. The names are part of the wire format; new kinds are added at the end.
     */
    private enum Kind {
        APPEND,
        APPENDED,
        NOT_APPENDED,
        SNAPSHOT,
        SNAPSHOT_TAKEN,
        PRE_VOTE,
        PRE_VOTED,
        VOTE,
        VOTED,
        TAKE_OVER
    }

    /**
     * The operation of a log entry: a proposal's bytes, a membership change, or, with neither, the
     * start of a term.
     */
    record Op(byte[] proposal, Members members, String endpoint, String mode) {}

    /** A log entry. */
    record Entry(long index, int term, Op op) {}

    /** The members of the group as of a log index, and the voters among them. */
    record Members(long index, List<String> all, List<String> voting) {}

    /**
     * A chunk of a snapshot.
     *
     * @param at the position of the chunk within the snapshot
     * @param of the number of chunks in the snapshot
     */
    record Chunk(long index, int term, byte[] bytes, int at, int of, Members members) {}

    /** The current term and the vote given in it. */
    record Term(int term, String votedFor) {}

    /** The local member of this replica. */
    record Self(String member, boolean voting) {}

    /** The flat form of all messages. */
    private record Packet(
            Kind kind,
            String from,
            int term,
            int otherTerm,
            long index,
            long commit,
            long query,
            long flow,
            boolean flag,
            int count,
            List<Entry> entries,
            Chunk chunk,
            Members members,
            List<String> holders) {}

    private final Object groupId;

    RaftCodec(Object groupId) {
        this.groupId = groupId;
    }

    private static String nameOf(RaftEndpoint endpoint) {
        return endpoint == null ? null : (String) endpoint.getId();
    }

    private static List<String> namesOf(Collection<RaftEndpoint> endpoints) {
        return endpoints.stream().map(RaftCodec::nameOf).toList();
    }

    private static RaftEndpoint toEndpoint(String name) {
        return name == null ? null : new Member(name);
    }

    private static Collection<RaftEndpoint> toEndpoints(List<String> names) {
        return new ArrayList<>(names.stream().map(RaftCodec::toEndpoint).toList());
    }

    static Members toMembers(RaftGroupMembersView view) {
        return view == null
                ? null
                : new Members(
                        view.getLogIndex(),
                        namesOf(view.getMembers()),
                        namesOf(view.getVotingMembers()));
    }

    static RaftGroupMembersView toMembersView(Members members) {
        return members == null
                ? null
                : MODEL.createRaftGroupMembersViewBuilder()
                        .setLogIndex(members.index())
                        .setMembers(toEndpoints(members.all()))
                        .setVotingMembers(toEndpoints(members.voting()))
                        .build();
    }

    private static Op toOp(Object operation) {
        if (operation instanceof byte[] proposal) {
            return new Op(proposal, null, null, null);
        }
        if (operation instanceof UpdateRaftGroupMembersOp change) {
            return new Op(
                    null,
                    new Members(
                            0, namesOf(change.getMembers()), namesOf(change.getVotingMembers())),
                    nameOf(change.getEndpoint()),
                    change.getMode().name());
        }
        return new Op(null, null, null, null);
    }

    private static Object toOperation(Op op) {
        if (op.proposal() != null) {
            return op.proposal();
        }
        if (op.members() == null) {
            return NewTermOperation.INSTANCE;
        }
        return MODEL.createUpdateRaftGroupMembersOpBuilder()
                .setMembers(toEndpoints(op.members().all()))
                .setVotingMembers(toEndpoints(op.members().voting()))
                .setEndpoint(toEndpoint(op.endpoint()))
                .setMode(MembershipChangeMode.valueOf(op.mode()))
                .build();
    }

    static Entry toEntry(LogEntry entry) {
        return new Entry(entry.getIndex(), entry.getTerm(), toOp(entry.getOperation()));
    }

    static LogEntry toLogEntry(Entry entry) {
        return MODEL.createLogEntryBuilder()
                .setIndex(entry.index())
                .setTerm(entry.term())
                .setOperation(toOperation(entry.op()))
                .build();
    }

    static Chunk toChunk(SnapshotChunk chunk) {
        return chunk == null
                ? null
                : new Chunk(
                        chunk.getIndex(),
                        chunk.getTerm(),
                        (byte[]) chunk.getOperation(),
                        chunk.getSnapshotChunkIndex(),
                        chunk.getSnapshotChunkCount(),
                        toMembers(chunk.getGroupMembersView()));
    }

    static SnapshotChunk toSnapshotChunk(Chunk chunk) {
        return chunk == null
                ? null
                : MODEL.createSnapshotChunkBuilder()
                        .setIndex(chunk.index())
                        .setTerm(chunk.term())
                        .setOperation(chunk.bytes())
                        .setSnapshotChunkIndex(chunk.at())
                        .setSnapshotChunkCount(chunk.of())
                        .setGroupMembersView(toMembersView(chunk.members()))
                        .build();
    }

    byte[] encode(RaftMessage message) {
        return GroupCodec.toCbor(toPacket(message));
    }

    private static Packet simplePacket(
            Kind kind, RaftMessage message, int otherTerm, long index, boolean flag) {
        return new Packet(
                kind,
                nameOf(message.getSender()),
                message.getTerm(),
                otherTerm,
                index,
                0,
                0,
                0,
                flag,
                0,
                null,
                null,
                null,
                null);
    }

    private static Packet responsePacket(
            Kind kind, RaftMessage message, long index, int count, long query, long flow) {
        return new Packet(
                kind,
                nameOf(message.getSender()),
                message.getTerm(),
                0,
                index,
                0,
                query,
                flow,
                false,
                count,
                null,
                null,
                null,
                null);
    }

    private static Packet toPacket(RaftMessage message) {
        Packet packet = appendPacket(message);
        packet = packet != null ? packet : snapshotPacket(message);
        packet = packet != null ? packet : electionPacket(message);
        if (packet == null) {
            throw new IllegalArgumentException("unknown type of message: " + message.getClass());
        }
        return packet;
    }

    private static Packet appendRequestPacket(AppendEntriesRequest request) {
        return new Packet(
                Kind.APPEND,
                nameOf(request.getSender()),
                request.getTerm(),
                request.getPreviousLogTerm(),
                request.getPreviousLogIndex(),
                request.getCommitIndex(),
                request.getQuerySequenceNumber(),
                request.getFlowControlSequenceNumber(),
                false,
                0,
                request.getLogEntries().stream().map(RaftCodec::toEntry).toList(),
                null,
                null,
                null);
    }

    private static Packet snapshotRequestPacket(InstallSnapshotRequest request) {
        return new Packet(
                Kind.SNAPSHOT,
                nameOf(request.getSender()),
                request.getTerm(),
                request.getSnapshotTerm(),
                request.getSnapshotIndex(),
                0,
                request.getQuerySequenceNumber(),
                request.getFlowControlSequenceNumber(),
                request.isSenderLeader(),
                request.getTotalSnapshotChunkCount(),
                null,
                toChunk(request.getSnapshotChunk()),
                toMembers(request.getGroupMembersView()),
                namesOf(request.getSnapshottedMembers()));
    }

    private static Packet appendPacket(RaftMessage message) {
        if (message instanceof AppendEntriesRequest request) {
            return appendRequestPacket(request);
        }
        if (message instanceof AppendEntriesSuccessResponse response) {
            return responsePacket(
                    Kind.APPENDED,
                    response,
                    response.getLastLogIndex(),
                    0,
                    response.getQuerySequenceNumber(),
                    response.getFlowControlSequenceNumber());
        }
        if (message instanceof AppendEntriesFailureResponse response) {
            return responsePacket(
                    Kind.NOT_APPENDED,
                    response,
                    response.getExpectedNextIndex(),
                    0,
                    response.getQuerySequenceNumber(),
                    response.getFlowControlSequenceNumber());
        }
        return null;
    }

    private static Packet snapshotPacket(RaftMessage message) {
        if (message instanceof InstallSnapshotRequest request) {
            return snapshotRequestPacket(request);
        }
        if (message instanceof InstallSnapshotResponse response) {
            return responsePacket(
                    Kind.SNAPSHOT_TAKEN,
                    response,
                    response.getSnapshotIndex(),
                    response.getRequestedSnapshotChunkIndex(),
                    response.getQuerySequenceNumber(),
                    response.getFlowControlSequenceNumber());
        }
        return null;
    }

    private static Packet electionPacket(RaftMessage message) {
        if (message instanceof PreVoteRequest request) {
            return simplePacket(
                    Kind.PRE_VOTE,
                    request,
                    request.getLastLogTerm(),
                    request.getLastLogIndex(),
                    false);
        }
        if (message instanceof PreVoteResponse response) {
            return simplePacket(Kind.PRE_VOTED, response, 0, 0, response.isGranted());
        }
        if (message instanceof VoteRequest request) {
            return simplePacket(
                    Kind.VOTE,
                    request,
                    request.getLastLogTerm(),
                    request.getLastLogIndex(),
                    request.isSticky());
        }
        if (message instanceof VoteResponse response) {
            return simplePacket(Kind.VOTED, response, 0, 0, response.isGranted());
        }
        if (message instanceof TriggerLeaderElectionRequest request) {
            return simplePacket(
                    Kind.TAKE_OVER,
                    request,
                    request.getLastLogTerm(),
                    request.getLastLogIndex(),
                    false);
        }
        return null;
    }

    /** Decodes a message; throws an IOException if the bytes are not a valid one. */
    RaftMessage decode(byte[] bytes) throws IOException {
        Packet packet = GroupCodec.cborMapper().readValue(bytes, Packet.class);
        if (packet == null || packet.kind() == null || packet.from() == null) {
            throw new IOException("message without kind or sender");
        }
        try {
            return toMessage(packet);
        } catch (RuntimeException invalid) { // a field is missing or has an unknown value
            throw new IOException(
                    "message of kind " + packet.kind() + " has missing or unknown fields", invalid);
        }
    }

    private RaftMessage toMessage(Packet packet) {
        return switch (packet.kind()) {
            case APPEND ->
                    MODEL.createAppendEntriesRequestBuilder()
                            .setGroupId(groupId)
                            .setSender(toEndpoint(packet.from()))
                            .setTerm(packet.term())
                            .setPreviousLogTerm(packet.otherTerm())
                            .setPreviousLogIndex(packet.index())
                            .setCommitIndex(packet.commit())
                            .setLogEntries(
                                    packet.entries().stream().map(RaftCodec::toLogEntry).toList())
                            .setQuerySequenceNumber(packet.query())
                            .setFlowControlSequenceNumber(packet.flow())
                            .build();
            case APPENDED ->
                    MODEL.createAppendEntriesSuccessResponseBuilder()
                            .setGroupId(groupId)
                            .setSender(toEndpoint(packet.from()))
                            .setTerm(packet.term())
                            .setLastLogIndex(packet.index())
                            .setQuerySequenceNumber(packet.query())
                            .setFlowControlSequenceNumber(packet.flow())
                            .build();
            case NOT_APPENDED ->
                    MODEL.createAppendEntriesFailureResponseBuilder()
                            .setGroupId(groupId)
                            .setSender(toEndpoint(packet.from()))
                            .setTerm(packet.term())
                            .setExpectedNextIndex(packet.index())
                            .setQuerySequenceNumber(packet.query())
                            .setFlowControlSequenceNumber(packet.flow())
                            .build();
            case SNAPSHOT, SNAPSHOT_TAKEN -> toSnapshotMessage(packet);
            case PRE_VOTE, PRE_VOTED, VOTE, VOTED, TAKE_OVER -> toElectionMessage(packet);
        };
    }

    private RaftMessage toSnapshotMessage(Packet packet) {
        if (packet.kind() == Kind.SNAPSHOT_TAKEN) {
            return MODEL.createInstallSnapshotResponseBuilder()
                    .setGroupId(groupId)
                    .setSender(toEndpoint(packet.from()))
                    .setTerm(packet.term())
                    .setSnapshotIndex(packet.index())
                    .setRequestedSnapshotChunkIndex(packet.count())
                    .setQuerySequenceNumber(packet.query())
                    .setFlowControlSequenceNumber(packet.flow())
                    .build();
        }
        return MODEL.createInstallSnapshotRequestBuilder()
                .setGroupId(groupId)
                .setSender(toEndpoint(packet.from()))
                .setTerm(packet.term())
                .setSenderLeader(packet.flag())
                .setSnapshotTerm(packet.otherTerm())
                .setSnapshotIndex(packet.index())
                .setTotalSnapshotChunkCount(packet.count())
                .setSnapshotChunk(toSnapshotChunk(packet.chunk()))
                .setSnapshottedMembers(toEndpoints(packet.holders()))
                .setGroupMembersView(toMembersView(packet.members()))
                .setQuerySequenceNumber(packet.query())
                .setFlowControlSequenceNumber(packet.flow())
                .build();
    }

    private RaftMessage toElectionMessage(Packet packet) {
        RaftEndpoint from = toEndpoint(packet.from());
        return switch (packet.kind()) {
            case PRE_VOTE ->
                    MODEL.createPreVoteRequestBuilder()
                            .setGroupId(groupId)
                            .setSender(from)
                            .setTerm(packet.term())
                            .setLastLogTerm(packet.otherTerm())
                            .setLastLogIndex(packet.index())
                            .build();
            case PRE_VOTED ->
                    MODEL.createPreVoteResponseBuilder()
                            .setGroupId(groupId)
                            .setSender(from)
                            .setTerm(packet.term())
                            .setGranted(packet.flag())
                            .build();
            case VOTE ->
                    MODEL.createVoteRequestBuilder()
                            .setGroupId(groupId)
                            .setSender(from)
                            .setTerm(packet.term())
                            .setLastLogTerm(packet.otherTerm())
                            .setLastLogIndex(packet.index())
                            .setSticky(packet.flag())
                            .build();
            case VOTED ->
                    MODEL.createVoteResponseBuilder()
                            .setGroupId(groupId)
                            .setSender(from)
                            .setTerm(packet.term())
                            .setGranted(packet.flag())
                            .build();
            default ->
                    MODEL.createTriggerLeaderElectionRequestBuilder()
                            .setGroupId(groupId)
                            .setSender(from)
                            .setTerm(packet.term())
                            .setLastLogTerm(packet.otherTerm())
                            .setLastLogIndex(packet.index())
                            .build();
        };
    }
}

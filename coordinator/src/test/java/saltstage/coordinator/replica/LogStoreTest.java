package saltstage.coordinator.replica;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.microraft.model.RaftModelFactory;
import io.microraft.model.impl.DefaultRaftModelFactory;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.message.RaftMessage;
import io.microraft.persistence.RestoredRaftState;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.LongStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import saltstage.store.FileDisk;
import saltstage.store.Store;
import saltstage.store.StoreEventListener;
import saltstage.store.StoreOptions;

/**
 * Checks that a restarted replica restores the entries, term, vote and complete snapshots that were
 * flushed, and nothing else; and that peers' messages survive encoding.
 */
class LogStoreTest {
    private static final RaftModelFactory MODEL = new DefaultRaftModelFactory();
    private static final Member MEMBER_A = new Member("a");

    @TempDir Path dir;

    private static LogEntry entry(long index, int term) {
        return MODEL.createLogEntryBuilder()
                .setIndex(index)
                .setTerm(term)
                .setOperation(new byte[] {(byte) index, (byte) term})
                .build();
    }

    private static RaftGroupMembersView members() {
        return RaftCodec.toMembersView(
                new RaftCodec.Members(0, List.of("a", "b"), List.of("a", "b")));
    }

    private static SnapshotChunk chunk(long index, int chunkIndex, int chunkCount) {
        return MODEL.createSnapshotChunkBuilder()
                .setIndex(index)
                .setTerm(2)
                .setOperation(new byte[] {(byte) chunkIndex})
                .setSnapshotChunkIndex(chunkIndex)
                .setSnapshotChunkCount(chunkCount)
                .setGroupMembersView(members())
                .build();
    }

    private Store open() throws IOException {
        return Store.open(new FileDisk(dir), StoreOptions.defaults(), StoreEventListener.NONE);
    }

    private static LogStore newLog(Store store) throws IOException {
        LogStore log = new LogStore(store, why -> {});
        log.persistAndFlushLocalEndpoint(
                MODEL.createRaftEndpointPersistentStateBuilder()
                        .setLocalEndpoint(new Member("a"))
                        .setVoting(true)
                        .build());
        log.persistAndFlushInitialGroupMembers(members());
        log.persistAndFlushTerm(
                MODEL.createRaftTermPersistentStateBuilder()
                        .setTerm(3)
                        .setVotedFor(new Member("b"))
                        .build());
        return log;
    }

    private RestoredRaftState reopenAndRestore() throws IOException {
        try (Store store = open()) {
            return new LogStore(store, why -> {}).restore();
        }
    }

    private static List<Long> indices(RestoredRaftState state) {
        return state.getLogEntries().stream().map(LogEntry::getIndex).toList();
    }

    @Test
    void emptyStoreRestoresNothing() throws IOException {
        assertNull(reopenAndRestore());
    }

    @Test
    void flushedEntriesVoteAndTermAreRestoredAndTruncatedOnesAreNot() throws IOException {
        try (Store store = open()) {
            LogStore log = newLog(store);
            log.persistLogEntries(List.of(entry(1, 1), entry(2, 1), entry(3, 1)));
            log.flush();
            log.truncateLogEntriesFrom(2);
            log.persistLogEntries(List.of(entry(2, 3)));
            log.flush();
            log.persistLogEntries(List.of(entry(3, 3))); // never flushed, so never promised
        }
        RestoredRaftState state = reopenAndRestore();
        assertEquals(List.of(1L, 2L), indices(state));
        assertEquals(3, state.getLogEntries().get(1).getTerm());
        assertArrayEquals(new byte[] {2, 3}, (byte[]) state.getLogEntries().get(1).getOperation());
        assertEquals(3, state.getTermPersistentState().getTerm());
        assertEquals("b", state.getTermPersistentState().getVotedFor().getId());
    }

    @Test
    void completeSnapshotIsRestoredAndPartialOneIsIgnored() throws IOException {
        try (Store store = open()) {
            LogStore log = newLog(store);
            log.persistLogEntries(LongStream.rangeClosed(1, 9).mapToObj(i -> entry(i, 2)).toList());
            log.persistSnapshotChunk(chunk(5, 0, 2));
            log.persistSnapshotChunk(chunk(5, 1, 2));
            log.persistSnapshotChunk(chunk(8, 0, 2)); // its second chunk is missing
            log.truncateLogEntriesUntil(3);
            log.flush();
        }
        RestoredRaftState state = reopenAndRestore();
        assertEquals(5, state.getSnapshotEntry().getIndex());
        assertEquals(2, state.getSnapshotEntry().getSnapshotChunkCount());
        assertEquals(List.of(6L, 7L, 8L, 9L), indices(state));
    }

    @Test
    void logWithAMissingEntryIsRejected() throws IOException {
        try (Store store = open()) {
            LogStore log = newLog(store);
            log.persistLogEntries(List.of(entry(1, 1), entry(2, 1), entry(4, 1)));
            log.flush();
        }
        assertThrows(IOException.class, this::reopenAndRestore);
    }

    @Test
    void diskOfAnotherMemberIsRejected() throws IOException {
        try (Store store = open()) {
            Identity.loadOrCreate(store, settings("a"));
            assertEquals("a", Identity.loadOrCreate(store, settings("a")).member());
            assertThrows(IOException.class, () -> Identity.loadOrCreate(store, settings("b")));
        }
    }

    private static ReplicaSettings settings(String name) {
        return new ReplicaSettings(
                "g",
                name,
                List.of("a", "b"),
                null,
                null,
                null,
                null,
                null,
                1,
                100,
                100,
                1,
                1,
                System::currentTimeMillis);
    }

    private static List<RaftMessage> appendMessages() {
        return List.of(
                MODEL.createAppendEntriesRequestBuilder()
                        .setGroupId("g")
                        .setSender(MEMBER_A)
                        .setTerm(7)
                        .setPreviousLogTerm(6)
                        .setPreviousLogIndex(5)
                        .setCommitIndex(4)
                        .setLogEntries(
                                List.of(
                                        entry(6, 7),
                                        MODEL.createLogEntryBuilder()
                                                .setIndex(7)
                                                .setTerm(7)
                                                .setOperation(NewTermOperation.INSTANCE)
                                                .build()))
                        .setQuerySequenceNumber(3)
                        .setFlowControlSequenceNumber(2)
                        .build(),
                MODEL.createAppendEntriesSuccessResponseBuilder()
                        .setGroupId("g")
                        .setSender(MEMBER_A)
                        .setTerm(7)
                        .setLastLogIndex(9)
                        .setQuerySequenceNumber(3)
                        .setFlowControlSequenceNumber(2)
                        .build(),
                MODEL.createAppendEntriesFailureResponseBuilder()
                        .setGroupId("g")
                        .setSender(MEMBER_A)
                        .setTerm(7)
                        .setExpectedNextIndex(9)
                        .setQuerySequenceNumber(3)
                        .setFlowControlSequenceNumber(2)
                        .build());
    }

    private static List<RaftMessage> snapshotMessages() {
        return List.of(
                MODEL.createInstallSnapshotRequestBuilder()
                        .setGroupId("g")
                        .setSender(MEMBER_A)
                        .setTerm(7)
                        .setSenderLeader(true)
                        .setSnapshotTerm(6)
                        .setSnapshotIndex(5)
                        .setTotalSnapshotChunkCount(2)
                        .setSnapshotChunk(chunk(5, 1, 2))
                        .setSnapshottedMembers(List.of(new Member("b")))
                        .setGroupMembersView(members())
                        .setQuerySequenceNumber(3)
                        .setFlowControlSequenceNumber(2)
                        .build(),
                MODEL.createInstallSnapshotResponseBuilder()
                        .setGroupId("g")
                        .setSender(MEMBER_A)
                        .setTerm(7)
                        .setSnapshotIndex(5)
                        .setRequestedSnapshotChunkIndex(1)
                        .setQuerySequenceNumber(3)
                        .setFlowControlSequenceNumber(2)
                        .build());
    }

    private static List<RaftMessage> preVoteMessages() {
        return List.of(
                MODEL.createPreVoteRequestBuilder()
                        .setGroupId("g")
                        .setSender(MEMBER_A)
                        .setTerm(7)
                        .setLastLogTerm(6)
                        .setLastLogIndex(5)
                        .build(),
                MODEL.createPreVoteResponseBuilder()
                        .setGroupId("g")
                        .setSender(MEMBER_A)
                        .setTerm(7)
                        .setGranted(true)
                        .build());
    }

    private static List<RaftMessage> voteMessages() {
        return List.of(
                MODEL.createVoteRequestBuilder()
                        .setGroupId("g")
                        .setSender(MEMBER_A)
                        .setTerm(7)
                        .setLastLogTerm(6)
                        .setLastLogIndex(5)
                        .setSticky(true)
                        .build(),
                MODEL.createVoteResponseBuilder()
                        .setGroupId("g")
                        .setSender(MEMBER_A)
                        .setTerm(7)
                        .setGranted(true)
                        .build(),
                MODEL.createTriggerLeaderElectionRequestBuilder()
                        .setGroupId("g")
                        .setSender(MEMBER_A)
                        .setTerm(7)
                        .setLastLogTerm(6)
                        .setLastLogIndex(5)
                        .build());
    }

    @Test
    void everyMessageIsUnchangedAfterEncodingAndDecoding() throws IOException {
        RaftCodec codec = new RaftCodec("g");
        List<RaftMessage> messages = new ArrayList<>();
        messages.addAll(appendMessages());
        messages.addAll(snapshotMessages());
        messages.addAll(preVoteMessages());
        messages.addAll(voteMessages());
        assertEquals(10, messages.size());
        for (RaftMessage message : messages) {
            RaftMessage decoded = codec.decode(codec.encode(message));
            assertEquals(message.getClass(), decoded.getClass());
            assertArrayEquals(codec.encode(message), codec.encode(decoded));
            assertEquals(
                    message.toString().replaceAll("\\[B@\\w+", ""),
                    decoded.toString().replaceAll("\\[B@\\w+", ""));
        }
    }

    /**
     * Any bytes that a peer sends must decode to a message or fail with an IOException, which ends
     * the link; any other exception would escape the handling of malformed input.
     */
    @Property(tries = 2_000)
    void invalidBytesAreRejectedWithAnIoException(@ForAll byte[] noise, @ForAll long seed) {
        RaftCodec codec = new RaftCodec("g");
        byte[] corrupted =
                codec.encode(
                        MODEL.createVoteRequestBuilder()
                                .setGroupId("g")
                                .setSender(MEMBER_A)
                                .setTerm(7)
                                .setLastLogTerm(6)
                                .setLastLogIndex(5)
                                .setSticky(true)
                                .build());
        java.util.Random random = new java.util.Random(seed);
        for (int i = 0; i < 3; i++) {
            corrupted[random.nextInt(corrupted.length)] = (byte) random.nextInt();
        }
        for (byte[] bytes : List.of(noise, corrupted)) {
            try {
                codec.decode(bytes);
            } catch (IOException malformed) { // the only exception that is allowed
                continue;
            }
        }
    }
}

package saltstage.coordinator.replica;

import io.microraft.model.RaftModelFactory;
import io.microraft.model.impl.DefaultRaftModelFactory;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.log.SnapshotEntry;
import io.microraft.model.persistence.RaftEndpointPersistentState;
import io.microraft.model.persistence.RaftTermPersistentState;
import io.microraft.persistence.RaftStore;
import io.microraft.persistence.RestoredRaftState;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import saltstage.coordinator.group.GroupCodec;
import saltstage.store.Batch;
import saltstage.store.Snapshot;
import saltstage.store.Store;

/**
 * Persists a replica's Raft state in the embedded store: its name, term and vote, the log and the
 * last snapshot. Changes are collected in one batch until {@link #flush}, which returns once all of
 * them are durable. A change that must be durable at once flushes the collected ones with it. Used
 * only on the engine's thread.
 */
final class LogStore implements RaftStore {
    private static final RaftModelFactory MODEL = new DefaultRaftModelFactory();
    private static final byte[] SELF_KEY = asciiBytes("m/self");
    private static final byte[] INITIAL_MEMBERS_KEY = asciiBytes("m/first");
    private static final byte[] TERM_KEY = asciiBytes("m/term");
    private static final byte[] LOG_KEY_PREFIX = asciiBytes("l/");
    private static final byte[] SNAPSHOT_KEY_PREFIX = asciiBytes("s/");

    /** Far below the largest batch that the store accepts. */
    private static final int MAX_BATCH_BYTES = 8 << 20;

    /**
     * Receives failed writes. After one the content of the disk is unknown, and the replica must
     * end.
     */
    interface WriteFailureListener {
        /** Called before the engine learns of the failure. */
        void writeFailed(IOException failure);
    }

    private final Store store;
    private final WriteFailureListener writeFailureListener;
    private Batch pendingBatch = new Batch();
    private int pendingBytes;
    private long firstIndex;
    private long lastIndex;

    LogStore(Store store, WriteFailureListener writeFailureListener) throws IOException {
        this.store = store;
        this.writeFailureListener = writeFailureListener;
        try (Snapshot snapshot = store.snapshot()) {
            Snapshot.Scan scan = snapshot.scan(LOG_KEY_PREFIX, prefixEnd(LOG_KEY_PREFIX));
            while (scan.next()) {
                long index = logIndex(scan.key());
                firstIndex = firstIndex == 0 ? index : firstIndex;
                lastIndex = index;
            }
        }
    }

    private static byte[] asciiBytes(String key) {
        return key.getBytes(StandardCharsets.US_ASCII);
    }

    private static byte[] prefixEnd(byte[] prefix) {
        byte[] next = prefix.clone();
        next[next.length - 1]++;
        return next;
    }

    private static byte[] logKey(byte[] prefix, long index) {
        return ByteBuffer.allocate(prefix.length + 8).put(prefix).putLong(index).array();
    }

    private static byte[] snapshotChunkKey(long snapshotIndex, int chunkIndex) {
        return ByteBuffer.allocate(SNAPSHOT_KEY_PREFIX.length + 12)
                .put(SNAPSHOT_KEY_PREFIX)
                .putLong(snapshotIndex)
                .putInt(chunkIndex)
                .array();
    }

    private static long logIndex(byte[] key) {
        return ByteBuffer.wrap(key).getLong(LOG_KEY_PREFIX.length);
    }

    private void put(byte[] key, byte[] value) throws IOException {
        if (pendingBytes + value.length > MAX_BATCH_BYTES) {
            flush();
        }
        pendingBatch.put(key, value);
        pendingBytes += key.length + value.length;
    }

    @Override
    public void persistAndFlushLocalEndpoint(RaftEndpointPersistentState self) throws IOException {
        put(
                SELF_KEY,
                GroupCodec.toCbor(
                        new RaftCodec.Self(
                                (String) self.getLocalEndpoint().getId(), self.isVoting())));
        flush();
    }

    @Override
    public void persistAndFlushInitialGroupMembers(RaftGroupMembersView initialMembers)
            throws IOException {
        put(INITIAL_MEMBERS_KEY, GroupCodec.toCbor(RaftCodec.toMembers(initialMembers)));
        flush();
    }

    @Override
    public void persistAndFlushTerm(RaftTermPersistentState term) throws IOException {
        put(
                TERM_KEY,
                GroupCodec.toCbor(
                        new RaftCodec.Term(
                                term.getTerm(),
                                term.getVotedFor() == null
                                        ? null
                                        : (String) term.getVotedFor().getId())));
        flush();
    }

    @Override
    public void persistLogEntries(List<LogEntry> entries) throws IOException {
        for (LogEntry entry : entries) {
            put(
                    logKey(LOG_KEY_PREFIX, entry.getIndex()),
                    GroupCodec.toCbor(RaftCodec.toEntry(entry)));
            firstIndex = firstIndex == 0 ? entry.getIndex() : firstIndex;
            lastIndex = entry.getIndex();
        }
    }

    @Override
    public void persistSnapshotChunk(SnapshotChunk chunk) throws IOException {
        put(
                snapshotChunkKey(chunk.getIndex(), chunk.getSnapshotChunkIndex()),
                GroupCodec.toCbor(RaftCodec.toChunk(chunk)));
    }

    @Override
    public void truncateLogEntriesFrom(long index) throws IOException {
        for (long i = Math.max(index, firstIndex); i <= lastIndex; i++) {
            pendingBatch.delete(logKey(LOG_KEY_PREFIX, i));
        }
        lastIndex = Math.min(lastIndex, index - 1);
    }

    @Override
    public void truncateLogEntriesUntil(long index) throws IOException {
        for (long i = Math.max(1, firstIndex); i <= Math.min(index, lastIndex); i++) {
            pendingBatch.delete(logKey(LOG_KEY_PREFIX, i));
        }
        firstIndex = Math.max(firstIndex, index + 1);
    }

    @Override
    public void deleteSnapshotChunks(long index, int count) throws IOException {
        for (int i = 0; i < count; i++) {
            pendingBatch.delete(snapshotChunkKey(index, i));
        }
    }

    @Override
    public void flush() throws IOException {
        if (pendingBatch.size() == 0) {
            return;
        }
        Batch batch = pendingBatch;
        pendingBatch = new Batch();
        pendingBytes = 0;
        try {
            store.commit(batch);
        } catch (IOException failure) {
            writeFailureListener.writeFailed(failure);
            throw failure;
        }
    }

    /** Restores the persisted state; returns null if there is none. */
    RestoredRaftState restore() throws IOException {
        byte[] selfBytes = store.get(SELF_KEY);
        byte[] memberBytes = store.get(INITIAL_MEMBERS_KEY);
        if (selfBytes == null || memberBytes == null) {
            return null;
        }
        RaftCodec.Self self = GroupCodec.cborMapper().readValue(selfBytes, RaftCodec.Self.class);
        byte[] termBytes = store.get(TERM_KEY);
        RaftCodec.Term term =
                termBytes == null
                        ? new RaftCodec.Term(0, null)
                        : GroupCodec.cborMapper().readValue(termBytes, RaftCodec.Term.class);
        SnapshotEntry snapshot = readSnapshot();
        long nextIndex = snapshot == null ? 1 : snapshot.getIndex() + 1;
        return new RestoredRaftState(
                MODEL.createRaftEndpointPersistentStateBuilder()
                        .setLocalEndpoint(new Member(self.member()))
                        .setVoting(self.voting())
                        .build(),
                RaftCodec.toMembersView(
                        GroupCodec.cborMapper().readValue(memberBytes, RaftCodec.Members.class)),
                MODEL.createRaftTermPersistentStateBuilder()
                        .setTerm(term.term())
                        .setVotedFor(term.votedFor() == null ? null : new Member(term.votedFor()))
                        .build(),
                snapshot,
                readEntries(nextIndex));
    }

    private List<LogEntry> readEntries(long startIndex) throws IOException {
        List<LogEntry> entries = new ArrayList<>();
        try (Snapshot snapshot = store.snapshot()) {
            Snapshot.Scan scan =
                    snapshot.scan(logKey(LOG_KEY_PREFIX, startIndex), prefixEnd(LOG_KEY_PREFIX));
            while (scan.next()) {
                RaftCodec.Entry entry =
                        GroupCodec.cborMapper().readValue(scan.value(), RaftCodec.Entry.class);
                if (entry.index() != startIndex + entries.size()) {
                    throw new IOException(
                            "log: entry " + (startIndex + entries.size()) + " is missing");
                }
                entries.add(RaftCodec.toLogEntry(entry));
            }
        }
        return entries;
    }

    /** Reads the newest snapshot whose chunks are all stored; returns null if there is none. */
    private SnapshotEntry readSnapshot() throws IOException {
        List<SnapshotChunk> complete = null;
        List<SnapshotChunk> chunks = new ArrayList<>();
        try (Snapshot snapshot = store.snapshot()) {
            Snapshot.Scan scan = snapshot.scan(SNAPSHOT_KEY_PREFIX, prefixEnd(SNAPSHOT_KEY_PREFIX));
            while (scan.next()) {
                RaftCodec.Chunk chunk =
                        GroupCodec.cborMapper().readValue(scan.value(), RaftCodec.Chunk.class);
                if (!chunks.isEmpty() && chunks.get(0).getIndex() != chunk.index()) {
                    chunks.clear();
                }
                chunks.add(RaftCodec.toSnapshotChunk(chunk));
                if (chunks.size() == chunk.of()) {
                    complete = List.copyOf(chunks);
                }
            }
        }
        if (complete == null) {
            return null;
        }
        SnapshotChunk firstChunk = complete.get(0);
        return MODEL.createSnapshotEntryBuilder()
                .setIndex(firstChunk.getIndex())
                .setTerm(firstChunk.getTerm())
                .setSnapshotChunks(complete)
                .setGroupMembersView(firstChunk.getGroupMembersView())
                .build();
    }

    /** Whether the store has never held a replica's state. */
    boolean isEmpty() throws IOException {
        return store.get(SELF_KEY) == null;
    }

    /** The names of the group's initial members; empty if none are stored. */
    Collection<String> initialMembers() throws IOException {
        byte[] memberBytes = store.get(INITIAL_MEMBERS_KEY);
        return memberBytes == null
                ? List.of()
                : GroupCodec.cborMapper().readValue(memberBytes, RaftCodec.Members.class).all();
    }
}

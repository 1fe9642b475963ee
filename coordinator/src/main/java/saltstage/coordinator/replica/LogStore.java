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
 * What a replica must not forget, in the embedded store: its name, term and vote, the log and the
 * last snapshot. Changes gather until {@link #flush}, which returns once they are durable, all
 * together; what needs to be durable at once takes the rest with it. Used on the engine's thread
 * only.
 */
final class LogStore implements RaftStore {
    private static final RaftModelFactory MODEL = new DefaultRaftModelFactory();
    private static final byte[] SELF = text("m/self");
    private static final byte[] FIRST = text("m/first");
    private static final byte[] TERM = text("m/term");
    private static final byte[] LOG = text("l/");
    private static final byte[] SNAPSHOT = text("s/");

    /** Below what a batch may hold, by a wide margin. */
    private static final int MOST_GATHERED = 8 << 20;

    /** A write that failed: what the disk has is not known, and the replica must end. */
    interface Failed {
        /** Told before the engine is. */
        void told(IOException why);
    }

    private final Store store;
    private final Failed failed;
    private Batch gathered = new Batch();
    private int bytes;
    private long firstIndex;
    private long lastIndex;

    LogStore(Store store, Failed failed) throws IOException {
        this.store = store;
        this.failed = failed;
        try (Snapshot now = store.snapshot()) {
            Snapshot.Scan scan = now.scan(LOG, after(LOG));
            while (scan.next()) {
                long index = index(scan.key());
                firstIndex = firstIndex == 0 ? index : firstIndex;
                lastIndex = index;
            }
        }
    }

    private static byte[] text(String key) {
        return key.getBytes(StandardCharsets.US_ASCII);
    }

    private static byte[] after(byte[] prefix) {
        byte[] next = prefix.clone();
        next[next.length - 1]++;
        return next;
    }

    private static byte[] key(byte[] prefix, long index) {
        return ByteBuffer.allocate(prefix.length + 8).put(prefix).putLong(index).array();
    }

    private static byte[] key(long snapshot, int chunk) {
        return ByteBuffer.allocate(SNAPSHOT.length + 12)
                .put(SNAPSHOT)
                .putLong(snapshot)
                .putInt(chunk)
                .array();
    }

    private static long index(byte[] key) {
        return ByteBuffer.wrap(key).getLong(LOG.length);
    }

    private void put(byte[] key, byte[] value) throws IOException {
        if (bytes + value.length > MOST_GATHERED) {
            flush();
        }
        gathered.put(key, value);
        bytes += key.length + value.length;
    }

    @Override
    public void persistAndFlushLocalEndpoint(RaftEndpointPersistentState self) throws IOException {
        put(
                SELF,
                GroupCodec.toCbor(
                        new RaftCodec.Self(
                                (String) self.getLocalEndpoint().getId(), self.isVoting())));
        flush();
    }

    @Override
    public void persistAndFlushInitialGroupMembers(RaftGroupMembersView first) throws IOException {
        put(FIRST, GroupCodec.toCbor(RaftCodec.members(first)));
        flush();
    }

    @Override
    public void persistAndFlushTerm(RaftTermPersistentState term) throws IOException {
        put(
                TERM,
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
            put(key(LOG, entry.getIndex()), GroupCodec.toCbor(RaftCodec.entry(entry)));
            firstIndex = firstIndex == 0 ? entry.getIndex() : firstIndex;
            lastIndex = entry.getIndex();
        }
    }

    @Override
    public void persistSnapshotChunk(SnapshotChunk chunk) throws IOException {
        put(
                key(chunk.getIndex(), chunk.getSnapshotChunkIndex()),
                GroupCodec.toCbor(RaftCodec.chunk(chunk)));
    }

    @Override
    public void truncateLogEntriesFrom(long index) throws IOException {
        for (long i = Math.max(index, firstIndex); i <= lastIndex; i++) {
            gathered.delete(key(LOG, i));
        }
        lastIndex = Math.min(lastIndex, index - 1);
    }

    @Override
    public void truncateLogEntriesUntil(long index) throws IOException {
        for (long i = Math.max(1, firstIndex); i <= Math.min(index, lastIndex); i++) {
            gathered.delete(key(LOG, i));
        }
        firstIndex = Math.max(firstIndex, index + 1);
    }

    @Override
    public void deleteSnapshotChunks(long index, int count) throws IOException {
        for (int i = 0; i < count; i++) {
            gathered.delete(key(index, i));
        }
    }

    @Override
    public void flush() throws IOException {
        if (gathered.size() == 0) {
            return;
        }
        Batch now = gathered;
        gathered = new Batch();
        bytes = 0;
        try {
            store.commit(now);
        } catch (IOException why) {
            failed.told(why);
            throw why;
        }
    }

    // ---- at the start

    /** What was kept, or null where nothing was. */
    RestoredRaftState restore() throws IOException {
        byte[] self = store.get(SELF);
        byte[] first = store.get(FIRST);
        if (self == null || first == null) {
            return null;
        }
        RaftCodec.Self me = GroupCodec.cborMapper().readValue(self, RaftCodec.Self.class);
        byte[] kept = store.get(TERM);
        RaftCodec.Term term =
                kept == null
                        ? new RaftCodec.Term(0, null)
                        : GroupCodec.cborMapper().readValue(kept, RaftCodec.Term.class);
        SnapshotEntry snapshot = snapshot();
        long from = snapshot == null ? 1 : snapshot.getIndex() + 1;
        return new RestoredRaftState(
                MODEL.createRaftEndpointPersistentStateBuilder()
                        .setLocalEndpoint(new Member(me.member()))
                        .setVoting(me.voting())
                        .build(),
                RaftCodec.view(GroupCodec.cborMapper().readValue(first, RaftCodec.Members.class)),
                MODEL.createRaftTermPersistentStateBuilder()
                        .setTerm(term.term())
                        .setVotedFor(term.votedFor() == null ? null : new Member(term.votedFor()))
                        .build(),
                snapshot,
                entries(from));
    }

    private List<LogEntry> entries(long from) throws IOException {
        List<LogEntry> entries = new ArrayList<>();
        try (Snapshot now = store.snapshot()) {
            Snapshot.Scan scan = now.scan(key(LOG, from), after(LOG));
            while (scan.next()) {
                RaftCodec.Entry entry =
                        GroupCodec.cborMapper().readValue(scan.value(), RaftCodec.Entry.class);
                if (entry.index() != from + entries.size()) {
                    throw new IOException("log: entry " + (from + entries.size()) + " is missing");
                }
                entries.add(RaftCodec.logEntry(entry));
            }
        }
        return entries;
    }

    /** The newest snapshot of which all parts are there. */
    private SnapshotEntry snapshot() throws IOException {
        List<SnapshotChunk> whole = null;
        List<SnapshotChunk> parts = new ArrayList<>();
        try (Snapshot now = store.snapshot()) {
            Snapshot.Scan scan = now.scan(SNAPSHOT, after(SNAPSHOT));
            while (scan.next()) {
                RaftCodec.Chunk chunk =
                        GroupCodec.cborMapper().readValue(scan.value(), RaftCodec.Chunk.class);
                if (!parts.isEmpty() && parts.get(0).getIndex() != chunk.index()) {
                    parts.clear();
                }
                parts.add(RaftCodec.snapshotChunk(chunk));
                if (parts.size() == chunk.of()) {
                    whole = List.copyOf(parts);
                }
            }
        }
        if (whole == null) {
            return null;
        }
        SnapshotChunk any = whole.get(0);
        return MODEL.createSnapshotEntryBuilder()
                .setIndex(any.getIndex())
                .setTerm(any.getTerm())
                .setSnapshotChunks(whole)
                .setGroupMembersView(any.getGroupMembersView())
                .build();
    }

    /** Whether a log was ever kept here. */
    boolean empty() throws IOException {
        return store.get(SELF) == null;
    }

    /** The names that the group began with; empty where none were kept. */
    Collection<String> first() throws IOException {
        byte[] first = store.get(FIRST);
        return first == null
                ? List.of()
                : GroupCodec.cborMapper().readValue(first, RaftCodec.Members.class).all();
    }
}

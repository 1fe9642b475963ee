package saltstage.configuration.follower;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import saltstage.configuration.Change;
import saltstage.configuration.ConfigurationView;
import saltstage.configuration.Entry;
import saltstage.configuration.EntryKey;
import saltstage.configuration.Mutation;
import saltstage.store.Batch;
import saltstage.store.Disk;
import saltstage.store.Snapshot;
import saltstage.store.Store;
import saltstage.store.StoreEventListener;
import saltstage.store.StoreOptions;
import saltstage.wire.MalformedException;

/**
 * A follower's entries on the embedded store. Revision, digest and entries change in one batch, so
 * that the disk holds exactly one accepted revision whenever it is read. For one writer.
 */
public final class ConfigurationStore implements ConfigurationPersistence, Closeable {
    /** The store is sound, but what it holds is no follower's state. */
    static final class UnsoundStateException extends IOException {
        private static final long serialVersionUID = 1L;

        UnsoundStateException(String message) {
            super(message);
        }
    }

    /** How old the time of the last confirmation on the disk may become. */
    static final Duration CONFIRMATION_INTERVAL = Duration.ofSeconds(30);

    private static final int FORMAT = 1;
    private static final int SEGMENT_BYTES = 1 << 20;
    private static final long COMPACTION_BYTES_PER_SECOND = 4 << 20;
    private static final byte[] STATE = bytes("state");
    private static final byte[] CONFIRMED = bytes("confirmed");
    private static final String ENTRY = "entry/";
    private static final byte[] ENTRIES_FROM = bytes(ENTRY);
    private static final byte[] ENTRIES_TO = bytes("entry0");

    private record State(long revision, long digest) {
        static final State EMPTY = new State(0, 0);

        byte[] encode() {
            return ByteBuffer.allocate(Integer.BYTES + 2 * Long.BYTES)
                    .putInt(FORMAT)
                    .putLong(revision)
                    .putLong(digest)
                    .array();
        }

        static State decode(byte[] value) throws UnsoundStateException {
            if (value.length != Integer.BYTES + 2 * Long.BYTES
                    || ByteBuffer.wrap(value).getInt() != FORMAT) {
                throw new UnsoundStateException("another format than " + FORMAT);
            }
            ByteBuffer fields = ByteBuffer.wrap(value, Integer.BYTES, 2 * Long.BYTES);
            return new State(fields.getLong(), fields.getLong());
        }
    }

    private final Store store;
    private final Clock clock;
    private final HeldConfiguration held;
    private State durable;
    private Instant confirmationKept;

    private ConfigurationStore(Store store, Clock clock) throws IOException {
        this.store = store;
        this.clock = clock;
        held = held(store);
        durable = new State(held.view().revision(), held.view().digest());
        confirmationKept = held.confirmedAt();
    }

    /**
     * Opens a disk to write, with the store's own thread for checkpoints and compaction. Throws
     * UnsoundStateException where it holds something else, or entries that differ from their
     * digest.
     */
    public static ConfigurationStore open(Disk disk, StoreEventListener events) throws IOException {
        return open(
                disk,
                new StoreOptions(SEGMENT_BYTES, true, COMPACTION_BYTES_PER_SECOND),
                Clock.systemUTC(),
                events);
    }

    static ConfigurationStore open(Disk disk, StoreOptions options, Clock clock, StoreEventListener events)
            throws IOException {
        Store store = Store.open(disk, options, events);
        try {
            return new ConfigurationStore(store, clock);
        } catch (IOException | RuntimeException unsound) {
            store.close();
            throw unsound;
        }
    }

    /** What a disk holds that another process writes to. */
    public static HeldConfiguration read(Disk disk) throws IOException {
        try (Store store = Store.openToRead(disk, StoreEventListener.NONE)) {
            return held(store);
        }
    }

    /** What the disk held when it was opened. */
    public HeldConfiguration held() {
        return held;
    }

    // ---- reading

    private static HeldConfiguration held(Store store) throws IOException {
        try (Snapshot now = store.snapshot()) {
            byte[] state = now.get(STATE);
            if (state == null) {
                if (now.size() > 0) {
                    throw new UnsoundStateException("a store of something else");
                }
                return HeldConfiguration.none();
            }
            ConfigurationView view = view(State.decode(state), entries(now));
            byte[] confirmed = now.get(CONFIRMED);
            return new HeldConfiguration(view, confirmed == null ? null : instant(confirmed));
        }
    }

    private static ConfigurationView view(State state, List<Entry> entries)
            throws UnsoundStateException {
        ConfigurationView view = new ConfigurationView(state.revision(), entries);
        if (view.digest() != state.digest()) {
            throw new UnsoundStateException(
                    "the entries of revision " + state.revision() + " differ from their digest");
        }
        return view;
    }

    private static List<Entry> entries(Snapshot now) throws IOException {
        List<Entry> entries = new ArrayList<>();
        Snapshot.Scan scan = now.scan(ENTRIES_FROM, ENTRIES_TO);
        while (scan.next()) {
            String name = new String(scan.key(), StandardCharsets.UTF_8);
            try {
                EntryKey key = EntryKey.parse(name.substring(ENTRY.length()));
                entries.add(EntryCodec.decode(key, scan.value()));
            } catch (MalformedException | IllegalArgumentException malformed) {
                throw new UnsoundStateException(malformed.getMessage());
            }
        }
        return entries;
    }

    private static Instant instant(byte[] value) throws UnsoundStateException {
        if (value.length != Long.BYTES) {
            throw new UnsoundStateException("the time of the last confirmation is cut short");
        }
        return Instant.ofEpochMilli(ByteBuffer.wrap(value).getLong());
    }

    // ---- writing

    /**
     * Writes all changes in one batch. Those that another process has written meanwhile to the same
     * disk are skipped.
     */
    @Override
    public void write(List<Change> changes) throws IOException {
        Batch batch = new Batch();
        State after = durable;
        for (Change change : changes) {
            if (change.revision() <= after.revision()) {
                continue;
            }
            if (change.revision() != after.revision() + 1) {
                throw new IOException("a gap before revision " + change.revision());
            }
            change.mutations().forEach(mutation -> put(batch, mutation, change.revision()));
            after = new State(change.revision(), change.digest());
        }
        commit(batch, after);
    }

    @Override
    public void replace(ConfigurationView view) throws IOException {
        Batch batch = new Batch();
        Set<String> wanted = new HashSet<>();
        view.entries().keySet().forEach(key -> wanted.add(key.text()));
        try (Snapshot now = store.snapshot()) {
            Snapshot.Scan scan = now.scan(ENTRIES_FROM, ENTRIES_TO);
            while (scan.next()) {
                String name = new String(scan.key(), StandardCharsets.UTF_8);
                if (!wanted.contains(name.substring(ENTRY.length()))) {
                    batch.delete(scan.key());
                }
            }
        }
        for (Entry entry : view.entries().values()) {
            put(batch, new Mutation(entry.key(), entry.value()), entry.revision());
        }
        commit(batch, new State(view.revision(), view.digest()));
    }

    private void commit(Batch batch, State after) throws IOException {
        if (after.equals(durable)) {
            return;
        }
        Instant now = clock.instant(); // what a source has just told counts as confirmed
        store.commit(batch.put(STATE, after.encode()).put(CONFIRMED, encode(now)));
        durable = after;
        confirmationKept = now;
    }

    private static void put(Batch batch, Mutation mutation, long revision) {
        byte[] key = bytes(ENTRY + mutation.key().text());
        if (mutation.deletes()) {
            batch.delete(key);
        } else {
            batch.put(key, EntryCodec.encode(mutation, revision));
        }
    }

    /** Keeps the time where the one on the disk is old; nothing before the first revision. */
    @Override
    public void confirmed(Instant at) throws IOException {
        boolean recent =
                confirmationKept != null
                        && Duration.between(confirmationKept, at)
                                        .abs()
                                        .compareTo(CONFIRMATION_INTERVAL)
                                < 0;
        if (recent || durable.equals(State.EMPTY)) {
            return;
        }
        store.put(CONFIRMED, encode(at));
        confirmationKept = at;
    }

    private static byte[] encode(Instant at) {
        return ByteBuffer.allocate(Long.BYTES).putLong(at.toEpochMilli()).array();
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    @Override
    public void close() throws IOException {
        store.close();
    }
}

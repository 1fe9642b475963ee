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
 * A follower's entries in the embedded store. Revision, digest and entries change in one batch, so
 * that the disk holds exactly one accepted revision whenever it is read. Supports one writer.
 */
public final class ConfigurationStore implements ConfigurationPersistence, Closeable {
    /** The store is intact, but its content is not a follower's state. */
    static final class InvalidStateException extends IOException {
        private static final long serialVersionUID = 1L;

        InvalidStateException(String message) {
            super(message);
        }
    }

    /** How old the persisted time of the last confirmation may become before it is updated. */
    static final Duration CONFIRMATION_INTERVAL = Duration.ofSeconds(30);

    private static final int FORMAT_VERSION = 1;
    private static final int SEGMENT_BYTES = 1 << 20;
    private static final long COMPACTION_BYTES_PER_SECOND = 4 << 20;
    private static final byte[] STATE_KEY = utf8("state");
    private static final byte[] CONFIRMED_KEY = utf8("confirmed");
    private static final String ENTRY_PREFIX = "entry/";
    private static final byte[] ENTRY_RANGE_START = utf8(ENTRY_PREFIX);
    private static final byte[] ENTRY_RANGE_END = utf8("entry0");

    private record StoredRevision(long revision, long digest) {
        static final StoredRevision EMPTY = new StoredRevision(0, 0);

        byte[] encode() {
            return ByteBuffer.allocate(Integer.BYTES + 2 * Long.BYTES)
                    .putInt(FORMAT_VERSION)
                    .putLong(revision)
                    .putLong(digest)
                    .array();
        }

        static StoredRevision decode(byte[] value) throws InvalidStateException {
            if (value.length != Integer.BYTES + 2 * Long.BYTES
                    || ByteBuffer.wrap(value).getInt() != FORMAT_VERSION) {
                throw new InvalidStateException("not format version " + FORMAT_VERSION);
            }
            ByteBuffer fields = ByteBuffer.wrap(value, Integer.BYTES, 2 * Long.BYTES);
            return new StoredRevision(fields.getLong(), fields.getLong());
        }
    }

    private final Store store;
    private final Clock clock;
    private final PersistedConfiguration persistedConfiguration;
    private StoredRevision durableRevision;
    private Instant persistedConfirmationAt;

    private ConfigurationStore(Store store, Clock clock) throws IOException {
        this.store = store;
        this.clock = clock;
        persistedConfiguration = load(store);
        durableRevision =
                new StoredRevision(
                        persistedConfiguration.view().revision(),
                        persistedConfiguration.view().digest());
        persistedConfirmationAt = persistedConfiguration.confirmedAt();
    }

    /**
     * Opens a disk for writing, with the store's own thread for checkpoints and compaction. Throws
     * InvalidStateException if the disk holds something else, or entries that do not match their
     * digest.
     */
    public static ConfigurationStore open(Disk disk, StoreEventListener events) throws IOException {
        return open(
                disk,
                new StoreOptions(SEGMENT_BYTES, true, COMPACTION_BYTES_PER_SECOND),
                Clock.systemUTC(),
                events);
    }

    static ConfigurationStore open(
            Disk disk, StoreOptions options, Clock clock, StoreEventListener events)
            throws IOException {
        Store store = Store.open(disk, options, events);
        try {
            return new ConfigurationStore(store, clock);
        } catch (IOException | RuntimeException failure) {
            store.close();
            throw failure;
        }
    }

    /** Reads the configuration on a disk that another process may be writing to. */
    public static PersistedConfiguration read(Disk disk) throws IOException {
        try (Store store = Store.openToRead(disk, StoreEventListener.NONE)) {
            return load(store);
        }
    }

    /** The configuration that the disk held when it was opened. */
    public PersistedConfiguration persistedConfiguration() {
        return persistedConfiguration;
    }

    static PersistedConfiguration load(Store store) throws IOException {
        try (Snapshot snapshot = store.snapshot()) {
            byte[] state = snapshot.get(STATE_KEY);
            if (state == null) {
                if (snapshot.size() > 0) {
                    throw new InvalidStateException("a store of something else");
                }
                return PersistedConfiguration.empty();
            }
            ConfigurationView view =
                    verifiedView(StoredRevision.decode(state), readEntries(snapshot));
            byte[] confirmed = snapshot.get(CONFIRMED_KEY);
            return new PersistedConfiguration(
                    view, confirmed == null ? null : decodeInstant(confirmed));
        }
    }

    private static ConfigurationView verifiedView(StoredRevision state, List<Entry> entries)
            throws InvalidStateException {
        ConfigurationView view = new ConfigurationView(state.revision(), entries);
        if (view.digest() != state.digest()) {
            throw new InvalidStateException(
                    "the entries of revision " + state.revision() + " differ from their digest");
        }
        return view;
    }

    private static List<Entry> readEntries(Snapshot snapshot) throws IOException {
        List<Entry> entries = new ArrayList<>();
        Snapshot.Scan scan = snapshot.scan(ENTRY_RANGE_START, ENTRY_RANGE_END);
        while (scan.next()) {
            String name = new String(scan.key(), StandardCharsets.UTF_8);
            try {
                EntryKey key = EntryKey.parse(name.substring(ENTRY_PREFIX.length()));
                entries.add(EntryCodec.decode(key, scan.value()));
            } catch (MalformedException | IllegalArgumentException malformed) {
                throw new InvalidStateException(malformed.getMessage());
            }
        }
        return entries;
    }

    private static Instant decodeInstant(byte[] value) throws InvalidStateException {
        if (value.length != Long.BYTES) {
            throw new InvalidStateException("the time of the last confirmation is truncated");
        }
        return Instant.ofEpochMilli(ByteBuffer.wrap(value).getLong());
    }

    /**
     * Writes all changes in one batch. Changes that the disk already holds, because another process
     * has written them, are skipped.
     */
    @Override
    public void write(List<Change> changes) throws IOException {
        Batch batch = new Batch();
        StoredRevision newRevision = durableRevision;
        for (Change change : changes) {
            if (change.revision() <= newRevision.revision()) {
                continue;
            }
            if (change.revision() != newRevision.revision() + 1) {
                throw new IOException("a gap before revision " + change.revision());
            }
            change.mutations().forEach(mutation -> putOrDelete(batch, mutation, change.revision()));
            newRevision = new StoredRevision(change.revision(), change.digest());
        }
        // A state just received from a source counts as confirmed.
        commit(batch, newRevision, clock.instant());
    }

    @Override
    public void replace(ConfigurationView view) throws IOException {
        replace(new PersistedConfiguration(view, clock.instant())); // as received from a source
    }

    /**
     * Replaces the durable state and the time of its last confirmation. Throws if the disk holds a
     * newer revision.
     */
    void replace(PersistedConfiguration replacement) throws IOException {
        ConfigurationView view = replacement.view();
        if (view.revision() < durableRevision.revision()) {
            throw new IOException(
                    "revision "
                            + view.revision()
                            + " is older than the persisted revision "
                            + durableRevision.revision());
        }
        Batch batch = new Batch();
        Set<String> retainedKeys = new HashSet<>();
        view.entries().keySet().forEach(key -> retainedKeys.add(key.text()));
        try (Snapshot snapshot = store.snapshot()) {
            Snapshot.Scan scan = snapshot.scan(ENTRY_RANGE_START, ENTRY_RANGE_END);
            while (scan.next()) {
                String name = new String(scan.key(), StandardCharsets.UTF_8);
                if (!retainedKeys.contains(name.substring(ENTRY_PREFIX.length()))) {
                    batch.delete(scan.key());
                }
            }
        }
        for (Entry entry : view.entries().values()) {
            putOrDelete(batch, new Mutation(entry.key(), entry.value()), entry.revision());
        }
        commit(
                batch,
                new StoredRevision(view.revision(), view.digest()),
                replacement.confirmedAt());
    }

    private void commit(Batch batch, StoredRevision newRevision, Instant confirmedAt)
            throws IOException {
        if (newRevision.equals(durableRevision)) {
            return;
        }
        batch.put(STATE_KEY, newRevision.encode());
        if (confirmedAt != null) {
            batch.put(CONFIRMED_KEY, encodeInstant(confirmedAt));
        }
        store.commit(batch);
        durableRevision = newRevision;
        persistedConfirmationAt = confirmedAt;
    }

    private static void putOrDelete(Batch batch, Mutation mutation, long revision) {
        byte[] key = utf8(ENTRY_PREFIX + mutation.key().text());
        if (mutation.isDeletion()) {
            batch.delete(key);
        } else {
            batch.put(key, EntryCodec.encode(mutation, revision));
        }
    }

    /** Persists the time only if the persisted one is old and there is a revision to confirm. */
    @Override
    public void recordConfirmation(Instant time) throws IOException {
        boolean recent =
                persistedConfirmationAt != null
                        && Duration.between(persistedConfirmationAt, time)
                                        .abs()
                                        .compareTo(CONFIRMATION_INTERVAL)
                                < 0;
        if (recent || durableRevision.equals(StoredRevision.EMPTY)) {
            return;
        }
        store.put(CONFIRMED_KEY, encodeInstant(time));
        persistedConfirmationAt = time;
    }

    private static byte[] encodeInstant(Instant time) {
        return ByteBuffer.allocate(Long.BYTES).putLong(time.toEpochMilli()).array();
    }

    private static byte[] utf8(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    @Override
    public void close() throws IOException {
        store.close();
    }
}

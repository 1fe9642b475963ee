package saltstage.persistence;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Supplier;
import saltstage.Api.LearnedBackend;
import saltstage.Api.LearnedState;
import saltstage.config.OperatorSettings.PersistenceSettings;
import saltstage.log.Log;
import saltstage.store.Batch;
import saltstage.store.Disk;
import saltstage.store.FileDisk;
import saltstage.store.Snapshot;
import saltstage.store.Store;
import saltstage.store.StoreException;
import saltstage.store.StoreOptions;
import saltstage.wire.BackendList;

/**
 * Persists the relay's state. Callers hand over new state without blocking, and one thread writes
 * it; of the backend list and the learned state only the newest is written. If the store fails, the
 * relay continues without it. A store that another process of the relay has open is opened once
 * that process has closed it; until then state stays pending.
 */
public final class RelayStateStore {
    /** The state of the store, as it is logged with the totals. */
    public enum State {
        OK,
        FULL,
        LOST
    }

    private static final byte[] LIST_REVISION_KEY = ConfigurationVersions.keyBytes("list/rev");
    private static final String ENTRY_KEY_PREFIX = "list/target/";
    private static final byte[] ENTRY_KEYS_START = ConfigurationVersions.keyBytes(ENTRY_KEY_PREFIX);
    private static final byte[] ENTRY_KEYS_END = ConfigurationVersions.keyBytes("list/target0");
    private static final byte[] LEARNED_STATE_KEY = ConfigurationVersions.keyBytes("learnt");
    private static final Duration FULL_RETRY_PAUSE = Duration.ofSeconds(5);

    /** How often a store is tried that another process has open. */
    private static final Duration LOCKED_RETRY_PAUSE = Duration.ofMillis(200);

    private record AcceptedConfiguration(
            String configuration, String settings, Instant acceptedAt) {}

    private final PersistenceSettings settings;
    private final Supplier<Instant> clock;
    private final DiskOpener diskOpener;
    private Store store;
    private boolean openElsewhere;
    private State state = State.OK;
    private BackendList pendingList;
    private final List<AcceptedConfiguration> pendingConfigurations = new ArrayList<>();
    private Supplier<LearnedState> learnedStateSource;
    private byte[] lastWrittenLearnedState = {};
    private boolean closing;
    private Thread writerThread;

    private RelayStateStore(
            PersistenceSettings settings, Supplier<Instant> clock, DiskOpener diskOpener) {
        this.settings = settings;
        this.clock = clock;
        this.diskOpener = diskOpener;
    }

    /** Opens the store; if that fails, the failure is logged and later state is discarded. */
    public static RelayStateStore open(PersistenceSettings settings, Supplier<Instant> clock) {
        return open(settings, clock, () -> FileDisk.openOrCreate(settings.dir()));
    }

    /** Opens the disk that holds the files of the store. */
    interface DiskOpener {
        Disk open() throws IOException;
    }

    static RelayStateStore open(
            PersistenceSettings settings, Supplier<Instant> clock, DiskOpener diskOpener) {
        RelayStateStore stateStore = new RelayStateStore(settings, clock, diskOpener);
        try {
            stateStore.openStore();
        } catch (StoreException.Locked locked) {
            stateStore.openElsewhere = true;
            stateStore.markLost(locked);
        } catch (IOException | RuntimeException e) {
            stateStore.markLost(e);
        }
        return stateStore;
    }

    private void openStore() throws IOException {
        store =
                Store.open(
                        diskOpener.open(),
                        new StoreOptions(
                                settings.segmentBytes(), true, settings.compactionBytesPerSecond()),
                        Log::warn);
    }

    private synchronized void markLost(Exception cause) {
        if (state != State.LOST) {
            state = State.LOST;
            Log.warn("keep.lost", "dir", settings.dir(), "why", cause.getMessage());
        }
    }

    /** Returns the state of the store. */
    public synchronized State state() {
        return state;
    }

    /** Returns the newest persisted backend list, if there is one and it can be read. */
    public Optional<BackendList> persistedList() {
        return readPersisted(
                "list",
                snapshot -> {
                    byte[] revision = snapshot.get(LIST_REVISION_KEY);
                    if (revision == null) {
                        return null;
                    }
                    List<BackendList.Entry> entries = new ArrayList<>();
                    Snapshot.Scan scan = snapshot.scan(ENTRY_KEYS_START, ENTRY_KEYS_END);
                    while (scan.next()) {
                        entries.add(RelayStateCodec.decodeEntry(scan.value()));
                    }
                    return new BackendList(RelayStateCodec.decodeNumber(revision), true, entries);
                });
    }

    /**
     * Returns the persisted learned state unless it is too old; remaining ejection times are
     * shortened by its age.
     */
    public Optional<LearnedState> persistedLearnedState() {
        return readPersisted(
                "learnt",
                snapshot -> {
                    byte[] bytes = snapshot.get(LEARNED_STATE_KEY);
                    if (bytes == null) {
                        return null;
                    }
                    RelayStateCodec.TimestampedState timestamped =
                            RelayStateCodec.decodeLearnedState(bytes);
                    Duration age = Duration.between(timestamped.recordedAt(), clock.get());
                    // If the clock was set back, the age is unknown.
                    boolean fresh =
                            !age.isNegative() && age.compareTo(settings.maxLearnedStateAge()) <= 0;
                    Log.info(
                            "keep.learnt",
                            "age_s",
                            age.toSeconds(),
                            "servers",
                            timestamped.learnedState().backends().size(),
                            "taken",
                            fresh);
                    return fresh ? aged(timestamped.learnedState(), age.toNanos() / 1_000) : null;
                });
    }

    private static LearnedState aged(LearnedState learnedState, long micros) {
        List<LearnedBackend> backends =
                learnedState.backends().stream()
                        .map(
                                backend ->
                                        new LearnedBackend(
                                                backend.id(),
                                                backend.startedAt(),
                                                backend.setupLatency(),
                                                backend.setupLatencyDeviation(),
                                                backend.minSetupLatency(),
                                                backend.consecutiveFailures(),
                                                Math.max(0, backend.remainingEjection() - micros)))
                        .toList();
        return new LearnedState(
                learnedState.setupLatency(),
                learnedState.setupLatencyDeviation(),
                learnedState.meanRequestLoad(),
                learnedState.meanConnectionLifetime(),
                learnedState.meanGroupShare(),
                learnedState.capacityShare(),
                backends,
                new TreeMap<>(learnedState.groupShares()));
    }

    private interface SnapshotReader<T> {
        T read(Snapshot snapshot) throws IOException;
    }

    private <T> Optional<T> readPersisted(String valueName, SnapshotReader<T> reader) {
        if (store == null) {
            return Optional.empty();
        }
        try (Snapshot snapshot = store.snapshot()) {
            return Optional.ofNullable(reader.read(snapshot));
        } catch (IOException e) {
            Log.warn("keep.unreadable", "what", valueName, "why", e.getMessage());
            return Optional.empty();
        }
    }

    /** Starts the writer, which also saves the learned state at the interval of the settings. */
    public synchronized void start(Supplier<LearnedState> learnedState) {
        learnedStateSource = learnedState;
        if (store != null || openElsewhere) {
            writerThread = new Thread(null, this::writeLoop, "keep", 256 << 10);
            writerThread.setDaemon(true);
            writerThread.start();
        }
    }

    /** Schedules the complete current backend list to be written. */
    public synchronized void saveList(BackendList list) {
        pendingList = list;
        notifyAll();
    }

    /** Schedules an accepted configuration to be written. */
    public synchronized void saveConfiguration(String configuration, String operatorSettings) {
        pendingConfigurations.add(
                new AcceptedConfiguration(configuration, operatorSettings, clock.get()));
        notifyAll();
    }

    /** Writes pending state a last time and closes the store; waits for that up to the limit. */
    public void close(Duration limit) {
        Thread writer;
        synchronized (this) {
            closing = true;
            writer = writerThread;
            notifyAll();
        }
        if (writer != null) {
            try {
                writer.join(limit.toMillis());
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    private void writeLoop() {
        try {
            if (openElsewhere && !awaitStore()) {
                return; // closing
            }
            boolean isLastRound = false;
            while (!isLastRound && state() != State.LOST) {
                isLastRound = awaitWork();
                writePending();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IOException
                | RuntimeException
                | Error e) { // a writer that ends without a report would go unnoticed
            markLost(e instanceof Exception exception ? exception : new IllegalStateException(e));
        } finally {
            closeStore();
        }
    }

    /** Opens the store once the other process has closed it; returns false when closing. */
    private boolean awaitStore() throws IOException, InterruptedException {
        while (!awaitClosing(LOCKED_RETRY_PAUSE)) {
            try {
                openStore();
            } catch (StoreException.Locked stillLocked) {
                continue;
            }
            synchronized (this) {
                state = State.OK;
            }
            Log.info("keep.opened", "dir", settings.dir());
            return true;
        }
        return false;
    }

    private synchronized boolean awaitClosing(Duration limit) throws InterruptedException {
        long deadlineNs = System.nanoTime() + limit.toNanos();
        for (long restMillis = limit.toMillis(); !closing && restMillis > 0; ) {
            wait(restMillis);
            restMillis = (deadlineNs - System.nanoTime()) / 1_000_000;
        }
        return closing;
    }

    private void closeStore() {
        if (store == null) {
            return;
        }
        try {
            store.close();
        } catch (IOException e) {
            markLost(e);
        }
    }

    /**
     * Waits until there is something to write or the interval has passed; returns true when the
     * store is closing.
     */
    private synchronized boolean awaitWork() throws InterruptedException {
        long deadlineNs =
                System.nanoTime()
                        + (state == State.FULL ? FULL_RETRY_PAUSE : settings.saveInterval())
                                .toNanos();
        while (!closing
                && (state == State.FULL
                        || pendingList == null && pendingConfigurations.isEmpty())) {
            long remainingMillis = (deadlineNs - System.nanoTime()) / 1_000_000;
            if (remainingMillis <= 0) {
                break;
            }
            wait(remainingMillis);
        }
        return closing;
    }

    /** Writes pending state; if the disk is full, it stays pending for the next round. */
    private void writePending() throws IOException {
        BackendList newest;
        List<AcceptedConfiguration> configurations;
        synchronized (this) {
            newest = pendingList;
            configurations = List.copyOf(pendingConfigurations);
        }
        try {
            if (newest != null) {
                writeList(newest);
            }
            for (AcceptedConfiguration accepted : configurations) {
                writeConfiguration(accepted);
            }
            writeLearnedState();
            pendingWritten(newest, configurations.size());
        } catch (StoreException.DiskFull e) {
            synchronized (this) {
                state = State.FULL; // the store itself has logged it
            }
        }
    }

    private synchronized void pendingWritten(BackendList written, int configurations) {
        state = State.OK;
        pendingList = pendingList == written ? null : pendingList;
        pendingConfigurations.subList(0, configurations).clear();
    }

    /**
     * Writes the differences from the stored list and the new revision in one batch. A newer list,
     * which another process of the relay has left, stays.
     */
    private void writeList(BackendList newest) throws IOException {
        Map<String, byte[]> entriesToWrite = new HashMap<>();
        newest.entries()
                .forEach(
                        entry ->
                                entriesToWrite.put(
                                        ENTRY_KEY_PREFIX + entry.uid(),
                                        RelayStateCodec.encodeEntry(entry)));
        Batch batch = new Batch();
        try (Snapshot snapshot = store.snapshot()) {
            byte[] revision = snapshot.get(LIST_REVISION_KEY);
            if (revision != null && RelayStateCodec.decodeNumber(revision) >= newest.revision()) {
                return;
            }
            Snapshot.Scan scan = snapshot.scan(ENTRY_KEYS_START, ENTRY_KEYS_END);
            while (scan.next()) {
                String key = new String(scan.key(), StandardCharsets.UTF_8);
                byte[] value = entriesToWrite.get(key);
                if (value == null) {
                    batch.delete(scan.key());
                } else if (Arrays.equals(value, scan.value())) {
                    entriesToWrite.remove(key);
                }
            }
        }
        entriesToWrite.forEach(
                (key, value) -> batch.put(ConfigurationVersions.keyBytes(key), value));
        store.commit(batch.put(LIST_REVISION_KEY, RelayStateCodec.encodeNumber(newest.revision())));
    }

    private void writeConfiguration(AcceptedConfiguration accepted) throws IOException {
        try {
            long number =
                    ConfigurationVersions.addIfChanged(
                            store,
                            accepted.configuration(),
                            accepted.settings(),
                            accepted.acceptedAt(),
                            settings.maxConfigurations());
            Log.info("keep.configuration", "version", number);
        } catch (IllegalArgumentException e) {
            Log.warn("keep.unwritten", "what", "configuration", "why", e.getMessage());
        }
    }

    private void writeLearnedState() throws IOException {
        LearnedState current = learnedStateSource.get();
        byte[] undated =
                RelayStateCodec.encodeLearnedState(
                        new RelayStateCodec.TimestampedState(Instant.EPOCH, current));
        if (!current.backends().isEmpty() && !Arrays.equals(undated, lastWrittenLearnedState)) {
            store.put(
                    LEARNED_STATE_KEY,
                    RelayStateCodec.encodeLearnedState(
                            new RelayStateCodec.TimestampedState(clock.get(), current)));
            lastWrittenLearnedState = undated;
        }
    }
}

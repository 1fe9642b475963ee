package saltstage.store;

import java.io.Closeable;
import java.io.IOException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.locks.LockSupport;

/**
 * An open store. What {@link #commit} returned from is durable; reads see what is durable and
 * nothing else. Safe for any number of threads; one opener may write, any number of others may read
 * a state of their own.
 */
public final class Store implements Closeable {
    private static final String LOCK_FILE_NAME = "lock";
    private static final int MAX_OPEN_ATTEMPTS = 20;
    private static final long OPEN_RETRY_PAUSE_NS = 20_000_000;
    private static final long CLOSING_CHECKPOINT_LOG_BYTES = 64 << 10;

    /** What a store holds: keys, numbers, bytes of files, and how writing is. */
    public record Statistics(
            long liveKeys,
            long lastSeq,
            int segmentCount,
            long fileBytes,
            long liveBytes,
            long deadBytes,
            long checkpointSeq,
            long checkpointBytes,
            long logBytesSinceCheckpoint,
            boolean diskFull,
            String stopReason) {}

    /** What {@link #verify} read: entries in the log, live keys, the last number. */
    public record VerificationResult(long entryCount, long liveKeys, long lastSeq) {}

    private final StoreState state;
    private final Closeable lock;
    private final LogWriter writer;
    private final GroupCommit groupCommit;
    private final Maintenance maintenance;
    private final AtomicBoolean closed = new AtomicBoolean();
    private Thread maintenanceThread;
    private volatile boolean maintenanceRequested;

    private Store(StoreState core, Closeable lock) {
        this.state = core;
        this.lock = lock;
        writer = new LogWriter(core);
        groupCommit = new GroupCommit(writer::write);
        maintenance = new Maintenance(core);
    }

    /** Opens to write, making a new store where there is none. A second opener is refused. */
    public static Store open(Disk disk, StoreOptions options, StoreEventListener events)
            throws IOException {
        Closeable lock = disk.lock(LOCK_FILE_NAME);
        if (lock == null) {
            throw new StoreException.Locked();
        }
        boolean opened = false;
        try {
            StoreState core = new StoreState(disk, options, events);
            new Recovery(core, true).run();
            Store store = new Store(core, lock);
            store.startMaintenanceThread();
            opened = true;
            return store;
        } finally {
            if (!opened) {
                lock.close();
            }
        }
    }

    /**
     * Opens the state that is there now to read it, also while another process writes; writes
     * nothing.
     */
    public static Store openToRead(Disk disk, StoreEventListener events) throws IOException {
        for (int i = 1; ; i++) {
            try {
                StoreState core = new StoreState(disk, StoreOptions.defaults(), events);
                new Recovery(core, false).run();
                return new Store(core, null);
            } catch (IOException e) {
                if (i == MAX_OPEN_ATTEMPTS
                        || e instanceof StoreException && !(e instanceof StoreException.Damaged)) {
                    throw e;
                }
                LockSupport.parkNanos(
                        OPEN_RETRY_PAUSE_NS); // a file may have gone since the manifest was read
            }
        }
    }

    private void startMaintenanceThread() {
        if (state.options.backgroundMaintenance()) {
            maintenanceThread = new Thread(this::runMaintenance, "store");
            maintenanceThread.setDaemon(true);
            maintenanceThread.start();
        }
    }

    /** Where nothing was written for a while, how far was acknowledged becomes durable too. */
    private void forceAcknowledgedSeqIfIdle(long seqBefore) {
        state.writeLock.lock();
        try {
            if (state.view() != null && state.stopReason() == null && state.nextSeq == seqBefore) {
                state.acknowledgedSeqFile.forceIfChanged();
            }
        } catch (IOException e) { // a force that failed: what is on the disk is not known any more
            state.stopWrites("a write of " + AcknowledgedSeqFile.NAME + " failed", e);
        } finally {
            state.writeLock.unlock();
        }
    }

    private long nextSeq() {
        state.writeLock.lock();
        try {
            return state.nextSeq;
        } finally {
            state.writeLock.unlock();
        }
    }

    /** The store's own thread: a spare segment, checkpoints, compaction; woken by who commits. */
    private void runMaintenance() {
        while (!closed.get()) {
            try {
                writer.prepareSpare();
            } catch (IOException e) { // a writer that needs it will meet the same, and say so
                state.events.onEvent("store.spare.failed", "why", e.getMessage());
            }
            try {
                maintenance.runIfDue();
            } catch (RuntimeException fault) { // the store serves on, only larger than it need be
                state.events.onEvent("store.compaction.failed", "why", fault);
            }
            maintenanceRequested = false;
            long seq = nextSeq();
            LockSupport.parkNanos(this, 1_000_000_000L);
            forceAcknowledgedSeqIfIdle(seq);
        }
    }

    /** Commits a batch; returns its number once it is durable. All of it happens, or nothing. */
    public long commit(Batch batch) throws StoreException {
        if (lock == null) {
            throw new StoreException("the store is open to read only");
        }
        if (closed.get()) {
            throw new StoreException("the store is closed");
        }
        if (batch.size() == 0 && batch.expectedVersions().isEmpty()) {
            return state.view().seq();
        }
        long seq = groupCommit.commit(batch);
        if (maintenanceThread != null
                && !maintenanceRequested
                && state.logBytesSinceCheckpoint > state.options.segmentBytes() / 2) {
            maintenanceRequested = true;
            LockSupport.unpark(maintenanceThread);
        }
        return seq;
    }

    /** Commits one put. */
    public long put(byte[] key, byte[] value) throws StoreException {
        return commit(new Batch().put(key, value));
    }

    /** Commits one delete. */
    public long delete(byte[] key) throws StoreException {
        return commit(new Batch().delete(key));
    }

    /** A key's value, or null. */
    public byte[] get(byte[] key) throws IOException {
        try (Snapshot now = snapshot()) {
            return now.get(key);
        }
    }

    /** The state now, to be closed. */
    public Snapshot snapshot() throws StoreException {
        return new Snapshot(state.acquireView());
    }

    /**
     * Whether batches can still be committed, as far as is known: neither stopped nor out of room.
     */
    public boolean isWritable() {
        return state.stopReason() == null && !state.isDiskFull() && !closed.get();
    }

    /** Writes the index down, so that the next start reads the log from here only. */
    public void checkpoint() throws IOException {
        maintenance.checkpoint();
    }

    /**
     * Gives back what deleted and overwritten data takes; returns the bytes that had to be copied.
     */
    public long compact() throws IOException {
        return maintenance.compactAll(writer);
    }

    /** Bytes that compaction has copied since the opening. */
    public long copiedBytes() {
        return maintenance.copiedBytes();
    }

    /** How it stands. */
    public Statistics statistics() throws IOException {
        state.writeLock.lock();
        try {
            state.checkOpen();
            StoreState.View now = state.view();
            long files = state.manifest.checkpoint().bytes();
            long live = 0;
            long used = 0;
            for (Segment segment : now.segments().all()) {
                files += segment.header().size();
                live += segment.liveBytes();
                used += segment.usedBytes() - SegmentFormat.SEGMENT_HEADER_BYTES;
            }
            return new Statistics(
                    now.index().size(),
                    now.seq(),
                    now.segments().all().size(),
                    files,
                    live,
                    Math.max(0, used - live),
                    state.manifest.checkpoint().seq(),
                    state.manifest.checkpoint().bytes(),
                    state.logBytesSinceCheckpoint,
                    state.isDiskFull(),
                    state.stopReason() == null ? "" : state.stopReason().getMessage());
        } finally {
            state.writeLock.unlock();
        }
    }

    /**
     * Reads every record of every segment and every live value; throws at the first that is
     * damaged.
     */
    public VerificationResult verify() throws IOException {
        long[] records = new long[1];
        StoreState.View now = state.acquireView();
        try {
            for (Segment segment : now.segments().all()) {
                long end = segment.usedBytes();
                SegmentReader reader = new SegmentReader(segment);
                for (long at = SegmentFormat.SEGMENT_HEADER_BYTES; at < end; ) {
                    SegmentReader.Frame found = reader.frameAt(at);
                    if (found == null) {
                        throw new StoreException.Damaged(segment.fileName(), at, "no sound record");
                    }
                    reader.visitEntries(found, (entry, batch, offset, raw) -> records[0]++);
                    at = found.endOffset();
                }
            }
            long live = 0;
            for (Index.Cursor cursor = now.index().cursor(null); cursor.advance(); live++) {
                Index.Location place = cursor.location();
                now.segments()
                        .get(place.segmentId())
                        .readValue(place.offset(), cursor.key(), place);
            }
            return new VerificationResult(records[0], live, now.seq());
        } finally {
            now.segments().release();
        }
    }

    /** The store's own thread ends at its next step; nothing is taken from under it. */
    private void stopMaintenanceThread() {
        if (maintenanceThread == null) {
            return;
        }
        maintenance.setClosing(true);
        boolean interrupted = false;
        while (maintenanceThread.isAlive()) {
            LockSupport.unpark(maintenanceThread);
            try {
                maintenanceThread.join(10);
            } catch (InterruptedException e) {
                interrupted = true;
            }
        }
        maintenance.setClosing(false);
        if (interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    /** Ends writing and lets go of the files; snapshots that are open stay readable. */
    @Override
    public void close() throws IOException {
        if (!closed.compareAndSet(false, true)) {
            return;
        }
        try {
            stopMaintenanceThread();
            if (lock != null
                    && state.stopReason() == null
                    && state.logBytesSinceCheckpoint > 0
                    && state.logBytesSinceCheckpoint
                            >= Math.min(
                                    state.manifest.checkpoint().bytes(),
                                    CLOSING_CHECKPOINT_LOG_BYTES)) {
                maintenance.checkpoint();
            }
        } catch (IOException notNow) { // the log has it all: the next start only takes longer
            state.events.onEvent("store.compaction.failed", "why", notNow.getMessage());
        } finally {
            if (lock != null) {
                forceAcknowledgedSeqIfIdle(nextSeq());
            }
            state.writeLock.lock();
            try {
                writer.close();
                if (state.acknowledgedSeqFile != null) {
                    state.acknowledgedSeqFile.close();
                }
                state.installView(null);
            } finally {
                state.writeLock.unlock();
            }
            if (lock != null) {
                lock.close();
            }
        }
    }
}

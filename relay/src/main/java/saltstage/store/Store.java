package saltstage.store;

import java.io.Closeable;
import java.io.IOException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.locks.LockSupport;

/**
 * An open store. A batch is durable when {@link #commit} returns its sequence number, and reads see
 * only durable data. The class is thread-safe. Only one process may have a store open for writing;
 * any number of others may open it read-only, each with its own view of the state.
 */
public final class Store implements Closeable {
    private static final String LOCK_FILE_NAME = "lock";
    private static final int MAX_OPEN_ATTEMPTS = 20;
    private static final long OPEN_RETRY_PAUSE_NS = 20_000_000;
    private static final long CLOSING_CHECKPOINT_LOG_BYTES = 64 << 10;

    /** Size figures of a store, and whether it still accepts writes. */
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

    /**
     * The result of {@link #verify}: the number of entries in the log, the number of live keys and
     * the last sequence number.
     */
    public record VerificationResult(long entryCount, long liveKeys, long lastSeq) {}

    private final StoreState state;
    private final Closeable lock;
    private final LogWriter writer;
    private final GroupCommit groupCommit;
    private final Maintenance maintenance;
    private final AtomicBoolean closed = new AtomicBoolean();
    private Thread maintenanceThread;
    private volatile boolean maintenanceRequested;

    private Store(StoreState state, Closeable lock) {
        this.state = state;
        this.lock = lock;
        writer = new LogWriter(state);
        groupCommit = new GroupCommit(writer::write);
        maintenance = new Maintenance(state);
    }

    /**
     * Opens a store for writing and creates it if none exists. Fails with {@link
     * StoreException.Locked} while another opener holds the lock.
     */
    public static Store open(Disk disk, StoreOptions options, StoreEventListener events)
            throws IOException {
        Closeable lock = disk.lock(LOCK_FILE_NAME);
        if (lock == null) {
            throw new StoreException.Locked();
        }
        boolean opened = false;
        try {
            StoreState state = new StoreState(disk, options, events);
            new Recovery(state, true).run();
            Store store = new Store(state, lock);
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
     * Opens the current state read-only, even while another process writes to the store. Writes
     * nothing to the disk.
     */
    public static Store openToRead(Disk disk, StoreEventListener events) throws IOException {
        for (int attempt = 1; ; attempt++) {
            try {
                StoreState state = new StoreState(disk, StoreOptions.defaults(), events);
                new Recovery(state, false).run();
                return new Store(state, null);
            } catch (IOException e) {
                if (attempt == MAX_OPEN_ATTEMPTS
                        || e instanceof StoreException && !(e instanceof StoreException.Damaged)) {
                    throw e;
                }
                // A file may have been deleted by the writer since the manifest was read.
                LockSupport.parkNanos(OPEN_RETRY_PAUSE_NS);
            }
        }
    }

    /**
     * Returns the last acknowledged sequence number of the store on this disk, or -1 if it cannot
     * be told at this moment. It is cheap enough to watch a store that another process writes to.
     */
    public static long acknowledgedSeq(Disk disk) throws IOException {
        try (Disk.File file = disk.open(AcknowledgedSeqFile.NAME, false)) {
            return AcknowledgedSeqFile.readOfAnyStore(file);
        }
    }

    private void startMaintenanceThread() {
        if (state.options.backgroundMaintenance()) {
            maintenanceThread = new Thread(this::runMaintenance, "store");
            maintenanceThread.setDaemon(true);
            maintenanceThread.start();
        }
    }

    /**
     * Makes the acknowledged sequence number durable if nothing was written since {@code seqBefore}
     * was the next sequence number.
     */
    private void forceAcknowledgedSeqIfIdle(long seqBefore) {
        state.writeLock.lock();
        try {
            if (state.view() != null && state.stopReason() == null && state.nextSeq == seqBefore) {
                state.acknowledgedSeqFile.forceIfChanged();
            }
        } catch (IOException e) { // after a failed force the content of the disk is unknown
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

    /**
     * The loop of the maintenance thread: prepares a spare segment, writes checkpoints and
     * compacts. A commit wakes the thread when enough log has been written.
     */
    private void runMaintenance() {
        while (!closed.get()) {
            try {
                writer.prepareSpare();
            } catch (IOException e) { // a commit that needs the segment reports the failure
                state.events.onEvent("store.spare.failed", "why", e.getMessage());
            }
            try {
                maintenance.runIfDue();
            } catch (RuntimeException fault) { // the store keeps working, but takes more space
                state.events.onEvent("store.compaction.failed", "why", fault);
            }
            maintenanceRequested = false;
            long seq = nextSeq();
            LockSupport.parkNanos(this, 1_000_000_000L);
            forceAcknowledgedSeqIfIdle(seq);
        }
    }

    /** Commits a batch atomically and returns its sequence number once the batch is durable. */
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

    /** Commits a batch with a single put. */
    public long put(byte[] key, byte[] value) throws StoreException {
        return commit(new Batch().put(key, value));
    }

    /** Commits a batch with a single delete. */
    public long delete(byte[] key) throws StoreException {
        return commit(new Batch().delete(key));
    }

    /** Returns the value of a key, or null if the key does not exist. */
    public byte[] get(byte[] key) throws IOException {
        try (Snapshot snapshot = snapshot()) {
            return snapshot.get(key);
        }
    }

    /** Returns a snapshot of the current state; the caller must close it. */
    public Snapshot snapshot() throws StoreException {
        return new Snapshot(state.acquireView());
    }

    /**
     * Returns whether commits are expected to succeed: writing has not been stopped, the disk is
     * not known to be full, and the store is open.
     */
    public boolean isWritable() {
        return state.stopReason() == null && !state.isDiskFull() && !closed.get();
    }

    /**
     * Writes a checkpoint of the index, so that the next open replays only the log written after
     * it.
     */
    public void checkpoint() throws IOException {
        maintenance.checkpoint();
    }

    /**
     * Reclaims the space of deleted and overwritten data. Returns the number of bytes that were
     * copied for it.
     */
    public long compact() throws IOException {
        return maintenance.compactAll(writer);
    }

    /** Returns the number of bytes that compaction has copied since the store was opened. */
    public long copiedBytes() {
        return maintenance.copiedBytes();
    }

    /** Returns the current size figures of the store. */
    public Statistics statistics() throws IOException {
        state.writeLock.lock();
        try {
            state.checkOpen();
            StoreState.View view = state.view();
            long fileBytes = state.manifest.checkpoint().bytes();
            long liveBytes = 0;
            long usedBytes = 0;
            for (Segment segment : view.segments().all()) {
                fileBytes += segment.header().size();
                liveBytes += segment.liveBytes();
                usedBytes += segment.usedBytes() - SegmentFormat.SEGMENT_HEADER_BYTES;
            }
            return new Statistics(
                    view.index().size(),
                    view.seq(),
                    view.segments().all().size(),
                    fileBytes,
                    liveBytes,
                    Math.max(0, usedBytes - liveBytes),
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
     * Reads every frame of every segment and every live value. Throws {@link
     * StoreException.Damaged} for the first damaged one.
     */
    public VerificationResult verify() throws IOException {
        long[] entryCount = new long[1];
        StoreState.View view = state.acquireView();
        try {
            for (Segment segment : view.segments().all()) {
                long end = segment.usedBytes();
                SegmentReader reader = new SegmentReader(segment);
                for (long frameOffset = SegmentFormat.SEGMENT_HEADER_BYTES; frameOffset < end; ) {
                    SegmentReader.Frame frame = reader.frameAt(frameOffset);
                    if (frame == null) {
                        throw new StoreException.Damaged(
                                segment.fileName(), frameOffset, "no sound record");
                    }
                    reader.visitEntries(frame, (entry, batch, offset, raw) -> entryCount[0]++);
                    frameOffset = frame.endOffset();
                }
            }
            long liveKeys = 0;
            for (Index.Cursor cursor = view.index().cursor(null); cursor.advance(); liveKeys++) {
                Index.Location location = cursor.location();
                view.segments()
                        .get(location.segmentId())
                        .readValue(location.offset(), cursor.key(), location);
            }
            return new VerificationResult(entryCount[0], liveKeys, view.seq());
        } finally {
            view.segments().release();
        }
    }

    /**
     * Stops the maintenance thread at its next step and waits for it. The thread is not
     * interrupted, and its files stay open until it has ended.
     */
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

    /** Closes the store. Snapshots that are still open stay readable. */
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
        } catch (IOException e) { // the log is complete: only the next open takes longer
            state.events.onEvent("store.compaction.failed", "why", e.getMessage());
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

package saltstage.store;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Predicate;

/**
 * The state that the parts of an open store share. Except for the view, the stop reason and the
 * disk-full flag it is guarded by the write lock.
 */
final class StoreState {
    /** An immutable state of the store that readers may hold. */
    record View(Index index, SegmentSet segments, long seq) {}

    final Disk disk;
    final StoreOptions options;
    final StoreEventListener events;

    /**
     * Guards the log, the set of segments and the manifest. The lock is fair, because a compaction
     * that repeatedly reacquires it must not starve the writers.
     */
    final ReentrantLock writeLock = new ReentrantLock(true);

    private volatile View view;
    private volatile StoreException.WritesStopped stopReason;
    private volatile boolean diskFull;
    Manifest manifest;
    Segment activeSegment;

    /** The file with the acknowledged sequence number; null if the store is open read-only. */
    AcknowledgedSeqFile acknowledgedSeqFile;

    long nextSeq;
    long nextFileId;

    /** The bytes of log written since the current checkpoint. */
    long logBytesSinceCheckpoint;

    StoreState(Disk disk, StoreOptions options, StoreEventListener events) {
        this.disk = disk;
        this.options = options;
        this.events = events;
    }

    View view() {
        return view;
    }

    /**
     * Returns the current view with a reference on its segments; the caller must call {@link
     * SegmentSet#release}.
     */
    View acquireView() throws StoreException {
        while (true) {
            View current = view;
            if (current == null) {
                throw new StoreException("the store is closed");
            }
            if (current.segments().tryAcquire()) {
                return current;
            }
        }
    }

    /** Throws if the store is closed. The caller holds the write lock. */
    void checkOpen() throws StoreException {
        if (view == null) {
            throw new StoreException("the store is closed");
        }
    }

    /** Replaces the view that readers see. The caller holds the write lock. */
    void installView(View next) {
        View previous = view;
        view = next;
        if (previous != null && (next == null || previous.segments() != next.segments())) {
            previous.segments().release();
        }
    }

    StoreException.WritesStopped stopReason() {
        return stopReason;
    }

    /**
     * Stops all writes permanently, because the content of the disk is unknown after a failed write
     * or force.
     */
    StoreException.WritesStopped stopWrites(String what, Throwable cause) {
        if (stopReason == null) {
            stopReason = new StoreException.WritesStopped(what + ": " + cause.getMessage(), cause);
            events.onEvent("store.stopped", "why", stopReason.getMessage());
        }
        return stopReason;
    }

    /** Records whether the disk is full, and reports a change. */
    void setDiskFull(boolean full, String what) {
        if (diskFull != full) {
            diskFull = full;
            events.onEvent(full ? "store.full" : "store.room", "what", what);
        }
    }

    boolean isDiskFull() {
        return diskFull;
    }

    /**
     * Replaces the manifest by one with these segments and this checkpoint. The caller holds the
     * write lock. A failure before the rename leaves the old manifest in force and is thrown; a
     * failure from the rename on stops all writes.
     */
    void publishManifest(List<Manifest.SegmentRef> segments, Manifest.CheckpointRef checkpoint)
            throws IOException {
        Manifest next =
                new Manifest(
                        Manifest.FORMAT_VERSION,
                        manifest.storeId(),
                        manifest.generation() + 1,
                        nextFileId,
                        checkpoint,
                        segments);
        next.writeTemporary(disk);
        try {
            Manifest.publish(disk);
        } catch (IOException e) {
            throw stopWrites("the manifest could not be put in force", e);
        }
        manifest = next;
    }

    /** Returns the manifest records of the segments of a set, except those to leave out. */
    List<Manifest.SegmentRef> segmentRefs(SegmentSet set, Predicate<Segment> excluded) {
        List<Manifest.SegmentRef> refs = new ArrayList<>();
        for (Segment segment : set.all()) {
            if (!excluded.test(segment)) {
                boolean sealed = segment != activeSegment;
                refs.add(
                        new Manifest.SegmentRef(
                                segment.id(),
                                segment.header().kind(),
                                sealed,
                                segment.header().size(),
                                sealed ? segment.usedBytes() : 0,
                                segment.header().baseSeq(),
                                sealed ? lastSeq(segment) : 0));
            }
        }
        return refs;
    }

    private long lastSeq(Segment segment) {
        for (Manifest.SegmentRef ref : manifest.segments()) {
            if (ref.id() == segment.id() && ref.sealed()) {
                return ref.lastSeq();
            }
        }
        return segment.header().kind() == SegmentFormat.COPY_SEGMENT ? 0 : nextSeq - 1;
    }
}

package saltstage.store;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Predicate;

/**
 * What the parts of an open store share. All but the view and the reason to have stopped is under a
 * lock.
 */
final class StoreState {
    /** One state of the store that readers may hold: nothing in it changes. */
    record View(Index index, SegmentSet segments, long seq) {}

    final Disk disk;
    final StoreOptions options;
    final StoreEventListener events;

    /**
     * Held by whoever writes the log, changes the set of segments or publishes a manifest. Fair: a
     * compaction that comes again at once must not keep the writers out.
     */
    final ReentrantLock writeLock = new ReentrantLock(true);

    private volatile View view;
    private volatile StoreException.WritesStopped stopReason;
    private volatile boolean diskFull;
    Manifest manifest;
    Segment activeSegment;

    /** What says how far was acknowledged; null where the store is read only. */
    AcknowledgedSeqFile acknowledgedSeqFile;

    long nextSeq;
    long nextFileId;

    /** Bytes of log since the checkpoint in force. */
    long logBytesSinceCheckpoint;

    StoreState(Disk disk, StoreOptions options, StoreEventListener events) {
        this.disk = disk;
        this.options = options;
        this.events = events;
    }

    View view() {
        return view;
    }

    /** The state now, held until {@link SegmentSet#release}. */
    View acquireView() throws StoreException {
        while (true) {
            View now = view;
            if (now == null) {
                throw new StoreException("the store is closed");
            }
            if (now.segments().tryAcquire()) {
                return now;
            }
        }
    }

    /** Refuses where the store was closed; under the write lock. */
    void checkOpen() throws StoreException {
        if (view == null) {
            throw new StoreException("the store is closed");
        }
    }

    /** Shows another state from now on; under the write lock. */
    void installView(View next) {
        View before = view;
        view = next;
        if (before != null && (next == null || before.segments() != next.segments())) {
            before.segments().release();
        }
    }

    StoreException.WritesStopped stopReason() {
        return stopReason;
    }

    /** Stops all writing for good: what a failed write or force left on the disk is not known. */
    StoreException.WritesStopped stopWrites(String what, Throwable cause) {
        if (stopReason == null) {
            stopReason = new StoreException.WritesStopped(what + ": " + cause.getMessage(), cause);
            events.onEvent("store.stopped", "why", stopReason.getMessage());
        }
        return stopReason;
    }

    /** Marks whether the disk is full, and tells when that changes. */
    void setDiskFull(boolean now, String what) {
        if (diskFull != now) {
            diskFull = now;
            events.onEvent(now ? "store.full" : "store.room", "what", what);
        }
    }

    boolean isDiskFull() {
        return diskFull;
    }

    /**
     * Puts a manifest with these segments and checkpoint in force; under the write lock. What fails
     * before the rename leaves the old one in force and is passed on; from the rename on it stops
     * the store.
     */
    void publishManifest(List<Manifest.SegmentRef> parts, Manifest.CheckpointRef checkpoint)
            throws IOException {
        Manifest next =
                new Manifest(
                        Manifest.FORMAT_VERSION,
                        manifest.storeId(),
                        manifest.generation() + 1,
                        nextFileId,
                        checkpoint,
                        parts);
        next.writeTemporary(disk);
        try {
            Manifest.publish(disk);
        } catch (IOException e) {
            throw stopWrites("the manifest could not be put in force", e);
        }
        manifest = next;
    }

    /** The segments of a set as the manifest has them, but those that are to be left out. */
    List<Manifest.SegmentRef> segmentRefs(SegmentSet set, Predicate<Segment> leaveOut) {
        List<Manifest.SegmentRef> parts = new ArrayList<>();
        for (Segment segment : set.all()) {
            if (!leaveOut.test(segment)) {
                boolean sealed = segment != activeSegment;
                parts.add(
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
        return parts;
    }

    private long lastSeq(Segment segment) {
        for (Manifest.SegmentRef part : manifest.segments()) {
            if (part.id() == segment.id() && part.sealed()) {
                return part.lastSeq();
            }
        }
        return segment.header().kind() == SegmentFormat.COPY_SEGMENT ? 0 : nextSeq - 1;
    }
}

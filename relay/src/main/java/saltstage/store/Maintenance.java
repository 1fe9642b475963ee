package saltstage.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.locks.LockSupport;
import java.util.concurrent.locks.ReentrantLock;

/**
 * Checkpoints and compaction; one runs at a time, concurrently with commits. Compaction copies the
 * live entries of the selected segments into new ones, moves the index to the copies a few entries
 * at a time, and writes a checkpoint with a manifest of the new segments. Only then are the old
 * files deleted. After a crash at any point, the manifest on disk is either the old one with all of
 * its files or the new one.
 */
final class Maintenance {
    private static final int MAX_COPY_FRAME_BYTES = 128 << 10;

    /** The number of index entries moved per acquisition of the write lock, while writers wait. */
    private static final int INDEX_UPDATES_PER_LOCK = 64;

    private static final long MAX_PAUSE_NS = 50_000_000;

    private final StoreState state;
    private final MaintenancePolicy policy;
    private final ReentrantLock maintenanceLock = new ReentrantLock();
    private volatile boolean closing;
    private long copiedBytes;

    Maintenance(StoreState state) {
        this.state = state;
        policy = new MaintenancePolicy(state.options.segmentBytes());
    }

    /** An entry that was copied, with its old address and new location. */
    private record MovedEntry(byte[] key, long oldAddress, Index.Location newLocation) {}

    /**
     * Runs the compaction or checkpoint that the policy finds due. A full disk or an I/O failure
     * postpones it.
     */
    void runIfDue() {
        maintenanceLock.lock();
        try {
            List<Long> victims =
                    policy.selectForCompaction(
                            sealedSegments(), state.manifest.checkpoint().bytes());
            if (!victims.isEmpty()) {
                compact(victims, new RateLimiter(state.options.compactionBytesPerSecond()));
            } else if (policy.isCheckpointDue(
                    state.logBytesSinceCheckpoint, state.manifest.checkpoint().bytes())) {
                checkpoint();
            }
        } catch (Disk.FullException e) {
            state.setDiskFull(true, "a checkpoint or compaction");
        } catch (IOException e) {
            state.events.onEvent("store.compaction.failed", "why", e.getMessage());
        } finally {
            maintenanceLock.unlock();
        }
    }

    List<MaintenancePolicy.SealedSegment> sealedSegments() throws StoreException {
        state.writeLock.lock();
        try {
            state.checkOpen();
            return state.view().segments().all().stream()
                    .filter(segment -> segment != state.activeSegment)
                    .map(
                            segment ->
                                    new MaintenancePolicy.SealedSegment(
                                            segment.id(),
                                            segment.usedBytes()
                                                    - SegmentFormat.SEGMENT_HEADER_BYTES,
                                            segment.liveBytes()))
                    .toList();
        } finally {
            state.writeLock.unlock();
        }
    }

    /** Returns the number of bytes that compaction has copied since the store was opened. */
    long copiedBytes() {
        return copiedBytes;
    }

    /** Sets whether a running checkpoint or compaction is to stop at its next step. */
    void setClosing(boolean value) {
        closing = value;
    }

    /**
     * Rewrites every sealed segment with dead data, without a rate limit. Returns the number of
     * bytes copied.
     */
    long compactAll(LogWriter writer) throws IOException {
        maintenanceLock.lock();
        try {
            long copiedBefore = copiedBytes;
            state.writeLock.lock();
            try {
                state.checkOpen();
                if (state.activeSegment.usedBytes() > SegmentFormat.SEGMENT_HEADER_BYTES
                        && state.activeSegment.liveBytes() < state.activeSegment.usedBytes() / 2) {
                    writer.roll(SegmentFormat.FRAME_HEADER_BYTES);
                }
            } finally {
                state.writeLock.unlock();
            }
            compact(MaintenancePolicy.selectAllWithDeadData(sealedSegments()), null);
            return copiedBytes - copiedBefore;
        } finally {
            maintenanceLock.unlock();
        }
    }

    /**
     * Writes a checkpoint of the current index and makes it the current one. Segments without live
     * entries are removed.
     */
    void checkpoint() throws IOException {
        maintenanceLock.lock();
        try {
            StoreState.View view;
            long id;
            long replaySegmentId;
            long replayOffset;
            long logBytes;
            Set<Segment> dead = new HashSet<>();
            state.writeLock.lock();
            try {
                view = state.acquireView();
                id = state.nextFileId++;
                replaySegmentId = state.activeSegment.id();
                replayOffset = state.activeSegment.usedBytes();
                logBytes = state.logBytesSinceCheckpoint;
                view.segments().all().stream()
                        .filter(
                                segment ->
                                        segment != state.activeSegment && segment.liveBytes() == 0)
                        .forEach(dead::add);
            } finally {
                state.writeLock.unlock();
            }
            try {
                Checkpoint.WriteResult result = writeCheckpoint(id, view);
                publishCheckpoint(
                        new Manifest.CheckpointRef(
                                id,
                                view.seq(),
                                replaySegmentId,
                                replayOffset,
                                result.bytes(),
                                result.crc(),
                                view.index().size()),
                        dead,
                        logBytes);
            } finally {
                view.segments().release();
            }
        } finally {
            maintenanceLock.unlock();
        }
    }

    private Checkpoint.WriteResult writeCheckpoint(long id, StoreState.View view)
            throws IOException {
        String name = Checkpoint.fileName(id);
        boolean done = false;
        try (Disk.File file = state.disk.create(name)) {
            Checkpoint.WriteResult result =
                    Checkpoint.write(
                            file,
                            state.manifest.storeId(),
                            id,
                            view.seq(),
                            view.index(),
                            bytes -> checkNotClosing());
            state.disk.syncDirectory();
            done = true;
            return result;
        } finally {
            if (!done) {
                deleteQuietly(name);
            }
        }
    }

    private void checkNotClosing() throws IOException {
        if (closing) {
            throw new StoreException("the store is closing");
        }
    }

    private void deleteQuietly(String name) {
        try {
            state.disk.delete(name);
        } catch (IOException e) { // the next open deletes files that are not in the manifest
            return;
        }
    }

    private void publishCheckpoint(Manifest.CheckpointRef ref, Set<Segment> dead, long logBytes)
            throws IOException {
        Manifest.CheckpointRef previous = state.manifest.checkpoint();
        state.writeLock.lock();
        try {
            if (state.stopReason() != null) {
                throw state.stopReason();
            }
            SegmentSet set = state.view().segments();
            state.publishManifest(state.segmentRefs(set, dead::contains), ref);
            // Marked before the last reference is released, which installView may do below.
            dead.forEach(Segment::markForDeletion);
            state.logBytesSinceCheckpoint -= logBytes;
            if (!dead.isEmpty()) {
                state.installView(
                        new StoreState.View(
                                state.view().index(), set.without(dead), state.view().seq()));
            }
        } finally {
            state.writeLock.unlock();
        }
        if (previous.id() != 0) {
            deleteQuietly(previous.fileName());
        }
        state.setDiskFull(false, "a checkpoint");
    }

    private void compact(List<Long> victims, RateLimiter rateLimiter) throws IOException {
        Set<Long> victimIds = new HashSet<>(victims);
        StoreState.View view = state.acquireView();
        try {
            Copier copier = new Copier(rateLimiter);
            try {
                for (Segment victim : view.segments().all()) {
                    if (victimIds.contains(victim.id())) {
                        copier.copyLiveEntries(victim);
                    }
                }
                copier.finish();
            } finally {
                copier.abandon();
            }
        } finally {
            view.segments().release();
        }
        checkpoint();
    }

    /** Copies live entries into new segments. */
    private final class Copier {
        private final RateLimiter rateLimiter;
        private final ByteBuffer frameBuffer =
                ByteBuffer.allocate(
                        MAX_COPY_FRAME_BYTES
                                + SegmentFormat.FRAME_HEADER_BYTES
                                + SegmentFormat.BATCH_HEADER_BYTES
                                + SegmentFormat.ALIGNMENT_BYTES);
        private List<MovedEntry> bufferedEntries = new ArrayList<>();
        private final List<MovedEntry> movedEntries = new ArrayList<>();
        private Disk.File output;
        private long segmentId;
        private long endOffset;

        Copier(RateLimiter rateLimiter) {
            this.rateLimiter = rateLimiter;
        }

        void copyLiveEntries(Segment victim) throws IOException {
            SegmentReader reader = new SegmentReader(victim);
            for (long frameOffset = SegmentFormat.SEGMENT_HEADER_BYTES;
                    frameOffset < victim.usedBytes(); ) {
                SegmentReader.Frame frame = reader.frameAt(frameOffset);
                if (frame == null) {
                    throw new StoreException.Damaged(
                            victim.fileName(), frameOffset, "no sound record");
                }
                if (frame.header().kind() == SegmentFormat.GROUP_FRAME
                        || frame.header().kind() == SegmentFormat.COPY_FRAME) {
                    reader.visitEntries(
                            frame,
                            (entry, batch, offset, raw) -> copyIfLive(victim, entry, offset, raw));
                }
                throttle(frame.header().totalBytes());
                frameOffset = frame.endOffset();
            }
        }

        private void copyIfLive(
                Segment victim, SegmentFormat.Entry entry, long offset, ByteBuffer raw)
                throws IOException {
            long address = Index.Location.addressOf(victim.id(), offset);
            Index.Location location = state.view().index().find(entry.key());
            if (entry.op() != SegmentFormat.PUT
                    || location == null
                    || location.address() != address) {
                return;
            }
            if (raw.remaining() > MAX_COPY_FRAME_BYTES) {
                flushFrame();
                writeEntries(
                        ByteBuffer.allocate(
                                raw.remaining()
                                        + SegmentFormat.FRAME_HEADER_BYTES
                                        + SegmentFormat.BATCH_HEADER_BYTES
                                        + SegmentFormat.ALIGNMENT_BYTES),
                        List.of(raw),
                        List.of(new MovedEntry(entry.key(), address, location)));
                return;
            }
            if (frameBuffer.position() == 0) {
                beginFrame(frameBuffer);
            }
            if (frameBuffer.position() + raw.remaining() > MAX_COPY_FRAME_BYTES) {
                flushFrame();
                beginFrame(frameBuffer);
            }
            bufferedEntries.add(new MovedEntry(entry.key(), address, location));
            frameBuffer.put(raw);
        }

        private void beginFrame(ByteBuffer frame) {
            frame.clear();
            SegmentFormat.beginFrame(frame, SegmentFormat.COPY_FRAME, 1, 0);
            frame.putInt(0);
        }

        private void writeEntries(
                ByteBuffer frame, List<ByteBuffer> entries, List<MovedEntry> moved)
                throws IOException {
            beginFrame(frame);
            entries.forEach(frame::put);
            writeFrame(frame, moved);
        }

        private void flushFrame() throws IOException {
            if (!bufferedEntries.isEmpty()) {
                writeFrame(frameBuffer, bufferedEntries);
                bufferedEntries = new ArrayList<>();
            }
            frameBuffer.clear();
        }

        /** Writes a frame of entries and records their new locations. */
        private void writeFrame(ByteBuffer frame, List<MovedEntry> moved) throws IOException {
            if (output != null
                    && endOffset + frame.position() + SegmentFormat.ALIGNMENT_BYTES
                            > state.options.segmentBytes()) {
                finishSegment();
            }
            if (output == null) {
                openSegment();
            }
            frame.putInt(SegmentFormat.FRAME_HEADER_BYTES, moved.size());
            SegmentFormat.endFrame(
                    frame,
                    0,
                    new SegmentFormat.ChecksumSeed(state.manifest.storeId(), segmentId),
                    endOffset);
            int bytes = frame.flip().remaining();
            if (output.write(frame, endOffset) < bytes) {
                throw new IOException("short write of " + segmentFileName());
            }
            long entryOffset =
                    endOffset + SegmentFormat.FRAME_HEADER_BYTES + SegmentFormat.BATCH_HEADER_BYTES;
            for (MovedEntry entry : moved) {
                movedEntries.add(
                        new MovedEntry(
                                entry.key(),
                                entry.oldAddress(),
                                new Index.Location(
                                        Index.Location.addressOf(segmentId, entryOffset),
                                        entry.newLocation().version(),
                                        entry.newLocation().valueLength())));
                entryOffset +=
                        SegmentFormat.ENTRY_HEADER_BYTES
                                + entry.key().length
                                + entry.newLocation().valueLength();
            }
            endOffset += bytes;
            copiedBytes += bytes;
            throttle(bytes);
        }

        private String segmentFileName() {
            return Segment.fileName(segmentId, SegmentFormat.COPY_SEGMENT);
        }

        private void openSegment() throws IOException {
            state.writeLock.lock();
            segmentId = state.nextFileId++;
            state.writeLock.unlock();
            output = state.disk.create(segmentFileName());
            endOffset = SegmentFormat.SEGMENT_HEADER_BYTES;
        }

        void finish() throws IOException {
            flushFrame();
            if (output != null) {
                finishSegment();
            }
        }

        /** Completes a segment of copies and moves the index to it. */
        private void finishSegment() throws IOException {
            SegmentFormat.SegmentHeader header =
                    new SegmentFormat.SegmentHeader(
                            SegmentFormat.COPY_SEGMENT,
                            state.manifest.storeId(),
                            segmentId,
                            endOffset,
                            0);
            if (output.write(SegmentFormat.encodeHeader(header), 0)
                    < SegmentFormat.SEGMENT_HEADER_BYTES) {
                throw new IOException("short write of " + segmentFileName());
            }
            // The name becomes durable together with that of the checkpoint that refers to it.
            output.force();
            Segment segment = new Segment(state.disk, segmentFileName(), output, header);
            segment.setUsedBytes(endOffset);
            output = null;
            state.writeLock.lock();
            try {
                StoreState.View view = state.view();
                state.installView(
                        new StoreState.View(
                                view.index(), view.segments().with(segment), view.seq()));
            } finally {
                state.writeLock.unlock();
            }
            for (int i = 0; i < movedEntries.size(); i += INDEX_UPDATES_PER_LOCK) {
                updateIndex(
                        segment,
                        movedEntries.subList(
                                i, Math.min(movedEntries.size(), i + INDEX_UPDATES_PER_LOCK)));
            }
            movedEntries.clear();
        }

        /**
         * Moves the index to the copies of those entries that were not overwritten or deleted in
         * the meantime.
         */
        private void updateIndex(Segment target, List<MovedEntry> entries) {
            state.writeLock.lock();
            try {
                StoreState.View view = state.view();
                Index index = view.index();
                for (MovedEntry entry : entries) {
                    Index.Location location = index.find(entry.key());
                    if (location != null && location.address() == entry.oldAddress()) {
                        int bytes =
                                SegmentFormat.ENTRY_HEADER_BYTES
                                        + entry.key().length
                                        + location.valueLength();
                        view.segments().get(location.segmentId()).addLiveBytes(-bytes);
                        target.addLiveBytes(bytes);
                        index = index.put(entry.key(), entry.newLocation());
                    }
                }
                state.installView(new StoreState.View(index, view.segments(), view.seq()));
            } finally {
                state.writeLock.unlock();
            }
        }

        /** Closes and deletes a segment that was not completed; the index does not refer to it. */
        void abandon() {
            if (output == null) {
                return;
            }
            try {
                output.close();
            } catch (IOException e) {
                state.events.onEvent("store.compaction.failed", "why", e.getMessage());
            }
            deleteQuietly(segmentFileName());
        }

        private void throttle(long bytes) throws IOException {
            checkNotClosing();
            if (rateLimiter == null) {
                return;
            }
            long deadlineNs = System.nanoTime() + rateLimiter.take(bytes, System.nanoTime());
            for (long remainingNs = deadlineNs - System.nanoTime();
                    remainingNs > 0;
                    remainingNs = deadlineNs - System.nanoTime()) {
                checkNotClosing();
                LockSupport.parkNanos(Math.min(remainingNs, MAX_PAUSE_NS));
            }
        }
    }
}

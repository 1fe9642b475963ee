package saltstage.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * Appends groups of batches to the log, makes them durable and then publishes them to readers, one
 * group at a time.
 */
final class LogWriter {
    private static final int MAX_REUSED_BUFFER_BYTES = 1 << 20;
    private static final byte[] ZEROS = new byte[64 << 10];

    /**
     * A segment prepared in advance: filled with zeros and durable, but without a segment id. The
     * id is assigned when the segment becomes active, because the log is replayed in the order of
     * segment ids and other segments may have become active in the meantime.
     */
    record SpareSegment(String fileName, Disk.File file, long size) {}

    private final StoreState state;
    private ByteBuffer buffer = ByteBuffer.allocateDirect(64 << 10);
    private SpareSegment spare;

    LogWriter(StoreState core) {
        this.state = core;
    }

    /** The changes of a group, collected while it is encoded and published once it is durable. */
    private static final class GroupChanges {
        private Index index;
        private long addedBytes;
        private final List<Index.Location> replacedLocations = new ArrayList<>();
        private final List<Integer> replacedBytes = new ArrayList<>();

        void recordReplaced(byte[] key) {
            Index.Location old = index.find(key);
            if (old != null) {
                replacedLocations.add(old);
                replacedBytes.add(entryBytes(key.length, old.valueLength()));
            }
        }

        static int entryBytes(int key, int value) {
            return SegmentFormat.ENTRY_HEADER_BYTES + key + value;
        }
    }

    /**
     * Commits a group of batches, each one entirely or not at all. Sets the sequence number or the
     * failure of each batch. Throws if the group as a whole cannot be written.
     */
    void write(List<PendingBatch> taken) throws StoreException {
        state.writeLock.lock();
        try {
            state.checkOpen();
            if (state.stopReason() != null) {
                throw state.stopReason();
            }
            int most =
                    SegmentFormat.FRAME_HEADER_BYTES
                            + taken.stream().mapToInt(p -> p.batch().encodedBytes()).sum();
            if (!state.activeSegment.hasRoomFor(SegmentFormat.alignUp(most))) {
                roll(SegmentFormat.alignUp(most));
            }
            appendGroup(taken, SegmentFormat.alignUp(most));
        } catch (RuntimeException | Error fault) { // it is unknown how much was written
            state.stopWrites("a fault while writing", fault);
            throw fault;
        } finally {
            state.writeLock.unlock();
        }
    }

    private void appendGroup(List<PendingBatch> taken, int most) throws StoreException {
        Segment segment = state.activeSegment;
        long offset = segment.usedBytes();
        ByteBuffer out = clearedBuffer(SegmentFormat.reservedBytes(most));
        int start = SegmentFormat.beginFrame(out, SegmentFormat.GROUP_FRAME, 0, state.nextSeq);
        GroupChanges effects = new GroupChanges();
        effects.index = state.view().index();
        long seq = state.nextSeq;
        for (PendingBatch pending : taken) {
            StoreException.VersionConflict conflict = findConflict(effects.index, pending.batch());
            if (conflict != null) {
                pending.fail(conflict);
            } else {
                pending.setSeq(seq);
                appendBatch(out, pending.batch(), seq++, segment.id(), offset, effects);
            }
        }
        int count = (int) (seq - state.nextSeq);
        if (count == 0) {
            return;
        }
        out.putInt(start + 12, count);
        SegmentFormat.FrameHeader head =
                SegmentFormat.endFrame(out, start, segment.checksumSeed(), offset);
        try {
            makeDurable(segment, out, head, offset);
            state.acknowledgedSeqFile.update(seq - 1);
        } catch (IOException e) {
            throw state.stopWrites("a write for " + segment.fileName() + " failed", e);
        }
        state.nextSeq = seq;
        state.logBytesSinceCheckpoint += head.totalBytes();
        publishGroup(segment, head, offset, effects);
    }

    private static StoreException.VersionConflict findConflict(Index index, Batch batch) {
        for (Batch.ExpectedVersion expected : batch.expectedVersions()) {
            Index.Location place = index.find(expected.key());
            long found = place == null ? 0 : place.version();
            if (found != expected.version()) {
                return new StoreException.VersionConflict(expected.version(), found);
            }
        }
        return null;
    }

    private static void appendBatch(
            ByteBuffer out,
            Batch batch,
            long seq,
            long segment,
            long offset,
            GroupChanges effects) {
        out.putInt(batch.changes().size());
        for (Batch.Change change : batch.changes()) {
            long at = Index.Location.addressOf(segment, offset + out.position());
            effects.recordReplaced(change.key());
            if (change.value() == null) {
                SegmentFormat.encodeEntry(out, SegmentFormat.DELETE, change.key(), null, seq);
                effects.index = effects.index.delete(change.key());
            } else {
                SegmentFormat.encodeEntry(
                        out, SegmentFormat.PUT, change.key(), change.value(), seq);
                effects.index =
                        effects.index.put(
                                change.key(), new Index.Location(at, seq, change.value().length));
                effects.addedBytes += change.encodedBytes();
            }
        }
    }

    /**
     * Writes a group and forces it. A small group is written together with its mirror. A large
     * group is followed by a commit marker in a second write once the group is durable.
     */
    private static void makeDurable(
            Segment segment, ByteBuffer out, SegmentFormat.FrameHeader head, long offset)
            throws IOException {
        boolean mirrored = head.totalBytes() <= SegmentFormat.MAX_MIRRORED_BYTES;
        if (mirrored) {
            SegmentFormat.encodeMirror(out, 0, head, segment.checksumSeed(), offset);
        }
        writeFully(segment, out.flip(), offset);
        segment.file().force();
        if (!mirrored) {
            ByteBuffer mark = ByteBuffer.allocate(SegmentFormat.COMMIT_MARKER_BYTES);
            SegmentFormat.encodeCommitMarker(mark, head, segment.checksumSeed(), offset);
            writeFully(segment, mark.flip(), offset + head.totalBytes());
            segment.file().force();
        }
    }

    private static void writeFully(Segment segment, ByteBuffer out, long offset)
            throws IOException {
        int whole = out.remaining();
        int written = segment.file().write(out, offset);
        if (written < whole) {
            throw new IOException("short write: " + written + " of " + whole + " bytes");
        }
    }

    private void publishGroup(
            Segment segment, SegmentFormat.FrameHeader head, long offset, GroupChanges effects) {
        segment.setUsedBytes(offset + head.totalBytes());
        segment.addLiveBytes(effects.addedBytes);
        SegmentSet set = state.view().segments();
        for (int i = 0; i < effects.replacedLocations.size(); i++) {
            set.get(effects.replacedLocations.get(i).segmentId())
                    .addLiveBytes(-effects.replacedBytes.get(i));
        }
        state.installView(new StoreState.View(effects.index, set, state.nextSeq - 1));
    }

    private ByteBuffer clearedBuffer(int bytes) {
        if (bytes > MAX_REUSED_BUFFER_BYTES) {
            return ByteBuffer.allocate(bytes);
        }
        if (buffer.capacity() < bytes) {
            buffer = ByteBuffer.allocateDirect(MAX_REUSED_BUFFER_BYTES);
        }
        return buffer.clear();
    }

    /**
     * Makes a new segment with room for a group of this size the active one. If the disk is full
     * the commit is rejected, and a later one may succeed.
     */
    void roll(int groupTotal) throws StoreException {
        try {
            long need =
                    SegmentFormat.SEGMENT_HEADER_BYTES
                            + (long) SegmentFormat.reservedBytes(groupTotal);
            SpareSegment ready =
                    spare != null && spare.size() >= need
                            ? spare
                            : createSpare(Math.max(state.options.segmentBytes(), need));
            if (ready == spare) {
                spare = null;
            }
            activate(ready);
            state.setDiskFull(false, ready.fileName());
        } catch (Disk.FullException e) {
            state.setDiskFull(true, "a new segment");
            throw new StoreException.DiskFull(e);
        } catch (StoreException e) {
            throw e;
        } catch (IOException e) {
            throw state.stopWrites("no new segment could be made", e);
        }
    }

    private void activate(SpareSegment ready) throws IOException {
        long id = state.nextFileId++;
        SegmentFormat.SegmentHeader header =
                new SegmentFormat.SegmentHeader(
                        SegmentFormat.LOG_SEGMENT,
                        state.manifest.storeId(),
                        id,
                        ready.size(),
                        state.nextSeq);
        ByteBuffer out = SegmentFormat.encodeHeader(header);
        if (ready.file().write(out, 0) < SegmentFormat.SEGMENT_HEADER_BYTES) {
            throw new IOException("short write of a header");
        }
        ready.file().force();
        // The file is reopened under its final name, because a file handle keeps its path.
        ready.file().close();
        String name = Segment.fileName(id, SegmentFormat.LOG_SEGMENT);
        state.disk.rename(ready.fileName(), name);
        // The manifest must not become durable before the file names that it lists.
        state.disk.syncDirectory();
        Segment next = new Segment(state.disk, name, state.disk.open(name, true), header);
        Segment before = state.activeSegment;
        SegmentSet set = state.view().segments().with(next);
        state.activeSegment = next;
        try {
            state.publishManifest(state.segmentRefs(set, s -> false), state.manifest.checkpoint());
        } catch (IOException e) {
            // The new segment holds no records; the next open deletes it as a leftover.
            state.activeSegment = before;
            set.release();
            throw e;
        }
        state.installView(new StoreState.View(state.view().index(), set, state.view().seq()));
    }

    /**
     * Prepares a spare segment if there is none. The file is filled without holding the write lock.
     */
    void prepareSpare() throws IOException {
        state.writeLock.lock();
        boolean wanted = spare == null && state.stopReason() == null;
        state.writeLock.unlock();
        if (!wanted) {
            return;
        }
        SpareSegment made = createSpare(state.options.segmentBytes());
        state.writeLock.lock();
        try {
            if (spare == null) {
                spare = made;
                return;
            }
        } finally {
            state.writeLock.unlock();
        }
        deleteSpare(made);
    }

    /**
     * Creates a file of this size filled with zeros. This allocates all of its space in advance, so
     * that a commit into the segment cannot run out of disk space and its length never changes; a
     * shorter file has been truncated.
     */
    private SpareSegment createSpare(long wanted) throws IOException {
        long size = (wanted + SegmentFormat.ALIGNMENT_BYTES - 1) & -SegmentFormat.ALIGNMENT_BYTES;
        if (size >= Segment.MAX_SEGMENT_BYTES) {
            throw new IOException("a segment of " + size + " bytes is too large");
        }
        state.writeLock.lock();
        long id = state.nextFileId++;
        state.writeLock.unlock();
        String name = String.format("%016x.tmp", id);
        Disk.File file = state.disk.create(name);
        try {
            for (long at = 0; at < size; ) {
                int bytes = (int) Math.min(ZEROS.length, size - at);
                if (file.write(ByteBuffer.wrap(ZEROS, 0, bytes), at) < bytes) {
                    throw new IOException("short write of " + name);
                }
                at += bytes;
            }
            file.force();
            return new SpareSegment(name, file, size);
        } catch (IOException e) {
            deleteSpare(new SpareSegment(name, file, size));
            throw e;
        }
    }

    private void deleteSpare(SpareSegment unused) {
        try {
            unused.file().close();
            state.disk.delete(unused.fileName());
        } catch (IOException left) { // the next open deletes .tmp files
            return;
        }
    }

    void close() {
        if (spare != null) {
            deleteSpare(spare);
            spare = null;
        }
    }
}

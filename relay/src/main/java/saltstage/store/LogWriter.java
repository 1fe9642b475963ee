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

    LogWriter(StoreState state) {
        this.state = state;
    }

    /** The changes of a group, collected while it is encoded and published once it is durable. */
    private static final class GroupChanges {
        private Index index;
        private long addedBytes;
        private final List<Index.Location> replacedLocations = new ArrayList<>();
        private final List<Integer> replacedBytes = new ArrayList<>();

        void recordReplaced(byte[] key) {
            Index.Location location = index.find(key);
            if (location != null) {
                replacedLocations.add(location);
                replacedBytes.add(entryBytes(key.length, location.valueLength()));
            }
        }

        static int entryBytes(int keyLength, int valueLength) {
            return SegmentFormat.ENTRY_HEADER_BYTES + keyLength + valueLength;
        }
    }

    /**
     * Commits a group of batches, each one entirely or not at all. Sets the sequence number or the
     * failure of each batch. Throws if the group as a whole cannot be written.
     */
    void write(List<PendingBatch> group) throws StoreException {
        state.writeLock.lock();
        try {
            state.checkOpen();
            if (state.stopReason() != null) {
                throw state.stopReason();
            }
            int maxBytes =
                    SegmentFormat.FRAME_HEADER_BYTES
                            + group.stream()
                                    .mapToInt(pending -> pending.batch().encodedBytes())
                                    .sum();
            if (!state.activeSegment.hasRoomFor(SegmentFormat.alignUp(maxBytes))) {
                roll(SegmentFormat.alignUp(maxBytes));
            }
            appendGroup(group, SegmentFormat.alignUp(maxBytes));
        } catch (RuntimeException | Error fault) { // it is unknown how much was written
            state.stopWrites("a fault while writing", fault);
            throw fault;
        } finally {
            state.writeLock.unlock();
        }
    }

    private void appendGroup(List<PendingBatch> group, int maxBytes) throws StoreException {
        Segment segment = state.activeSegment;
        long offset = segment.usedBytes();
        ByteBuffer out = clearedBuffer(SegmentFormat.reservedBytes(maxBytes));
        int start = SegmentFormat.beginFrame(out, SegmentFormat.GROUP_FRAME, 0, state.nextSeq);
        GroupChanges changes = new GroupChanges();
        changes.index = state.view().index();
        long seq = state.nextSeq;
        for (PendingBatch pending : group) {
            StoreException.VersionConflict conflict = findConflict(changes.index, pending.batch());
            if (conflict != null) {
                pending.fail(conflict);
            } else {
                pending.setSeq(seq);
                appendBatch(out, pending.batch(), seq++, segment.id(), offset, changes);
            }
        }
        int count = (int) (seq - state.nextSeq);
        if (count == 0) {
            return;
        }
        out.putInt(start + 12, count);
        SegmentFormat.FrameHeader header =
                SegmentFormat.endFrame(out, start, segment.checksumSeed(), offset);
        try {
            makeDurable(segment, out, header, offset);
            state.acknowledgedSeqFile.update(seq - 1);
        } catch (IOException e) {
            throw state.stopWrites("a write for " + segment.fileName() + " failed", e);
        }
        state.nextSeq = seq;
        state.logBytesSinceCheckpoint += header.totalBytes();
        publishGroup(segment, header, offset, changes);
    }

    private static StoreException.VersionConflict findConflict(Index index, Batch batch) {
        for (Batch.ExpectedVersion expectation : batch.expectedVersions()) {
            Index.Location location = index.find(expectation.key());
            long version = location == null ? 0 : location.version();
            if (version != expectation.version()) {
                return new StoreException.VersionConflict(expectation.version(), version);
            }
        }
        return null;
    }

    private static void appendBatch(
            ByteBuffer out,
            Batch batch,
            long seq,
            long segmentId,
            long offset,
            GroupChanges changes) {
        out.putInt(batch.changes().size());
        for (Batch.Change change : batch.changes()) {
            long address = Index.Location.addressOf(segmentId, offset + out.position());
            changes.recordReplaced(change.key());
            if (change.value() == null) {
                SegmentFormat.encodeEntry(out, SegmentFormat.DELETE, change.key(), null, seq);
                changes.index = changes.index.delete(change.key());
            } else {
                SegmentFormat.encodeEntry(
                        out, SegmentFormat.PUT, change.key(), change.value(), seq);
                changes.index =
                        changes.index.put(
                                change.key(),
                                new Index.Location(address, seq, change.value().length));
                changes.addedBytes += change.encodedBytes();
            }
        }
    }

    /**
     * Writes a group and forces it. A small group is written together with its mirror. A large
     * group is followed by a commit marker in a second write once the group is durable.
     */
    private static void makeDurable(
            Segment segment, ByteBuffer out, SegmentFormat.FrameHeader header, long offset)
            throws IOException {
        boolean mirrored = header.totalBytes() <= SegmentFormat.MAX_MIRRORED_BYTES;
        if (mirrored) {
            SegmentFormat.encodeMirror(out, 0, header, segment.checksumSeed(), offset);
        }
        writeFully(segment, out.flip(), offset);
        segment.file().force();
        if (!mirrored) {
            ByteBuffer marker = ByteBuffer.allocate(SegmentFormat.COMMIT_MARKER_BYTES);
            SegmentFormat.encodeCommitMarker(marker, header, segment.checksumSeed(), offset);
            writeFully(segment, marker.flip(), offset + header.totalBytes());
            segment.file().force();
        }
    }

    private static void writeFully(Segment segment, ByteBuffer out, long offset)
            throws IOException {
        int length = out.remaining();
        int written = segment.file().write(out, offset);
        if (written < length) {
            throw new IOException("short write: " + written + " of " + length + " bytes");
        }
    }

    private void publishGroup(
            Segment segment, SegmentFormat.FrameHeader header, long offset, GroupChanges changes) {
        segment.setUsedBytes(offset + header.totalBytes());
        segment.addLiveBytes(changes.addedBytes);
        SegmentSet set = state.view().segments();
        for (int i = 0; i < changes.replacedLocations.size(); i++) {
            set.get(changes.replacedLocations.get(i).segmentId())
                    .addLiveBytes(-changes.replacedBytes.get(i));
        }
        state.installView(new StoreState.View(changes.index, set, state.nextSeq - 1));
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
    void roll(int groupBytes) throws StoreException {
        try {
            long requiredBytes =
                    SegmentFormat.SEGMENT_HEADER_BYTES
                            + (long) SegmentFormat.reservedBytes(groupBytes);
            SpareSegment segment =
                    spare != null && spare.size() >= requiredBytes
                            ? spare
                            : createSpare(Math.max(state.options.segmentBytes(), requiredBytes));
            if (segment == spare) {
                spare = null;
            }
            activate(segment);
            state.setDiskFull(false, segment.fileName());
        } catch (Disk.FullException e) {
            state.setDiskFull(true, "a new segment");
            throw new StoreException.DiskFull(e);
        } catch (StoreException e) {
            throw e;
        } catch (IOException e) {
            throw state.stopWrites("no new segment could be made", e);
        }
    }

    private void activate(SpareSegment spareSegment) throws IOException {
        long id = state.nextFileId++;
        SegmentFormat.SegmentHeader header =
                new SegmentFormat.SegmentHeader(
                        SegmentFormat.LOG_SEGMENT,
                        state.manifest.storeId(),
                        id,
                        spareSegment.size(),
                        state.nextSeq);
        ByteBuffer out = SegmentFormat.encodeHeader(header);
        if (spareSegment.file().write(out, 0) < SegmentFormat.SEGMENT_HEADER_BYTES) {
            throw new IOException("short write of a header");
        }
        spareSegment.file().force();
        // The file is reopened under its final name, because a file handle keeps its path.
        spareSegment.file().close();
        String name = Segment.fileName(id, SegmentFormat.LOG_SEGMENT);
        state.disk.rename(spareSegment.fileName(), name);
        // The manifest must not become durable before the file names that it lists.
        state.disk.syncDirectory();
        Segment next = new Segment(state.disk, name, state.disk.open(name, true), header);
        Segment previous = state.activeSegment;
        SegmentSet set = state.view().segments().with(next);
        state.activeSegment = next;
        try {
            state.publishManifest(state.segmentRefs(set, s -> false), state.manifest.checkpoint());
        } catch (IOException e) {
            // The new segment holds no records; the next open deletes it as a leftover.
            state.activeSegment = previous;
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
        boolean needed = spare == null && state.stopReason() == null;
        state.writeLock.unlock();
        if (!needed) {
            return;
        }
        SpareSegment created = createSpare(state.options.segmentBytes());
        state.writeLock.lock();
        try {
            if (spare == null) {
                spare = created;
                return;
            }
        } finally {
            state.writeLock.unlock();
        }
        deleteSpare(created);
    }

    /**
     * Creates a file of this size filled with zeros. This allocates all of its space in advance, so
     * that a commit into the segment cannot run out of disk space and its length never changes; a
     * shorter file has been truncated.
     */
    private SpareSegment createSpare(long minBytes) throws IOException {
        long size = (minBytes + SegmentFormat.ALIGNMENT_BYTES - 1) & -SegmentFormat.ALIGNMENT_BYTES;
        if (size >= Segment.MAX_SEGMENT_BYTES) {
            throw new IOException("a segment of " + size + " bytes is too large");
        }
        state.writeLock.lock();
        long id = state.nextFileId++;
        state.writeLock.unlock();
        String name = String.format("%016x.tmp", id);
        Disk.File file = state.disk.create(name);
        try {
            for (long offset = 0; offset < size; ) {
                int bytes = (int) Math.min(ZEROS.length, size - offset);
                if (file.write(ByteBuffer.wrap(ZEROS, 0, bytes), offset) < bytes) {
                    throw new IOException("short write of " + name);
                }
                offset += bytes;
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
        } catch (IOException e) { // the next open deletes .tmp files
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

package saltstage.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Restores the state of a store from its files. Fails with {@link StoreException.Damaged} if any
 * acknowledged data cannot be read.
 */
final class Recovery {
    private static final String LOCK_FILE_NAME = "lock";

    private final StoreState state;
    private final boolean writable;
    private Manifest manifest;
    private final List<Segment> segments = new ArrayList<>();
    private Index index = Index.EMPTY;
    private long nextSeq;

    /**
     * The last sequence number that is known to be acknowledged, or -1 if the store has no such
     * record.
     */
    private long acknowledgedSeq = -1;

    Recovery(StoreState state, boolean writable) {
        this.state = state;
        this.writable = writable;
    }

    /** Recovers the view, manifest, active segment and sequence numbers of the store state. */
    void run() throws IOException {
        List<String> names = state.disk.list();
        if (!names.contains(Manifest.NAME)) {
            if (!writable) {
                throw new StoreException("there is no store");
            }
            checkNoExistingStore(names);
            createStore();
            names = state.disk.list();
        }
        try {
            // A writer may be active while a reader opens the store, so the acknowledged sequence
            // number is read before the manifest and log that must contain it.
            manifest = Manifest.read(state.disk);
            readAcknowledgedSeq(names);
            manifest = Manifest.read(state.disk);
            openSegments(names);
            List<String> leftovers = writable ? findLeftovers(names) : List.of();
            index =
                    manifest.checkpoint().id() == 0
                            ? Index.EMPTY
                            : Checkpoint.read(
                                    state.disk, manifest.storeId(), manifest.checkpoint());
            nextSeq = manifest.checkpoint().seq() + 1;
            replay();
            for (String name : leftovers) { // only after everything else was found intact
                state.disk.delete(name);
            }
            installState();
        } catch (IOException | RuntimeException e) {
            if (state.acknowledgedSeqFile != null) {
                state.acknowledgedSeqFile.close();
            }
            for (Segment segment : segments) {
                segment.file().close();
            }
            throw e;
        }
    }

    /**
     * Reads the acknowledged sequence number. A store of format 1 has no file for it until it is
     * opened for writing for the first time.
     */
    private void readAcknowledgedSeq(List<String> names) throws IOException {
        if (names.contains(AcknowledgedSeqFile.NAME)) {
            acknowledgedSeq = AcknowledgedSeqFile.read(state.disk, manifest.storeId());
        } else if (manifest.formatVersion() > 1) {
            throw new StoreException.Damaged(AcknowledgedSeqFile.NAME, 0, "the file is missing");
        }
    }

    /**
     * Checks that a directory without a manifest holds at most the files of an interrupted
     * creation, and deletes them. Any other store file means that the manifest was lost.
     */
    private void checkNoExistingStore(List<String> names) throws IOException {
        if (names.contains(AcknowledgedSeqFile.NAME)) {
            checkNothingAcknowledged();
        }
        for (String name : names) {
            if (name.endsWith(".index") || name.endsWith(".copy")) {
                throw new StoreException.Damaged(
                        Manifest.NAME, 0, "the file is missing, but " + name + " is there");
            }
            if (name.endsWith(".log")) {
                try (Disk.File file = state.disk.open(name, false)) {
                    SegmentFormat.SegmentHeader header = readHeader(name, file);
                    Segment segment = new Segment(state.disk, name, file, header);
                    if (new SegmentReader(segment).frameAt(SegmentFormat.SEGMENT_HEADER_BYTES)
                                    != null
                            || header.baseSeq() != 1
                            || !new SegmentReader(segment)
                                    .scanTail(SegmentFormat.SEGMENT_HEADER_BYTES, 1)
                                    .findings()
                                    .isRestZero()) {
                        throw new StoreException.Damaged(
                                Manifest.NAME,
                                0,
                                "the file is missing, but " + name + " holds records");
                    }
                }
                state.disk.delete(name);
            }
        }
    }

    /**
     * Checks that the sequence number file records nothing: an interrupted creation has
     * acknowledged nothing.
     */
    private void checkNothingAcknowledged() throws IOException {
        try (Disk.File file = state.disk.open(AcknowledgedSeqFile.NAME, false)) {
            long seq = AcknowledgedSeqFile.readOfAnyStore(file);
            if (seq > 0) {
                throw new StoreException.Damaged(
                        Manifest.NAME,
                        0,
                        "the file is missing, but "
                                + AcknowledgedSeqFile.NAME
                                + " says that record "
                                + seq
                                + " was acknowledged");
            }
        }
        state.disk.delete(AcknowledgedSeqFile.NAME);
    }

    private void createStore() throws IOException {
        // Random ids prevent a store from accepting the files of another store as its own.
        SecureRandom random = new SecureRandom();
        SegmentFormat.StoreId id = new SegmentFormat.StoreId(random.nextLong(), random.nextLong());
        AcknowledgedSeqFile.create(state.disk, id, 0).close();
        state.manifest =
                new Manifest(
                        Manifest.FORMAT_VERSION, id, 0, 1, Manifest.CheckpointRef.NONE, List.of());
        state.nextFileId = 1;
        state.nextSeq = 1;
        state.installView(new StoreState.View(Index.EMPTY, new SegmentSet(List.of()), 0));
        for (String name : state.disk.list()) {
            if (name.endsWith(".tmp")) {
                state.disk.delete(name);
            }
        }
        new LogWriter(state).roll(SegmentFormat.FRAME_HEADER_BYTES);
        state.installView(null);
        state.activeSegment = null;
    }

    private void openSegments(List<String> names) throws IOException {
        for (Manifest.SegmentRef ref : manifest.segments()) {
            if (!names.contains(ref.fileName())) {
                throw new StoreException.Damaged(ref.fileName(), 0, "the file is missing");
            }
            Disk.File file = state.disk.open(ref.fileName(), writable);
            Segment segment = null;
            try {
                SegmentFormat.SegmentHeader header = readHeader(ref.fileName(), file);
                checkMatchesManifest(ref, header, file.size());
                segment = new Segment(state.disk, ref.fileName(), file, header);
                segment.setUsedBytes(
                        ref.sealed() ? ref.usedBytes() : SegmentFormat.SEGMENT_HEADER_BYTES);
                segments.add(segment);
            } finally {
                if (segment == null) {
                    file.close();
                }
            }
        }
        if (manifest.checkpoint().id() != 0 && !names.contains(manifest.checkpoint().fileName())) {
            throw new StoreException.Damaged(
                    manifest.checkpoint().fileName(), 0, "the file is missing");
        }
        if (manifest.segments().stream().filter(ref -> !ref.sealed()).count() != 1) {
            throw new StoreException.Damaged(Manifest.NAME, 0, "not one segment is open");
        }
    }

    private static SegmentFormat.SegmentHeader readHeader(String name, Disk.File file)
            throws IOException {
        ByteBuffer in = ByteBuffer.allocate(SegmentFormat.SEGMENT_HEADER_BYTES);
        file.read(in, 0);
        return SegmentFormat.decodeHeader(name, in.flip());
    }

    private void checkMatchesManifest(
            Manifest.SegmentRef ref, SegmentFormat.SegmentHeader header, long size)
            throws StoreException {
        if (!header.storeId().equals(manifest.storeId())) {
            throw new StoreException.Damaged(
                    ref.fileName(), 16, "the segment belongs to another store");
        }
        if (header.id() != ref.id()
                || header.kind() != ref.kind()
                || header.size() != ref.size()
                || header.baseSeq() != ref.baseSeq()) {
            throw new StoreException.Damaged(ref.fileName(), 32, "not the segment of the manifest");
        }
        if (size != ref.size()) {
            throw new StoreException.Damaged(
                    ref.fileName(),
                    Math.min(size, ref.size()),
                    "the file is " + size + " bytes long; " + ref.size() + " were taken for it");
        }
    }

    /**
     * Returns the files that a completed or interrupted step left behind. Throws if one of them
     * could hold acknowledged records.
     */
    private List<String> findLeftovers(List<String> names) throws IOException {
        Set<String> knownNames =
                new HashSet<>(List.of(Manifest.NAME, AcknowledgedSeqFile.NAME, LOCK_FILE_NAME));
        List<String> leftovers = new ArrayList<>();
        manifest.segments().forEach(ref -> knownNames.add(ref.fileName()));
        knownNames.add(manifest.checkpoint().fileName());
        for (String name : names) {
            if (knownNames.contains(name)) {
                continue;
            }
            if (name.matches("[0-9a-f]{16}\\.(log|copy)")) {
                checkIsLeftover(name);
            }
            if (name.matches("[0-9a-f]{16}\\.(log|copy|index|tmp)")
                    || name.equals(Manifest.TEMPORARY_NAME)
                    || name.equals(AcknowledgedSeqFile.TEMPORARY_NAME)) {
                leftovers.add(name);
            }
        }
        return leftovers;
    }

    /**
     * Checks that a segment file outside the manifest can be deleted. A log segment with an id that
     * the manifest has not assigned yet must be empty; otherwise the manifest is older than the
     * log.
     */
    private void checkIsLeftover(String name) throws IOException {
        boolean newer =
                name.endsWith(".log")
                        && Long.parseUnsignedLong(name.substring(0, 16), 16)
                                >= manifest.nextFileId();
        try (Disk.File file = state.disk.open(name, false)) {
            SegmentFormat.SegmentHeader header;
            try {
                header = readHeader(name, file);
            } catch (StoreException.Damaged e) {
                if (newer) {
                    throw e;
                }
                return; // nothing refers to the file
            }
            if (!header.storeId().equals(manifest.storeId())) {
                throw new StoreException.Damaged(name, 16, "the segment belongs to another store");
            }
            if (newer
                    && new SegmentReader(new Segment(state.disk, name, file, header))
                                    .frameAt(SegmentFormat.SEGMENT_HEADER_BYTES)
                            != null) {
                throw new StoreException.Damaged(
                        name,
                        SegmentFormat.SEGMENT_HEADER_BYTES,
                        "the segment has records, but the manifest does not know it");
            }
        }
    }

    private void replay() throws IOException {
        long replaySegmentId = manifest.checkpoint().replaySegmentId();
        for (int i = 0; i < segments.size(); i++) {
            Segment segment = segments.get(i);
            Manifest.SegmentRef ref = manifest.segments().get(i);
            if (ref.kind() != SegmentFormat.LOG_SEGMENT || ref.id() < replaySegmentId) {
                continue;
            }
            long start =
                    ref.id() == replaySegmentId
                            ? manifest.checkpoint().replayOffset()
                            : SegmentFormat.SEGMENT_HEADER_BYTES;
            if (ref.id() != replaySegmentId && ref.baseSeq() != nextSeq) {
                throw new StoreException.Damaged(
                        ref.fileName(),
                        48,
                        "begins with record " + ref.baseSeq() + "; " + nextSeq + " was to come");
            }
            if (ref.sealed()) {
                replaySealed(segment, ref, start);
            } else {
                replayActive(segment, start);
            }
        }
    }

    private void replaySealed(Segment segment, Manifest.SegmentRef ref, long start)
            throws IOException {
        SegmentReader reader = new SegmentReader(segment);
        long offset = start;
        while (offset < ref.usedBytes()) {
            SegmentReader.Frame frame = applyNextGroup(reader, offset);
            if (frame == null) {
                throw new StoreException.Damaged(ref.fileName(), offset, "no sound record");
            }
            offset = frame.endOffset();
        }
        if (offset != ref.usedBytes() || nextSeq != ref.lastSeq() + 1) {
            throw new StoreException.Damaged(
                    ref.fileName(),
                    offset,
                    "ends with record " + (nextSeq - 1) + "; " + ref.lastSeq() + " was sealed");
        }
    }

    /** Applies the expected next group. Returns null if there is no valid one at this offset. */
    private SegmentReader.Frame applyNextGroup(SegmentReader reader, long offset)
            throws IOException {
        SegmentReader.Frame frame = reader.frameAt(offset);
        if (frame == null
                || frame.header().kind() != SegmentFormat.GROUP_FRAME
                || frame.header().firstSeq() != nextSeq
                || frame.header().batchCount() < 1) {
            return null;
        }
        applyEntries(
                reader,
                frame.payload().duplicate(),
                frame.header(),
                offset + SegmentFormat.FRAME_HEADER_BYTES);
        return frame;
    }

    private void applyEntries(
            SegmentReader reader, ByteBuffer payload, SegmentFormat.FrameHeader header, long offset)
            throws IOException {
        long segmentId = reader.segmentId();
        reader.visitEntries(
                payload,
                header,
                offset,
                (entry, batch, entryOffset, raw) -> {
                    long seq = header.firstSeq() + batch;
                    if (entry.version() != seq) {
                        throw new StoreException.Damaged(
                                reader.fileName(),
                                entryOffset,
                                "the entry is of record "
                                        + entry.version()
                                        + ", its group of "
                                        + seq);
                    }
                    index =
                            entry.op() == SegmentFormat.DELETE
                                    ? index.delete(entry.key())
                                    : index.put(
                                            entry.key(),
                                            new Index.Location(
                                                    Index.Location.addressOf(
                                                            segmentId, entryOffset),
                                                    seq,
                                                    entry.valueLength()));
                });
        nextSeq += header.batchCount();
    }

    private void replayActive(Segment segment, long start) throws IOException {
        long offset = start;
        SegmentReader reader = new SegmentReader(segment);
        SegmentReader.Frame last = null;
        long restoredOffset = -1;
        while (true) {
            SegmentReader.Frame frame = applyNextGroup(reader, offset);
            if (frame != null) {
                last = frame;
                offset = frame.endOffset();
                continue;
            }
            SegmentReader.TailScan tail = reader.scanTail(offset, nextSeq);
            TailClassifier.TailState tailState =
                    TailClassifier.classify(tail.findings(), acknowledgedSeq >= nextSeq);
            if (tailState == TailClassifier.TailState.DAMAGED
                    || tailState == TailClassifier.TailState.RESTORABLE
                            && restoredOffset == offset) {
                throw new StoreException.Damaged(
                        segment.fileName(),
                        offset,
                        "record " + nextSeq + " was acknowledged and cannot be read");
            }
            if (tailState != TailClassifier.TailState.RESTORABLE) {
                repairTail(segment, last, offset, tail, tailState);
                break;
            }
            state.events.onEvent(
                    "store.restored",
                    "file",
                    segment.fileName(),
                    "offset",
                    offset,
                    "record",
                    nextSeq);
            // Prevents an endless loop on a disk that does not keep the write.
            restoredOffset = offset;
            offset = restoreFromMirror(segment, reader, tail.mirror(), offset);
            reader = new SegmentReader(segment);
            if (!writable) {
                break;
            }
        }
        segment.setUsedBytes(offset);
    }

    /**
     * Restores a damaged group from its mirror. In read-only mode nothing is written, and the
     * entries are applied from the mirror.
     */
    private long restoreFromMirror(
            Segment segment, SegmentReader reader, SegmentReader.Frame mirror, long offset)
            throws IOException {
        ByteBuffer copy =
                mirror.payload().duplicate().position(SegmentFormat.MIRROR_HEADER_BYTES).slice();
        SegmentFormat.FrameHeader header =
                SegmentFormat.decodeFrame(copy.duplicate(), segment.checksumSeed(), offset);
        if (header == null
                || header.kind() != SegmentFormat.GROUP_FRAME
                || header.firstSeq() != nextSeq) {
            throw new StoreException.Damaged(
                    segment.fileName(), mirror.offset(), "the mirror holds another record");
        }
        if (writable) {
            ByteBuffer out = copy.duplicate();
            int length = out.remaining();
            if (segment.file().write(out, offset) < length) {
                throw new IOException("short write to " + segment.fileName());
            }
            segment.file().force();
            return offset;
        }
        applyEntries(
                reader,
                copy.position(SegmentFormat.FRAME_HEADER_BYTES)
                        .limit(SegmentFormat.FRAME_HEADER_BYTES + header.payloadLength())
                        .slice(),
                header,
                mirror.offset()
                        + SegmentFormat.FRAME_HEADER_BYTES
                        + SegmentFormat.MIRROR_HEADER_BYTES
                        + SegmentFormat.FRAME_HEADER_BYTES);
        return offset + header.totalBytes();
    }

    /**
     * Zeroes the remains of an interrupted write and restores the mirror or commit marker of the
     * last group.
     */
    private void repairTail(
            Segment segment,
            SegmentReader.Frame last,
            long offset,
            SegmentReader.TailScan tail,
            TailClassifier.TailState tailState)
            throws IOException {
        if (tailState == TailClassifier.TailState.TORN) {
            state.events.onEvent(
                    "store.torn",
                    "file",
                    segment.fileName(),
                    "offset",
                    offset,
                    "length",
                    tail.nonZeroEnd() - offset);
        }
        if (!writable || tail.findings().hasTrailerOfPrevious() || last == null) {
            if (writable && tailState == TailClassifier.TailState.TORN) {
                zeroRange(segment, offset, tail.nonZeroEnd());
            }
            return;
        }
        zeroRange(segment, offset, tail.nonZeroEnd());
        ByteBuffer out =
                ByteBuffer.allocate(
                        last.header().totalBytes()
                                + SegmentFormat.trailerBytes(last.header().totalBytes()));
        out.limit(last.header().totalBytes());
        segment.file().read(out, last.offset());
        out.limit(out.capacity()).position(last.header().totalBytes());
        if (last.header().totalBytes() <= SegmentFormat.MAX_MIRRORED_BYTES) {
            SegmentFormat.encodeMirror(
                    out, 0, last.header(), segment.checksumSeed(), last.offset());
        } else {
            SegmentFormat.encodeCommitMarker(
                    out, last.header(), segment.checksumSeed(), last.offset());
        }
        writeFully(segment, out.flip().position(last.header().totalBytes()), offset);
        segment.file().force();
    }

    private static void zeroRange(Segment segment, long from, long to) throws IOException {
        writeFully(segment, ByteBuffer.allocate((int) (to - from)), from);
        segment.file().force();
    }

    private static void writeFully(Segment segment, ByteBuffer out, long offset)
            throws IOException {
        int length = out.remaining();
        if (segment.file().write(out, offset) < length) {
            throw new IOException("short write to " + segment.fileName());
        }
    }

    private void installState() throws IOException {
        SegmentSet set = new SegmentSet(segments);
        for (Index.Cursor cursor = index.cursor(null); cursor.advance(); ) {
            Index.Location location = cursor.location();
            Segment segment = set.get(location.segmentId());
            if (segment == null) {
                throw new StoreException.Damaged(
                        manifest.checkpoint().fileName(),
                        0,
                        "an entry points to a segment that is not there");
            }
            segment.addLiveBytes(
                    SegmentFormat.ENTRY_HEADER_BYTES
                            + cursor.key().length
                            + location.valueLength());
        }
        if (writable && acknowledgedSeq < 0) {
            state.acknowledgedSeqFile =
                    AcknowledgedSeqFile.create(state.disk, manifest.storeId(), nextSeq - 1);
            state.disk.syncDirectory();
        } else if (writable) {
            state.acknowledgedSeqFile =
                    AcknowledgedSeqFile.open(state.disk, manifest.storeId(), nextSeq - 1);
        }
        state.manifest = manifest;
        state.nextFileId = manifest.nextFileId();
        state.nextSeq = nextSeq;
        for (int i = 0; i < segments.size(); i++) {
            Segment segment = segments.get(i);
            if (!manifest.segments().get(i).sealed()) {
                state.activeSegment = segment;
            }
            if (segment.header().kind() == SegmentFormat.LOG_SEGMENT
                    && segment.id() >= manifest.checkpoint().replaySegmentId()) {
                state.logBytesSinceCheckpoint +=
                        segment.usedBytes()
                                - (segment.id() == manifest.checkpoint().replaySegmentId()
                                        ? manifest.checkpoint().replayOffset()
                                        : SegmentFormat.SEGMENT_HEADER_BYTES);
            }
        }
        state.installView(new StoreState.View(index, set, nextSeq - 1));
    }
}

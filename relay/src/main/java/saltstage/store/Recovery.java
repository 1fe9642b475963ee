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

    Recovery(StoreState core, boolean toWrite) {
        this.state = core;
        this.writable = toWrite;
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
            long said = AcknowledgedSeqFile.readOfAnyStore(file);
            if (said > 0) {
                throw new StoreException.Damaged(
                        Manifest.NAME,
                        0,
                        "the file is missing, but "
                                + AcknowledgedSeqFile.NAME
                                + " says that record "
                                + said
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
        for (Manifest.SegmentRef part : manifest.segments()) {
            if (!names.contains(part.fileName())) {
                throw new StoreException.Damaged(part.fileName(), 0, "the file is missing");
            }
            Disk.File file = state.disk.open(part.fileName(), writable);
            Segment segment = null;
            try {
                SegmentFormat.SegmentHeader header = readHeader(part.fileName(), file);
                checkMatchesManifest(part, header, file.size());
                segment = new Segment(state.disk, part.fileName(), file, header);
                segment.setUsedBytes(
                        part.sealed() ? part.usedBytes() : SegmentFormat.SEGMENT_HEADER_BYTES);
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
        if (manifest.segments().stream().filter(part -> !part.sealed()).count() != 1) {
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
            Manifest.SegmentRef part, SegmentFormat.SegmentHeader header, long size)
            throws StoreException {
        if (!header.storeId().equals(manifest.storeId())) {
            throw new StoreException.Damaged(
                    part.fileName(), 16, "the segment belongs to another store");
        }
        if (header.id() != part.id()
                || header.kind() != part.kind()
                || header.size() != part.size()
                || header.baseSeq() != part.baseSeq()) {
            throw new StoreException.Damaged(
                    part.fileName(), 32, "not the segment of the manifest");
        }
        if (size != part.size()) {
            throw new StoreException.Damaged(
                    part.fileName(),
                    Math.min(size, part.size()),
                    "the file is " + size + " bytes long; " + part.size() + " were taken for it");
        }
    }

    /**
     * Returns the files that a completed or interrupted step left behind. Throws if one of them
     * could hold acknowledged records.
     */
    private List<String> findLeftovers(List<String> names) throws IOException {
        Set<String> known =
                new HashSet<>(List.of(Manifest.NAME, AcknowledgedSeqFile.NAME, LOCK_FILE_NAME));
        List<String> left = new ArrayList<>();
        manifest.segments().forEach(part -> known.add(part.fileName()));
        known.add(manifest.checkpoint().fileName());
        for (String name : names) {
            if (known.contains(name)) {
                continue;
            }
            if (name.matches("[0-9a-f]{16}\\.(log|copy)")) {
                checkIsLeftover(name);
            }
            if (name.matches("[0-9a-f]{16}\\.(log|copy|index|tmp)")
                    || name.equals(Manifest.TEMPORARY_NAME)
                    || name.equals(AcknowledgedSeqFile.TEMPORARY_NAME)) {
                left.add(name);
            }
        }
        return left;
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
            } catch (StoreException.Damaged unreadable) {
                if (newer) {
                    throw unreadable;
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
        long from = manifest.checkpoint().replaySegmentId();
        for (int i = 0; i < segments.size(); i++) {
            Segment segment = segments.get(i);
            Manifest.SegmentRef part = manifest.segments().get(i);
            if (part.kind() != SegmentFormat.LOG_SEGMENT || part.id() < from) {
                continue;
            }
            long start =
                    part.id() == from
                            ? manifest.checkpoint().replayOffset()
                            : SegmentFormat.SEGMENT_HEADER_BYTES;
            if (part.id() != from && part.baseSeq() != nextSeq) {
                throw new StoreException.Damaged(
                        part.fileName(),
                        48,
                        "begins with record " + part.baseSeq() + "; " + nextSeq + " was to come");
            }
            if (part.sealed()) {
                replaySealed(segment, part, start);
            } else {
                replayActive(segment, start);
            }
        }
    }

    private void replaySealed(Segment segment, Manifest.SegmentRef part, long start)
            throws IOException {
        SegmentReader reader = new SegmentReader(segment);
        long at = start;
        while (at < part.usedBytes()) {
            SegmentReader.Frame found = applyNextGroup(reader, at);
            if (found == null) {
                throw new StoreException.Damaged(part.fileName(), at, "no sound record");
            }
            at = found.endOffset();
        }
        if (at != part.usedBytes() || nextSeq != part.lastSeq() + 1) {
            throw new StoreException.Damaged(
                    part.fileName(),
                    at,
                    "ends with record " + (nextSeq - 1) + "; " + part.lastSeq() + " was sealed");
        }
    }

    /** Applies the expected next group. Returns null if there is no valid one at this offset. */
    private SegmentReader.Frame applyNextGroup(SegmentReader reader, long at) throws IOException {
        SegmentReader.Frame found = reader.frameAt(at);
        if (found == null
                || found.header().kind() != SegmentFormat.GROUP_FRAME
                || found.header().firstSeq() != nextSeq
                || found.header().batchCount() < 1) {
            return null;
        }
        applyEntries(
                reader,
                found.payload().duplicate(),
                found.header(),
                at + SegmentFormat.FRAME_HEADER_BYTES);
        return found;
    }

    private void applyEntries(
            SegmentReader reader, ByteBuffer payload, SegmentFormat.FrameHeader head, long offset)
            throws IOException {
        long segment = reader.segmentId();
        reader.visitEntries(
                payload,
                head,
                offset,
                (entry, batch, at, raw) -> {
                    long seq = head.firstSeq() + batch;
                    if (entry.version() != seq) {
                        throw new StoreException.Damaged(
                                reader.fileName(),
                                at,
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
                                                    Index.Location.addressOf(segment, at),
                                                    seq,
                                                    entry.valueLength()));
                });
        nextSeq += head.batchCount();
    }

    private void replayActive(Segment segment, long start) throws IOException {
        long at = start;
        SegmentReader reader = new SegmentReader(segment);
        SegmentReader.Frame last = null;
        long restored = -1;
        while (true) {
            SegmentReader.Frame found = applyNextGroup(reader, at);
            if (found != null) {
                last = found;
                at = found.endOffset();
                continue;
            }
            SegmentReader.TailScan tail = reader.scanTail(at, nextSeq);
            TailClassifier.TailState verdict =
                    TailClassifier.classify(tail.findings(), acknowledgedSeq >= nextSeq);
            if (verdict == TailClassifier.TailState.DAMAGED
                    || verdict == TailClassifier.TailState.RESTORABLE && restored == at) {
                throw new StoreException.Damaged(
                        segment.fileName(),
                        at,
                        "record " + nextSeq + " was acknowledged and cannot be read");
            }
            if (verdict != TailClassifier.TailState.RESTORABLE) {
                repairTail(segment, last, at, tail, verdict);
                break;
            }
            state.events.onEvent(
                    "store.restored", "file", segment.fileName(), "offset", at, "record", nextSeq);
            restored = at; // prevents an endless loop on a disk that does not keep the write
            at = restoreFromMirror(segment, reader, tail.mirror(), at);
            reader = new SegmentReader(segment);
            if (!writable) {
                break;
            }
        }
        segment.setUsedBytes(at);
    }

    /**
     * Restores a damaged group from its mirror. In read-only mode nothing is written, and the
     * entries are applied from the mirror.
     */
    private long restoreFromMirror(
            Segment segment, SegmentReader reader, SegmentReader.Frame mirror, long at)
            throws IOException {
        ByteBuffer copy =
                mirror.payload().duplicate().position(SegmentFormat.MIRROR_HEADER_BYTES).slice();
        SegmentFormat.FrameHeader head =
                SegmentFormat.decodeFrame(copy.duplicate(), segment.checksumSeed(), at);
        if (head == null
                || head.kind() != SegmentFormat.GROUP_FRAME
                || head.firstSeq() != nextSeq) {
            throw new StoreException.Damaged(
                    segment.fileName(), mirror.offset(), "the mirror holds another record");
        }
        if (writable) {
            ByteBuffer out = copy.duplicate();
            int whole = out.remaining();
            if (segment.file().write(out, at) < whole) {
                throw new IOException("short write to " + segment.fileName());
            }
            segment.file().force();
            return at;
        }
        applyEntries(
                reader,
                copy.position(SegmentFormat.FRAME_HEADER_BYTES)
                        .limit(SegmentFormat.FRAME_HEADER_BYTES + head.payloadLength())
                        .slice(),
                head,
                mirror.offset()
                        + SegmentFormat.FRAME_HEADER_BYTES
                        + SegmentFormat.MIRROR_HEADER_BYTES
                        + SegmentFormat.FRAME_HEADER_BYTES);
        return at + head.totalBytes();
    }

    /**
     * Zeroes the remains of an interrupted write and restores the mirror or commit marker of the
     * last group.
     */
    private void repairTail(
            Segment segment,
            SegmentReader.Frame last,
            long at,
            SegmentReader.TailScan tail,
            TailClassifier.TailState verdict)
            throws IOException {
        if (verdict == TailClassifier.TailState.TORN) {
            state.events.onEvent(
                    "store.torn",
                    "file",
                    segment.fileName(),
                    "offset",
                    at,
                    "length",
                    tail.nonZeroEnd() - at);
        }
        if (!writable || tail.findings().hasTrailerOfPrevious() || last == null) {
            if (writable && verdict == TailClassifier.TailState.TORN) {
                zeroRange(segment, at, tail.nonZeroEnd());
            }
            return;
        }
        zeroRange(segment, at, tail.nonZeroEnd());
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
        writeFully(segment, out.flip().position(last.header().totalBytes()), at);
        segment.file().force();
    }

    private static void zeroRange(Segment segment, long from, long to) throws IOException {
        writeFully(segment, ByteBuffer.allocate((int) (to - from)), from);
        segment.file().force();
    }

    private static void writeFully(Segment segment, ByteBuffer out, long at) throws IOException {
        int whole = out.remaining();
        if (segment.file().write(out, at) < whole) {
            throw new IOException("short write to " + segment.fileName());
        }
    }

    private void installState() throws IOException {
        SegmentSet set = new SegmentSet(segments);
        for (Index.Cursor cursor = index.cursor(null); cursor.advance(); ) {
            Index.Location place = cursor.location();
            Segment segment = set.get(place.segmentId());
            if (segment == null) {
                throw new StoreException.Damaged(
                        manifest.checkpoint().fileName(),
                        0,
                        "an entry points to a segment that is not there");
            }
            segment.addLiveBytes(
                    SegmentFormat.ENTRY_HEADER_BYTES + cursor.key().length + place.valueLength());
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

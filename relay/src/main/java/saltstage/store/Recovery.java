package saltstage.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Brings a store's state back from its files, or refuses: never a guess. */
final class Recovery {
    private static final String LOCK = "lock";

    private final Core core;
    private final boolean toWrite;
    private Manifest manifest;
    private final List<Segment> segments = new ArrayList<>();
    private Index index = Index.EMPTY;
    private long nextSeq;

    /** The last number that is known to have been acknowledged; -1 where nothing says so. */
    private long acknowledged = -1;

    Recovery(Core core, boolean toWrite) {
        this.core = core;
        this.toWrite = toWrite;
    }

    /** Sets the core up: its view, manifest, active segment and numbers. */
    void run() throws IOException {
        List<String> names = core.disk.list();
        if (!names.contains(Manifest.NAME)) {
            if (!toWrite) {
                throw new StoreException("there is no store");
            }
            refuseUnlessNew(names);
            create();
            names = core.disk.list();
        }
        try {
            // A writer goes on beside a reader: what was acknowledged is read before what must hold
            // it.
            manifest = Manifest.read(core.disk);
            readAcknowledged(names);
            manifest = Manifest.read(core.disk);
            openParts(names);
            List<String> leftovers = toWrite ? leftovers(names) : List.of();
            index =
                    manifest.checkpoint().id() == 0
                            ? Index.EMPTY
                            : Checkpoint.read(core.disk, manifest.store(), manifest.checkpoint());
            nextSeq = manifest.checkpoint().seq() + 1;
            replay();
            for (String name : leftovers) { // only once all else has turned out sound
                core.disk.delete(name);
            }
            finish();
        } catch (IOException | RuntimeException e) {
            if (core.acknowledged != null) {
                core.acknowledged.close();
            }
            for (Segment segment : segments) {
                segment.file().close();
            }
            throw e;
        }
    }

    /** A store of format 1 has no such file until it is opened to write for the first time. */
    private void readAcknowledged(List<String> names) throws IOException {
        if (names.contains(Acknowledged.NAME)) {
            acknowledged = Acknowledged.read(core.disk, manifest.store());
        } else if (manifest.format() > 1) {
            throw new StoreException.Damaged(Acknowledged.NAME, 0, "the file is missing");
        }
    }

    /** Without a manifest only what the making of a new store may have left behind is no store. */
    private void refuseUnlessNew(List<String> names) throws IOException {
        if (names.contains(Acknowledged.NAME)) {
            refuseUnlessNothing();
        }
        for (String name : names) {
            if (name.endsWith(".index") || name.endsWith(".copy")) {
                throw new StoreException.Damaged(
                        Manifest.NAME, 0, "the file is missing, but " + name + " is there");
            }
            if (name.endsWith(".log")) {
                try (Disk.File file = core.disk.open(name, false)) {
                    Frames.Header header = readHeader(name, file);
                    Segment segment = new Segment(core.disk, name, file, header);
                    if (new SegmentReader(segment).at(Frames.HEADER) != null
                            || header.baseSeq() != 1
                            || !new SegmentReader(segment)
                                    .tail(Frames.HEADER, 1)
                                    .evidence()
                                    .restIsZero()) {
                        throw new StoreException.Damaged(
                                Manifest.NAME,
                                0,
                                "the file is missing, but " + name + " holds records");
                    }
                }
                core.disk.delete(name);
            }
        }
    }

    /** A making that was cut off has acknowledged nothing. */
    private void refuseUnlessNothing() throws IOException {
        try (Disk.File file = core.disk.open(Acknowledged.NAME, false)) {
            long said = Acknowledged.saidByAny(file);
            if (said > 0) {
                throw new StoreException.Damaged(
                        Manifest.NAME,
                        0,
                        "the file is missing, but "
                                + Acknowledged.NAME
                                + " says that record "
                                + said
                                + " was acknowledged");
            }
        }
        core.disk.delete(Acknowledged.NAME);
    }

    private void create() throws IOException {
        // two stores must never take each other's files for their own
        SecureRandom random = new SecureRandom();
        Frames.StoreId id = new Frames.StoreId(random.nextLong(), random.nextLong());
        Acknowledged.create(core.disk, id, 0).close();
        core.manifest =
                new Manifest(Manifest.FORMAT, id, 0, 1, Manifest.CheckpointRef.NONE, List.of());
        core.nextId = 1;
        core.nextSeq = 1;
        core.show(new Core.View(Index.EMPTY, new SegmentSet(List.of()), 0));
        for (String name : core.disk.list()) {
            if (name.endsWith(".tmp")) {
                core.disk.delete(name);
            }
        }
        new LogWriter(core).roll(Frames.HEAD);
        core.show(null);
        core.active = null;
    }

    private void openParts(List<String> names) throws IOException {
        for (Manifest.Part part : manifest.parts()) {
            if (!names.contains(part.name())) {
                throw new StoreException.Damaged(part.name(), 0, "the file is missing");
            }
            Disk.File file = core.disk.open(part.name(), toWrite);
            Segment segment = null;
            try {
                Frames.Header header = readHeader(part.name(), file);
                check(part, header, file.size());
                segment = new Segment(core.disk, part.name(), file, header);
                segment.used(part.sealed() ? part.used() : Frames.HEADER);
                segments.add(segment);
            } finally {
                if (segment == null) {
                    file.close();
                }
            }
        }
        if (manifest.checkpoint().id() != 0 && !names.contains(manifest.checkpoint().name())) {
            throw new StoreException.Damaged(
                    manifest.checkpoint().name(), 0, "the file is missing");
        }
        if (manifest.parts().stream().filter(part -> !part.sealed()).count() != 1) {
            throw new StoreException.Damaged(Manifest.NAME, 0, "not one segment is open");
        }
    }

    private static Frames.Header readHeader(String name, Disk.File file) throws IOException {
        ByteBuffer in = ByteBuffer.allocate(Frames.HEADER);
        file.read(in, 0);
        return Frames.header(name, in.flip());
    }

    private void check(Manifest.Part part, Frames.Header header, long size) throws StoreException {
        if (!header.store().equals(manifest.store())) {
            throw new StoreException.Damaged(
                    part.name(), 16, "the segment belongs to another store");
        }
        if (header.id() != part.id()
                || header.kind() != part.kind()
                || header.size() != part.size()
                || header.baseSeq() != part.baseSeq()) {
            throw new StoreException.Damaged(part.name(), 32, "not the segment of the manifest");
        }
        if (size != part.size()) {
            throw new StoreException.Damaged(
                    part.name(),
                    Math.min(size, part.size()),
                    "the file is " + size + " bytes long; " + part.size() + " were taken for it");
        }
    }

    /**
     * What an unfinished or finished step left; what could hold acknowledged records is refused.
     */
    private List<String> leftovers(List<String> names) throws IOException {
        Set<String> known = new HashSet<>(List.of(Manifest.NAME, Acknowledged.NAME, LOCK));
        List<String> left = new ArrayList<>();
        manifest.parts().forEach(part -> known.add(part.name()));
        known.add(manifest.checkpoint().name());
        for (String name : names) {
            if (known.contains(name)) {
                continue;
            }
            if (name.matches("[0-9a-f]{16}\\.(log|copy)")) {
                refuseUnlessLeft(name);
            }
            if (name.matches("[0-9a-f]{16}\\.(log|copy|index|tmp)")
                    || name.equals(Manifest.NEXT)
                    || name.equals(Acknowledged.NEXT)) {
                left.add(name);
            }
        }
        return left;
    }

    /**
     * A log segment that the manifest does not know yet is empty; else the manifest is older than
     * the log.
     */
    private void refuseUnlessLeft(String name) throws IOException {
        boolean newer =
                name.endsWith(".log")
                        && Long.parseUnsignedLong(name.substring(0, 16), 16) >= manifest.nextId();
        try (Disk.File file = core.disk.open(name, false)) {
            Frames.Header header;
            try {
                header = readHeader(name, file);
            } catch (StoreException.Damaged unreadable) {
                if (newer) {
                    throw unreadable;
                }
                return; // a file that nothing points to
            }
            if (!header.store().equals(manifest.store())) {
                throw new StoreException.Damaged(name, 16, "the segment belongs to another store");
            }
            if (newer
                    && new SegmentReader(new Segment(core.disk, name, file, header))
                                    .at(Frames.HEADER)
                            != null) {
                throw new StoreException.Damaged(
                        name,
                        Frames.HEADER,
                        "the segment has records, but the manifest does not know it");
            }
        }
    }

    private void replay() throws IOException {
        long from = manifest.checkpoint().replayFrom();
        for (int i = 0; i < segments.size(); i++) {
            Segment segment = segments.get(i);
            Manifest.Part part = manifest.parts().get(i);
            if (part.kind() != Frames.LOG_SEGMENT || part.id() < from) {
                continue;
            }
            long start = part.id() == from ? manifest.checkpoint().replayOffset() : Frames.HEADER;
            if (part.id() != from && part.baseSeq() != nextSeq) {
                throw new StoreException.Damaged(
                        part.name(),
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

    private void replaySealed(Segment segment, Manifest.Part part, long start) throws IOException {
        SegmentReader reader = new SegmentReader(segment);
        long at = start;
        while (at < part.used()) {
            SegmentReader.Found found = next(reader, at);
            if (found == null) {
                throw new StoreException.Damaged(part.name(), at, "no sound record");
            }
            at = found.end();
        }
        if (at != part.used() || nextSeq != part.lastSeq() + 1) {
            throw new StoreException.Damaged(
                    part.name(),
                    at,
                    "ends with record " + (nextSeq - 1) + "; " + part.lastSeq() + " was sealed");
        }
    }

    /** Reads and applies the group that must come next; null where there is no sound one. */
    private SegmentReader.Found next(SegmentReader reader, long at) throws IOException {
        SegmentReader.Found found = reader.at(at);
        if (found == null
                || found.head().kind() != Frames.GROUP
                || found.head().firstSeq() != nextSeq
                || found.head().count() < 1) {
            return null;
        }
        apply(reader, found.payload().duplicate(), found.head(), at + Frames.HEAD);
        return found;
    }

    private void apply(SegmentReader reader, ByteBuffer payload, Frames.Head head, long offset)
            throws IOException {
        long segment = reader.segmentId();
        reader.entries(
                payload,
                head,
                offset,
                (entry, batch, at, raw) -> {
                    long seq = head.firstSeq() + batch;
                    if (entry.version() != seq) {
                        throw new StoreException.Damaged(
                                reader.name(),
                                at,
                                "the entry is of record "
                                        + entry.version()
                                        + ", its group of "
                                        + seq);
                    }
                    index =
                            entry.op() == Frames.DELETE
                                    ? index.delete(entry.key())
                                    : index.put(
                                            entry.key(),
                                            new Index.Place(
                                                    Index.Place.at(segment, at),
                                                    seq,
                                                    entry.valueLength()));
                });
        nextSeq += head.count();
    }

    private void replayActive(Segment segment, long start) throws IOException {
        long at = start;
        SegmentReader reader = new SegmentReader(segment);
        SegmentReader.Found last = null;
        long restored = -1;
        while (true) {
            SegmentReader.Found found = next(reader, at);
            if (found != null) {
                last = found;
                at = found.end();
                continue;
            }
            SegmentReader.Tail tail = reader.tail(at, nextSeq);
            TailJudge.Verdict verdict = TailJudge.judge(tail.evidence(), acknowledged >= nextSeq);
            if (verdict == TailJudge.Verdict.REFUSE
                    || verdict == TailJudge.Verdict.RESTORE && restored == at) {
                throw new StoreException.Damaged(
                        segment.name(),
                        at,
                        "record " + nextSeq + " was acknowledged and cannot be read");
            }
            if (verdict != TailJudge.Verdict.RESTORE) {
                settle(segment, last, at, tail, verdict);
                break;
            }
            core.events.tell(
                    "store.restored", "file", segment.name(), "offset", at, "record", nextSeq);
            restored = at; // a disk that does not take it is not asked for ever
            at = restore(segment, reader, tail.mirror(), at);
            reader = new SegmentReader(segment);
            if (!toWrite) {
                break;
            }
        }
        segment.used(at);
    }

    /**
     * Puts a damaged group back from its mirror; where nothing may be written it is read from
     * there.
     */
    private long restore(Segment segment, SegmentReader reader, SegmentReader.Found mirror, long at)
            throws IOException {
        ByteBuffer copy = mirror.payload().duplicate().position(Frames.MIRROR_HEAD).slice();
        Frames.Head head = Frames.frame(copy.duplicate(), segment.seed(), at);
        if (head == null || head.kind() != Frames.GROUP || head.firstSeq() != nextSeq) {
            throw new StoreException.Damaged(
                    segment.name(), mirror.offset(), "the mirror holds another record");
        }
        if (toWrite) {
            ByteBuffer out = copy.duplicate();
            int whole = out.remaining();
            if (segment.file().write(out, at) < whole) {
                throw new IOException("short write to " + segment.name());
            }
            segment.file().force();
            return at;
        }
        apply(
                reader,
                copy.position(Frames.HEAD).limit(Frames.HEAD + head.length()).slice(),
                head,
                mirror.offset() + Frames.HEAD + Frames.MIRROR_HEAD + Frames.HEAD);
        return at + head.total();
    }

    /**
     * Clears what a cut-off write left, and puts the mirror or mark of the last group back behind
     * it.
     */
    private void settle(
            Segment segment,
            SegmentReader.Found last,
            long at,
            SegmentReader.Tail tail,
            TailJudge.Verdict verdict)
            throws IOException {
        if (verdict == TailJudge.Verdict.TORN) {
            core.events.tell(
                    "store.torn",
                    "file",
                    segment.name(),
                    "offset",
                    at,
                    "length",
                    tail.nonZero() - at);
        }
        if (!toWrite || tail.evidence().mirrorOrMarkOfLast() || last == null) {
            if (toWrite && verdict == TailJudge.Verdict.TORN) {
                clear(segment, at, tail.nonZero());
            }
            return;
        }
        clear(segment, at, tail.nonZero());
        ByteBuffer out =
                ByteBuffer.allocate(last.head().total() + Frames.behind(last.head().total()));
        out.limit(last.head().total());
        segment.file().read(out, last.offset());
        out.limit(out.capacity()).position(last.head().total());
        if (last.head().total() <= Frames.MOST_MIRRORED) {
            Frames.mirror(out, 0, last.head(), segment.seed(), last.offset());
        } else {
            Frames.mark(out, last.head(), segment.seed(), last.offset());
        }
        writeAll(segment, out.flip().position(last.head().total()), at);
        segment.file().force();
    }

    private static void clear(Segment segment, long from, long to) throws IOException {
        writeAll(segment, ByteBuffer.allocate((int) (to - from)), from);
        segment.file().force();
    }

    private static void writeAll(Segment segment, ByteBuffer out, long at) throws IOException {
        int whole = out.remaining();
        if (segment.file().write(out, at) < whole) {
            throw new IOException("short write to " + segment.name());
        }
    }

    private void finish() throws IOException {
        SegmentSet set = new SegmentSet(segments);
        for (Index.Cursor cursor = index.cursor(null); cursor.advance(); ) {
            Index.Place place = cursor.place();
            Segment segment = set.get(place.segment());
            if (segment == null) {
                throw new StoreException.Damaged(
                        manifest.checkpoint().name(),
                        0,
                        "an entry points to a segment that is not there");
            }
            segment.live(Frames.ENTRY_HEAD + cursor.key().length + place.valueLength());
        }
        if (toWrite && acknowledged < 0) {
            core.acknowledged = Acknowledged.create(core.disk, manifest.store(), nextSeq - 1);
            core.disk.syncDirectory();
        } else if (toWrite) {
            core.acknowledged = Acknowledged.open(core.disk, manifest.store(), nextSeq - 1);
        }
        core.manifest = manifest;
        core.nextId = manifest.nextId();
        core.nextSeq = nextSeq;
        for (int i = 0; i < segments.size(); i++) {
            Segment segment = segments.get(i);
            if (!manifest.parts().get(i).sealed()) {
                core.active = segment;
            }
            if (segment.header().kind() == Frames.LOG_SEGMENT
                    && segment.id() >= manifest.checkpoint().replayFrom()) {
                core.logSince +=
                        segment.used()
                                - (segment.id() == manifest.checkpoint().replayFrom()
                                        ? manifest.checkpoint().replayOffset()
                                        : Frames.HEADER);
            }
        }
        core.show(new Core.View(index, set, nextSeq - 1));
    }
}

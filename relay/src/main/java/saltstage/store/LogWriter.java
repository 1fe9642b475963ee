package saltstage.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/** Writes groups of batches to the log, makes them durable and shows them: one group at a time. */
final class LogWriter {
    private static final int KEPT_BUFFER = 1 << 20;
    private static final byte[] ZEROS = new byte[64 << 10];

    /**
     * A segment made ready beforehand: filled, durable, and without a number. It gets that when it
     * is begun: the log is read in the order of its segments' numbers, and others may have begun
     * meanwhile.
     */
    record Spare(String name, Disk.File file, long size) {}

    private final Core core;
    private ByteBuffer buffer = ByteBuffer.allocateDirect(64 << 10);
    private Spare spare;

    LogWriter(Core core) {
        this.core = core;
    }

    /** What a group changes, gathered before it is durable and done after. */
    private static final class Effects {
        private Index index;
        private long added;
        private final List<Index.Place> freed = new ArrayList<>();
        private final List<Integer> freedBytes = new ArrayList<>();

        void free(byte[] key) {
            Index.Place old = index.find(key);
            if (old != null) {
                freed.add(old);
                freedBytes.add(bytes(key.length, old.valueLength()));
            }
        }

        static int bytes(int key, int value) {
            return Frames.ENTRY_HEAD + key + value;
        }
    }

    /**
     * Commits these, each whole or refused; what they wait for is set, and done or failed for each.
     */
    void write(List<Pending> taken) throws StoreException {
        core.writing.lock();
        try {
            core.mustBeOpen();
            if (core.stopped() != null) {
                throw core.stopped();
            }
            int most = Frames.HEAD + taken.stream().mapToInt(p -> p.batch().bytes()).sum();
            if (!core.active.fits(Frames.align(most))) {
                roll(Frames.align(most));
            }
            group(taken, Frames.align(most));
        } catch (RuntimeException | Error fault) { // how far the write came is not known
            core.stop("a fault while writing", fault);
            throw fault;
        } finally {
            core.writing.unlock();
        }
    }

    private void group(List<Pending> taken, int most) throws StoreException {
        Segment segment = core.active;
        long offset = segment.used();
        ByteBuffer out = buffer(Frames.room(most));
        int start = Frames.beginFrame(out, Frames.GROUP, 0, core.nextSeq);
        Effects effects = new Effects();
        effects.index = core.view().index();
        long seq = core.nextSeq;
        for (Pending pending : taken) {
            StoreException.Conflict conflict = conflict(effects.index, pending.batch());
            if (conflict != null) {
                pending.refuse(conflict);
            } else {
                pending.seq(seq);
                append(out, pending.batch(), seq++, segment.id(), offset, effects);
            }
        }
        int count = (int) (seq - core.nextSeq);
        if (count == 0) {
            return;
        }
        out.putInt(start + 12, count);
        Frames.Head head = Frames.endFrame(out, start, segment.seed(), offset);
        try {
            makeDurable(segment, out, head, offset);
            core.acknowledged.reached(seq - 1);
        } catch (IOException e) {
            throw core.stop("a write for " + segment.name() + " failed", e);
        }
        core.nextSeq = seq;
        core.logSince += head.total();
        show(segment, head, offset, effects);
    }

    private static StoreException.Conflict conflict(Index index, Batch batch) {
        for (Batch.Expected expected : batch.expected()) {
            Index.Place place = index.find(expected.key());
            long found = place == null ? 0 : place.version();
            if (found != expected.version()) {
                return new StoreException.Conflict(expected.version(), found);
            }
        }
        return null;
    }

    private static void append(
            ByteBuffer out, Batch batch, long seq, long segment, long offset, Effects effects) {
        out.putInt(batch.changes().size());
        for (Batch.Change change : batch.changes()) {
            long at = Index.Place.at(segment, offset + out.position());
            effects.free(change.key());
            if (change.value() == null) {
                Frames.entry(out, Frames.DELETE, change.key(), null, seq);
                effects.index = effects.index.delete(change.key());
            } else {
                Frames.entry(out, Frames.PUT, change.key(), change.value(), seq);
                effects.index =
                        effects.index.put(
                                change.key(), new Index.Place(at, seq, change.value().length));
                effects.added += change.bytes();
            }
        }
    }

    /**
     * A small group goes out with its mirror; behind a large one comes its mark, once it is
     * durable.
     */
    private static void makeDurable(Segment segment, ByteBuffer out, Frames.Head head, long offset)
            throws IOException {
        boolean mirrored = head.total() <= Frames.MOST_MIRRORED;
        if (mirrored) {
            Frames.mirror(out, 0, head, segment.seed(), offset);
        }
        writeOut(segment, out.flip(), offset);
        segment.file().force();
        if (!mirrored) {
            ByteBuffer mark = ByteBuffer.allocate(Frames.MARK_BYTES);
            Frames.mark(mark, head, segment.seed(), offset);
            writeOut(segment, mark.flip(), offset + head.total());
            segment.file().force();
        }
    }

    private static void writeOut(Segment segment, ByteBuffer out, long offset) throws IOException {
        int whole = out.remaining();
        int written = segment.file().write(out, offset);
        if (written < whole) {
            throw new IOException("short write: " + written + " of " + whole + " bytes");
        }
    }

    private void show(Segment segment, Frames.Head head, long offset, Effects effects) {
        segment.used(offset + head.total());
        segment.live(effects.added);
        SegmentSet set = core.view().set();
        for (int i = 0; i < effects.freed.size(); i++) {
            set.get(effects.freed.get(i).segment()).live(-effects.freedBytes.get(i));
        }
        core.show(new Core.View(effects.index, set, core.nextSeq - 1));
    }

    private ByteBuffer buffer(int bytes) {
        if (bytes > KEPT_BUFFER) {
            return ByteBuffer.allocate(bytes);
        }
        if (buffer.capacity() < bytes) {
            buffer = ByteBuffer.allocateDirect(KEPT_BUFFER);
        }
        return buffer.clear();
    }

    /**
     * Goes on in a new segment with room for such a group; a full disk refuses, and may have room
     * later.
     */
    void roll(int groupTotal) throws StoreException {
        try {
            long need = Frames.HEADER + (long) Frames.room(groupTotal);
            Spare ready =
                    spare != null && spare.size() >= need
                            ? spare
                            : prepare(Math.max(core.options.segmentBytes(), need));
            if (ready == spare) {
                spare = null;
            }
            begin(ready);
            core.full(false, ready.name());
        } catch (Disk.FullException e) {
            core.full(true, "a new segment");
            throw new StoreException.Full(e);
        } catch (StoreException e) {
            throw e;
        } catch (IOException e) {
            throw core.stop("no new segment could be made", e);
        }
    }

    private void begin(Spare ready) throws IOException {
        long id = core.nextId++;
        Frames.Header header =
                new Frames.Header(
                        Frames.LOG_SEGMENT, core.manifest.store(), id, ready.size(), core.nextSeq);
        ByteBuffer out = Frames.header(header);
        if (ready.file().write(out, 0) < Frames.HEADER) {
            throw new IOException("short write of a header");
        }
        ready.file().force();
        ready.file()
                .close(); // it is opened anew by the name that it keeps: an open file knows where
        // it is
        String name = Segment.name(id, Frames.LOG_SEGMENT);
        core.disk.rename(ready.name(), name);
        core.disk.syncDirectory(); // a manifest must not be durable before the names that are in it
        Segment next = new Segment(core.disk, name, core.disk.open(name, true), header);
        Segment before = core.active;
        SegmentSet set = core.view().set().with(next);
        core.active = next;
        try {
            core.publish(core.parts(set, s -> false), core.manifest.checkpoint());
        } catch (IOException e) {
            // the new one is a leftover without records, and deleted at the next opening
            core.active = before;
            set.leave();
            throw e;
        }
        core.show(new Core.View(core.view().index(), set, core.view().seq()));
    }

    /** Makes a spare, if there is none; the filling is done without the write lock. */
    void prepareSpare() throws IOException {
        core.writing.lock();
        boolean wanted = spare == null && core.stopped() == null;
        core.writing.unlock();
        if (!wanted) {
            return;
        }
        Spare made = prepare(core.options.segmentBytes());
        core.writing.lock();
        try {
            if (spare == null) {
                spare = made;
                return;
            }
        } finally {
            core.writing.unlock();
        }
        drop(made);
    }

    /**
     * A file of this size, filled with zeros: all its room is taken now, so that no commit in it
     * can meet a full disk, its length no longer changes, and a file that is shorter has been cut.
     */
    private Spare prepare(long wanted) throws IOException {
        long size = (wanted + Frames.ALIGN - 1) & -Frames.ALIGN;
        if (size >= Segment.MOST_SIZE) {
            throw new IOException("a segment of " + size + " bytes is too large");
        }
        core.writing.lock();
        long id = core.nextId++;
        core.writing.unlock();
        String name = String.format("%016x.tmp", id);
        Disk.File file = core.disk.create(name);
        try {
            for (long at = 0; at < size; ) {
                int bytes = (int) Math.min(ZEROS.length, size - at);
                if (file.write(ByteBuffer.wrap(ZEROS, 0, bytes), at) < bytes) {
                    throw new IOException("short write of " + name);
                }
                at += bytes;
            }
            file.force();
            return new Spare(name, file, size);
        } catch (IOException e) {
            drop(new Spare(name, file, size));
            throw e;
        }
    }

    private void drop(Spare unused) {
        try {
            unused.file().close();
            core.disk.delete(unused.name());
        } catch (IOException left) { // a .tmp is deleted at the next opening
            return;
        }
    }

    void close() {
        if (spare != null) {
            drop(spare);
            spare = null;
        }
    }
}

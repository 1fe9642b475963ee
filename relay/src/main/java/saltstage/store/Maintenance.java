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
 * Checkpoints and compaction: one at a time, beside the writers. What lives in a segment worth
 * emptying is copied into new ones, the index is pointed there a few entries at a time, and a
 * checkpoint with a manifest of the new segments puts it in force; only then do the old files go. A
 * crash anywhere finds the old manifest with all that it names, or the new one.
 */
final class Maintenance {
    private static final int CHUNK = 128 << 10;
    private static final int SLICE = 64; // entries pointed elsewhere at a time, while writers wait
    private static final long LONGEST_PAUSE = 50_000_000;

    private final Core core;
    private final SpacePolicy policy;
    private final ReentrantLock running = new ReentrantLock();
    private volatile boolean closing;
    private long copied;

    Maintenance(Core core) {
        this.core = core;
        policy = new SpacePolicy(core.options.segmentBytes());
    }

    /** One entry that was copied. */
    private record Moved(byte[] key, long from, Index.Place to) {}

    /** What is due by the policy; a full disk or a file that cannot be written puts it off. */
    void tend() {
        running.lock();
        try {
            List<Long> victims = policy.victims(sealed(), core.manifest.checkpoint().bytes());
            if (!victims.isEmpty()) {
                compact(victims, new RateLimit(core.options.compactionRate()));
            } else if (policy.checkpointDue(core.logSince, core.manifest.checkpoint().bytes())) {
                checkpoint();
            }
        } catch (Disk.FullException e) {
            core.full(true, "a checkpoint or compaction");
        } catch (IOException e) {
            core.events.tell("store.compaction.failed", "why", e.getMessage());
        } finally {
            running.unlock();
        }
    }

    List<SpacePolicy.Sealed> sealed() throws StoreException {
        core.writing.lock();
        try {
            core.mustBeOpen();
            return core.view().set().all().stream()
                    .filter(s -> s != core.active)
                    .map(s -> new SpacePolicy.Sealed(s.id(), s.used() - Frames.HEADER, s.live()))
                    .toList();
        } finally {
            core.writing.unlock();
        }
    }

    /** Bytes that compaction has copied since the store was opened. */
    long copied() {
        return copied;
    }

    /** Whether what runs is to end at its next step. */
    void closing(boolean now) {
        closing = now;
    }

    /**
     * Rewrites every segment with anything dead in it, as fast as it goes; returns the bytes
     * copied.
     */
    long compactAll(LogWriter writer) throws IOException {
        running.lock();
        try {
            long before = copied;
            core.writing.lock();
            try {
                core.mustBeOpen();
                if (core.active.used() > Frames.HEADER
                        && core.active.live() < core.active.used() / 2) {
                    writer.roll(Frames.HEAD);
                }
            } finally {
                core.writing.unlock();
            }
            compact(SpacePolicy.all(sealed()), null);
            return copied - before;
        } finally {
            running.unlock();
        }
    }

    /** Writes the index as it is now and puts it in force; segments in which nothing lives go. */
    void checkpoint() throws IOException {
        running.lock();
        try {
            Core.View seen;
            long id;
            long from;
            long offset;
            long log;
            Set<Segment> dead = new HashSet<>();
            core.writing.lock();
            try {
                seen = core.enter();
                id = core.nextId++;
                from = core.active.id();
                offset = core.active.used();
                log = core.logSince;
                seen.set().all().stream()
                        .filter(s -> s != core.active && s.live() == 0)
                        .forEach(dead::add);
            } finally {
                core.writing.unlock();
            }
            try {
                Checkpoint.Written written = write(id, seen);
                putInForce(
                        new Manifest.CheckpointRef(
                                id,
                                seen.seq(),
                                from,
                                offset,
                                written.bytes(),
                                written.crc(),
                                seen.index().size()),
                        dead,
                        log);
            } finally {
                seen.set().leave();
            }
        } finally {
            running.unlock();
        }
    }

    private Checkpoint.Written write(long id, Core.View seen) throws IOException {
        String name = Checkpoint.name(id);
        boolean done = false;
        try (Disk.File file = core.disk.create(name)) {
            Checkpoint.Written written =
                    Checkpoint.write(
                            file,
                            core.manifest.store(),
                            id,
                            seen.seq(),
                            seen.index(),
                            bytes -> goOn());
            core.disk.syncDirectory();
            done = true;
            return written;
        } finally {
            if (!done) {
                dropQuietly(name);
            }
        }
    }

    private void goOn() throws IOException {
        if (closing) {
            throw new StoreException("the store is closing");
        }
    }

    private void dropQuietly(String name) {
        try {
            core.disk.delete(name);
        } catch (IOException left) { // in no manifest: deleted at the next opening
            return;
        }
    }

    private void putInForce(Manifest.CheckpointRef ref, Set<Segment> dead, long log)
            throws IOException {
        Manifest.CheckpointRef before = core.manifest.checkpoint();
        core.writing.lock();
        try {
            if (core.stopped() != null) {
                throw core.stopped();
            }
            SegmentSet set = core.view().set();
            core.publish(core.parts(set, dead::contains), ref);
            dead.forEach(
                    Segment::doom); // before their last reader, who may be the one below, lets go
            core.logSince -= log;
            if (!dead.isEmpty()) {
                core.show(new Core.View(core.view().index(), set.without(dead), core.view().seq()));
            }
        } finally {
            core.writing.unlock();
        }
        if (before.id() != 0) {
            dropQuietly(before.name());
        }
        core.full(false, "a checkpoint");
    }

    private void compact(List<Long> victims, RateLimit limit) throws IOException {
        Set<Long> wanted = new HashSet<>(victims);
        Core.View seen = core.enter();
        try {
            Copier copier = new Copier(limit);
            try {
                for (Segment victim : seen.set().all()) {
                    if (wanted.contains(victim.id())) {
                        copier.empty(victim);
                    }
                }
                copier.finish();
            } finally {
                copier.abandon();
            }
        } finally {
            seen.set().leave();
        }
        checkpoint();
    }

    /** Copies what lives into new segments. */
    private final class Copier {
        private final RateLimit limit;
        private final ByteBuffer chunk =
                ByteBuffer.allocate(CHUNK + Frames.HEAD + Frames.BATCH_HEAD + Frames.ALIGN);
        private List<Moved> inChunk = new ArrayList<>();
        private final List<Moved> moved = new ArrayList<>();
        private Disk.File out;
        private long id;
        private long end;

        Copier(RateLimit limit) {
            this.limit = limit;
        }

        void empty(Segment victim) throws IOException {
            SegmentReader reader = new SegmentReader(victim);
            for (long at = Frames.HEADER; at < victim.used(); ) {
                SegmentReader.Found found = reader.at(at);
                if (found == null) {
                    throw new StoreException.Damaged(victim.name(), at, "no sound record");
                }
                if (found.head().kind() == Frames.GROUP || found.head().kind() == Frames.COPY) {
                    reader.entries(
                            found, (entry, batch, offset, raw) -> take(victim, entry, offset, raw));
                }
                pause(found.head().total());
                at = found.end();
            }
        }

        private void take(Segment victim, Frames.Entry entry, long offset, ByteBuffer raw)
                throws IOException {
            long from = Index.Place.at(victim.id(), offset);
            Index.Place place = core.view().index().find(entry.key());
            if (entry.op() != Frames.PUT || place == null || place.at() != from) {
                return;
            }
            if (raw.remaining() > CHUNK) {
                flush();
                write(
                        ByteBuffer.allocate(
                                raw.remaining() + Frames.HEAD + Frames.BATCH_HEAD + Frames.ALIGN),
                        List.of(raw),
                        List.of(new Moved(entry.key(), from, place)));
                return;
            }
            if (chunk.position() == 0) {
                begin(chunk);
            }
            if (chunk.position() + raw.remaining() > CHUNK) {
                flush();
                begin(chunk);
            }
            inChunk.add(new Moved(entry.key(), from, place));
            chunk.put(raw);
        }

        private void begin(ByteBuffer into) {
            into.clear();
            Frames.beginFrame(into, Frames.COPY, 1, 0);
            into.putInt(0);
        }

        private void write(ByteBuffer into, List<ByteBuffer> entries, List<Moved> of)
                throws IOException {
            begin(into);
            entries.forEach(into::put);
            write(into, of);
        }

        private void flush() throws IOException {
            if (!inChunk.isEmpty()) {
                write(chunk, inChunk);
                inChunk = new ArrayList<>();
            }
            chunk.clear();
        }

        /** Writes a frame of entries; where each of them now stands is known from here on. */
        private void write(ByteBuffer frame, List<Moved> of) throws IOException {
            if (out != null
                    && end + frame.position() + Frames.ALIGN > core.options.segmentBytes()) {
                finishSegment();
            }
            if (out == null) {
                open();
            }
            frame.putInt(Frames.HEAD, of.size());
            Frames.endFrame(frame, 0, new Frames.Seed(core.manifest.store(), id), end);
            int bytes = frame.flip().remaining();
            if (out.write(frame, end) < bytes) {
                throw new IOException("short write of " + name());
            }
            long at = end + Frames.HEAD + Frames.BATCH_HEAD;
            for (Moved entry : of) {
                moved.add(
                        new Moved(
                                entry.key(),
                                entry.from(),
                                new Index.Place(
                                        Index.Place.at(id, at),
                                        entry.to().version(),
                                        entry.to().valueLength())));
                at += Frames.ENTRY_HEAD + entry.key().length + entry.to().valueLength();
            }
            end += bytes;
            copied += bytes;
            pause(bytes);
        }

        private String name() {
            return Segment.name(id, Frames.COPY_SEGMENT);
        }

        private void open() throws IOException {
            core.writing.lock();
            id = core.nextId++;
            core.writing.unlock();
            out = core.disk.create(name());
            end = Frames.HEADER;
        }

        void finish() throws IOException {
            flush();
            if (out != null) {
                finishSegment();
            }
        }

        /** Completes a segment of copies, and points the index into it. */
        private void finishSegment() throws IOException {
            Frames.Header header =
                    new Frames.Header(Frames.COPY_SEGMENT, core.manifest.store(), id, end, 0);
            if (out.write(Frames.header(header), 0) < Frames.HEADER) {
                throw new IOException("short write of " + name());
            }
            out.force(); // its name becomes durable with that of the checkpoint which points
            // into it
            Segment segment = new Segment(core.disk, name(), out, header);
            segment.used(end);
            out = null;
            core.writing.lock();
            try {
                Core.View now = core.view();
                core.show(new Core.View(now.index(), now.set().with(segment), now.seq()));
            } finally {
                core.writing.unlock();
            }
            for (int i = 0; i < moved.size(); i += SLICE) {
                point(segment, moved.subList(i, Math.min(moved.size(), i + SLICE)));
            }
            moved.clear();
        }

        /** Points the index to the copies of what has not been written anew meanwhile. */
        private void point(Segment to, List<Moved> entries) {
            core.writing.lock();
            try {
                Core.View now = core.view();
                Index index = now.index();
                for (Moved entry : entries) {
                    Index.Place place = index.find(entry.key());
                    if (place != null && place.at() == entry.from()) {
                        int bytes = Frames.ENTRY_HEAD + entry.key().length + place.valueLength();
                        now.set().get(place.segment()).live(-bytes);
                        to.live(bytes);
                        index = index.put(entry.key(), entry.to());
                    }
                }
                core.show(new Core.View(index, now.set(), now.seq()));
            } finally {
                core.writing.unlock();
            }
        }

        /** Nothing points into a segment that was not completed. */
        void abandon() {
            if (out == null) {
                return;
            }
            try {
                out.close();
            } catch (IOException e) {
                core.events.tell("store.compaction.failed", "why", e.getMessage());
            }
            dropQuietly(name());
        }

        private void pause(long bytes) throws IOException {
            goOn();
            if (limit == null) {
                return;
            }
            long until = System.nanoTime() + limit.take(bytes, System.nanoTime());
            for (long left = until - System.nanoTime();
                    left > 0;
                    left = until - System.nanoTime()) {
                goOn();
                LockSupport.parkNanos(Math.min(left, LONGEST_PAUSE));
            }
        }
    }
}

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
final class Core {
    /** One state of the store that readers may hold: nothing in it changes. */
    record View(Index index, SegmentSet set, long seq) {}

    final Disk disk;
    final StoreOptions options;
    final StoreEvents events;

    /**
     * Held by whoever writes the log, changes the set of segments or publishes a manifest. Fair: a
     * compaction that comes again at once must not keep the writers out.
     */
    final ReentrantLock writing = new ReentrantLock(true);

    private volatile View view;
    private volatile StoreException.Stopped stopped;
    private volatile boolean full;
    Manifest manifest;
    Segment active;

    /** What says how far was acknowledged; null where the store is read only. */
    Acknowledged acknowledged;

    long nextSeq;
    long nextId;

    /** Bytes of log since the checkpoint in force. */
    long logSince;

    Core(Disk disk, StoreOptions options, StoreEvents events) {
        this.disk = disk;
        this.options = options;
        this.events = events;
    }

    View view() {
        return view;
    }

    /** The state now, held until {@link SegmentSet#leave}. */
    View enter() throws StoreException {
        while (true) {
            View now = view;
            if (now == null) {
                throw new StoreException("the store is closed");
            }
            if (now.set().enter()) {
                return now;
            }
        }
    }

    /** Refuses where the store was closed; under the write lock. */
    void mustBeOpen() throws StoreException {
        if (view == null) {
            throw new StoreException("the store is closed");
        }
    }

    /** Shows another state from now on; under the write lock. */
    void show(View next) {
        View before = view;
        view = next;
        if (before != null && (next == null || before.set() != next.set())) {
            before.set().leave();
        }
    }

    StoreException.Stopped stopped() {
        return stopped;
    }

    /** Stops all writing for good: what a failed write or force left on the disk is not known. */
    StoreException.Stopped stop(String what, Throwable cause) {
        if (stopped == null) {
            stopped = new StoreException.Stopped(what + ": " + cause.getMessage(), cause);
            events.tell("store.stopped", "why", stopped.getMessage());
        }
        return stopped;
    }

    /** Marks whether the disk is full, and tells when that changes. */
    void full(boolean now, String what) {
        if (full != now) {
            full = now;
            events.tell(now ? "store.full" : "store.room", "what", what);
        }
    }

    boolean isFull() {
        return full;
    }

    /**
     * Puts a manifest with these segments and checkpoint in force; under the write lock. What fails
     * before the rename leaves the old one in force and is passed on; from the rename on it stops
     * the store.
     */
    void publish(List<Manifest.Part> parts, Manifest.CheckpointRef checkpoint) throws IOException {
        Manifest next =
                new Manifest(
                        Manifest.FORMAT,
                        manifest.store(),
                        manifest.generation() + 1,
                        nextId,
                        checkpoint,
                        parts);
        next.prepare(disk);
        try {
            Manifest.publish(disk);
        } catch (IOException e) {
            throw stop("the manifest could not be put in force", e);
        }
        manifest = next;
    }

    /** The segments of a set as the manifest has them, but those that are to be left out. */
    List<Manifest.Part> parts(SegmentSet set, Predicate<Segment> leaveOut) {
        List<Manifest.Part> parts = new ArrayList<>();
        for (Segment segment : set.all()) {
            if (!leaveOut.test(segment)) {
                boolean sealed = segment != active;
                parts.add(
                        new Manifest.Part(
                                segment.id(),
                                segment.header().kind(),
                                sealed,
                                segment.header().size(),
                                sealed ? segment.used() : 0,
                                segment.header().baseSeq(),
                                sealed ? lastSeq(segment) : 0));
            }
        }
        return parts;
    }

    private long lastSeq(Segment segment) {
        for (Manifest.Part part : manifest.parts()) {
            if (part.id() == segment.id() && part.sealed()) {
                return part.lastSeq();
            }
        }
        return segment.header().kind() == Frames.COPY_SEGMENT ? 0 : nextSeq - 1;
    }
}

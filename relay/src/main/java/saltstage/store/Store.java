package saltstage.store;

import java.io.Closeable;
import java.io.IOException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.locks.LockSupport;

/**
 * An open store. What {@link #commit} returned from is durable; reads see what is durable and
 * nothing else. Safe for any number of threads; one opener may write, any number of others may read
 * a state of their own.
 */
public final class Store implements Closeable {
    private static final String LOCK = "lock";
    private static final int TRIES = 20;
    private static final long TRY_AGAIN_NANOS = 20_000_000;
    private static final long LEAST_WORTH_CHECKPOINT = 64 << 10;

    /** What a store holds: keys, numbers, bytes of files, and how writing is. */
    public record Stat(
            long live,
            long seq,
            int segments,
            long fileBytes,
            long liveBytes,
            long deadBytes,
            long checkpointSeq,
            long checkpointBytes,
            long logSince,
            boolean full,
            String stopped) {}

    /** What {@link #verify} read: entries in the log, live keys, the last number. */
    public record Verified(long records, long live, long seq) {}

    private final Core core;
    private final Closeable lock;
    private final LogWriter writer;
    private final GroupCommit commits;
    private final Maintenance maintenance;
    private final AtomicBoolean closed = new AtomicBoolean();
    private Thread tender;
    private volatile boolean wanted;

    private Store(Core core, Closeable lock) {
        this.core = core;
        this.lock = lock;
        writer = new LogWriter(core);
        commits = new GroupCommit(writer::write);
        maintenance = new Maintenance(core);
    }

    /** Opens to write, making a new store where there is none. A second opener is refused. */
    public static Store open(Disk disk, StoreOptions options, StoreEvents events)
            throws IOException {
        Closeable lock = disk.lock(LOCK);
        if (lock == null) {
            throw new StoreException.Locked();
        }
        boolean opened = false;
        try {
            Core core = new Core(disk, options, events);
            new Recovery(core, true).run();
            Store store = new Store(core, lock);
            store.begin();
            opened = true;
            return store;
        } finally {
            if (!opened) {
                lock.close();
            }
        }
    }

    /**
     * Opens the state that is there now to read it, also while another process writes; writes
     * nothing.
     */
    public static Store openToRead(Disk disk, StoreEvents events) throws IOException {
        for (int i = 1; ; i++) {
            try {
                Core core = new Core(disk, StoreOptions.usual(), events);
                new Recovery(core, false).run();
                return new Store(core, null);
            } catch (IOException e) {
                if (i == TRIES
                        || e instanceof StoreException && !(e instanceof StoreException.Damaged)) {
                    throw e;
                }
                LockSupport.parkNanos(
                        TRY_AGAIN_NANOS); // a file may have gone since the manifest was read
            }
        }
    }

    private void begin() {
        if (core.options.background()) {
            tender = new Thread(this::tend, "store");
            tender.setDaemon(true);
            tender.start();
        }
    }

    /** Where nothing was written for a while, how far was acknowledged becomes durable too. */
    private void rest(long seqBefore) {
        core.writing.lock();
        try {
            if (core.view() != null && core.stopped() == null && core.nextSeq == seqBefore) {
                core.acknowledged.rest();
            }
        } catch (IOException e) { // a force that failed: what is on the disk is not known any more
            core.stop("a write of " + Acknowledged.NAME + " failed", e);
        } finally {
            core.writing.unlock();
        }
    }

    private long nextSeq() {
        core.writing.lock();
        try {
            return core.nextSeq;
        } finally {
            core.writing.unlock();
        }
    }

    /** The store's own thread: a spare segment, checkpoints, compaction; woken by who commits. */
    private void tend() {
        while (!closed.get()) {
            try {
                writer.prepareSpare();
            } catch (IOException e) { // a writer that needs it will meet the same, and say so
                core.events.tell("store.spare.failed", "why", e.getMessage());
            }
            try {
                maintenance.tend();
            } catch (RuntimeException fault) { // the store serves on, only larger than it need be
                core.events.tell("store.compaction.failed", "why", fault);
            }
            wanted = false;
            long seq = nextSeq();
            LockSupport.parkNanos(this, 1_000_000_000L);
            rest(seq);
        }
    }

    /** Commits a batch; returns its number once it is durable. All of it happens, or nothing. */
    public long commit(Batch batch) throws StoreException {
        if (lock == null) {
            throw new StoreException("the store is open to read only");
        }
        if (closed.get()) {
            throw new StoreException("the store is closed");
        }
        if (batch.size() == 0 && batch.expected().isEmpty()) {
            return core.view().seq();
        }
        long seq = commits.commit(batch);
        if (tender != null && !wanted && core.logSince > core.options.segmentBytes() / 2) {
            wanted = true;
            LockSupport.unpark(tender);
        }
        return seq;
    }

    /** Commits one put. */
    public long put(byte[] key, byte[] value) throws StoreException {
        return commit(new Batch().put(key, value));
    }

    /** Commits one delete. */
    public long delete(byte[] key) throws StoreException {
        return commit(new Batch().delete(key));
    }

    /** A key's value, or null. */
    public byte[] get(byte[] key) throws IOException {
        try (Snapshot now = snapshot()) {
            return now.get(key);
        }
    }

    /** The state now, to be closed. */
    public Snapshot snapshot() throws StoreException {
        return new Snapshot(core.enter());
    }

    /**
     * Whether batches can still be committed, as far as is known: neither stopped nor out of room.
     */
    public boolean writable() {
        return core.stopped() == null && !core.isFull() && !closed.get();
    }

    /** Writes the index down, so that the next start reads the log from here only. */
    public void checkpoint() throws IOException {
        maintenance.checkpoint();
    }

    /**
     * Gives back what deleted and overwritten data takes; returns the bytes that had to be copied.
     */
    public long compact() throws IOException {
        return maintenance.compactAll(writer);
    }

    /** Bytes that compaction has copied since the opening. */
    public long copied() {
        return maintenance.copied();
    }

    /** How it stands. */
    public Stat stat() throws IOException {
        core.writing.lock();
        try {
            core.mustBeOpen();
            Core.View now = core.view();
            long files = core.manifest.checkpoint().bytes();
            long live = 0;
            long used = 0;
            for (Segment segment : now.set().all()) {
                files += segment.header().size();
                live += segment.live();
                used += segment.used() - Frames.HEADER;
            }
            return new Stat(
                    now.index().size(),
                    now.seq(),
                    now.set().all().size(),
                    files,
                    live,
                    Math.max(0, used - live),
                    core.manifest.checkpoint().seq(),
                    core.manifest.checkpoint().bytes(),
                    core.logSince,
                    core.isFull(),
                    core.stopped() == null ? "" : core.stopped().getMessage());
        } finally {
            core.writing.unlock();
        }
    }

    /**
     * Reads every record of every segment and every live value; throws at the first that is
     * damaged.
     */
    public Verified verify() throws IOException {
        long[] records = new long[1];
        Core.View now = core.enter();
        try {
            for (Segment segment : now.set().all()) {
                long end = segment.used();
                SegmentReader reader = new SegmentReader(segment);
                for (long at = Frames.HEADER; at < end; ) {
                    SegmentReader.Found found = reader.at(at);
                    if (found == null) {
                        throw new StoreException.Damaged(segment.name(), at, "no sound record");
                    }
                    reader.entries(found, (entry, batch, offset, raw) -> records[0]++);
                    at = found.end();
                }
            }
            long live = 0;
            for (Index.Cursor cursor = now.index().cursor(null); cursor.advance(); live++) {
                Index.Place place = cursor.place();
                now.set().get(place.segment()).value(place.offset(), cursor.key(), place);
            }
            return new Verified(records[0], live, now.seq());
        } finally {
            now.set().leave();
        }
    }

    /** The store's own thread ends at its next step; nothing is taken from under it. */
    private void endTender() {
        if (tender == null) {
            return;
        }
        maintenance.closing(true);
        boolean interrupted = false;
        while (tender.isAlive()) {
            LockSupport.unpark(tender);
            try {
                tender.join(10);
            } catch (InterruptedException e) {
                interrupted = true;
            }
        }
        maintenance.closing(false);
        if (interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    /** Ends writing and lets go of the files; snapshots that are open stay readable. */
    @Override
    public void close() throws IOException {
        if (!closed.compareAndSet(false, true)) {
            return;
        }
        try {
            endTender();
            if (lock != null
                    && core.stopped() == null
                    && core.logSince > 0
                    && core.logSince
                            >= Math.min(
                                    core.manifest.checkpoint().bytes(), LEAST_WORTH_CHECKPOINT)) {
                maintenance.checkpoint();
            }
        } catch (IOException notNow) { // the log has it all: the next start only takes longer
            core.events.tell("store.compaction.failed", "why", notNow.getMessage());
        } finally {
            if (lock != null) {
                rest(nextSeq());
            }
            core.writing.lock();
            try {
                writer.close();
                if (core.acknowledged != null) {
                    core.acknowledged.close();
                }
                core.show(null);
            } finally {
                core.writing.unlock();
            }
            if (lock != null) {
                lock.close();
            }
        }
    }
}

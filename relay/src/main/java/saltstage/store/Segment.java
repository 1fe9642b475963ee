package saltstage.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.atomic.AtomicInteger;

/** One segment file that is open, with how much of it is used and how much of that is live. */
final class Segment {
    static final long MOST_SIZE = 1L << 31;

    private final Disk disk;
    private final String name;
    private final Disk.File file;
    private final Frames.Header header;
    private final Frames.Seed seed;
    private final AtomicInteger holders = new AtomicInteger();
    private volatile boolean doomed;

    /**
     * The end of the last frame, and the bytes of entries that the index points to; under the write
     * lock.
     */
    private long used = Frames.HEADER;

    private long live;

    Segment(Disk disk, String name, Disk.File file, Frames.Header header) {
        this.disk = disk;
        this.name = name;
        this.file = file;
        this.header = header;
        seed = new Frames.Seed(header.store(), header.id());
    }

    static String name(long id, byte kind) {
        return String.format("%016x.%s", id, kind == Frames.LOG_SEGMENT ? "log" : "copy");
    }

    String name() {
        return name;
    }

    Disk.File file() {
        return file;
    }

    Frames.Header header() {
        return header;
    }

    Frames.Seed seed() {
        return seed;
    }

    long id() {
        return header.id();
    }

    long used() {
        return used;
    }

    void used(long to) {
        used = to;
    }

    long live() {
        return live;
    }

    void live(long by) {
        live += by;
    }

    boolean fits(int groupTotal) {
        return used + Frames.room(groupTotal) <= header.size();
    }

    /** Reads the value of an entry that must stand here; whatever else stands here is damage. */
    byte[] value(long offset, byte[] key, Index.Place place) throws IOException {
        int bytes = Frames.ENTRY_HEAD + key.length + place.valueLength();
        ByteBuffer in = ByteBuffer.allocate(bytes);
        if (file.read(in, offset) < bytes) {
            throw new StoreException.Damaged(name, offset, "the file ends in an entry");
        }
        Frames.Entry entry = Frames.entry(in.flip());
        if (entry == null
                || entry.op() != Frames.PUT
                || entry.version() != place.version()
                || !java.util.Arrays.equals(entry.key(), key)) {
            throw new StoreException.Damaged(
                    name, offset, "no sound entry where the index has one");
        }
        return java.util.Arrays.copyOfRange(in.array(), bytes - entry.valueLength(), bytes);
    }

    void hold() {
        holders.incrementAndGet();
    }

    /** The last who lets go closes the file, and deletes it where it is doomed. */
    void letGo() {
        if (holders.decrementAndGet() > 0) {
            return;
        }
        try {
            file.close();
            if (doomed) {
                disk.delete(name);
            }
        } catch (IOException left) { // a file that is in no manifest is deleted at the next opening
            return;
        }
    }

    /** It is in no manifest any more: its file goes when the last reader does. */
    void doom() {
        doomed = true;
    }
}

package saltstage.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.atomic.AtomicInteger;

/** One segment file that is open, with how much of it is used and how much of that is live. */
final class Segment {
    static final long MAX_SEGMENT_BYTES = 1L << 31;

    private final Disk disk;
    private final String fileName;
    private final Disk.File file;
    private final SegmentFormat.SegmentHeader header;
    private final SegmentFormat.ChecksumSeed checksumSeed;
    private final AtomicInteger references = new AtomicInteger();
    private volatile boolean deleteOnRelease;

    /**
     * The end of the last frame, and the bytes of entries that the index points to; under the write
     * lock.
     */
    private long usedBytes = SegmentFormat.SEGMENT_HEADER_BYTES;

    private long liveBytes;

    Segment(Disk disk, String name, Disk.File file, SegmentFormat.SegmentHeader header) {
        this.disk = disk;
        this.fileName = name;
        this.file = file;
        this.header = header;
        checksumSeed = new SegmentFormat.ChecksumSeed(header.storeId(), header.id());
    }

    static String fileName(long id, byte kind) {
        return String.format("%016x.%s", id, kind == SegmentFormat.LOG_SEGMENT ? "log" : "copy");
    }

    String fileName() {
        return fileName;
    }

    Disk.File file() {
        return file;
    }

    SegmentFormat.SegmentHeader header() {
        return header;
    }

    SegmentFormat.ChecksumSeed checksumSeed() {
        return checksumSeed;
    }

    long id() {
        return header.id();
    }

    long usedBytes() {
        return usedBytes;
    }

    void setUsedBytes(long to) {
        usedBytes = to;
    }

    long liveBytes() {
        return liveBytes;
    }

    void addLiveBytes(long by) {
        liveBytes += by;
    }

    boolean hasRoomFor(int groupTotal) {
        return usedBytes + SegmentFormat.reservedBytes(groupTotal) <= header.size();
    }

    /** Reads the value of an entry that must stand here; whatever else stands here is damage. */
    byte[] readValue(long offset, byte[] key, Index.Location place) throws IOException {
        int bytes = SegmentFormat.ENTRY_HEADER_BYTES + key.length + place.valueLength();
        ByteBuffer in = ByteBuffer.allocate(bytes);
        if (file.read(in, offset) < bytes) {
            throw new StoreException.Damaged(fileName, offset, "the file ends in an entry");
        }
        SegmentFormat.Entry entry = SegmentFormat.decodeEntry(in.flip());
        if (entry == null
                || entry.op() != SegmentFormat.PUT
                || entry.version() != place.version()
                || !java.util.Arrays.equals(entry.key(), key)) {
            throw new StoreException.Damaged(
                    fileName, offset, "no sound entry where the index has one");
        }
        return java.util.Arrays.copyOfRange(in.array(), bytes - entry.valueLength(), bytes);
    }

    void acquire() {
        references.incrementAndGet();
    }

    /** The last who lets go closes the file, and deletes it where it is doomed. */
    void release() {
        if (references.decrementAndGet() > 0) {
            return;
        }
        try {
            file.close();
            if (deleteOnRelease) {
                disk.delete(fileName);
            }
        } catch (IOException left) { // a file that is in no manifest is deleted at the next opening
            return;
        }
    }

    /** It is in no manifest any more: its file goes when the last reader does. */
    void markForDeletion() {
        deleteOnRelease = true;
    }
}

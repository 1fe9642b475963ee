package saltstage.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * An open segment file with its counts of used and live bytes. The file is closed when the last
 * segment set that contains it is released.
 */
final class Segment {
    static final long MAX_SEGMENT_BYTES = 1L << 31;

    private final Disk disk;
    private final String fileName;
    private final Disk.File file;
    private final SegmentFormat.SegmentHeader header;
    private final SegmentFormat.ChecksumSeed checksumSeed;
    private final AtomicInteger references = new AtomicInteger();
    private volatile boolean deleteOnRelease;

    /** The end of the last frame. Like {@code liveBytes}, guarded by the write lock. */
    private long usedBytes = SegmentFormat.SEGMENT_HEADER_BYTES;

    /** The bytes of the entries that the index points to. */
    private long liveBytes;

    Segment(Disk disk, String fileName, Disk.File file, SegmentFormat.SegmentHeader header) {
        this.disk = disk;
        this.fileName = fileName;
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

    void setUsedBytes(long bytes) {
        usedBytes = bytes;
    }

    long liveBytes() {
        return liveBytes;
    }

    void addLiveBytes(long bytes) {
        liveBytes += bytes;
    }

    boolean hasRoomFor(int groupTotal) {
        return usedBytes + SegmentFormat.reservedBytes(groupTotal) <= header.size();
    }

    /**
     * Reads the value of the entry that the index locates at this offset. Anything else at the
     * offset is reported as damage.
     */
    byte[] readValue(long offset, byte[] key, Index.Location location) throws IOException {
        int bytes = SegmentFormat.ENTRY_HEADER_BYTES + key.length + location.valueLength();
        ByteBuffer in = ByteBuffer.allocate(bytes);
        if (file.read(in, offset) < bytes) {
            throw new StoreException.Damaged(fileName, offset, "the file ends in an entry");
        }
        SegmentFormat.Entry entry = SegmentFormat.decodeEntry(in.flip());
        if (entry == null
                || entry.op() != SegmentFormat.PUT
                || entry.version() != location.version()
                || !java.util.Arrays.equals(entry.key(), key)) {
            throw new StoreException.Damaged(
                    fileName, offset, "no sound entry where the index has one");
        }
        return java.util.Arrays.copyOfRange(in.array(), bytes - entry.valueLength(), bytes);
    }

    void acquire() {
        references.incrementAndGet();
    }

    /**
     * Releases a reference. The last release closes the file, and deletes it if it was marked for
     * deletion.
     */
    void release() {
        if (references.decrementAndGet() > 0) {
            return;
        }
        try {
            file.close();
            if (deleteOnRelease) {
                disk.delete(fileName);
            }
        } catch (IOException e) { // the next open deletes files that are not in the manifest
            return;
        }
    }

    /**
     * Marks a segment that is no longer in the manifest: its file is deleted when the last reader
     * releases it.
     */
    void markForDeletion() {
        deleteOnRelease = true;
    }
}

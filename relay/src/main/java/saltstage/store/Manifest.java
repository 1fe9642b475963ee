package saltstage.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * The list of the files that make up a store: the format version (1 has no file with the acknowledged
 * sequence number, 2 has one), the store id, the next free file id, the current checkpoint, and all segments
 * in order. It is small and is replaced atomically by a rename.
 */
record Manifest(short formatVersion, SegmentFormat.StoreId storeId, long generation, long nextFileId,
        CheckpointRef checkpoint, List<SegmentRef> segments) {
    static final String NAME = "manifest";
    static final String TEMPORARY_NAME = "manifest.tmp";
    static final short FORMAT_VERSION = 2;
    private static final long MAGIC = 0x53414c544d414e01L; // SALTMAN, 1
    private static final int FIXED_BYTES = 108;
    private static final int SEGMENT_REF_BYTES = 42;
    private static final int CRC_OFFSET = 12;
    private static final int MAX_SEGMENTS = 1 << 20;

    /**
     * The current checkpoint; id 0 means that there is none. Replay begins at the given offset of the given
     * segment.
     */
    record CheckpointRef(long id, long seq, long replaySegmentId, long replayOffset, long bytes, int crc,
            long keyCount) {
        static final CheckpointRef NONE = new CheckpointRef(0, 0, 0, 0, 0, 0, 0);

        String fileName() {
            return Checkpoint.fileName(id);
        }
    }

    /** A segment. The used bytes and the last sequence number are valid only for sealed segments. */
    record SegmentRef(long id, byte kind, boolean sealed, long size, long usedBytes, long baseSeq,
            long lastSeq) {
        String fileName() {
            return Segment.fileName(id, kind);
        }
    }

    ByteBuffer encode() {
        ByteBuffer out = ByteBuffer.allocate(FIXED_BYTES + SEGMENT_REF_BYTES * segments.size());
        out.putLong(MAGIC).putShort(formatVersion).putShort((short) 0).putInt(0)
            .putLong(storeId.high()).putLong(storeId.low()).putLong(generation).putLong(nextFileId)
            .putLong(checkpoint.id()).putLong(checkpoint.seq()).putLong(checkpoint.replaySegmentId())
            .putLong(checkpoint.replayOffset()).putLong(checkpoint.bytes()).putInt(checkpoint.crc())
            .putLong(checkpoint.keyCount()).putInt(0).putInt(segments.size());
        for (SegmentRef segment : segments) {
            out.putLong(segment.id()).put(segment.kind()).put((byte) (segment.sealed() ? 1 : 0))
                .putLong(segment.size()).putLong(segment.usedBytes()).putLong(segment.baseSeq())
                .putLong(segment.lastSeq());
        }
        out.flip();
        out.putInt(CRC_OFFSET, SegmentFormat.crcExcluding(out, CRC_OFFSET));
        return out;
    }

    static Manifest decode(ByteBuffer in) throws StoreException {
        if (in.remaining() < FIXED_BYTES) {
            throw new StoreException.Damaged(NAME, in.remaining(), "the file is cut");
        }
        if (in.getLong(0) != MAGIC) {
            throw new StoreException.Damaged(NAME, 0, "no manifest");
        }
        if (in.getInt(CRC_OFFSET) != SegmentFormat.crcExcluding(in, CRC_OFFSET)) {
            throw new StoreException.Damaged(NAME, CRC_OFFSET, "the checksum does not match");
        }
        short format = in.getShort(8);
        if (format < 1 || format > FORMAT_VERSION) {
            throw new StoreException(NAME + ": format " + format + " is not known; 1 to " + FORMAT_VERSION
                + " are");
        }
        in.position(16);
        SegmentFormat.StoreId storeId = new SegmentFormat.StoreId(in.getLong(), in.getLong());
        long generation = in.getLong();
        long nextFileId = in.getLong();
        CheckpointRef checkpoint = new CheckpointRef(in.getLong(), in.getLong(), in.getLong(), in.getLong(),
            in.getLong(), in.getInt(), in.getLong());
        in.getInt();
        int count = in.getInt();
        if (count < 1 || count > MAX_SEGMENTS || in.remaining() != (long) count * SEGMENT_REF_BYTES) {
            throw new StoreException.Damaged(NAME, in.position(), "the list of segments is cut");
        }
        List<SegmentRef> segments = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            segments.add(new SegmentRef(in.getLong(), in.get(), in.get() == 1, in.getLong(), in.getLong(),
                in.getLong(), in.getLong()));
        }
        return new Manifest(format, storeId, generation, nextFileId, checkpoint, List.copyOf(segments));
    }

    static Manifest read(Disk disk) throws IOException {
        try (Disk.File file = disk.open(NAME, false)) {
            long size = file.size();
            if (size > FIXED_BYTES + (long) SEGMENT_REF_BYTES * MAX_SEGMENTS) {
                throw new StoreException.Damaged(NAME, size, "the file is too long");
            }
            ByteBuffer in = ByteBuffer.allocate((int) size);
            file.read(in, 0);
            return decode(in.flip());
        }
    }

    /** Writes the manifest to a temporary file; {@link #publish} replaces the current manifest by it. */
    void writeTemporary(Disk disk) throws IOException {
        disk.delete(TEMPORARY_NAME);
        try (Disk.File file = disk.create(TEMPORARY_NAME)) {
            ByteBuffer out = encode();
            int length = out.remaining();
            if (file.write(out, 0) < length) {
                throw new IOException("short write of " + TEMPORARY_NAME);
            }
            file.force();
        }
    }

    static void publish(Disk disk) throws IOException {
        disk.rename(TEMPORARY_NAME, NAME);
        disk.syncDirectory();
    }
}

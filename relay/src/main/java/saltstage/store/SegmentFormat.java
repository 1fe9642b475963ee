package saltstage.store;

import java.nio.ByteBuffer;
import java.util.List;
import java.util.zip.CRC32C;

/**
 * The binary format of a segment: its header, its frames, and the entries in them. All methods work
 * on buffers without I/O. All numbers are big-endian; {@code docs/design/store.md} has the tables.
 *
 * <p>The checksum of a frame is seeded with the store id, the segment id and the offset of the
 * frame. A frame is therefore never accepted at a place where it does not belong, whether it was
 * copied there or is a value that looks like a frame.
 */
final class SegmentFormat {
    static final int SEGMENT_HEADER_BYTES = 64;
    static final int FRAME_HEADER_BYTES = 32;
    static final int BATCH_HEADER_BYTES = 4;
    static final int ENTRY_HEADER_BYTES = 19;
    static final int ALIGNMENT_BYTES = 8;

    /** The length of the group's offset, which precedes the copy of the group in a mirror. */
    static final int MIRROR_HEADER_BYTES = 8;

    static final int COMMIT_MARKER_BYTES = FRAME_HEADER_BYTES + 8;

    /**
     * The maximum size of a group that is mirrored in the same write. A larger group is followed by
     * a commit marker that is forced separately.
     */
    static final int MAX_MIRRORED_BYTES = 64 << 10;

    static final byte GROUP_FRAME = 1;
    static final byte MIRROR_FRAME = 2;
    static final byte COMMIT_MARKER_FRAME = 3;
    static final byte COPY_FRAME = 4;

    static final byte LOG_SEGMENT = 1;
    static final byte COPY_SEGMENT = 2;

    static final byte PUT = 1;
    static final byte DELETE = 2;

    static final short FORMAT_VERSION = 1;
    private static final long SEGMENT_MAGIC = 0x53414c5453454701L; // SALTSEG, 1
    static final int FRAME_MAGIC = 0x53465231; // SFR1
    private static final int SEGMENT_CRC_OFFSET = 12;
    private static final int FRAME_CRC_OFFSET = 24;

    private SegmentFormat() {}

    /** The 16-byte id of a store, as two numbers. */
    record StoreId(long high, long low) {}

    /** The fields of a segment header. */
    record SegmentHeader(byte kind, StoreId storeId, long id, long size, long baseSeq) {}

    /** The header of a frame. The payload length excludes padding. */
    record FrameHeader(byte kind, int payloadLength, int batchCount, long firstSeq, int crc) {
        int totalBytes() {
            return alignUp(FRAME_HEADER_BYTES + payloadLength);
        }
    }

    /** A decoded entry; {@code bytes} is its encoded length. */
    record Entry(byte op, byte[] key, int valueLength, long version, int bytes) {}

    static int alignUp(int bytes) {
        return (bytes + ALIGNMENT_BYTES - 1) & -ALIGNMENT_BYTES;
    }

    /**
     * Returns the space to reserve for a group of at most this size and its trailer. A group can
     * turn out smaller than its maximum, and may then be followed by a mirror where the maximum
     * would only need a commit marker, so both cases are covered.
     */
    static int reservedBytes(int maxGroupBytes) {
        int mirrored = Math.min(maxGroupBytes, MAX_MIRRORED_BYTES);
        return Math.max(
                mirrored + trailerBytes(mirrored), maxGroupBytes + trailerBytes(maxGroupBytes));
    }

    /** Returns the space that the mirror or commit marker behind a group needs. */
    static int trailerBytes(int groupBytes) {
        return groupBytes <= MAX_MIRRORED_BYTES
                ? alignUp(FRAME_HEADER_BYTES + MIRROR_HEADER_BYTES + groupBytes)
                : COMMIT_MARKER_BYTES;
    }

    static ByteBuffer encodeHeader(SegmentHeader header) {
        ByteBuffer out = ByteBuffer.allocate(SEGMENT_HEADER_BYTES);
        out.putLong(SEGMENT_MAGIC)
                .putShort(FORMAT_VERSION)
                .put(header.kind())
                .put((byte) 0)
                .putInt(0)
                .putLong(header.storeId().high())
                .putLong(header.storeId().low())
                .putLong(header.id())
                .putLong(header.size())
                .putLong(header.baseSeq())
                .putLong(0)
                .flip();
        out.putInt(SEGMENT_CRC_OFFSET, crcExcluding(out, SEGMENT_CRC_OFFSET));
        return out;
    }

    static SegmentHeader decodeHeader(String file, ByteBuffer in) throws StoreException {
        if (in.remaining() < SEGMENT_HEADER_BYTES) {
            throw new StoreException.Damaged(file, in.remaining(), "the header is cut");
        }
        if (in.getLong(0) != SEGMENT_MAGIC) {
            throw new StoreException.Damaged(file, 0, "no segment");
        }
        if (in.getInt(SEGMENT_CRC_OFFSET) != crcExcluding(in, SEGMENT_CRC_OFFSET)) {
            throw new StoreException.Damaged(
                    file, SEGMENT_CRC_OFFSET, "the header's checksum does not match");
        }
        if (in.getShort(8) != FORMAT_VERSION) {
            throw new StoreException(
                    file
                            + ": format "
                            + in.getShort(8)
                            + " is not known; "
                            + FORMAT_VERSION
                            + " is");
        }
        return new SegmentHeader(
                in.get(10),
                new StoreId(in.getLong(16), in.getLong(24)),
                in.getLong(32),
                in.getLong(40),
                in.getLong(48));
    }

    /**
     * Returns the CRC32C of a buffer, with the four checksum bytes at this position taken as zero.
     */
    static int crcExcluding(ByteBuffer buffer, int position) {
        CRC32C crc = new CRC32C();
        crc.update(buffer.duplicate().position(0).limit(position));
        crc.update(new byte[4], 0, 4);
        crc.update(buffer.duplicate().position(position + 4));
        return (int) crc.getValue();
    }

    /** The part of the checksum seed that all frames of a segment share. */
    record ChecksumSeed(StoreId storeId, long segmentId) {
        int crc(ByteBuffer frame, long offset) {
            ByteBuffer seed = ByteBuffer.allocate(32);
            seed.putLong(storeId.high())
                    .putLong(storeId.low())
                    .putLong(segmentId)
                    .putLong(offset)
                    .flip();
            CRC32C crc = new CRC32C();
            crc.update(seed);
            crc.update(frame.duplicate().limit(frame.position() + FRAME_CRC_OFFSET));
            crc.update(frame.duplicate().position(frame.position() + FRAME_HEADER_BYTES));
            return (int) crc.getValue();
        }
    }

    /**
     * Begins a frame at the buffer's position and returns its start; {@link #endFrame} completes
     * it.
     */
    static int beginFrame(ByteBuffer out, byte kind, int count, long firstSeq) {
        int start = out.position();
        out.putInt(FRAME_MAGIC)
                .put(kind)
                .put((byte) 0)
                .putShort((short) 0)
                .putInt(0)
                .putInt(count)
                .putLong(firstSeq)
                .putInt(0)
                .putInt(0);
        return start;
    }

    /** Sets the length and checksum of the frame that begins at {@code start}, and pads it. */
    static FrameHeader endFrame(ByteBuffer out, int start, ChecksumSeed seed, long offset) {
        int length = out.position() - start - FRAME_HEADER_BYTES;
        out.putInt(start + 8, length);
        int crc = seed.crc(out.duplicate().flip().position(start), offset);
        out.putInt(start + FRAME_CRC_OFFSET, crc);
        while ((out.position() - start) % ALIGNMENT_BYTES != 0) {
            out.put((byte) 0);
        }
        return new FrameHeader(
                out.get(start + 4), length, out.getInt(start + 12), out.getLong(start + 16), crc);
    }

    /**
     * Decodes the frame at the buffer's position, which corresponds to this offset of the segment.
     * Returns null if there is no complete and valid frame.
     */
    static FrameHeader decodeFrame(ByteBuffer in, ChecksumSeed seed, long offset) {
        int start = in.position();
        if (in.remaining() < FRAME_HEADER_BYTES || in.getInt(start) != FRAME_MAGIC) {
            return null;
        }
        byte kind = in.get(start + 4);
        int length = in.getInt(start + 8);
        if (kind < GROUP_FRAME
                || kind > COPY_FRAME
                || length < 0
                || length > in.remaining() - FRAME_HEADER_BYTES
                || in.get(start + 5) != 0
                || in.getShort(start + 6) != 0
                || in.getInt(start + 28) != 0) {
            return null;
        }
        int crc = seed.crc(in.duplicate().limit(start + FRAME_HEADER_BYTES + length), offset);
        return crc != in.getInt(start + FRAME_CRC_OFFSET)
                ? null
                : new FrameHeader(kind, length, in.getInt(start + 12), in.getLong(start + 16), crc);
    }

    static void encodeEntry(ByteBuffer out, byte op, byte[] key, byte[] value, long version) {
        int start = out.position();
        int valueLength = value == null ? 0 : value.length;
        out.put(op)
                .putShort((short) key.length)
                .putInt(valueLength)
                .putLong(version)
                .putInt(0)
                .put(key);
        if (value != null) {
            out.put(value);
        }
        out.putInt(
                start + ENTRY_HEADER_BYTES - 4, entryCrc(out.duplicate().flip().position(start)));
    }

    private static int entryCrc(ByteBuffer entry) {
        CRC32C crc = new CRC32C();
        crc.update(entry.duplicate().limit(entry.position() + ENTRY_HEADER_BYTES - 4));
        crc.update(entry.duplicate().position(entry.position() + ENTRY_HEADER_BYTES));
        return (int) crc.getValue();
    }

    /**
     * Decodes the entry at the buffer's position and advances the position past it. Returns null if
     * there is no valid entry.
     */
    static Entry decodeEntry(ByteBuffer in) {
        int start = in.position();
        if (in.remaining() < ENTRY_HEADER_BYTES) {
            return null;
        }
        byte op = in.get(start);
        int keyLength = in.getShort(start + 1);
        int valueLength = in.getInt(start + 3);
        long bytes = (long) ENTRY_HEADER_BYTES + keyLength + valueLength;
        if (op != PUT && op != DELETE
                || keyLength < 1
                || valueLength < 0
                || bytes > in.remaining()) {
            return null;
        }
        ByteBuffer entry = in.duplicate().limit(start + (int) bytes);
        if (entryCrc(entry) != in.getInt(start + ENTRY_HEADER_BYTES - 4)) {
            return null;
        }
        byte[] key = new byte[keyLength];
        entry.position(start + ENTRY_HEADER_BYTES).get(key);
        in.position(start + (int) bytes);
        return new Entry(op, key, valueLength, in.getLong(start + 7), (int) bytes);
    }

    static void encodeBatch(ByteBuffer out, List<Batch.Change> changes, long seq) {
        out.putInt(changes.size());
        for (Batch.Change change : changes) {
            encodeEntry(
                    out, change.value() == null ? DELETE : PUT, change.key(), change.value(), seq);
        }
    }

    /** Appends a mirror: a copy of the complete group that the buffer holds up to its position. */
    static void encodeMirror(
            ByteBuffer out,
            int groupStart,
            FrameHeader group,
            ChecksumSeed seed,
            long groupOffset) {
        ByteBuffer copy = out.duplicate().flip().position(groupStart);
        int start = beginFrame(out, MIRROR_FRAME, group.batchCount(), group.firstSeq());
        out.putLong(groupOffset).put(copy);
        endFrame(out, start, seed, groupOffset + group.totalBytes());
    }

    /** Appends the commit marker, which states that the group before it is durable. */
    static void encodeCommitMarker(
            ByteBuffer out, FrameHeader group, ChecksumSeed seed, long groupOffset) {
        int start = beginFrame(out, COMMIT_MARKER_FRAME, group.batchCount(), group.firstSeq());
        out.putLong(groupOffset);
        endFrame(out, start, seed, groupOffset + group.totalBytes());
    }
}

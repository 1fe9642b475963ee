package saltstage.store;

import java.nio.ByteBuffer;
import java.util.List;
import java.util.zip.CRC32C;

/**
 * The bytes of a segment: its header, frames, and the entries in them. Pure: from buffers and to
 * buffers. All numbers are big-endian; {@code docs/design/store.md} has the tables.
 *
 * <p>A frame's checksum is seeded with the store's id, the segment's id and the frame's offset, so
 * that no frame is taken for one where it does not belong: neither a copy nor a value that looks
 * like a frame.
 */
final class SegmentFormat {
    static final int SEGMENT_HEADER_BYTES = 64;
    static final int FRAME_HEADER_BYTES = 32;
    static final int BATCH_HEADER_BYTES = 4;
    static final int ENTRY_HEADER_BYTES = 19;
    static final int ALIGNMENT_BYTES = 8;

    /** What a mirror says before the copy: the offset of the group. */
    static final int MIRROR_HEADER_BYTES = 8;

    static final int COMMIT_MARKER_BYTES = FRAME_HEADER_BYTES + 8;

    /**
     * Groups up to this size are mirrored in the same write; behind a larger one comes a forced
     * mark.
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

    /** The 16 bytes that name a store, as two numbers. */
    record StoreId(long high, long low) {}

    /** What a segment's header says. */
    record SegmentHeader(byte kind, StoreId storeId, long id, long size, long baseSeq) {}

    /** A frame's head; length is that of the payload without padding. */
    record FrameHeader(byte kind, int payloadLength, int batchCount, long firstSeq, int crc) {
        int totalBytes() {
            return alignUp(FRAME_HEADER_BYTES + payloadLength);
        }
    }

    /** One entry; its place is the offset of its first byte. */
    record Entry(byte op, byte[] key, int valueLength, long version, int bytes) {}

    static int alignUp(int bytes) {
        return (bytes + ALIGNMENT_BYTES - 1) & -ALIGNMENT_BYTES;
    }

    /**
     * Room that a group of at most this size takes with what comes behind it. A group that turns
     * out smaller than it might have been may be mirrored where the largest would only have been
     * marked.
     */
    static int reservedBytes(int mostTotal) {
        int mirrored = Math.min(mostTotal, MAX_MIRRORED_BYTES);
        return Math.max(mirrored + trailerBytes(mirrored), mostTotal + trailerBytes(mostTotal));
    }

    /** Room that a group needs behind it for its mirror or mark. */
    static int trailerBytes(int groupTotal) {
        return groupTotal <= MAX_MIRRORED_BYTES
                ? alignUp(FRAME_HEADER_BYTES + MIRROR_HEADER_BYTES + groupTotal)
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

    /** CRC32C over a buffer's bytes with the four at this place taken as zero. */
    static int crcExcluding(ByteBuffer of, int at) {
        CRC32C crc = new CRC32C();
        crc.update(of.duplicate().position(0).limit(at));
        crc.update(new byte[4], 0, 4);
        crc.update(of.duplicate().position(at + 4));
        return (int) crc.getValue();
    }

    /** Where a segment's frames get their seed from. */
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

    /** Begins a frame at the buffer's position; {@link #endFrame} completes it. */
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

    /** Sets the length and checksum of the frame that began there, and pads it. */
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
     * The frame at the buffer's position, which is this offset of the segment; null where there is
     * no whole and sound one.
     */
    static FrameHeader decodeFrame(ByteBuffer in, ChecksumSeed seed, long offset) {
        int at = in.position();
        if (in.remaining() < FRAME_HEADER_BYTES || in.getInt(at) != FRAME_MAGIC) {
            return null;
        }
        byte kind = in.get(at + 4);
        int length = in.getInt(at + 8);
        if (kind < GROUP_FRAME
                || kind > COPY_FRAME
                || length < 0
                || length > in.remaining() - FRAME_HEADER_BYTES
                || in.get(at + 5) != 0
                || in.getShort(at + 6) != 0
                || in.getInt(at + 28) != 0) {
            return null;
        }
        int crc = seed.crc(in.duplicate().limit(at + FRAME_HEADER_BYTES + length), offset);
        return crc != in.getInt(at + FRAME_CRC_OFFSET)
                ? null
                : new FrameHeader(kind, length, in.getInt(at + 12), in.getLong(at + 16), crc);
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
     * The entry at the buffer's position, which moves behind it; null where there is no sound one.
     */
    static Entry decodeEntry(ByteBuffer in) {
        int at = in.position();
        if (in.remaining() < ENTRY_HEADER_BYTES) {
            return null;
        }
        byte op = in.get(at);
        int keyLength = in.getShort(at + 1);
        int valueLength = in.getInt(at + 3);
        long bytes = (long) ENTRY_HEADER_BYTES + keyLength + valueLength;
        if (op != PUT && op != DELETE
                || keyLength < 1
                || valueLength < 0
                || bytes > in.remaining()) {
            return null;
        }
        ByteBuffer whole = in.duplicate().limit(at + (int) bytes);
        if (entryCrc(whole) != in.getInt(at + ENTRY_HEADER_BYTES - 4)) {
            return null;
        }
        byte[] key = new byte[keyLength];
        whole.position(at + ENTRY_HEADER_BYTES).get(key);
        in.position(at + (int) bytes);
        return new Entry(op, key, valueLength, in.getLong(at + 7), (int) bytes);
    }

    static void encodeBatch(ByteBuffer out, List<Batch.Change> changes, long seq) {
        out.putInt(changes.size());
        for (Batch.Change change : changes) {
            encodeEntry(
                    out, change.value() == null ? DELETE : PUT, change.key(), change.value(), seq);
        }
    }

    /**
     * A copy of the group that stands whole in the buffer up to its position, written behind it.
     */
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

    /** The mark that the group before it is durable. */
    static void encodeCommitMarker(
            ByteBuffer out, FrameHeader group, ChecksumSeed seed, long groupOffset) {
        int start = beginFrame(out, COMMIT_MARKER_FRAME, group.batchCount(), group.firstSeq());
        out.putLong(groupOffset);
        endFrame(out, start, seed, groupOffset + group.totalBytes());
    }
}

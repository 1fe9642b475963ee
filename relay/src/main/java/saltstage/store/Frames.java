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
final class Frames {
    static final int HEADER = 64;
    static final int HEAD = 32;
    static final int BATCH_HEAD = 4;
    static final int ENTRY_HEAD = 19;
    static final int ALIGN = 8;

    /** What a mirror says before the copy: the offset of the group. */
    static final int MIRROR_HEAD = 8;

    static final int MARK_BYTES = HEAD + 8;

    /**
     * Groups up to this size are mirrored in the same write; behind a larger one comes a forced
     * mark.
     */
    static final int MOST_MIRRORED = 64 << 10;

    static final byte GROUP = 1;
    static final byte MIRROR = 2;
    static final byte MARK = 3;
    static final byte COPY = 4;

    static final byte LOG_SEGMENT = 1;
    static final byte COPY_SEGMENT = 2;

    static final byte PUT = 1;
    static final byte DELETE = 2;

    static final short FORMAT = 1;
    private static final long SEGMENT_MAGIC = 0x53414c5453454701L; // SALTSEG, 1
    static final int FRAME_MAGIC = 0x53465231; // SFR1
    private static final int HEADER_CRC_AT = 12;
    private static final int CRC_AT = 24;

    private Frames() {}

    /** The 16 bytes that name a store, as two numbers. */
    record StoreId(long high, long low) {}

    /** What a segment's header says. */
    record Header(byte kind, StoreId store, long id, long size, long baseSeq) {}

    /** A frame's head; length is that of the payload without padding. */
    record Head(byte kind, int length, int count, long firstSeq, int crc) {
        int total() {
            return align(HEAD + length);
        }
    }

    /** One entry; its place is the offset of its first byte. */
    record Entry(byte op, byte[] key, int valueLength, long version, int bytes) {}

    static int align(int bytes) {
        return (bytes + ALIGN - 1) & -ALIGN;
    }

    /**
     * Room that a group of at most this size takes with what comes behind it. A group that turns
     * out smaller than it might have been may be mirrored where the largest would only have been
     * marked.
     */
    static int room(int mostTotal) {
        int mirrored = Math.min(mostTotal, MOST_MIRRORED);
        return Math.max(mirrored + behind(mirrored), mostTotal + behind(mostTotal));
    }

    /** Room that a group needs behind it for its mirror or mark. */
    static int behind(int groupTotal) {
        return groupTotal <= MOST_MIRRORED ? align(HEAD + MIRROR_HEAD + groupTotal) : MARK_BYTES;
    }

    static ByteBuffer header(Header header) {
        ByteBuffer out = ByteBuffer.allocate(HEADER);
        out.putLong(SEGMENT_MAGIC)
                .putShort(FORMAT)
                .put(header.kind())
                .put((byte) 0)
                .putInt(0)
                .putLong(header.store().high())
                .putLong(header.store().low())
                .putLong(header.id())
                .putLong(header.size())
                .putLong(header.baseSeq())
                .putLong(0)
                .flip();
        out.putInt(HEADER_CRC_AT, crcAround(out, HEADER_CRC_AT));
        return out;
    }

    static Header header(String file, ByteBuffer in) throws StoreException {
        if (in.remaining() < HEADER) {
            throw new StoreException.Damaged(file, in.remaining(), "the header is cut");
        }
        if (in.getLong(0) != SEGMENT_MAGIC) {
            throw new StoreException.Damaged(file, 0, "no segment");
        }
        if (in.getInt(HEADER_CRC_AT) != crcAround(in, HEADER_CRC_AT)) {
            throw new StoreException.Damaged(
                    file, HEADER_CRC_AT, "the header's checksum does not match");
        }
        if (in.getShort(8) != FORMAT) {
            throw new StoreException(
                    file + ": format " + in.getShort(8) + " is not known; " + FORMAT + " is");
        }
        return new Header(
                in.get(10),
                new StoreId(in.getLong(16), in.getLong(24)),
                in.getLong(32),
                in.getLong(40),
                in.getLong(48));
    }

    /** CRC32C over a buffer's bytes with the four at this place taken as zero. */
    static int crcAround(ByteBuffer of, int at) {
        CRC32C crc = new CRC32C();
        crc.update(of.duplicate().position(0).limit(at));
        crc.update(new byte[4], 0, 4);
        crc.update(of.duplicate().position(at + 4));
        return (int) crc.getValue();
    }

    /** Where a segment's frames get their seed from. */
    record Seed(StoreId store, long segment) {
        int crc(ByteBuffer frame, long offset) {
            ByteBuffer seed = ByteBuffer.allocate(32);
            seed.putLong(store.high()).putLong(store.low()).putLong(segment).putLong(offset).flip();
            CRC32C crc = new CRC32C();
            crc.update(seed);
            crc.update(frame.duplicate().limit(frame.position() + CRC_AT));
            crc.update(frame.duplicate().position(frame.position() + HEAD));
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
    static Head endFrame(ByteBuffer out, int start, Seed seed, long offset) {
        int length = out.position() - start - HEAD;
        out.putInt(start + 8, length);
        int crc = seed.crc(out.duplicate().flip().position(start), offset);
        out.putInt(start + CRC_AT, crc);
        while ((out.position() - start) % ALIGN != 0) {
            out.put((byte) 0);
        }
        return new Head(
                out.get(start + 4), length, out.getInt(start + 12), out.getLong(start + 16), crc);
    }

    /**
     * The frame at the buffer's position, which is this offset of the segment; null where there is
     * no whole and sound one.
     */
    static Head frame(ByteBuffer in, Seed seed, long offset) {
        int at = in.position();
        if (in.remaining() < HEAD || in.getInt(at) != FRAME_MAGIC) {
            return null;
        }
        byte kind = in.get(at + 4);
        int length = in.getInt(at + 8);
        if (kind < GROUP
                || kind > COPY
                || length < 0
                || length > in.remaining() - HEAD
                || in.get(at + 5) != 0
                || in.getShort(at + 6) != 0
                || in.getInt(at + 28) != 0) {
            return null;
        }
        int crc = seed.crc(in.duplicate().limit(at + HEAD + length), offset);
        return crc != in.getInt(at + CRC_AT)
                ? null
                : new Head(kind, length, in.getInt(at + 12), in.getLong(at + 16), crc);
    }

    static void entry(ByteBuffer out, byte op, byte[] key, byte[] value, long version) {
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
        out.putInt(start + ENTRY_HEAD - 4, entryCrc(out.duplicate().flip().position(start)));
    }

    private static int entryCrc(ByteBuffer entry) {
        CRC32C crc = new CRC32C();
        crc.update(entry.duplicate().limit(entry.position() + ENTRY_HEAD - 4));
        crc.update(entry.duplicate().position(entry.position() + ENTRY_HEAD));
        return (int) crc.getValue();
    }

    /**
     * The entry at the buffer's position, which moves behind it; null where there is no sound one.
     */
    static Entry entry(ByteBuffer in) {
        int at = in.position();
        if (in.remaining() < ENTRY_HEAD) {
            return null;
        }
        byte op = in.get(at);
        int keyLength = in.getShort(at + 1);
        int valueLength = in.getInt(at + 3);
        long bytes = (long) ENTRY_HEAD + keyLength + valueLength;
        if (op != PUT && op != DELETE
                || keyLength < 1
                || valueLength < 0
                || bytes > in.remaining()) {
            return null;
        }
        ByteBuffer whole = in.duplicate().limit(at + (int) bytes);
        if (entryCrc(whole) != in.getInt(at + ENTRY_HEAD - 4)) {
            return null;
        }
        byte[] key = new byte[keyLength];
        whole.position(at + ENTRY_HEAD).get(key);
        in.position(at + (int) bytes);
        return new Entry(op, key, valueLength, in.getLong(at + 7), (int) bytes);
    }

    static void batch(ByteBuffer out, List<Batch.Change> changes, long seq) {
        out.putInt(changes.size());
        for (Batch.Change change : changes) {
            entry(out, change.value() == null ? DELETE : PUT, change.key(), change.value(), seq);
        }
    }

    /**
     * A copy of the group that stands whole in the buffer up to its position, written behind it.
     */
    static void mirror(ByteBuffer out, int groupStart, Head group, Seed seed, long groupOffset) {
        ByteBuffer copy = out.duplicate().flip().position(groupStart);
        int start = beginFrame(out, MIRROR, group.count(), group.firstSeq());
        out.putLong(groupOffset).put(copy);
        endFrame(out, start, seed, groupOffset + group.total());
    }

    /** The mark that the group before it is durable. */
    static void mark(ByteBuffer out, Head group, Seed seed, long groupOffset) {
        int start = beginFrame(out, MARK, group.count(), group.firstSeq());
        out.putLong(groupOffset);
        endFrame(out, start, seed, groupOffset + group.total());
    }
}

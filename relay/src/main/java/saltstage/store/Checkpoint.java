package saltstage.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.zip.CRC32C;

/**
 * The index of one moment in a file, so that a start reads the log from there only. Written beside
 * everything else from a tree that no longer changes; what the manifest says of it must match to
 * the byte.
 */
final class Checkpoint {
    private static final long MAGIC = 0x53414c54434b5001L; // SALTCKP, 1
    private static final int HEADER = 64;
    private static final int CRC_AT = 12;
    private static final int BLOCK = 64 << 10;
    private static final int BLOCK_HEAD = 8;
    private static final int ENTRY_HEAD = 22;
    private static final int ROOM = BLOCK + ENTRY_HEAD + Batch.MOST_KEY;

    private Checkpoint() {}

    static String name(long id) {
        return String.format("%016x.index", id);
    }

    /** What a checkpoint came to. */
    record Written(long bytes, int crc) {}

    /** Told as a checkpoint is written, so that its rate can be bounded. */
    interface Progress {
        void wrote(long bytes) throws IOException;
    }

    /** Writes the index as of this number; the file is durable, its name is not. */
    static Written write(
            Disk.File file, Frames.StoreId store, long id, long seq, Index index, Progress progress)
            throws IOException {
        CRC32C all = new CRC32C();
        ByteBuffer header = ByteBuffer.allocate(HEADER);
        header.putLong(MAGIC)
                .putShort(Frames.FORMAT)
                .putShort((short) 0)
                .putInt(0)
                .putLong(store.high())
                .putLong(store.low())
                .putLong(id)
                .putLong(seq)
                .putLong(index.size())
                .putLong(0)
                .flip();
        header.putInt(CRC_AT, Frames.crcAround(header, CRC_AT));
        long end = put(file, header, 0, all);
        ByteBuffer block = ByteBuffer.allocate(ROOM);
        block.position(BLOCK_HEAD);
        Index.Cursor cursor = index.cursor(null);
        boolean more = cursor.advance();
        while (more) {
            byte[] key = cursor.key();
            Index.Place place = cursor.place();
            block.putShort((short) key.length)
                    .putInt(place.valueLength())
                    .putLong(place.at())
                    .putLong(place.version())
                    .put(key);
            more = cursor.advance();
            if (!more || block.position() >= BLOCK) {
                int length = block.position() - BLOCK_HEAD;
                block.flip();
                block.putInt(0, length).putInt(4, crc(block, end));
                long from = end;
                end = put(file, block, end, all);
                progress.wrote(end - from);
                block.clear().position(BLOCK_HEAD);
            }
        }
        file.force();
        return new Written(end, (int) all.getValue());
    }

    private static int crc(ByteBuffer block, long offset) {
        CRC32C crc = new CRC32C();
        crc.update(ByteBuffer.allocate(8).putLong(offset).flip());
        crc.update(block.duplicate().position(BLOCK_HEAD));
        return (int) crc.getValue();
    }

    private static long put(Disk.File file, ByteBuffer out, long at, CRC32C all)
            throws IOException {
        all.update(out.duplicate());
        int whole = out.remaining();
        if (file.write(out, at) < whole) {
            throw new IOException("short write of a checkpoint");
        }
        return at + whole;
    }

    /** Reads the checkpoint that the manifest names. */
    static Index read(Disk disk, Frames.StoreId store, Manifest.CheckpointRef ref)
            throws IOException {
        String name = ref.name();
        try (Disk.File file = disk.open(name, false)) {
            if (file.size() != ref.bytes()) {
                throw new StoreException.Damaged(
                        name,
                        Math.min(file.size(), ref.bytes()),
                        "the file is "
                                + file.size()
                                + " bytes long; "
                                + ref.bytes()
                                + " were written");
            }
            CRC32C all = new CRC32C();
            ByteBuffer header = ByteBuffer.allocate(HEADER);
            file.read(header, 0);
            all.update(header.flip().duplicate());
            if (header.getLong(0) != MAGIC
                    || header.getInt(CRC_AT) != Frames.crcAround(header, CRC_AT)
                    || header.getLong(16) != store.high()
                    || header.getLong(24) != store.low()
                    || header.getLong(32) != ref.id()
                    || header.getLong(40) != ref.seq()) {
                throw new StoreException.Damaged(
                        name, 0, "the header is not the one that was written");
            }
            Index.Builder builder = new Index.Builder();
            for (long at = HEADER; at < ref.bytes(); ) {
                at += block(file, name, at, ref.bytes(), all, builder);
            }
            Index index = builder.build();
            if ((int) all.getValue() != ref.crc() || index.size() != ref.keys()) {
                throw new StoreException.Damaged(
                        name, ref.bytes(), "not the checkpoint of the manifest");
            }
            return index;
        }
    }

    private static long block(
            Disk.File file, String name, long at, long end, CRC32C all, Index.Builder into)
            throws IOException {
        ByteBuffer head = ByteBuffer.allocate(BLOCK_HEAD);
        int length = file.read(head, at) < BLOCK_HEAD ? -1 : head.getInt(0);
        if (length < ENTRY_HEAD || length > ROOM || at + BLOCK_HEAD + length > end) {
            throw new StoreException.Damaged(name, at, "no sound block");
        }
        ByteBuffer block = ByteBuffer.allocate(BLOCK_HEAD + length);
        file.read(block, at);
        block.flip();
        if (crc(block, at) != block.getInt(4)) {
            throw new StoreException.Damaged(name, at, "the block's checksum does not match");
        }
        all.update(block.duplicate());
        block.position(BLOCK_HEAD);
        while (block.hasRemaining()) {
            int keyLength = block.remaining() < ENTRY_HEAD ? -1 : block.getShort();
            if (keyLength < 1 || keyLength > block.remaining() - ENTRY_HEAD + 2) {
                throw new StoreException.Damaged(name, at, "an entry does not fit its block");
            }
            int valueLength = block.getInt();
            Index.Place place = new Index.Place(block.getLong(), block.getLong(), valueLength);
            byte[] key = new byte[keyLength];
            block.get(key);
            if (!into.add(key, place)) {
                throw new StoreException.Damaged(name, at, "keys are out of order");
            }
        }
        return BLOCK_HEAD + length;
    }
}

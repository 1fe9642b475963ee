package saltstage.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.zip.CRC32C;

/**
 * A file with the index at one moment, so that an open replays only the log written after it. It is
 * written concurrently with commits, from an immutable tree. Its size, checksum and key count must
 * match the manifest exactly.
 */
final class Checkpoint {
    private static final long MAGIC = 0x53414c54434b5001L; // SALTCKP, 1
    private static final int HEADER_BYTES = 64;
    private static final int CRC_OFFSET = 12;
    private static final int BLOCK_BYTES = 64 << 10;
    private static final int BLOCK_HEADER_BYTES = 8;
    private static final int ENTRY_HEADER_BYTES = 22;
    private static final int MAX_BLOCK_BYTES =
            BLOCK_BYTES + ENTRY_HEADER_BYTES + Batch.MAX_KEY_BYTES;

    private Checkpoint() {}

    static String fileName(long id) {
        return String.format("%016x.index", id);
    }

    /** The size and checksum of a written checkpoint. */
    record WriteResult(long bytes, int crc) {}

    /** Called while a checkpoint is written; may throw to abort it. */
    interface ProgressListener {
        void onBlockWritten(long bytes) throws IOException;
    }

    /**
     * Writes the index as of this sequence number. The content of the file is durable afterwards,
     * its name is not.
     */
    static WriteResult write(
            Disk.File file,
            SegmentFormat.StoreId store,
            long id,
            long seq,
            Index index,
            ProgressListener progress)
            throws IOException {
        CRC32C all = new CRC32C();
        ByteBuffer header = ByteBuffer.allocate(HEADER_BYTES);
        header.putLong(MAGIC)
                .putShort(SegmentFormat.FORMAT_VERSION)
                .putShort((short) 0)
                .putInt(0)
                .putLong(store.high())
                .putLong(store.low())
                .putLong(id)
                .putLong(seq)
                .putLong(index.size())
                .putLong(0)
                .flip();
        header.putInt(CRC_OFFSET, SegmentFormat.crcExcluding(header, CRC_OFFSET));
        long end = writeAt(file, header, 0, all);
        ByteBuffer block = ByteBuffer.allocate(MAX_BLOCK_BYTES);
        block.position(BLOCK_HEADER_BYTES);
        Index.Cursor cursor = index.cursor(null);
        boolean more = cursor.advance();
        while (more) {
            byte[] key = cursor.key();
            Index.Location place = cursor.location();
            block.putShort((short) key.length)
                    .putInt(place.valueLength())
                    .putLong(place.address())
                    .putLong(place.version())
                    .put(key);
            more = cursor.advance();
            if (!more || block.position() >= BLOCK_BYTES) {
                int length = block.position() - BLOCK_HEADER_BYTES;
                block.flip();
                block.putInt(0, length).putInt(4, blockCrc(block, end));
                long from = end;
                end = writeAt(file, block, end, all);
                progress.onBlockWritten(end - from);
                block.clear().position(BLOCK_HEADER_BYTES);
            }
        }
        file.force();
        return new WriteResult(end, (int) all.getValue());
    }

    private static int blockCrc(ByteBuffer block, long offset) {
        CRC32C crc = new CRC32C();
        crc.update(ByteBuffer.allocate(8).putLong(offset).flip());
        crc.update(block.duplicate().position(BLOCK_HEADER_BYTES));
        return (int) crc.getValue();
    }

    private static long writeAt(Disk.File file, ByteBuffer out, long at, CRC32C all)
            throws IOException {
        all.update(out.duplicate());
        int whole = out.remaining();
        if (file.write(out, at) < whole) {
            throw new IOException("short write of a checkpoint");
        }
        return at + whole;
    }

    /** Reads the checkpoint that the manifest refers to. */
    static Index read(Disk disk, SegmentFormat.StoreId store, Manifest.CheckpointRef ref)
            throws IOException {
        String name = ref.fileName();
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
            ByteBuffer header = ByteBuffer.allocate(HEADER_BYTES);
            file.read(header, 0);
            all.update(header.flip().duplicate());
            if (header.getLong(0) != MAGIC
                    || header.getInt(CRC_OFFSET) != SegmentFormat.crcExcluding(header, CRC_OFFSET)
                    || header.getLong(16) != store.high()
                    || header.getLong(24) != store.low()
                    || header.getLong(32) != ref.id()
                    || header.getLong(40) != ref.seq()) {
                throw new StoreException.Damaged(
                        name, 0, "the header is not the one that was written");
            }
            Index.Builder builder = new Index.Builder();
            for (long at = HEADER_BYTES; at < ref.bytes(); ) {
                at += readBlock(file, name, at, ref.bytes(), all, builder);
            }
            Index index = builder.build();
            if ((int) all.getValue() != ref.crc() || index.size() != ref.keyCount()) {
                throw new StoreException.Damaged(
                        name, ref.bytes(), "not the checkpoint of the manifest");
            }
            return index;
        }
    }

    private static long readBlock(
            Disk.File file, String name, long at, long end, CRC32C all, Index.Builder into)
            throws IOException {
        ByteBuffer head = ByteBuffer.allocate(BLOCK_HEADER_BYTES);
        int length = file.read(head, at) < BLOCK_HEADER_BYTES ? -1 : head.getInt(0);
        if (length < ENTRY_HEADER_BYTES
                || length > MAX_BLOCK_BYTES
                || at + BLOCK_HEADER_BYTES + length > end) {
            throw new StoreException.Damaged(name, at, "no sound block");
        }
        ByteBuffer block = ByteBuffer.allocate(BLOCK_HEADER_BYTES + length);
        file.read(block, at);
        block.flip();
        if (blockCrc(block, at) != block.getInt(4)) {
            throw new StoreException.Damaged(name, at, "the block's checksum does not match");
        }
        all.update(block.duplicate());
        block.position(BLOCK_HEADER_BYTES);
        while (block.hasRemaining()) {
            int keyLength = block.remaining() < ENTRY_HEADER_BYTES ? -1 : block.getShort();
            if (keyLength < 1 || keyLength > block.remaining() - ENTRY_HEADER_BYTES + 2) {
                throw new StoreException.Damaged(name, at, "an entry does not fit its block");
            }
            int valueLength = block.getInt();
            Index.Location place =
                    new Index.Location(block.getLong(), block.getLong(), valueLength);
            byte[] key = new byte[keyLength];
            block.get(key);
            if (!into.add(key, place)) {
                throw new StoreException.Damaged(name, at, "keys are out of order");
            }
        }
        return BLOCK_HEADER_BYTES + length;
    }
}

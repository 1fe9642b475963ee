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
            SegmentFormat.StoreId storeId,
            long id,
            long seq,
            Index index,
            ProgressListener progress)
            throws IOException {
        CRC32C crc = new CRC32C();
        ByteBuffer header = ByteBuffer.allocate(HEADER_BYTES);
        header.putLong(MAGIC)
                .putShort(SegmentFormat.FORMAT_VERSION)
                .putShort((short) 0)
                .putInt(0)
                .putLong(storeId.high())
                .putLong(storeId.low())
                .putLong(id)
                .putLong(seq)
                .putLong(index.size())
                .putLong(0)
                .flip();
        header.putInt(CRC_OFFSET, SegmentFormat.crcExcluding(header, CRC_OFFSET));
        long end = writeAt(file, header, 0, crc);
        ByteBuffer block = ByteBuffer.allocate(MAX_BLOCK_BYTES);
        block.position(BLOCK_HEADER_BYTES);
        Index.Cursor cursor = index.cursor(null);
        boolean more = cursor.advance();
        while (more) {
            byte[] key = cursor.key();
            Index.Location location = cursor.location();
            block.putShort((short) key.length)
                    .putInt(location.valueLength())
                    .putLong(location.address())
                    .putLong(location.version())
                    .put(key);
            more = cursor.advance();
            if (!more || block.position() >= BLOCK_BYTES) {
                int length = block.position() - BLOCK_HEADER_BYTES;
                block.flip();
                block.putInt(0, length).putInt(4, blockCrc(block, end));
                long start = end;
                end = writeAt(file, block, end, crc);
                progress.onBlockWritten(end - start);
                block.clear().position(BLOCK_HEADER_BYTES);
            }
        }
        file.force();
        return new WriteResult(end, (int) crc.getValue());
    }

    private static int blockCrc(ByteBuffer block, long offset) {
        CRC32C crc = new CRC32C();
        crc.update(ByteBuffer.allocate(8).putLong(offset).flip());
        crc.update(block.duplicate().position(BLOCK_HEADER_BYTES));
        return (int) crc.getValue();
    }

    private static long writeAt(Disk.File file, ByteBuffer out, long offset, CRC32C crc)
            throws IOException {
        crc.update(out.duplicate());
        int length = out.remaining();
        if (file.write(out, offset) < length) {
            throw new IOException("short write of a checkpoint");
        }
        return offset + length;
    }

    /** Reads the checkpoint that the manifest refers to. */
    static Index read(Disk disk, SegmentFormat.StoreId storeId, Manifest.CheckpointRef ref)
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
            CRC32C crc = new CRC32C();
            ByteBuffer header = ByteBuffer.allocate(HEADER_BYTES);
            file.read(header, 0);
            crc.update(header.flip().duplicate());
            if (header.getLong(0) != MAGIC
                    || header.getInt(CRC_OFFSET) != SegmentFormat.crcExcluding(header, CRC_OFFSET)
                    || header.getLong(16) != storeId.high()
                    || header.getLong(24) != storeId.low()
                    || header.getLong(32) != ref.id()
                    || header.getLong(40) != ref.seq()) {
                throw new StoreException.Damaged(
                        name, 0, "the header is not the one that was written");
            }
            Index.Builder builder = new Index.Builder();
            for (long offset = HEADER_BYTES; offset < ref.bytes(); ) {
                offset += readBlock(file, name, offset, ref.bytes(), crc, builder);
            }
            Index index = builder.build();
            if ((int) crc.getValue() != ref.crc() || index.size() != ref.keyCount()) {
                throw new StoreException.Damaged(
                        name, ref.bytes(), "not the checkpoint of the manifest");
            }
            return index;
        }
    }

    private static long readBlock(
            Disk.File file, String name, long offset, long end, CRC32C crc, Index.Builder builder)
            throws IOException {
        ByteBuffer header = ByteBuffer.allocate(BLOCK_HEADER_BYTES);
        int length = file.read(header, offset) < BLOCK_HEADER_BYTES ? -1 : header.getInt(0);
        if (length < ENTRY_HEADER_BYTES
                || length > MAX_BLOCK_BYTES
                || offset + BLOCK_HEADER_BYTES + length > end) {
            throw new StoreException.Damaged(name, offset, "no sound block");
        }
        ByteBuffer block = ByteBuffer.allocate(BLOCK_HEADER_BYTES + length);
        file.read(block, offset);
        block.flip();
        if (blockCrc(block, offset) != block.getInt(4)) {
            throw new StoreException.Damaged(name, offset, "the block's checksum does not match");
        }
        crc.update(block.duplicate());
        block.position(BLOCK_HEADER_BYTES);
        while (block.hasRemaining()) {
            int keyLength = block.remaining() < ENTRY_HEADER_BYTES ? -1 : block.getShort();
            if (keyLength < 1 || keyLength > block.remaining() - ENTRY_HEADER_BYTES + 2) {
                throw new StoreException.Damaged(name, offset, "an entry does not fit its block");
            }
            int valueLength = block.getInt();
            Index.Location location =
                    new Index.Location(block.getLong(), block.getLong(), valueLength);
            byte[] key = new byte[keyLength];
            block.get(key);
            if (!builder.add(key, location)) {
                throw new StoreException.Damaged(name, offset, "keys are out of order");
            }
        }
        return BLOCK_HEADER_BYTES + length;
    }
}

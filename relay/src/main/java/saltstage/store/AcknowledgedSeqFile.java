package saltstage.store;

import java.io.IOException;
import java.nio.ByteBuffer;

/**
 * The file that records the last acknowledged sequence number separately from the log. It prevents
 * a log with a damaged end, or one restored from an older backup, from being accepted as a shorter
 * log.
 *
 * <p>The file is written after a group is durable and before it is acknowledged, so its number is
 * never too high. It is forced only when writing is idle, so the number may be too low after a
 * power loss. One of its two slots is always durable and left unchanged, so that an interrupted
 * write can only damage the other one.
 */
final class AcknowledgedSeqFile {
    static final String NAME = "acked";
    static final String TEMPORARY_NAME = "acked.tmp";

    /** The distance between the slots: one sector, which a disk writes atomically. */
    static final int SLOT_BYTES = 512;

    static final int FILE_BYTES = 2 * SLOT_BYTES;
    private static final long MAGIC = 0x53414c5441434b01L; // SALTACK, 1
    private static final int SLOT_CONTENT_BYTES = 40;
    private static final int CRC_OFFSET = 12;
    private static final int SEQ_OFFSET = 32;

    private final Disk.File file;
    private final SegmentFormat.StoreId storeId;
    private final ByteBuffer buffer = ByteBuffer.allocateDirect(SLOT_CONTENT_BYTES);
    private int activeSlot;
    private long seq;
    private long forcedSeq;

    private AcknowledgedSeqFile(
            Disk.File file, SegmentFormat.StoreId storeId, int activeSlot, long seq) {
        this.file = file;
        this.storeId = storeId;
        this.activeSlot = activeSlot;
        this.seq = seq;
        forcedSeq = seq;
    }

    /**
     * Creates the file and opens it for writing. Its content is durable, its name is not until the
     * directory is synced.
     */
    static AcknowledgedSeqFile create(Disk disk, SegmentFormat.StoreId storeId, long seq)
            throws IOException {
        disk.delete(TEMPORARY_NAME);
        try (Disk.File file = disk.create(TEMPORARY_NAME)) {
            ByteBuffer content = ByteBuffer.allocate(FILE_BYTES);
            content.put(0, encodeSlot(storeId, seq), 0, SLOT_CONTENT_BYTES)
                    .put(SLOT_BYTES, encodeSlot(storeId, seq), 0, SLOT_CONTENT_BYTES);
            if (file.write(content, 0) < FILE_BYTES) {
                throw new IOException("short write of " + TEMPORARY_NAME);
            }
            file.force();
        }
        disk.rename(TEMPORARY_NAME, NAME);
        return new AcknowledgedSeqFile(disk.open(NAME, true), storeId, 0, seq);
    }

    /**
     * Returns the last acknowledged sequence number in the file. Throws if the file is damaged or
     * belongs to another store.
     */
    static long read(Disk disk, SegmentFormat.StoreId storeId) throws IOException {
        try (Disk.File file = disk.open(NAME, false)) {
            long[] seqs = readSlots(file, storeId);
            return Math.max(seqs[0], seqs[1]);
        }
    }

    /** Opens the file for writing and records the last sequence number of the recovered log. */
    static AcknowledgedSeqFile open(Disk disk, SegmentFormat.StoreId storeId, long seq)
            throws IOException {
        Disk.File file = disk.open(NAME, true);
        boolean opened = false;
        try {
            long[] seqs = readSlots(file, storeId);
            // The slot with the higher number may never have been forced by the last process, so it
            // is the one that is overwritten.
            AcknowledgedSeqFile result =
                    new AcknowledgedSeqFile(file, storeId, seqs[0] >= seqs[1] ? 0 : 1, seq);
            result.writeSlot();
            result.forceAndSwitchSlot();
            opened = true;
            return result;
        } finally {
            if (!opened) {
                file.close();
            }
        }
    }

    /**
     * Returns the last acknowledged sequence number in the file of any store, or -1 if no slot is
     * valid.
     */
    static long readOfAnyStore(Disk.File file) throws IOException {
        ByteBuffer first = readSlot(file, 0);
        ByteBuffer second = readSlot(file, 1);
        return Math.max(
                first == null ? -1 : first.getLong(SEQ_OFFSET),
                second == null ? -1 : second.getLong(SEQ_OFFSET));
    }

    /**
     * Records that this sequence number is durable. Called under the write lock, before the commit
     * is acknowledged.
     */
    void update(long acknowledged) throws IOException {
        seq = acknowledged;
        writeSlot();
    }

    /**
     * Forces the file if the number has changed since the last force. Called under the write lock
     * when writing is idle.
     */
    void forceIfChanged() throws IOException {
        if (forcedSeq != seq) {
            forceAndSwitchSlot();
        }
    }

    void close() throws IOException {
        file.close();
    }

    private void forceAndSwitchSlot() throws IOException {
        file.force();
        forcedSeq = seq;
        activeSlot = 1 - activeSlot;
    }

    private void writeSlot() throws IOException {
        buffer.clear().put(encodeSlot(storeId, seq)).flip();
        if (file.write(buffer, (long) activeSlot * SLOT_BYTES) < SLOT_CONTENT_BYTES) {
            throw new IOException("short write of " + NAME);
        }
    }

    private static byte[] encodeSlot(SegmentFormat.StoreId storeId, long seq) {
        ByteBuffer slot = ByteBuffer.allocate(SLOT_CONTENT_BYTES);
        slot.putLong(MAGIC)
                .putShort(SegmentFormat.FORMAT_VERSION)
                .putShort((short) 0)
                .putInt(0)
                .putLong(storeId.high())
                .putLong(storeId.low())
                .putLong(seq)
                .flip();
        slot.putInt(CRC_OFFSET, SegmentFormat.crcExcluding(slot, CRC_OFFSET));
        return slot.array();
    }

    private static ByteBuffer readSlot(Disk.File file, int number) throws IOException {
        ByteBuffer in = ByteBuffer.allocate(SLOT_CONTENT_BYTES);
        if (file.read(in, (long) number * SLOT_BYTES) < SLOT_CONTENT_BYTES) {
            return null;
        }
        in.flip();
        boolean valid =
                in.getLong(0) == MAGIC
                        && in.getInt(CRC_OFFSET) == SegmentFormat.crcExcluding(in, CRC_OFFSET);
        return valid ? in : null;
    }

    /**
     * Returns the number in each slot, or -1 for a slot that an interrupted write has damaged. An
     * interrupted write never damages both.
     */
    private static long[] readSlots(Disk.File file, SegmentFormat.StoreId storeId)
            throws IOException {
        if (file.size() != FILE_BYTES) {
            throw new StoreException.Damaged(
                    NAME,
                    Math.min(file.size(), FILE_BYTES),
                    "the file is "
                            + file.size()
                            + " bytes long; "
                            + FILE_BYTES
                            + " were taken for it");
        }
        long[] seqs = {-1, -1};
        for (int i = 0; i < 2; i++) {
            ByteBuffer in = readSlot(file, i);
            if (in == null) {
                continue;
            }
            if (in.getShort(8) != SegmentFormat.FORMAT_VERSION) {
                throw new StoreException(
                        NAME
                                + ": format "
                                + in.getShort(8)
                                + " is not known; "
                                + SegmentFormat.FORMAT_VERSION
                                + " is");
            }
            if (in.getLong(16) != storeId.high() || in.getLong(24) != storeId.low()) {
                throw new StoreException.Damaged(
                        NAME, (long) i * SLOT_BYTES + 16, "it belongs to another store");
            }
            seqs[i] = in.getLong(SEQ_OFFSET);
        }
        if (seqs[0] < 0 && seqs[1] < 0) {
            throw new StoreException.Damaged(NAME, 0, "neither of its two slots is sound");
        }
        return seqs;
    }
}

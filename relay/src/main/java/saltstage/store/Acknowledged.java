package saltstage.store;

import java.io.IOException;
import java.nio.ByteBuffer;

/**
 * The file that says up to which number the store has acknowledged: a witness apart from the log,
 * so that a log whose end was damaged, or whose files were put back from an older day, is not taken
 * for a shorter one. It is written after a group is durable and before it is acknowledged, so it
 * never says too much; it is forced only when writing rests, so it may say too little after a loss
 * of power. Of its two slots one is always durable and left alone: a write that is cut off spoils
 * the other only.
 */
final class Acknowledged {
    static final String NAME = "acked";
    static final String NEXT = "acked.tmp";

    /** Slots lie a sector apart: a sector is what a disk writes whole. */
    static final int SLOT = 512;

    static final int SIZE = 2 * SLOT;
    private static final long MAGIC = 0x53414c5441434b01L; // SALTACK, 1
    private static final int USED = 40;
    private static final int CRC_AT = 12;
    private static final int SEQ_AT = 32;

    private final Disk.File file;
    private final Frames.StoreId store;
    private final ByteBuffer out = ByteBuffer.allocateDirect(USED);
    private int slot;
    private long seq;
    private long settledAt;

    private Acknowledged(Disk.File file, Frames.StoreId store, int slot, long seq) {
        this.file = file;
        this.store = store;
        this.slot = slot;
        this.seq = seq;
        settledAt = seq;
    }

    /** Makes the file, durable but for its name, and opens it to write. */
    static Acknowledged create(Disk disk, Frames.StoreId store, long seq) throws IOException {
        disk.delete(NEXT);
        try (Disk.File file = disk.create(NEXT)) {
            ByteBuffer all = ByteBuffer.allocate(SIZE);
            all.put(0, encoded(store, seq), 0, USED).put(SLOT, encoded(store, seq), 0, USED);
            if (file.write(all, 0) < SIZE) {
                throw new IOException("short write of " + NEXT);
            }
            file.force();
        }
        disk.rename(NEXT, NAME);
        return new Acknowledged(disk.open(NAME, true), store, 0, seq);
    }

    /**
     * The last number acknowledged as far as the file says; a damaged or foreign file is refused.
     */
    static long read(Disk disk, Frames.StoreId store) throws IOException {
        try (Disk.File file = disk.open(NAME, false)) {
            long[] slots = slots(file, store);
            return Math.max(slots[0], slots[1]);
        }
    }

    /** Opens it to write, with the number that the log came to. */
    static Acknowledged open(Disk disk, Frames.StoreId store, long seq) throws IOException {
        Disk.File file = disk.open(NAME, true);
        boolean opened = false;
        try {
            long[] slots = slots(file, store);
            // What the last run wrote may never have been forced: the slot that says more is not
            // left alone.
            Acknowledged made = new Acknowledged(file, store, slots[0] >= slots[1] ? 0 : 1, seq);
            made.put();
            made.settle();
            opened = true;
            return made;
        } finally {
            if (!opened) {
                file.close();
            }
        }
    }

    /** What a file of whichever store says; -1 where it says nothing. */
    static long saidByAny(Disk.File file) throws IOException {
        ByteBuffer first = slot(file, 0);
        ByteBuffer second = slot(file, 1);
        return Math.max(
                first == null ? -1 : first.getLong(SEQ_AT),
                second == null ? -1 : second.getLong(SEQ_AT));
    }

    /** Says that this number is durable; under the write lock, before anybody is told. */
    void reached(long now) throws IOException {
        seq = now;
        put();
    }

    /**
     * Makes what was said durable where writing has rested since the last call; under the write
     * lock.
     */
    void rest() throws IOException {
        if (settledAt != seq) {
            settle();
        }
    }

    void close() throws IOException {
        file.close();
    }

    private void settle() throws IOException {
        file.force();
        settledAt = seq;
        slot = 1 - slot;
    }

    private void put() throws IOException {
        out.clear().put(encoded(store, seq)).flip();
        if (file.write(out, (long) slot * SLOT) < USED) {
            throw new IOException("short write of " + NAME);
        }
    }

    private static byte[] encoded(Frames.StoreId store, long seq) {
        ByteBuffer slot = ByteBuffer.allocate(USED);
        slot.putLong(MAGIC)
                .putShort(Frames.FORMAT)
                .putShort((short) 0)
                .putInt(0)
                .putLong(store.high())
                .putLong(store.low())
                .putLong(seq)
                .flip();
        slot.putInt(CRC_AT, Frames.crcAround(slot, CRC_AT));
        return slot.array();
    }

    private static ByteBuffer slot(Disk.File file, int number) throws IOException {
        ByteBuffer in = ByteBuffer.allocate(USED);
        if (file.read(in, (long) number * SLOT) < USED) {
            return null;
        }
        in.flip();
        boolean sound = in.getLong(0) == MAGIC && in.getInt(CRC_AT) == Frames.crcAround(in, CRC_AT);
        return sound ? in : null;
    }

    /** What each slot says; -1 for one that a write was cut off in, which never happens to both. */
    private static long[] slots(Disk.File file, Frames.StoreId store) throws IOException {
        if (file.size() != SIZE) {
            throw new StoreException.Damaged(
                    NAME,
                    Math.min(file.size(), SIZE),
                    "the file is " + file.size() + " bytes long; " + SIZE + " were taken for it");
        }
        long[] said = {-1, -1};
        for (int i = 0; i < 2; i++) {
            ByteBuffer in = slot(file, i);
            if (in == null) {
                continue;
            }
            if (in.getShort(8) != Frames.FORMAT) {
                throw new StoreException(
                        NAME
                                + ": format "
                                + in.getShort(8)
                                + " is not known; "
                                + Frames.FORMAT
                                + " is");
            }
            if (in.getLong(16) != store.high() || in.getLong(24) != store.low()) {
                throw new StoreException.Damaged(
                        NAME, (long) i * SLOT + 16, "it belongs to another store");
            }
            said[i] = in.getLong(SEQ_AT);
        }
        if (said[0] < 0 && said[1] < 0) {
            throw new StoreException.Damaged(NAME, 0, "neither of its two slots is sound");
        }
        return said;
    }
}
